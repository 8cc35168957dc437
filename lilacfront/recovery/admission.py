"""Admission control during recovery: by stage, with a Retry-After time in each rejection."""

from __future__ import annotations

from lilacfront.core.hooks import AdmissionPolicy
from lilacfront.core.model import Failed, FinalAnswer, Rejected, Request
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings import Idempotency, PolicySettings, RequestClass
from lilacfront.logs import Log
from lilacfront.recovery.host import RecoveryHost
from lilacfront.recovery.journal import RecoveryJournal
from lilacfront.recovery.records import LoadFinishedRecord, LoadStartedRecord
from lilacfront.recovery.retry_after import RetryAfterScheduler, warm_up_curve
from lilacfront.recovery.startup_stages import RecoveryStage, StartupStages, admission_stages
from lilacfront.sched import Loop

log = Log(__name__)
MAY_HAVE_RUN_DETAIL = b"it was out when this front end was lost, and may have run"  # answer to clients
_US_PER_S = 1e6
_MS_PER_S = 1000


def _priority_density(request_class: RequestClass) -> float:
    """Priority weight of a class per unit of its thread time."""
    return request_class.priority_weight / max(1, request_class.latency_objective_us * request_class.threads)


class RecoveryAdmission(AdmissionPolicy):
    """Admits requests during a recovery.

    Requests whose stage has not begun or that exceed the capacity are rejected with a Retry-After time. Loads
    that may have run before a power loss fail, also after the recovery.
    """

    def __init__(
        self,
        loop: Loop,
        policy: PolicySettings,
        router: RequestRouter,
        journal: RecoveryJournal,
        stages: StartupStages,
        host: RecoveryHost,
        seed: int,
    ) -> None:
        self._classes = policy.classes
        self._loop = loop
        self._router = router
        self._journal = journal
        self._stages = stages
        self._host = host
        self._admission_stages = admission_stages(policy.classes)
        rules = policy.rules
        self._warm_up = warm_up_curve(
            rules.cold_capacity_fraction, rules.warm_up_us / _US_PER_S, stages.started_at
        )
        top_priority_class = max(
            range(len(self._classes)), key=lambda index: _priority_density(self._classes[index])
        )
        limits = policy.limits
        max_retry_after_s = limits.max_retry_after_us / _US_PER_S if limits.may_send_retry_after else 0.0
        self._retry_after = RetryAfterScheduler(
            self._capacity_at, top_priority_class, max_retry_after_s, seed
        )

    def admission_answer(self, request: Request) -> FinalAnswer | None:
        """Final answer to a request that is rejected now or must not be sent again; None to admit it."""
        now = self._loop.now
        class_index = request.class_index
        is_load = self._classes[class_index].idempotency is Idempotency.NOT_IDEMPOTENT
        if is_load and self._journal.state.may_have_run(request.call_id, now):
            log.warning("load rejected, may have run before power loss", call=request.call_id)
            return Failed(detail=MAY_HAVE_RUN_DETAIL)
        stage = self._stages.stage
        if stage is RecoveryStage.OPEN:
            return None
        cost = self._thread_time_s(class_index)
        if stage >= self._admission_stages[class_index] and self._retry_after.admit(
            now, request.call_id, class_index, cost
        ):
            return None
        return Rejected(self._schedule_ms(request, cost))

    def retry_after_ms(self, request: Request, proposed_ms: int) -> int:
        """Retry-After of a rejection by the request router.

        Returns `proposed_ms` after the recovery, or if Retry-After is disabled.
        """
        if self._stages.stage is RecoveryStage.OPEN or self._retry_after.max_retry_after_s <= 0:
            return proposed_ms
        return self._schedule_ms(request, self._thread_time_s(request.class_index))

    def load_forwarded(self, request: Request) -> None:
        """Record that a load is about to be sent to an engine."""
        self._journal.record(LoadStartedRecord(request.call_id, self._loop.now))

    def load_answered(self, request: Request) -> None:
        """Record that a load has its final answer."""
        started_at = self._journal.state.started_loads.get(request.call_id)
        if started_at is not None and started_at < self._stages.started_at:
            return  # an attempt from before the power loss may still be running
        self._journal.record(LoadFinishedRecord(request.call_id))

    def _schedule_ms(self, request: Request, cost: float) -> int:
        now = self._loop.now
        class_index = request.class_index
        earliest = self._stages.earliest_start(self._admission_stages[class_index], now)
        wait_s = self._retry_after.schedule(now, request.call_id, class_index, cost, earliest)
        return round(_MS_PER_S * wait_s)

    def _thread_time_s(self, class_index: int) -> float:
        """Estimated thread-seconds that a request of the class takes."""
        estimate = self._router.state.class_estimates[class_index]
        threads = self._classes[class_index].threads
        return (estimate.uncontended_run_time_us or estimate.run_time_us) / _US_PER_S * threads

    def _capacity_at(self, at: float) -> float:
        """Thread-seconds per second that this front end may use at the time `at`."""
        fraction = self._warm_up(at) if self._stages.fleet_outage else 1.0
        return self._host.ready_cores() * fraction / max(1, self._host.gateway_count())
