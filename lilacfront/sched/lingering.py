"""The wait after the half-close of a connection, until the peer has read everything and closed, too."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

from lilacfront.sched.loop import Loop, Task, Wait
from lilacfront.sched.socket_state import unacknowledged_bytes

# The most bytes that are read and discarded from a peer that keeps sending after the half-close.
MAX_DISCARDED_BYTES = 1 << 20


@dataclass(slots=True, frozen=True)
class RejectedInput:
    """How long the rest of a message that was rejected before its end is read and discarded.

    Many clients read the answer only after they have sent all of the message.

    Attributes:
        max_pause_s: Time without a byte after which the peer counts as done, in seconds.
        until: Time at which the peer is disconnected though it is still sending, in seconds.
    """

    max_pause_s: float
    until: float


class Lingering:
    """Discards the input of a half-closed connection until it can be closed."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        receive: Callable[[Task, float], bytes | Wait | None],
        stalled_at: Callable[[float], float],
    ) -> None:
        """Make a wait that has not begun.

        Args:
            loop: The loop that watches the socket.
            sock: The half-closed socket.
            receive: Reads once until a time in seconds; returns None if nothing was read, and b"" if the
                connection has ended.
            stalled_at: Returns the time at which a peer without progress since a time has stalled.
        """
        self._loop = loop
        self._sock = sock
        self._receive = receive
        self._stalled_at = stalled_at

    def discard_rejected(self, task: Task, rejected: RejectedInput) -> bool:
        """Discard the rest of a rejected message; returns False if the connection has ended or has to."""
        while self._loop.now < rejected.until:
            received = self._receive(task, min(rejected.until, self._loop.now + rejected.max_pause_s))
            if received == b"":
                return False
            if isinstance(received, Wait):
                return self._loop.now < rejected.until
            # Other connections get a turn, as a fast peer may always have the next bytes ready.
            self._loop.yield_turn(task)
        return False

    def await_peer_close(self, task: Task, within_s: float) -> None:
        """Discard input until the peer closes or `within_s` have passed.

        While the peer's system has not acknowledged everything, the wait goes on as long as it acknowledges
        more before it has stalled: closing over bytes that the peer sends meanwhile would lose the rest.
        """
        unacknowledged = unacknowledged_bytes(self._sock)
        stalled_at = self._stalled_at(self._loop.now)
        discarded_bytes = 0
        while True:
            until = self._loop.now + within_s
            discarded = self._discard_input(task, until, MAX_DISCARDED_BYTES - discarded_bytes)
            if discarded is None:
                return
            discarded_bytes += discarded
            still_unacknowledged = unacknowledged_bytes(self._sock)
            if still_unacknowledged != unacknowledged:
                stalled_at = self._stalled_at(self._loop.now)
            unacknowledged = still_unacknowledged
            if not unacknowledged or self._loop.now >= stalled_at:
                return

    def _discard_input(self, task: Task, until: float, max_bytes: int) -> int | None:
        """Read and discard bytes until a time, in seconds.

        Returns:
            The number of bytes; None if the peer has closed or more than `max_bytes` were read.
        """
        discarded_bytes = 0
        while discarded_bytes < max_bytes:
            received = self._receive(task, until)
            if received == b"":
                return None
            if isinstance(received, Wait):
                return discarded_bytes
            discarded_bytes += len(received or b"")
        return None
