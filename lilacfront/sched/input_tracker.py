"""Tracks up to which time the input of a connection has been handled: a close may lie behind the rest."""

from __future__ import annotations

import math

from lilacfront.sched.loop import SMALL_READ_BYTES, Loop, Task
from lilacfront.sched.socket_state import PeerState

# Unhandled input counts as a possible close when it may be older than this: half of the time for which
# requests may still be sent on after a close.
MAX_UNHANDLED_INPUT_S = 0.05
# After this many bytes without a pause, the peer's system may hold more, and the peer's close behind them.
# They arrive within a few polls once the receive buffer is empty.
BULK_INPUT_BYTES = SMALL_READ_BYTES
POLLS_AFTER_BULK = 3
CHECK_INTERVAL_S = 0.05


class InputTracker:
    """What is known of the input of one connection.

    While the receive buffer is full, the peer's close waits on the peer's side, so no system call can show
    it. It is ruled out only by reading all input, and finding that no more follows.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._is_examined = False  # all that was read is handled, or known to hold no cancellation
        self._is_polled = False  # a task waits for input
        self._has_event = False  # there is input that the task has not been resumed for
        # The input up to this time has been handled; that of a new connection may have waited for its accept.
        self._handled_until = -math.inf
        self._empty_at = -math.inf  # when the receive buffer was last seen empty
        self._bytes_without_pause = 0
        self._settled_after_poll = 0
        self._waiters: list[tuple[Task, int]] = []

    @property
    def _is_settling(self) -> bool:
        """Whether so much was read just before that the peer's system may hold more."""
        is_bulk = self._bytes_without_pause >= BULK_INPUT_BYTES
        return is_bulk and self._loop.poll_count < self._settled_after_poll

    def count(self, size: int) -> None:
        """Record that bytes were read."""
        self._bytes_without_pause += size
        self._is_examined = False

    def record_empty(self) -> None:
        """Record that the receive buffer is empty now."""
        self._empty_at = self._loop.read_clock()

    def record_examined(self) -> None:
        """Record that all bytes that were read are handled, or known to hold no cancellation."""
        self._is_examined = True
        self._settled_after_poll = self._loop.poll_count + POLLS_AFTER_BULK
        if not self._is_settling:
            self._handled_until = max(self._handled_until, self._empty_at)
        for waiter, ticket in self._waiters:
            waiter.wake(None, ticket)
        self._waiters.clear()

    def begin_wait(self) -> None:
        """Record that all bytes that were read are handled, and that a task waits for more."""
        self._is_polled = True
        self.record_examined()

    def record_event(self) -> None:
        """Record that poll reports input for the waiting task."""
        if self._has_event:
            return
        self._has_event = True
        if not self._is_settling:
            self._bytes_without_pause = 0
            self._handled_until = max(self._handled_until, self._loop.previous_poll_at)

    def end_wait(self) -> None:
        """Record that the waiting task runs again."""
        self._is_polled = False
        self._has_event = False

    def peer_state(self, next_input: PeerState) -> PeerState:
        """Return the state of the peer.

        Args:
            next_input: What a peek at the input shows; see `socket_state.next_input`.
        """
        if next_input is PeerState.CLOSED:
            return next_input
        if self._is_examined and not self._has_event:
            if self._is_settling:
                return PeerState.UNREAD
            if self._is_polled:
                self._handled_until = max(self._handled_until, self._loop.polled_at)
            if next_input is PeerState.OPEN:
                return next_input
        is_recent = self._loop.read_clock() - self._handled_until <= MAX_UNHANDLED_INPUT_S
        return PeerState.OPEN if is_recent else PeerState.UNREAD

    def wait(self, task: Task, until: float) -> None:
        """Wait until more has been handled, for a short time, or until a time in seconds."""
        if self._is_examined and self._is_settling:
            self._loop.yield_turn(task)
            return
        check_at = min(until, self._loop.now + CHECK_INTERVAL_S)
        self._loop.wait(task, check_at, lambda ticket: self._waiters.append((task, ticket)))
