"""Coordinator of one front end's recovery from a power loss; runs on the event loop of the server."""

from __future__ import annotations

from typing import Final

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.decisions.settings import PolicySettings
from lilacfront.discovery.endpoint_list import EndpointUpdate
from lilacfront.logs import Log
from lilacfront.membership.sender import OutgoingDatagram
from lilacfront.membership.service import MembershipService
from lilacfront.operations.state_record import LearnedState, OperatorDirective
from lilacfront.recovery.admission import RecoveryAdmission
from lilacfront.recovery.host import RecoveryHost
from lilacfront.recovery.journal import RecoveryJournal
from lilacfront.recovery.journal_writer import RestoreResult
from lilacfront.recovery.peer_state import PeerState
from lilacfront.recovery.records import (
    ChangeLogResetRecord,
    ClassEstimatesRecord,
    DirectiveRecord,
    EndpointEntry,
    EndpointListRecord,
    IncarnationRecord,
)
from lilacfront.recovery.restored_endpoints import RestoredEndpoints
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.recovery.startup_stages import RecoveryStage, StartupConditions, StartupStages
from lilacfront.recovery.state_exchange import StateExchange
from lilacfront.sched import Loop, Task

log = Log(__name__)
RECOVERY_STEP_PERIOD_S: Final = 0.02  # seconds between two steps before the stage OPEN
OPEN_STEP_PERIOD_S: Final = 0.1  # seconds between two steps in the stage OPEN
ESTIMATES_PERIOD_S: Final = 5.0  # seconds between two records of execution times


