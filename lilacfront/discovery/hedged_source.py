"""Keeps a connection to a source of updates, and opens further ones beside it while it is silent.

Silence has two causes that can't be told apart: the updates are late, and the connection has to be kept until
they arrive, or the connection is dead, and another one has to be opened. So a silent connection is kept,
others are opened beside it, and the first one on which a message arrives replaces the rest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lilacfront.logs import Log
from lilacfront.sched import Loop, Task

log = Log(__name__)


@dataclass(slots=True, frozen=True)
class HedgingLimits:
    """When connections are opened and given up; times in seconds.

    Attributes:
        connect_s: Time after which another connection is tried beside one that is not established; after
            the second one it is `silence_s`.
        silence_s: Time without a message after which another connection is opened.
        abandon_s: Time without a message after which a connection is closed.
        max_connections: Maximum number of connections, at least 2. Beyond it the second oldest is closed: the
            oldest is kept for the longest delay, and each of the others for at least `max_connections` - 1
            times `silence_s`.
    """

    connect_s: float
    silence_s: float
    abandon_s: float
    max_connections: int


class SourceConnection:
    """One connection of a `HedgedSource`.

    Attributes:
        heard_at: Time of the last message, of the connect, or of the start of the connect.
    """

    __slots__ = ("_source", "_task", "heard_at", "is_established")

    def __init__(self, source: HedgedSource, opened_at: float) -> None:
        self._source = source
        self._task: Task | None = None
        self.heard_at = opened_at
        self.is_established = False

    @property
    def abandon_at(self) -> float:
        """Time at which this connection is closed if it stays silent."""
        return self.heard_at + self._source.limits.abandon_s

    def mark_established(self, now: float) -> None:
        """Record that the connection is established."""
        self.is_established = True
        self.heard_at = now

    def mark_heard(self, now: float) -> None:
        """Record that a complete message has arrived and been used; the other connections are closed."""
        self.heard_at = now
        self._source.keep_only(self)

    def start(self, loop: Loop, run: Callable[[Task, SourceConnection], None]) -> None:
        """Run the connection in a task of its own."""
        self._task = loop.spawn(run, self)

    def end(self) -> None:
        """Interrupt the task of the connection."""
        if self._task is not None:
            self._task.interrupt()


class HedgedSource:
    """The connections to one source.

    Attributes:
        limits: When connections are opened and given up.
    """

    def __init__(
        self,
        loop: Loop,
        limits: HedgingLimits,
        follow: Callable[[Task, SourceConnection], None],
        retry_delay_s: Callable[[], float],
    ) -> None:
        """Make a source without connections.

        Args:
            loop: The loop to run on.
            limits: When connections are opened and given up.
            follow: Connects and uses messages until the connection ends or the task is interrupted. It calls
                `mark_established` and `mark_heard`, and waits no longer than `abandon_at`.
            retry_delay_s: Returns the delay after a connection has ended by itself, in seconds.
        """
        self.limits = limits
        self._loop = loop
        self._follow = follow
        self._retry_delay_s = retry_delay_s
        self._retry_at = 0.0
        self._connections: list[SourceConnection] = []  # in the order in which they were opened
        self._task: Task | None = None

    def run(self, task: Task) -> None:
        """Keep connections until the task is interrupted."""
        self._task = task
        while not task.interrupted:
            self._close_abandoned()
            if self._loop.now >= self._next_open_at():
                self._open()
            self._loop.wait(task, self._next_check_at())

    def reconnect(self) -> None:
        """Close all connections and open a new one at once."""
        for connection in self._connections:
            connection.end()
        self._connections.clear()
        self._retry_at = 0.0
        self._wake()

    def keep_only(self, connection: SourceConnection) -> None:
        """Close all connections but one; does nothing if that one has been given up."""
        if connection not in self._connections:
            return
        for other in self._connections:
            if other is not connection:
                other.end()
        self._connections = [connection]
        self._wake()

    def _next_open_at(self) -> float:
        if not self._connections:
            return self._retry_at
        heard_at = max(connection.heard_at for connection in self._connections)
        return max(self._retry_at, heard_at + self._hedge_delay_s())

    def _hedge_delay_s(self) -> float:
        connecting = [connection for connection in self._connections if not connection.is_established]
        is_first_attempt = connecting == self._connections[-1:]
        return self.limits.connect_s if is_first_attempt else self.limits.silence_s

    def _next_check_at(self) -> float:
        return min([self._next_open_at(), *(connection.abandon_at for connection in self._connections)])

    def _close_abandoned(self) -> None:
        for connection in [other for other in self._connections if other.abandon_at <= self._loop.now]:
            self._connections.remove(connection)
            connection.end()

    def _open(self) -> None:
        if self._connections:
            silent_s = self._loop.now - min(connection.heard_at for connection in self._connections)
            log.info("source silent", silent_s=round(silent_s, 3), connections=len(self._connections))
        if len(self._connections) >= self.limits.max_connections:
            self._connections.pop(1).end()
        connection = SourceConnection(self, self._loop.now)
        self._connections.append(connection)
        connection.start(self._loop, self._run_connection)

    def _run_connection(self, task: Task, connection: SourceConnection) -> None:
        try:
            self._follow(task, connection)
        finally:
            if connection in self._connections:
                self._connections.remove(connection)
                self._retry_at = self._loop.now + self._retry_delay_s()
                self._wake()

    def _wake(self) -> None:
        if self._task is not None:
            self._task.wake(None)
