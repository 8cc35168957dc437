"""Timers of the router; one task runs them."""

from __future__ import annotations

import heapq
import math

from lilacfront.sched import Interrupted, Loop, Task

MAX_WAIT_S = 1.0
ROUNDING_S = 1e-6  # timers use whole microseconds, the loop's clock is finer


class Timers:
    """Priority queue of timer tokens, ordered by due time in microseconds of the loop's clock."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._heap: list[tuple[int, int]] = []
        self._task: Task | None = None

    def set(self, due_us: int, token: int) -> None:
        """Add a timer; if it is now the earliest, wake the task that runs timers."""
        is_first = not self._heap or due_us < self._heap[0][0]
        heapq.heappush(self._heap, (due_us, token))
        if is_first:
            self.wake()

    def pop_due(self, now_us: int) -> int | None:
        """Remove the earliest due timer and return its token; return None if no timer is due."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[1]

    def next_due(self) -> float:
        """Return the due time of the earliest timer, in seconds of the loop's clock; infinity if none."""
        return self._heap[0][0] / 1e6 if self._heap else math.inf

    def attach(self, task: Task) -> None:
        """Set the task to wake when an earlier timer is set."""
        self._task = task

    def wake(self) -> None:
        """Wake the task that runs timers, because something is due before the time it waits for."""
        if self._task is not None:
            self._task.wake(None)

    def wait(self, task: Task, due_at: float) -> bool:
        """Wait until `due_at` or a wake-up; return False once the task is interrupted."""
        until = min(due_at + ROUNDING_S, self._loop.now + MAX_WAIT_S)
        return self._loop.wait(task, until) is not Interrupted
