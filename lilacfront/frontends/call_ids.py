"""The ids of requests that must not run again: those in flight, and recent ones that may have run."""

from __future__ import annotations

from collections import deque

from lilacfront.sched import Loop

MAX_RECENT_IDS = 10_000  # some 2 MB


class CallIds:
    """The ids of the requests in flight on all connections, and of recent requests that may have run.

    Clients give each request an id of its own. One that comes again, also from another connection after its
    client had left, would run a second time.
    """

    def __init__(self, loop: Loop, retention_s: float) -> None:
        """Start without ids.

        Args:
            loop: Provides the clock.
            retention_s: Time for which the id of an ended request is kept, in seconds.
        """
        self._loop = loop
        self._retention_s = retention_s
        self._open: set[bytes] = set()
        self._recent: set[bytes] = set()
        self._expiries: deque[tuple[float, bytes]] = deque()

    def __contains__(self, call_id: object) -> bool:
        self._expire()
        return call_id in self._open or call_id in self._recent

    def open(self, call_id: bytes) -> None:
        """Add the id of a request that begins."""
        self._open.add(call_id)

    def close(self, call_id: bytes, may_have_run: bool) -> None:
        """Record the end of a request; its id is kept if the request may have run."""
        self._open.discard(call_id)
        if may_have_run and call_id not in self._recent:
            self._recent.add(call_id)
            self._expiries.append((self._loop.now + self._retention_s, call_id))
        self._expire()

    def _expire(self) -> None:
        while self._expiries and (
            self._expiries[0][0] <= self._loop.now or len(self._expiries) > MAX_RECENT_IDS
        ):
            self._recent.discard(self._expiries.popleft()[1])
