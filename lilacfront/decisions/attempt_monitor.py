"""Monitoring of running attempts: detects unresponsive engines and retries overdue attempts elsewhere."""

from __future__ import annotations

import math

from lilacfront.decisions.engine_capacity import EngineCapacity
from lilacfront.decisions.estimates import OVERDUE_FACTOR
from lilacfront.decisions.events import AttemptNotification, NotificationKind
from lilacfront.decisions.outlier_ejection import OutlierEjection
from lilacfront.decisions.request_lifecycle import RequestLifecycle
from lilacfront.decisions.retry_policy import RetryBudget, RetryPolicy
from lilacfront.decisions.settings import Idempotency
from lilacfront.decisions.state import Attempt, Engine, PendingRequest, RouterState
from lilacfront.membership.outlier_gossip import OutlierReason

MAX_MISSING_RESPONSES = 6.0  # number of overdue responses at which an engine counts as silent
MAX_MISSING_PER_ATTEMPT = 3.0  # cap for one attempt, which may simply be long
MAX_MISSED_NOTIFICATIONS = 2.5  # notification intervals without a response before an engine counts as silent
RETRY_TIME_FACTOR = 1.5  # time needed before the deadline for a retry, in likely run times
MIN_PROGRESS_FRACTION = 0.02  # progress above which the remaining run time is extrapolated
MIN_PROGRESS_TIME_FACTOR = 0.5  # elapsed time needed for that, in likely run times
RESCHEDULE_TOKENS_PER_REQUEST = 0.01  # enough to find out whether rescheduling helps
MAX_RESCHEDULE_TOKENS = 12.0
MAX_RETRY_BUDGET_FRACTION = 0.5  # the rest of the retry budget is reserved for failed attempts


