"""State machine of the stages in which service returns after a power loss. No I/O; times are in seconds.

Every stage has a timeout, so that no front end waits forever for another. If the restart was planned (the
store was closed cleanly, or another process still has it locked) or a peer is serving, the engines are warm,
and the stage OPEN follows CONFIRMING.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from lilacfront.decisions.settings import Idempotency, RequestClass
from lilacfront.recovery.settings import RecoverySettings

PEER_WAIT_S: Final = 0.5  # seconds to wait for peers' first messages before assuming a fleet-wide outage


class RecoveryStage(IntEnum):
    """Stages of a start, in their order; the numbers are sent to peers."""

    RESTORING = 0  # the store is being read
    CONFIRMING = 1  # waits until the change log confirms the restored endpoint list
    SHORT_READS = 2  # only short idempotent requests are served
    IDEMPOTENT = 3  # all requests but loads are served
    OPEN = 4  # all requests are served

    @property
    def label(self) -> str:
        """Name of the stage in answers to administrators and in logs."""
        return _LABELS[self]


_LABELS: Final = {
    RecoveryStage.RESTORING: "recalling",
    RecoveryStage.CONFIRMING: "confirming",
    RecoveryStage.SHORT_READS: "reads",
    RecoveryStage.IDEMPOTENT: "reports",
    RecoveryStage.OPEN: "open",
}


@dataclass(slots=True)
class StartupConditions:
    """Inputs of the state machine at one moment.

    Attributes:
        restored: Whether the restore has ended or timed out, successfully or not.
        planned_restart: Whether the journal was closed cleanly, or another process of this front end has the
            store locked.
        endpoints_confirmed: Whether the change log has delivered all its events, or none is used.
        peer_serving: Whether at least one peer is in the stage `OPEN`.
        has_peers: Whether the membership protocol runs, so that there may be peers.
        directives_agree: Whether no peer has a differing replica of this front end's directives.
    """

    restored: bool = False
    planned_restart: bool = False
    endpoints_confirmed: bool = False
    peer_serving: bool = False
    has_peers: bool = False
    directives_agree: bool = True


class StartupStages:
    """The state machine of one start.

    Attributes:
        stage: The current stage.
        stage_since: When the current stage began.
        endpoints_stale: Whether service began before the change log confirmed the endpoint list, and the
            list is still unconfirmed.
        fleet_outage: Whether the engines are assumed to have restarted together with this front end and to
            be cold.
    """

    def __init__(self, settings: RecoverySettings, now: float) -> None:
        self.settings = settings
        self.started_at = now
        self.stage = RecoveryStage.RESTORING
        self.stage_since = now
        self.endpoints_stale = False
        self.fleet_outage = False

    def advance(self, now: float, conditions: StartupConditions) -> RecoveryStage:
        """Enter every stage whose conditions are met; returns the current stage."""
        settings = self.settings
        if self.stage is RecoveryStage.RESTORING and (
            conditions.restored or now - self.started_at >= settings.restore_timeout_s
        ):
            self._enter(RecoveryStage.CONFIRMING, now)
        if self.stage is RecoveryStage.CONFIRMING:
            self._advance_from_confirming(now, conditions)
        if self.stage in (RecoveryStage.SHORT_READS, RecoveryStage.IDEMPOTENT) and conditions.peer_serving:
            self._enter(RecoveryStage.OPEN, now)
        if self.stage is RecoveryStage.SHORT_READS and now - self.stage_since >= settings.short_reads_stage_s:
            self._enter(RecoveryStage.IDEMPOTENT, self.stage_since + settings.short_reads_stage_s)
        if self.stage is RecoveryStage.IDEMPOTENT:
            self._advance_from_idempotent(now, conditions)
        self.endpoints_stale = self.endpoints_stale and not conditions.endpoints_confirmed
        return self.stage

    def earliest_start(self, stage: RecoveryStage, now: float) -> float:
        """Estimated time at which a stage begins, at least `now`."""
        since_first_service = self._since_first_service(self.stage)
        serving = self.stage >= RecoveryStage.SHORT_READS
        first_service = self.stage_since - since_first_service if serving else now
        return max(now, first_service + self._since_first_service(stage))

    def _since_first_service(self, stage: RecoveryStage) -> float:
        """Planned seconds from the beginning of service to the beginning of a stage."""
        settings = self.settings
        if stage is RecoveryStage.IDEMPOTENT:
            return settings.short_reads_stage_s
        if stage is RecoveryStage.OPEN:
            return settings.short_reads_stage_s + settings.idempotent_stage_s
        return 0.0

    def _enter(self, stage: RecoveryStage, now: float) -> None:
        self.stage = stage
        self.stage_since = now

    def _advance_from_confirming(self, now: float, conditions: StartupConditions) -> None:
        timed_out = now - self.stage_since >= self.settings.confirm_timeout_s
        # If only this front end restarted, the first message of a serving peer shows that the fleet is warm.
        peers_known = (
            conditions.planned_restart
            or conditions.peer_serving
            or not conditions.has_peers
            or now - self.started_at >= PEER_WAIT_S
        )
        if timed_out or (conditions.endpoints_confirmed and peers_known):
            self.endpoints_stale = not conditions.endpoints_confirmed
            self.fleet_outage = not (conditions.planned_restart or conditions.peer_serving)
            self._enter(RecoveryStage.SHORT_READS if self.fleet_outage else RecoveryStage.OPEN, now)

    def _advance_from_idempotent(self, now: float, conditions: StartupConditions) -> None:
        # Missing directives may never arrive, so they delay loads only by the length of one more stage.
        stage_count = 1 if conditions.directives_agree else 2
        if now - self.stage_since >= self.settings.idempotent_stage_s * stage_count:
            self._enter(RecoveryStage.OPEN, now)


def _thread_time_us(request_class: RequestClass) -> int:
    return request_class.latency_objective_us * request_class.threads


def admission_stages(classes: tuple[RequestClass, ...]) -> tuple[RecoveryStage, ...]:
    """The first stage that serves each class: the shortest idempotent classes first, loads last."""
    idempotent = (
        request_class for request_class in classes if request_class.idempotency is Idempotency.IDEMPOTENT
    )
    shortest_us = min(map(_thread_time_us, idempotent), default=0)

    def admission_stage(request_class: RequestClass) -> RecoveryStage:
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return RecoveryStage.OPEN
        short = (
            request_class.idempotency is Idempotency.IDEMPOTENT
            and _thread_time_us(request_class) <= shortest_us
        )
        return RecoveryStage.SHORT_READS if short else RecoveryStage.IDEMPOTENT

    return tuple(map(admission_stage, classes))
