"""Keeps the latest start times of queued requests in a heap with lazy deletion."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping

from lilacfront.teams.queued_request import QueuedRequest

MAX_STALE_ENTRIES = 256  # the heap is rebuilt if it has more entries than twice the queued requests plus this


class StartDeadlines:
    """Finds the queued requests whose latest start time has been reached."""

    def __init__(self, requests: Mapping[int, QueuedRequest]) -> None:
        """Use `requests`, all requests that have not ended by number; the caller keeps it up to date."""
        self._requests = requests
        self._heap: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """The number of entries in the heap, including stale ones."""
        return len(self._heap)

    def add(self, request: QueuedRequest, queued_count: int) -> None:
        """Add a request; `queued_count` is the number of other queued requests."""
        heapq.heappush(self._heap, (request.latest_start, request.number))
        if len(self._heap) > 2 * queued_count + MAX_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if self._is_queued(entry[1])]
            heapq.heapify(self._heap)

    def earliest(self) -> float:
        """Returns the first latest start time of all queued requests; infinity if none is queued."""
        while self._heap and not self._is_queued(self._heap[0][1]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop_expired(self, now: float) -> QueuedRequest | None:
        """Remove and return a queued request whose latest start time is reached; None if there is none."""
        while self._heap and self._heap[0][0] <= now:
            request = self._requests.get(heapq.heappop(self._heap)[1])
            if request is not None and request.admitted_at is None and request.latest_start <= now:
                return request
        return None

    def _is_queued(self, number: int) -> bool:
        request = self._requests.get(number)
        return request is not None and request.admitted_at is None
