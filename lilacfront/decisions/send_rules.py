"""Rules for forwarding an attempt, checked when it is decided and again before its first byte is sent."""

from __future__ import annotations

from lilacfront.decisions.ordered_keys import OrderedKeys
from lilacfront.decisions.retry_policy import RetryBudget, RetryPolicy
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import Engine, PendingRequest, RouterState


class SendRules:
    """Checks that apply to every attempt."""

    def __init__(
        self,
        state: RouterState,
        retries: RetryPolicy,
        budget: RetryBudget,
        ordered_keys: OrderedKeys,
        slow_start: SlowStart,
    ) -> None:
        self._state = state
        self._retries = retries
        self._budget = budget
        self._ordered_keys = ordered_keys
        self._slow_start = slow_start

    def may_forward(self, request: PendingRequest, engine: Engine) -> bool:
        """Return whether the request's next attempt may be forwarded to this engine now."""
        state = self._state
        if request.is_answered or request.running_attempt() is not None:
            return False
        if state.now_us >= request.deadline_us or engine.is_leaving:
            return False
        if not _is_allowed_on(request, engine):
            return False
        if len(request.attempts) >= state.settings.limits.max_attempts:
            return False
        if not self._retries.may_repeat_on(request, engine.endpoint):
            return False
        if not self._ordered_keys.is_next(request):
            return False
        if request.attempts and not self._budget.allows_retry():
            return False
        if not self._slow_start.is_warming(engine.endpoint):
            return True
        return self._slow_start.has_budget(engine, request.estimate)

    def may_begin(self, request_number: int) -> bool:
        """Return whether the first byte of the request's running attempt may be sent now.

        If the connection took long to open, an attempt that was allowed may not be allowed any more.
        """
        state = self._state
        request = state.requests.get(request_number)
        if request is None or (attempt := request.running_attempt()) is None:
            return False
        if request.is_answered or attempt.is_cancelled:
            return False
        engine = attempt.engine
        if engine.is_leaving or state.now_us >= request.deadline_us:
            return False
        if not self._retries.may_repeat_on(request, engine.endpoint, unstarted=attempt):
            return False
        if self._slow_start.is_warming(engine.endpoint) and state.now_us > attempt.sent_us:
            # An attempt delayed into the next window would add to the attempts decided in that window.
            return self._slow_start.recharge(engine, request.estimate, attempt)
        return True


def _is_allowed_on(request: PendingRequest, engine: Engine) -> bool:
    """Return whether the request's class may run in the engine's zone and on its machine type."""
    spec, endpoint = request.spec, engine.endpoint
    if spec.allowed_zones is not None and endpoint.zone not in spec.allowed_zones:
        return False
    return spec.allowed_machine_types is None or endpoint.machine_type in spec.allowed_machine_types
