"""A queue and a one-time event for the communication between tasks."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

from lilacfront.sched.loop import Loop, Task, Wait

T = TypeVar("T")


class Channel(Generic[T]):
    """An unbounded queue of values with a single reader.

    Attributes:
        loop: The loop that the reader's task belongs to.
    """

    __slots__ = ("_items", "_reader", "loop")

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self._items: deque[T] = deque()
        self._reader: Task | None = None

    def put(self, item: T) -> None:
        """Append a value and wake the reader."""
        self._items.append(item)
        if self._reader is not None:
            self._reader.wake(None)

    def get(self, task: Task, until: float) -> T | Wait:
        """Wait for the next value until a time of the loop's clock, in seconds.

        Returns:
            The value, or how the wait ended. An interruption takes precedence over a queued value.
        """
        while task.interrupted or not self._items:
            self._reader = task
            ended = self.loop.wait(task, until)
            self._reader = None
            if isinstance(ended, Wait):
                return ended
        return self._items.popleft()


class OneTimeEvent:
    """An event that occurs once; any number of tasks may wait for it.

    Attributes:
        loop: The loop that the tasks belong to.
        is_set: Whether the event has occurred.
    """

    __slots__ = ("_waiters", "is_set", "loop")

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.is_set = False
        self._waiters: list[Task] = []

    def set(self) -> None:
        """Mark the event as occurred and wake all tasks that wait for it."""
        self.is_set = True
        for task in self._waiters:
            task.wake(None)
        self._waiters.clear()

    def wait(self, task: Task, until: float) -> Wait | None:
        """Wait for the event until a time of the loop's clock, in seconds.

        Returns:
            None once the event has occurred, else how the wait ended.
        """
        while not self.is_set:
            self._waiters.append(task)
            ended = self.loop.wait(task, until)
            if isinstance(ended, Wait):
                self._waiters = [waiter for waiter in self._waiters if waiter is not task]
                return ended
        return None
