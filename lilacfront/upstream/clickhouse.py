"""Attempts on engines with the ClickHouse HTTP interface, with one request at a time on a connection."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lilacfront.core.model import (
    Assignment,
    AttemptContext,
    AttemptEnding,
    AttemptOutcome,
    DeliveryStage,
    EngineAddress,
    Request,
    ResponseSink,
)
from lilacfront.protocols import http1
from lilacfront.sched import ConnectFailure, Loop, SendBudget, Stream, Task
from lilacfront.upstream.clickhouse_attempt import ClickHouseAttempt

# Idle connections are closed at this fraction of the engine's idle timeout, so that no request is sent at the
# moment when the engine closes the connection.
IDLE_TIMEOUT_FRACTION = 0.8
DEFAULT_KEEP_ALIVE_S = 3.0  # for engines that send no Keep-Alive timeout
MAX_QUEUED_BYTES = 80 << 20  # a request queued for an engine that does not read
_TIMEOUT = re.compile(rb"timeout=(\d{1,5})")


@dataclass(slots=True)
class _IdleConnection:
    """A connection without a request.

    Attributes:
        stream: The connection.
        expires_at: Time at which the connection is closed, in seconds of the loop's clock.
        query_id: Query id of the last request.
    """

    stream: Stream
    expires_at: float
    query_id: bytes


class ClickHouseUpstream:
    """The connections to all engines, and the attempts on them.

    Attributes:
        max_connections: Maximum number of open connections to all engines together.
        send_budget: Limits the bytes queued for all engines together.
    """

    def __init__(
        self, loop: Loop, connect_timeout_s: float, stall_timeout_s: float, max_connections: int
    ) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.send_budget = SendBudget(MAX_QUEUED_BYTES)
        self._connect_timeout_s = connect_timeout_s
        self._stall_timeout_s = stall_timeout_s
        self._idle: dict[EngineAddress, list[_IdleConnection]] = {}
        self._busy: dict[Stream, EngineAddress] = {}

    def stop_sending(self, engine: int, is_removed: bool) -> None:
        """Close the idle connections to an engine; with `is_removed` also those with an attempt on them."""
        for address in [address for address in self._idle if address.number == engine]:
            for connection in self._idle.pop(address):
                connection.stream.close()
        if is_removed:
            # A machine that has vanished closes no connections, and its open requests are never answered.
            for stream in [stream for stream, address in self._busy.items() if address.number == engine]:
                stream.close()

    def attempt(
        self,
        task: Task,
        assignment: Assignment,
        request: Request,
        sink: ResponseSink,
        context: AttemptContext,
    ) -> AttemptOutcome:
        """Make one attempt; see `core.model.Upstream`."""
        if not self.send_budget.has_capacity(len(request.body)):
            return AttemptOutcome(AttemptEnding.NOT_SENT, DeliveryStage.NOT_CONNECTED)
        # Without a query id of its own, a response can't be told from one to an earlier request.
        idle = self._pop_idle(assignment.engine, request.query_id) if request.query_id else None
        stream = idle or self._connect(task, assignment)
        if isinstance(stream, AttemptEnding):
            return AttemptOutcome(stream, DeliveryStage.NOT_CONNECTED)
        # The request is sent right below, with no wait after this check.
        if task.interrupted or not context.may_begin():
            stream.close()
            ending = AttemptEnding.CANCELLED if task.interrupted else AttemptEnding.NOT_SENT
            return AttemptOutcome(ending, DeliveryStage.CONNECTED)
        self._busy[stream] = assignment.engine
        try:
            attempt = ClickHouseAttempt(stream, request, assignment.engine, is_first=idle is None)
            outcome = attempt.run(task, assignment.deadline, self._stall_timeout_s, sink)
        finally:
            del self._busy[stream]
        if outcome.ending is not AttemptEnding.CONNECTION_LOST and attempt.is_connection_reusable:
            assert attempt.head is not None
            self._add_idle(stream, assignment.engine, attempt.head, request.query_id)
        else:
            # Closing cancels the request at the engine before any other attempt begins.
            stream.close()
        return outcome

    def _connect(self, task: Task, assignment: Assignment) -> Stream | AttemptEnding:
        """Return a new connection, or the ending of the attempt if there is none."""
        if not self._make_room():
            # The limit is one of this process, so the attempt must not count as a failure of the engine.
            return AttemptEnding.NOT_SENT
        connect_deadline = self.loop.now + self._connect_timeout_s
        connected = Stream.connect(
            self.loop,
            task,
            assignment.engine.address,
            min(connect_deadline, assignment.deadline),
            MAX_QUEUED_BYTES,
            self.send_budget,
        )
        if isinstance(connected, Stream):
            return connected
        if task.interrupted:
            return AttemptEnding.CANCELLED
        if connected is ConnectFailure.NO_DESCRIPTOR or connect_deadline >= assignment.deadline:
            return AttemptEnding.NOT_SENT
        return AttemptEnding.CONNECT_FAILED

    def _make_room(self) -> bool:
        """Whether another connection may be opened, after closing an idle one if that is necessary."""
        self._close_expired()
        if len(self._busy) + sum(map(len, self._idle.values())) < self.max_connections:
            return True
        idle = [connections for connections in self._idle.values() if connections]
        if not idle:
            return False
        first = min(idle, key=lambda connections: connections[0].expires_at)
        first.pop(0).stream.close()
        return True

    def _pop_idle(self, engine: EngineAddress, query_id: bytes) -> Stream | None:
        """Remove and return an idle connection that the engine has not closed.

        A connection whose last request had the same query id is closed: a copy of its response could not be
        told from the next one.
        """
        self._close_expired()
        connections = self._idle.get(engine, [])
        while connections:
            connection = connections.pop()
            stream = connection.stream
            if connection.query_id == query_id:
                stream.close()
                continue
            # On a connection that the engine has closed, a write would succeed, and the request would have to
            # be treated as one that may have run.
            if stream.is_idle():
                return stream
            stream.close()
        return None

    def _close_expired(self) -> None:
        for connections in self._idle.values():
            expired = [connection for connection in connections if connection.expires_at <= self.loop.now]
            for connection in expired:
                connections.remove(connection)
                connection.stream.close()

    def _add_idle(self, stream: Stream, engine: EngineAddress, head: http1.Head, query_id: bytes) -> None:
        match = _TIMEOUT.search(head.get(b"keep-alive"))
        keep_alive_s = float(match[1]) if match is not None else DEFAULT_KEEP_ALIVE_S
        expires_at = self.loop.now + IDLE_TIMEOUT_FRACTION * keep_alive_s
        self._idle.setdefault(engine, []).append(_IdleConnection(stream, expires_at, query_id))
