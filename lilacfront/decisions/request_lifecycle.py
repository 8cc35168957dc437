"""Start and end of attempts, and the single final answer of each request."""

from __future__ import annotations

from lilacfront.decisions.actions import CancelAttempt, Fail, Forward, Reject, SetRequestTerms
from lilacfront.decisions.ordered_keys import OrderedKeys
from lilacfront.decisions.pooled_limit import PooledLimit
from lilacfront.decisions.retry_policy import RetryBudget, RetryPolicy
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import Attempt, Engine, PendingRequest, RouterState

MAX_PRIORITY = 3
MIN_PRIORITY = 1


class RequestLifecycle:
    """Starts and ends attempts and requests, and updates the limits, budgets and queues."""

    def __init__(
        self,
        state: RouterState,
        pooled_limit: PooledLimit,
        slow_start: SlowStart,
        ordered_keys: OrderedKeys,
        retries: RetryPolicy,
        budget: RetryBudget,
    ) -> None:
        self._state = state
        self._pooled_limit = pooled_limit
        self._slow_start = slow_start
        self._ordered_keys = ordered_keys
        self._retries = retries
        self._budget = budget

    def forward(self, request: PendingRequest, engine: Engine) -> None:
        """Send the request's next attempt to the engine."""
        state = self._state
        if request.attempts:
            self._budget.record_retry()
        now_us, endpoint = state.now_us, engine.endpoint
        attempt = Attempt(len(request.attempts), engine, now_us, endpoint.zone, endpoint.cell, now_us)
        request.attempts.append(attempt)
        number = request.received.request
        engine.attempts[number, attempt.number] = (request, attempt)
        self._pooled_limit.accrue_credit()
        state.outlier_gossip.record_trial(engine.number, now_us)
        engine.concurrency.acquire(request.spec.threads)
        self._pooled_limit.concurrency.acquire(request.spec.threads)
        state.active_engines[engine.number] = engine
        if len(engine.attempts) == 1:
            engine.last_response_us = now_us
        if self._slow_start.is_warming(endpoint):
            self._slow_start.charge(engine, request.estimate, attempt)
        if state.settings.sets_priorities:
            state.actions.append(SetRequestTerms(number, 0.0, self._priority(request)))
        state.actions.append(Forward(number, engine.number, request.deadline_us))

    def release(self, request: PendingRequest, attempt: Attempt) -> None:
        """Release the threads of an ended attempt."""
        engine = attempt.engine
        self._pooled_limit.accrue_credit()
        del engine.attempts[request.received.request, attempt.number]
        engine.concurrency.release(request.spec.threads)
        self._pooled_limit.concurrency.release(request.spec.threads)
        if not engine.attempts:
            del self._state.active_engines[engine.number]

    def answer(self, request: PendingRequest) -> None:
        """Give the final answer to a request without a result.

        The answer is `Reject` if a retry is safe and the deadline has not passed, else `Fail`.
        """
        if request.is_answered:
            return
        state, number = self._state, request.received.request
        if self._retries.may_reject(request) and state.now_us < request.deadline_us:
            state.actions.append(Reject(number, self._retry_after_us(request)))
        else:
            state.actions.append(Fail(number))
        self.close(request)

    def close(self, request: PendingRequest) -> None:
        """Mark the request as answered, cancel its running attempt unless it streams, and remove the request.

        If the attempt still runs, the request is removed when the attempt ends.
        """
        request.is_answered = True
        attempt = request.running_attempt()
        if attempt is not None and not attempt.is_streaming:
            self.cancel(request, attempt)
        self._remove(request)

    def cancel(self, request: PendingRequest, attempt: Attempt) -> None:
        """Cancel a running attempt if the policy permits it."""
        if self._state.settings.limits.may_cancel and not attempt.is_cancelled:
            attempt.is_cancelled = True
            self._state.actions.append(CancelAttempt(request.received.request, attempt.number))

    def _remove(self, request: PendingRequest) -> None:
        """Remove the request unless one of its attempts still runs."""
        if request.running_attempt() is not None:
            return
        if self._state.requests.pop(request.received.request, None) is not None:
            self._ordered_keys.remove(request)

    def _retry_after_us(self, request: PendingRequest) -> int:
        limits = self._state.settings.limits
        max_us = limits.max_retry_after_us if limits.may_send_retry_after else 0
        return min(max_us, int(request.estimate.run_time_us))

    def _priority(self, request: PendingRequest) -> int:
        """Return the priority on the engine: MAX_PRIORITY for the class of the highest value density.

        Each denser class lowers the priority by one, down to MIN_PRIORITY.
        """
        density = request.spec.priority_weight / request.estimate.work_us
        denser = sum(e.spec.priority_weight / e.work_us > density for e in self._state.class_estimates)
        return max(MIN_PRIORITY, MAX_PRIORITY - denser)
