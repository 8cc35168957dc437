"""Retry policy by the idempotency of requests, and the retry budget."""

from __future__ import annotations

import math
from collections import deque

from lilacfront.decisions.events import AttemptResult, Endpoint
from lilacfront.decisions.settings import DeduplicationScope, Idempotency
from lilacfront.decisions.state import Attempt, PendingRequest, RouterState

MAX_FAILING_ENGINES = 3  # engines that fail a request before the request counts as the cause
CLOCK_MARGIN_TICKS = 2  # clock ticks at the end of a deduplication window reserved for network delay


class RetryPolicy:
    """Decides which retries the idempotency of a request permits."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def window_left_us(self, request: PendingRequest, unstarted: Attempt | None = None) -> float:
        """Return how long the request may still be repeated: infinity, 0, or the rest of its window.

        The deduplication window starts with the first attempt that may have run. `unstarted` is an attempt
        whose first byte has not been sent yet.
        """
        ran = [attempt for attempt in request.attempts_that_may_have_run() if attempt is not unstarted]
        spec = request.spec
        if not ran or spec.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if spec.idempotency is Idempotency.NOT_IDEMPOTENT:
            return 0.0
        margin_us = CLOCK_MARGIN_TICKS * self._state.settings.clock_tick_us
        return ran[0].sent_us + spec.deduplication_window_us - self._state.now_us - margin_us

    def may_repeat_on(
        self, request: PendingRequest, endpoint: Endpoint, unstarted: Attempt | None = None
    ) -> bool:
        """Return whether the request may be sent to this engine although earlier attempts may have run."""
        if not request.attempts:
            return True
        ran = [attempt for attempt in request.attempts_that_may_have_run() if attempt is not unstarted]
        if not ran:
            return True
        if request.spec.idempotency is Idempotency.IDEMPOTENT_BY_KEY:
            scope = request.spec.deduplication_scope
            if scope is DeduplicationScope.ZONE and any(a.zone != endpoint.zone for a in ran):
                return False
            if scope is DeduplicationScope.CELL and any(a.cell != endpoint.cell for a in ran):
                return False
        return self.window_left_us(request, unstarted) > 0

    def may_reject(self, request: PendingRequest) -> bool:
        """Return whether the request may be rejected: the client may safely retry it on any engine."""
        spec = request.spec
        is_harmless_anywhere = (
            spec.idempotency is Idempotency.IDEMPOTENT or spec.deduplication_scope is DeduplicationScope.ALL
        )
        if not is_harmless_anywhere and request.attempts_that_may_have_run():
            return False
        return self.window_left_us(request) > 0

    @staticmethod
    def is_request_at_fault(request: PendingRequest) -> bool:
        """Return whether so many engines failed the request that it counts as the cause of the errors."""
        failed = {attempt.engine for attempt in request.attempts if attempt.result is AttemptResult.ERROR}
        return len(failed) >= MAX_FAILING_ENGINES


class RetryBudget:
    """Limits retries to a minimum plus a ratio of the requests within a sliding window."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._request_times_us: deque[int] = deque()
        self._retry_times_us: deque[int] = deque()

    def record_request(self) -> None:
        """Count a received request."""
        if self._state.settings.rules.retry_budget_window_us is not None:
            self._request_times_us.append(self._state.now_us)

    def record_retry(self) -> None:
        """Count an attempt other than the first of its request."""
        if self._state.settings.rules.retry_budget_window_us is not None:
            self._retry_times_us.append(self._state.now_us)

    def allows_retry(self, fraction: float = 1.0) -> bool:
        """Return whether one more retry fits within this fraction of the budget."""
        rules, now_us = self._state.settings.rules, self._state.now_us
        window_us = rules.retry_budget_window_us
        if window_us is None:
            return True
        while self._retry_times_us and self._retry_times_us[0] < now_us - window_us:
            self._retry_times_us.popleft()
        while self._request_times_us and self._request_times_us[0] <= now_us - window_us:
            self._request_times_us.popleft()
        budget = rules.retry_budget_min + rules.retry_budget_ratio * len(self._request_times_us)
        return len(self._retry_times_us) + 1 <= fraction * budget
