"""Outlier ejection: engines that fail more often than others get no requests for a while, then a trial."""

from __future__ import annotations

from lilacfront.decisions.events import AttemptResult
from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.state import STEP_INTERVAL_US, Attempt, Engine, PendingRequest, RouterState
from lilacfront.membership.outlier_gossip import OutlierReason

MAX_ERROR_RATE = 0.3  # excess over the mean error rate of the other engines above which an engine is ejected
MIN_ERROR_WEIGHT = 0.2  # smoothing weight of one response; two errors in a row exceed MAX_ERROR_RATE
MAX_ERROR_WEIGHT = 0.5  # at this weight one error exceeds MAX_ERROR_RATE
ERROR_WINDOW_US = 5_000_000  # the weight of a response is the interval between responses, divided by this
MIN_EJECTION_US = 500_000
MAX_EJECTION_US = 4_000_000
MAX_EJECTED_FRACTION = 0.5  # of all engines; above it, ejected engines are used as a last resort
MAX_EJECTED_FRACTION_POOLED = 0.75


class OutlierEjection:
    """Tracks the error rates of the engines and ejects outliers."""

    def __init__(self, state: RouterState, loads: LoadView) -> None:
        self._state = state
        self._loads = loads

    def record_result(self, request: PendingRequest, attempt: Attempt) -> None:
        """Update the health of an attempt's engine from the result of the attempt."""
        match attempt.result:
            case AttemptResult.OK:
                self._record_success(request, attempt.engine)
            case AttemptResult.ERROR | AttemptResult.REJECTED | AttemptResult.RESET:
                self._record_failure(request, attempt)
            case AttemptResult.CONNECT_FAILED:
                self.eject(attempt.engine, self._min_ejection_us(), OutlierReason.UNREACHABLE)

    def eject(
        self,
        engine: Engine,
        min_ejection_us: int = MIN_EJECTION_US,
        reason: OutlierReason = OutlierReason.FAILING,
    ) -> None:
        """Eject an engine; each failed trial doubles the ejection time, up to a maximum.

        Args:
            engine: The engine.
            min_ejection_us: Duration of the first ejection.
            reason: Reason that is sent to other gateways.
        """
        state = self._state
        if state.now_us >= engine.ejected_until_us:
            max_ejection_us = MAX_EJECTION_US // MIN_EJECTION_US * min_ejection_us
            engine.ejection_us = min(max_ejection_us, max(min_ejection_us, 2 * engine.ejection_us))
        engine.ejected_until_us = state.now_us + engine.ejection_us
        state.ejected_engines.add(engine.number)
        state.outlier_gossip.record_failure(engine.number, reason, state.now_us)

    def are_too_many_ejected(self, engine_count: int) -> bool:
        """Return whether so many engines are ejected that ejected ones are used as a last resort."""
        fraction = MAX_EJECTED_FRACTION_POOLED if self._state.is_pooled else MAX_EJECTED_FRACTION
        return len(self._state.ejected_engines) > fraction * engine_count

    def _record_success(self, request: PendingRequest, engine: Engine) -> None:
        self._state.outlier_gossip.record_success(engine.number, self._state.now_us)
        self._reduce_error_rate(engine, engine.error_rate * self._error_weight())
        if not request.is_failure_attributed_to_request:
            return
        # This engine served the request, so the errors on the other engines were not the request's fault.
        failed = [a.engine for a in request.attempts if a.result is AttemptResult.ERROR]
        for other in dict.fromkeys(failed):
            self._raise_error_rate(other, self._error_weight())

    def _record_failure(self, request: PendingRequest, attempt: Attempt) -> None:
        """Count a failed attempt in the error rate of its engine.

        Fast failures make an engine look idle, so it would attract more and more requests. A request that
        fails on every engine does not count against them. Attempts that end with the same broken connection
        count once.
        """
        engine, result, now_us = attempt.engine, attempt.result, self._state.now_us
        is_reset = result is AttemptResult.RESET
        is_same_connection = is_reset and now_us < engine.last_reset_us + STEP_INTERVAL_US
        if is_reset:
            engine.last_reset_us = now_us
        if is_same_connection:
            return
        earlier = _other_failed_engine(request, attempt)
        if earlier is None or result is AttemptResult.REJECTED:
            is_error = result is AttemptResult.ERROR
            self._raise_error_rate(engine, self._error_weight() if is_error else MIN_ERROR_WEIGHT)
        else:
            self._record_repeated_failure(request, engine, earlier, is_reset)

    def _record_repeated_failure(
        self, request: PendingRequest, engine: Engine, earlier: Engine, is_reset: bool
    ) -> None:
        """Attribute the failure of a request that failed on two engines to the request or to the engines."""
        weight = MIN_ERROR_WEIGHT if is_reset else self._error_weight()
        earlier_rate = max(0.0, earlier.error_rate - weight) / (1.0 - weight)
        if max(earlier_rate, engine.error_rate) > MAX_ERROR_RATE:
            self._raise_error_rate(engine, weight)  # other requests failed on one of them as well
        elif not request.is_failure_attributed_to_request:
            self._reduce_error_rate(earlier, earlier.error_rate - earlier_rate)
            request.is_failure_attributed_to_request = True

    def _error_weight(self) -> float:
        """Return the weight of one response in the error rate: rarer responses weigh more."""
        interval_us = self._loads.send_interval_us()
        return max(MIN_ERROR_WEIGHT, min(MAX_ERROR_WEIGHT, interval_us / ERROR_WINDOW_US))

    def _min_ejection_us(self) -> int:
        """Return the duration of a first ejection, at least the interval between requests to one engine."""
        return max(MIN_EJECTION_US, self._loads.send_interval_us())

    def _raise_error_rate(self, engine: Engine, weight: float) -> None:
        """Raise the engine's error rate; eject the engine if its rate is well above that of the others."""
        engine.error_rate += weight * (1.0 - engine.error_rate)
        others = [other.error_rate for other in self._state.ready_engines if other is not engine]
        if engine.error_rate > MAX_ERROR_RATE + (sum(others) / len(others) if others else 0.0):
            self.eject(engine, self._min_ejection_us())

    def _reduce_error_rate(self, engine: Engine, amount: float) -> None:
        """Lower the engine's error rate; end its ejection at MAX_ERROR_RATE or below."""
        engine.error_rate = max(0.0, engine.error_rate - amount)
        if engine.error_rate <= MAX_ERROR_RATE:
            engine.ejected_until_us = 0
            engine.ejection_us = 0
            self._state.ejected_engines.discard(engine.number)


def _other_failed_engine(request: PendingRequest, attempt: Attempt) -> Engine | None:
    """Return the first other engine on which the request failed; None if there is none."""
    for other in request.attempts:
        if other.result in (AttemptResult.ERROR, AttemptResult.RESET) and other.engine is not attempt.engine:
            return other.engine
    return None