class AttemptMonitor:
    """Cancels attempts on silent engines and overdue attempts, so that they are retried elsewhere.

    Attributes:
        reschedule_tokens: Number of overdue attempts that may be cancelled. Each new request adds a small
            fraction of a token, and a rescheduled request that ends in time adds a whole one. So rescheduling
            soon stops if all engines are slow.
    """

    def __init__(
        self,
        state: RouterState,
        capacity: EngineCapacity,
        outliers: OutlierEjection,
        retries: RetryPolicy,
        budget: RetryBudget,
        lifecycle: RequestLifecycle,
    ) -> None:
        self.reschedule_tokens = MAX_RESCHEDULE_TOKENS / 2
        self._state = state
        self._capacity = capacity
        self._outliers = outliers
        self._retries = retries
        self._budget = budget
        self._lifecycle = lifecycle

    def earn_tokens(self, tokens: float) -> None:
        """Add tokens for rescheduling overdue attempts."""
        self.reschedule_tokens = min(MAX_RESCHEDULE_TOKENS, self.reschedule_tokens + tokens)

    def record_notification(self, event: AttemptNotification) -> None:
        """Record an engine's notification of a running attempt."""
        found = self._state.find_running(event.request, event.attempt)
        if found is None:
            return
        request, attempt = found
        attempt.engine.last_response_us = self._state.now_us
        if event.kind is NotificationKind.PROGRESS:
            attempt.progress = event.value
            attempt.progress_at_us = self._state.now_us
        elif event.kind is NotificationKind.WAITING_FOR_LOAD:
            self._move_from_blocked_engine(request, attempt)

    def check_active_engines(self) -> None:
        """Eject silent engines, and cancel their attempts and overdue attempts for a retry."""
        for engine in list(self._state.active_engines.values()):
            is_silent = self._is_silent(engine)
            if is_silent:
                self._outliers.eject(engine, reason=OutlierReason.UNRESPONSIVE)
            for request, attempt in list(engine.attempts.values()):
                if is_silent:
                    self.cancel_for_retry(request, attempt)
                elif self._may_reschedule(request, attempt):
                    request.was_rescheduled = self.cancel_for_retry(request, attempt)
                    self.reschedule_tokens -= request.was_rescheduled

    def reset_silence_timers(self) -> None:
        """Restart the silence timers after a stall of this gateway: responses may be waiting to be read."""
        for engine in self._state.engines.values():
            engine.last_response_us = self._state.now_us

    def cancel_for_retry(self, request: PendingRequest, attempt: Attempt) -> bool:
        """Cancel an attempt if a retry is safe, within budget and likely to end before the deadline.

        Returns:
            Whether the attempt was cancelled.
        """
        limits = self._state.settings.limits
        retry_end_us = self._state.now_us + RETRY_TIME_FACTOR * request.likely_run_time_us()
        if request.is_answered or attempt.is_cancelled or attempt.is_streaming:
            return False
        if not self._is_retry_safe(request, retry_end_us) or retry_end_us > request.deadline_us:
            return False
        if not limits.may_cancel or len(request.attempts) >= limits.max_attempts:
            return False
        if self._budget.allows_retry(MAX_RETRY_BUDGET_FRACTION):
            self._lifecycle.cancel(request, attempt)
        return attempt.is_cancelled

    def _is_retry_safe(self, request: PendingRequest, retry_end_us: float) -> bool:
        """Return whether the request may run twice.

        With pooled limits this includes keyed requests within their deduplication window.
        """
        if self._state.is_pooled and request.spec.idempotency is Idempotency.IDEMPOTENT_BY_KEY:
            return retry_end_us < self._state.now_us + self._retries.window_left_us(request)
        return request.is_idempotent

    def _move_from_blocked_engine(self, request: PendingRequest, attempt: Attempt) -> None:
        """Block the table group of an attempt that waits for another client's data load on this engine.

        The block lasts half the likely run time of a data load. The attempt is cancelled if another engine
        has capacity. It has done no work yet, so a retry elsewhere wastes none.
        """
        estimates = self._state.class_estimates
        load_us = max((e.run_time_us for e in estimates if e.spec.is_load), default=0.0)
        engine = attempt.engine
        engine.blocked_until_us[request.received.table_group] = self._state.now_us + int(load_us / 2)
        others = (other for other in self._state.ready_engines if other is not engine)
        if any(self._capacity.has_capacity(other, request) for other in others):
            self.cancel_for_retry(request, attempt)

    def _is_silent(self, engine: Engine) -> bool:
        """Return whether the engine has stopped responding: it hangs, its host stalls or the network is down.

        That is so if responses are expected by the likely run times and none arrives. An overloaded engine is
        slow as well, so the silence must also last several times the shortest likely run time. An engine that
        misses its progress notifications counts as silent, too. An engine whose ejection has not ended is
        not reported as silent again.
        """
        now_us = self._state.now_us
        silence_us = now_us - engine.last_response_us
        missing_responses = 0.0
        shortest_us = math.inf
        for request, attempt in engine.attempts.values():
            likely_us = request.likely_run_time_us()
            missing_responses += min(
                MAX_MISSING_PER_ATTEMPT, min(now_us - attempt.sent_us, silence_us) / likely_us
            )
            shortest_us = min(shortest_us, likely_us)
        is_silent = missing_responses >= MAX_MISSING_RESPONSES and silence_us >= OVERDUE_FACTOR * shortest_us
        interval_us = self._state.settings.notification_interval_us or math.inf
        is_silent = is_silent or silence_us > MAX_MISSED_NOTIFICATIONS * interval_us
        return is_silent and now_us >= engine.ejected_until_us

    def _may_reschedule(self, request: PendingRequest, attempt: Attempt) -> bool:
        """Return whether an attempt is overdue, as with a bad plan or a stuck query, and may be rescheduled.

        A request is rescheduled once at most, and never if limits are pooled: restarts of long requests
        would take capacity from requests that are still in time.
        """
        if self._state.is_pooled or request.was_rescheduled or self.reschedule_tokens < 1.0:
            return False
        likely_us = request.likely_run_time_us()
        return self._remaining_or_elapsed_us(attempt, likely_us) > OVERDUE_FACTOR * likely_us

    def _remaining_or_elapsed_us(self, attempt: Attempt, likely_us: float) -> int:
        """Return the remaining run time extrapolated from the reported progress, else the elapsed time."""
        elapsed_us = self._state.now_us - attempt.sent_us
        if attempt.progress > MIN_PROGRESS_FRACTION and elapsed_us > MIN_PROGRESS_TIME_FACTOR * likely_us:
            return int((attempt.progress_at_us - attempt.sent_us) * (1.0 / attempt.progress - 1.0))
        return elapsed_us
