"""Ordered keys: requests of one ordering key run one at a time, in the order of their arrival."""

from __future__ import annotations

from collections import deque

from lilacfront.decisions.events import AttemptResult
from lilacfront.decisions.state import PendingRequest, RouterState

MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class OrderedKeys:
    """Queues of requests by ordering key, and the gaps after attempts that may still run."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._queues: dict[int, deque[PendingRequest]] = {}
        self._gaps: dict[int, tuple[int, PendingRequest]] = {}  # by key: end of gap, request

    def add(self, request: PendingRequest) -> None:
        """Append a received request to the queue of its key."""
        if key := request.ordering_key:
            self._queues.setdefault(key, deque()).append(request)

    def remove(self, request: PendingRequest) -> None:
        """Remove a request from the queue of its key, so that the next one may run."""
        if key := request.ordering_key:
            self._queues[key].remove(request)
            if not self._queues[key]:
                del self._queues[key]

    def is_next(self, request: PendingRequest) -> bool:
        """Return whether the request is the first of its key and no gap after another request remains."""
        key = request.ordering_key
        if not key:
            return True
        if self._queues[key][0] is not request:
            return False
        gap_end_us, owner = self._gaps.get(key, (0, request))
        return owner is request or self._state.now_us > gap_end_us

    def record_end(self, request: PendingRequest, result: AttemptResult) -> None:
        """Start a gap if an ended attempt may still run on its engine."""
        if (key := request.ordering_key) and result in MAY_STILL_RUN:
            self._gaps[key] = (self._state.now_us + self._state.settings.rules.ordering_gap_us, request)