class RecoveryCoordinator:
    """Restores state, exchanges it with peers, opens service in stages and writes the journal.

    The server creates the coordinator before it serves requests and passes it each change to record.
    """

    def __init__(
        self,
        loop: Loop,
        settings: RecoverySettings,
        name: str,
        policy: PolicySettings,
        dispatcher: RequestDispatcher,
        seed: int,
        host: RecoveryHost,
        list_origin: str = "",
    ) -> None:
        """Start restoring the state of the front end `name` and set the dispatcher's admission policy.

        `list_origin` identifies the start that the event numbers are counted from; see `CachedEvents.origin`.
        """
        self.loop = loop
        self.settings = settings
        self._host = host
        self._list_origin = list_origin
        self._stages = StartupStages(settings, loop.now)
        self._journal = RecoveryJournal(settings, name)
        self._endpoints = RestoredEndpoints()
        self._exchange = StateExchange(PeerState(self._journal, self._stages, self._endpoints, host))
        self._members: MembershipService | None = None
        self._estimates_recorded_at = loop.now
        dispatcher.set_admission_policy(
            RecoveryAdmission(loop, policy, dispatcher.router, self._journal, self._stages, host, seed)
        )

    @property
    def restored(self) -> bool:
        """Whether the restore has ended or timed out."""
        return self._journal.restored

    @property
    def unavailable(self) -> bool:
        """Whether the current stage serves no requests."""
        return self._stages.stage < RecoveryStage.SHORT_READS

    def status_suffix(self) -> str:
        """Text on recovery to append to the answer of the admin command STATUS; may be empty."""
        stage = self._stages.stage
        suffix = "" if stage is RecoveryStage.OPEN else f"; recovery: {stage.label}"
        if self._stages.endpoints_stale:
            suffix += f"; list stale, as of event {self._host.endpoint_list_seq()}"
        if self._journal.failure:
            suffix += f"; nothing is kept: {self._journal.failure}"
        return suffix

    # ---- journal records ------------------------------------------------------------------------------
    def record_endpoints(self, seq: int, update: EndpointUpdate) -> None:
        """Record an update of the endpoint list at event `seq` of the change log."""
        entries = tuple(
            EndpointEntry.from_endpoint(endpoint) for endpoint in update.endpoints if endpoint.instance_id
        )
        self._journal.record(EndpointListRecord(seq, update.is_snapshot, entries, self._list_origin))
        self._exchange.invalidate()

    def record_change_log_reset(self) -> None:
        """Record that the change log has restarted its event numbers at 1."""
        self._journal.record(ChangeLogResetRecord())

    def record_directive(self, directive: OperatorDirective) -> None:
        """Record an operator's directive."""
        self._journal.record(DirectiveRecord(directive))
        self._exchange.invalidate()

    # ---- periodic steps -------------------------------------------------------------------------------
    def join_peers(self, members: MembershipService) -> None:
        """Exchange state with peers in the messages of the membership protocol."""
        self._members = members
        members.integration.next_piggyback = self._exchange
        self._raise_incarnation()

    def run(self, task: Task) -> None:
        """Run a step and send its messages periodically; never returns."""
        while True:
            try:
                messages = self.step()
                if messages and self._members is not None:
                    self._members.send_all(messages)
            except Exception:
                # Restored or received data must not keep service from returning.
                log.exception("recovery step failed")
            opened = self._stages.stage is RecoveryStage.OPEN
            self.loop.sleep(task, self.loop.now + (OPEN_STEP_PERIOD_S if opened else RECOVERY_STEP_PERIOD_S))

    def step(self) -> list[OutgoingDatagram]:
        """Poll the restore, advance the stage and write the journal; returns messages to peers."""
        self._check_restore()
        self._advance_stage()
        if self._endpoints.restricted and self._host.endpoints_confirmed():
            self._endpoints.lift_restriction()
            self._apply_endpoints()
        if self._journal.open:
            self._write_journal()
        if self._members is None:
            return []
        now = self.loop.now
        detector = self._members.detector
        requests = self._exchange.collect_retries(now)
        return [message for peer, item in requests for message in detector.send_item(now, peer, item)]

    def close(self) -> None:
        """Record a graceful shutdown."""
        self._journal.close()

    def _check_restore(self) -> None:
        """Apply a result of the restore, even after the timeout; without a result, check the timeout."""
        result = self._journal.poll_restore()
        if result is not None:
            self._finish_restore(result)
            return
        timed_out = self.loop.now - self._stages.started_at >= self.settings.restore_timeout_s
        if timed_out and not self.restored:
            log.error("recovery restore timed out", directory=self.settings.directory)
            self._finish_restore(RestoreResult(None))

    def _finish_restore(self, result: RestoreResult) -> None:
        """Apply the restored state: endpoints, if they are to be used, directives, estimates, incarnation."""
        is_list_used = self._journal.finish_restore(result, self._host.endpoint_list_seq())
        state = self._journal.state
        if is_list_used:
            self._apply_endpoints()
            self._host.resume_change_log(state.list_seq)
        self._host.adopt_directives(state.directives.values())
        estimates = state.recent_estimates(self.loop.now)
        if estimates is not None:
            self._host.import_learned_state(LearnedState(classes=estimates.classes), estimates.age_s)
        self._raise_incarnation()
        self._exchange.invalidate()

    def _raise_incarnation(self) -> None:
        """Raise the incarnation above every earlier one of this front end."""
        if self._members is not None:
            self._members.detector.raise_incarnation(self._journal.state.incarnation + 1)

    def _advance_stage(self) -> None:
        stages = self._stages
        previous = stages.stage
        if stages.advance(self.loop.now, self._conditions()) is previous:
            return
        log.warning(
            "recovery stage entered",
            stage=stages.stage.label,
            endpoints_stale=stages.endpoints_stale,
            fleet_outage=stages.fleet_outage,
        )
        service_begins = previous < RecoveryStage.SHORT_READS <= stages.stage
        if service_begins and stages.fleet_outage and self._journal.state.endpoints:
            # Engines that also lost power are cold, but the restored list still has their old start times.
            self._endpoints.mark_restarted(stages.started_at)
            self._apply_endpoints()

    def _conditions(self) -> StartupConditions:
        return StartupConditions(
            restored=self._journal.restored,
            planned_restart=self._journal.planned_restart,
            endpoints_confirmed=self._host.endpoints_confirmed(),
            peer_serving=self._exchange.any_peer_at_stage(self.loop.now, RecoveryStage.OPEN),
            has_peers=self._members is not None,
            directives_agree=not self._exchange.disagreeing_peers,
        )

    def _apply_endpoints(self) -> None:
        self._host.apply_endpoints(self._endpoints.update(self._journal.state))

    def _write_journal(self) -> None:
        """Record values that are polled for changes, and write a checkpoint if the writer needs one."""
        now = self.loop.now
        if self._members is not None:
            incarnation = self._members.detector.incarnation
            if incarnation > self._journal.state.incarnation:
                self._journal.record(IncarnationRecord(incarnation))
        if now - self._estimates_recorded_at >= ESTIMATES_PERIOD_S:
            self._estimates_recorded_at = now
            learned = self._host.export_learned_state()
            self._journal.record(ClassEstimatesRecord(now, learned.classes))
        self._journal.write_checkpoint_if_needed()
