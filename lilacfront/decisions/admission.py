"""Admission: forwards requests to engines with capacity, queues them for a limited time, or rejects them."""

from __future__ import annotations

from bisect import insort

from lilacfront.decisions.engine_selection import EngineSelection
from lilacfront.decisions.request_lifecycle import RequestLifecycle
from lilacfront.decisions.state import PendingRequest, RouterState
from lilacfront.decisions.tenant_quota import TenantQuotas

MAX_WAIT_FRACTION = 0.35  # fraction of a request's slack (see `set_wait`) that it may wait
MAX_WAITING_PER_CORE = 3  # a longer queue could not be served before the maximum waits end


class Admission:
    """A queue of requests that wait for an engine, in descending order of value density."""

    def __init__(
        self,
        state: RouterState,
        quotas: TenantQuotas,
        selection: EngineSelection,
        lifecycle: RequestLifecycle,
    ) -> None:
        self.waiting: list[PendingRequest] = []
        self._state = state
        self._quotas = quotas
        self._selection = selection
        self._lifecycle = lifecycle

    def prepare(self, request: PendingRequest) -> None:
        """Set the value density of a new request.

        A request over its tenant's quota may not wait, and its value density is reduced.
        """
        state, received, estimate = self._state, request.received, request.estimate
        usual_work_us = estimate.uncontended_work_us if state.is_pooled else estimate.work_us
        work_us = float(received.estimated_work_us or 0) or usual_work_us
        request.value_density = request.spec.priority_weight / max(1.0, work_us)
        if self._quotas.charge(received):
            request.value_density *= state.settings.over_quota_weight
            request.wait_until_us = state.now_us

    def set_wait(self, request: PendingRequest, until_us: int) -> None:
        """Allow the request to wait for a fraction of its slack.

        The slack is the time until `until_us` minus the likely run time.
        """
        now_us = self._state.now_us
        slack_us = max(0.0, until_us - now_us - request.likely_run_time_us())
        request.wait_until_us = now_us + int(MAX_WAIT_FRACTION * slack_us)

    def admit(self, request: PendingRequest) -> None:
        """Forward the request, queue it, or give the final answer if it may not wait."""
        engine = self._selection.select(request)
        if engine is not None:
            self._lifecycle.forward(request, engine)
        elif self._state.now_us >= request.wait_until_us:
            self._lifecycle.answer(request)
        else:
            insort(self.waiting, request, key=lambda other: -other.value_density)
            if len(self.waiting) > MAX_WAITING_PER_CORE * max(1.0, self._state.effective_cores):
                self._lifecycle.answer(self.waiting.pop())

    def dispatch(self, max_misses: int | None = None) -> None:
        """Forward queued requests to engines with capacity; answer those whose wait has ended.

        Args:
            max_misses: Number of requests without an engine after which no engine is sought for the rest;
                None means no limit.
        """
        misses_left = len(self.waiting) if max_misses is None else max_misses
        still_waiting = []
        for request in self.waiting:
            engine = None
            if misses_left > 0 and not request.is_answered:
                engine = self._selection.select(request)
            if engine is not None:
                self._lifecycle.forward(request, engine)
            elif self._state.now_us >= request.wait_until_us:
                self._lifecycle.answer(request)
            elif not request.is_answered:
                still_waiting.append(request)
                misses_left -= 1
        self.waiting = still_waiting
