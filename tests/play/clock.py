"""A clock and a poll object that the test controls."""

from __future__ import annotations

import select
from collections.abc import Callable

START_TIME_S = 1_000_000_000.0


class Clock:
    """A clock that moves only when the test sets `now`, in seconds."""

    def __init__(self) -> None:
        self.now = START_TIME_S

    def __call__(self) -> float:
        return self.now


class ControlledPoll:
    """A wrapper of the event loop's poll object.

    It can delay the completion of connects until the test calls `release`, and run a callback right after the
    next poll.

    Attributes:
        poll_object: The wrapped poll object.
        delays_connects: Whether the events of new connects are delayed.
        delayed_descriptors: The descriptors whose events are not reported.
        after_next_poll: Called once, after the next poll.
    """

    def __init__(self, poll_object: select.poll) -> None:
        self.poll_object = poll_object
        self.delays_connects = False
        self.delayed_descriptors: set[int] = set()
        self.after_next_poll: Callable[[], None] | None = None

    def register(self, descriptor: int, mask: int) -> None:
        """Register a descriptor; with `delays_connects`, the events of a connecting one are delayed."""
        if self.delays_connects and mask == select.POLLOUT:
            self.delayed_descriptors.add(descriptor)
        self.poll_object.register(descriptor, mask)

    def unregister(self, descriptor: int) -> None:
        """Unregister a descriptor."""
        self.delayed_descriptors.discard(descriptor)
        self.poll_object.unregister(descriptor)

    def release(self) -> None:
        """Report the events of all descriptors from now on."""
        self.delays_connects = False
        self.delayed_descriptors.clear()

    def poll(self, timeout_ms: int) -> list[tuple[int, int]]:
        """Poll, leave out the events of delayed descriptors, and call `after_next_poll` if it is set."""
        events = [
            event for event in self.poll_object.poll(timeout_ms) if event[0] not in self.delayed_descriptors
        ]
        callback = self.after_next_poll
        self.after_next_poll = None
        if callback is not None:
            callback()
        return events
