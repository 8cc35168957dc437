"""Event queue and clock of the simulation of recovery."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class EventQueue:
    """A priority queue of calls, ordered by time and, at equal times, by the order of scheduling.

    Attributes:
        now: Time in seconds of the call that runs, or that ran last.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count(1)

    def schedule(self, at: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time in seconds."""
        heapq.heappush(self._events, (at, next(self._sequence), call))

    def run(self, until: float) -> None:
        """Run all calls that are scheduled up to a time, inclusive."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
