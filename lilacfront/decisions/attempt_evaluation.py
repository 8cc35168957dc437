"""Updates class estimates, engine load, engine health and limits from the results of attempts."""

from __future__ import annotations

from lilacfront.decisions.attempt_monitor import AttemptMonitor
from lilacfront.decisions.estimates import OVERDUE_FACTOR, TARGET_OBJECTIVE_FRACTION
from lilacfront.decisions.events import AttemptEnded, AttemptResult
from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.outlier_ejection import OutlierEjection
from lilacfront.decisions.pooled_limit import PooledLimit
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import Attempt, Engine, PendingRequest, RouterState

IDLE_CPU_UTILIZATION = 0.7  # below this CPU utilization, latency is not attributed to overload
INITIAL_RATIO = 1.0
ENDED_BEFORE_RESPONSE = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
ANSWERED_BY_ENGINE = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED)


class AttemptEvaluation:
    """Passes the result of each attempt to the modules that learn from it."""

    def __init__(
        self,
        state: RouterState,
        loads: LoadView,
        pooled_limit: PooledLimit,
        slow_start: SlowStart,
        outliers: OutlierEjection,
        monitor: AttemptMonitor,
    ) -> None:
        self._state = state
        self._loads = loads
        self._pooled_limit = pooled_limit
        self._slow_start = slow_start
        self._outliers = outliers
        self._monitor = monitor

    def record(self, request: PendingRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Record an attempt that has just ended."""
        # At least 1 us: a response within one clock tick must not make the work of its class zero.
        duration_us = max(1, self._state.now_us - attempt.sent_us)
        likely_us = request.likely_run_time_us()
        engine, result = attempt.engine, event.result
        has_load = self._loads.record_report(engine, event.report)
        if not has_load and result in ENDED_BEFORE_RESPONSE and duration_us > likely_us:
            self._loads.record_slow_attempt(engine, duration_us, likely_us)
        if result in ANSWERED_BY_ENGINE:
            engine.last_response_us = self._state.now_us
        if result is AttemptResult.OK:
            if request.was_rescheduled and duration_us <= OVERDUE_FACTOR * likely_us:
                self._monitor.earn_tokens(1.0)
            request.estimate.add_sample(duration_us, event.work_us)
        self._outliers.record_result(request, attempt)
        self._update_limits(request, engine, event, duration_us)

    def _update_limits(
        self, request: PendingRequest, engine: Engine, event: AttemptEnded, duration_us: int
    ) -> None:
        """Update the limit of the engine and the pooled limit from the latency of the attempt.

        Only successful attempts count, and attempts that timed out or were cancelled at a latency ratio above
        both the engine's smoothed ratio and INITIAL_RATIO.
        """
        ratio = self._latency_ratio(request, engine, event, duration_us)
        concurrency, threads = engine.concurrency, request.spec.threads
        if event.result in ENDED_BEFORE_RESPONSE:
            if ratio <= max(concurrency.latency_ratio, INITIAL_RATIO):
                return
        elif event.result is not AttemptResult.OK:
            return
        concurrency.update(
            ratio,
            threads,
            initial_ratio=INITIAL_RATIO if concurrency.has_ratio else self._mean_ratio(),
            min_limit=self._state.max_class_threads,
        )
        self._pooled_limit.update(ratio, threads)

    def _latency_ratio(
        self, request: PendingRequest, engine: Engine, event: AttemptEnded, duration_us: int
    ) -> float:
        """Return the ratio of observed to target latency, corrected for slowness that is not overload.

        A warming engine is slow without being overloaded, and so may be an engine with low CPU utilization.
        """
        work_us = event.work_us or request.received.estimated_work_us
        ratio = duration_us / request.latency_objective_us(work_us) / TARGET_OBJECTIVE_FRACTION
        if not self._state.is_pooled:
            ratio *= self._slow_start.capacity_fraction(engine)
        report = event.report
        if report is None or report.cpu_utilization is None:
            return ratio
        return min(ratio, 1.0) if report.cpu_utilization < IDLE_CPU_UTILIZATION else ratio

    def _mean_ratio(self) -> float:
        """Return the mean smoothed ratio of the ready engines, as the initial ratio of another engine."""
        known = [
            engine.concurrency.latency_ratio
            for engine in self._state.ready_engines
            if engine.concurrency.has_ratio
        ]
        return sum(known) / len(known) if known else INITIAL_RATIO
