"""Ordered keys: requests of one ordering key run one at a time, in the order in which they were received."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass

from lilacfront.decisions.events import AttemptResult
from lilacfront.decisions.state import PendingRequest, RouterState

MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


@dataclass(slots=True, frozen=True)
class Gap:
    """The time after an attempt that may still run, in which only its own request may be sent.

    Attributes:
        end_us: The last microsecond of the gap.
        request: Number of the request.
    """

    end_us: int
    request: int


class OrderedKeys:
    """Queues of requests by ordering key, and the gaps after attempts that may still run.

    A key has an entry only while it has a request or a gap.
    """

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._queues: dict[int, deque[int]] = {}  # by key: numbers of its requests, as received
        self._gaps: dict[int, Gap] = {}  # by key, in the order in which the gaps end
        self._holds: Counter[int] = Counter()  # by key: unfinished earlier requests at another process

    def add(self, request: PendingRequest) -> None:
        """Append a received request to the queue of its key."""
        if key := request.ordering_key:
            self._queues.setdefault(key, deque()).append(request.received.request)

    def remove(self, request: PendingRequest) -> None:
        """Remove a request from the queue of its key, so that the next one may run."""
        if key := request.ordering_key:
            self._queues[key].remove(request.received.request)
            if not self._queues[key]:
                del self._queues[key]

    def hold(self, key: int) -> None:
        """Hold back the requests of a key that have no attempt yet; a key of 0 stands for no key.

        Another process of the same front end serves an earlier request of the key.
        """
        if key:
            self._holds[key] += 1

    def release(self, key: int) -> None:
        """End one hold of a key."""
        if key:
            self._holds[key] -= 1
            if not self._holds[key]:
                del self._holds[key]

    def in_use(self) -> set[int]:
        """Return the keys with requests, holds or gaps."""
        self._remove_ended_gaps()
        return {*self._queues, *self._holds, *self._gaps}

    def is_next(self, request: PendingRequest) -> bool:
        """Return whether the request is the first of its key, without a hold or a gap after another one."""
        key, number = request.ordering_key, request.received.request
        if not key:
            return True
        if self._queues[key][0] != number or (key in self._holds and not request.attempts):
            return False
        gap = self._gaps.get(key)
        return gap is None or gap.request == number or self._state.now_us > gap.end_us

    def record_end(self, request: PendingRequest, result: AttemptResult) -> None:
        """Start a gap if an ended attempt may still run on its engine."""
        if (key := request.ordering_key) and result in MAY_STILL_RUN:
            self._remove_ended_gaps()
            self._gaps.pop(key, None)  # the new gap is the last to end
            end_us = self._state.now_us + self._state.settings.rules.ordering_gap_us
            self._gaps[key] = Gap(end_us, request.received.request)

    def _remove_ended_gaps(self) -> None:
        """Remove the gaps that have ended; all gaps have the same length."""
        while self._gaps:
            key, gap = next(iter(self._gaps.items()))
            if self._state.now_us <= gap.end_us:
                return
            del self._gaps[key]
