"""Attempts on engines that speak RESP, with many attempts on a connection and results in pages."""

from __future__ import annotations

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
from lilacfront.protocols import resp
from lilacfront.sched import ConnectFailure, Interrupted, Loop, SendBudget, Task
from lilacfront.upstream.resp_attempt import RespAttempt
from lilacfront.upstream.resp_connection import RespConnection

MAX_CONNECTIONS_PER_ENGINE = 18  # limit for all gateways together
MAX_OWN_CONNECTIONS_PER_ENGINE = 6  # limit for this gateway
# Idle connections are closed at this fraction of the engines' idle timeout, so that no request is sent at the
# moment when the engine closes the connection.
IDLE_TIMEOUT_FRACTION = 0.8
MAX_QUEUED_BYTES = 32 << 20  # the default limit for all engines together


class RespUpstream:
    """The connections to all engines, and the attempts on them.

    Attributes:
        class_names: Names of the request classes at the engines, by class index.
        max_connections: Maximum number of open connections to all engines together.
        send_budget: Limits the bytes queued for all engines together.
        max_connections_per_engine: Number of connections from this gateway to one engine up to which each
            attempt gets its own connection, since a reset ends all attempts on a connection. Beyond it a
            connection is opened only if no open one can take the attempt. It is a share of
            `MAX_CONNECTIONS_PER_ENGINE`, so that many gateways do not fill an engine's connection table.
    """

    def __init__(
        self,
        loop: Loop,
        class_names: tuple[bytes, ...],
        streams_per_connection: int,
        connect_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        gateway_count: int = 1,
    ) -> None:
        self.loop = loop
        self.class_names = class_names
        self.max_connections = max_connections
        self.send_budget = SendBudget(MAX_QUEUED_BYTES)
        self.max_connections_per_engine = max(
            1, min(MAX_OWN_CONNECTIONS_PER_ENGINE, MAX_CONNECTIONS_PER_ENGINE // gateway_count)
        )
        self._streams_per_connection = streams_per_connection
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self._pools: dict[int, list[RespConnection]] = {}  # open connections, by engine number
        self._connection_count = 0

    def stop_sending(self, engine: int, is_removed: bool) -> None:
        """Withdraw the unsent commands to an engine; with `is_removed` also close its connections."""
        for connection in list(self._pools.get(engine, ())):
            connection.withdraw_unsent()
            if is_removed:
                # A machine that has vanished closes no connections, and its open requests are never answered.
                connection.close()

    def attempt(
        self,
        task: Task,
        assignment: Assignment,
        request: Request,
        sink: ResponseSink,
        context: AttemptContext,
    ) -> AttemptOutcome:
        """Make one attempt; see `core.model.Upstream`."""
        has_capacity = self.send_budget.has_capacity(len(request.body))
        connection = self._acquire(assignment.engine, request.call_id) if has_capacity else None
        if connection is None:
            return AttemptOutcome(AttemptEnding.NOT_SENT, DeliveryStage.NOT_CONNECTED)
        failure = self._wait_until_ready(task, connection, assignment.deadline)
        if failure is not None:
            return AttemptOutcome(failure, DeliveryStage.NOT_CONNECTED)
        time_left_ms = round((assignment.deadline - self.loop.now) * 1000)
        if time_left_ms <= 0:
            return AttemptOutcome(AttemptEnding.NOT_SENT, DeliveryStage.CONNECTED)
        command = self._encode_command(request, assignment.priority, time_left_ms)
        return RespAttempt(connection, request.call_id, command, context).run(task, assignment.deadline, sink)

    def _wait_until_ready(
        self, task: Task, connection: RespConnection, deadline: float
    ) -> AttemptEnding | None:
        """Wait for the connection to be established; return the ending of the attempt if it is not."""
        connection.waiting_attempts += 1
        ended = connection.ready.wait(task, deadline)
        connection.waiting_attempts -= 1
        if ended is not None:
            return AttemptEnding.CANCELLED if ended is Interrupted else AttemptEnding.NOT_SENT
        if not connection.is_closed:
            return None
        # Without a free descriptor in this process, the attempt must not count as a failure of the engine.
        is_own_fault = connection.connect_failure is ConnectFailure.NO_DESCRIPTOR
        return AttemptEnding.NOT_SENT if is_own_fault else AttemptEnding.CONNECT_FAILED

    def _encode_command(self, request: Request, priority: int | None, time_left_ms: int) -> bytes:
        fields = b"lane=%s,ttl=%d" % (self.class_names[request.class_index], time_left_ms)
        if priority is not None:
            fields += b",prio=%d" % priority
        if request.idempotency_key:
            fields += b",dedupe=%s" % request.idempotency_key
        return resp.encode(b"do", request.call_id, fields, request.body)

    def _acquire(self, engine: EngineAddress, call_id: bytes) -> RespConnection | None:
        """Return a connection for an attempt, opening one if necessary; None if there can't be one.

        An unloaded connection is preferred, then a new one, then the one with the fewest attempts.
        """
        pool = self._pools.get(engine.number, [])
        if any(call_id in connection.cancelled_calls for connection in pool):
            # On another connection the new attempt could overtake the cancellation of the previous one, and
            # the engine would run both. On the same connection their answers would be indistinguishable.
            return None
        self._close_unusable(engine)
        pool = self._pools.get(engine.number, [])
        usable = [connection for connection in pool if self._can_send(connection, engine, call_id)]
        unloaded = [connection for connection in usable if not connection.load]
        if unloaded:
            # The most recently used one, so that the others can reach their idle timeout.
            return max(unloaded, key=lambda connection: connection.idle_since)
        may_open = len(pool) < self.max_connections_per_engine
        if usable and not (may_open and self._connection_count < self.max_connections):
            return min(usable, key=lambda connection: connection.load)
        if self._connection_count >= self.max_connections and not self._close_longest_idle():
            return None
        return self._open(engine)

    def _close_unusable(self, engine: EngineAddress) -> None:
        """Close idle connections that the engine has closed or that have an unread or incomplete answer.

        A request written to a closed connection would have to be treated as one that may have run.
        """
        for connection in list(self._pools.get(engine.number, ())):
            if not connection.load and not connection.is_reusable:
                connection.close()

    def _can_send(self, connection: RespConnection, engine: EngineAddress, call_id: bytes) -> bool:
        """Whether an attempt of a request may be sent on this connection.

        A connection on which the request was answered before is excluded, because a late duplicate of that
        answer would be mistaken for the answer to the new attempt.
        """
        return (
            connection.engine == engine
            and connection.load < self._streams_per_connection
            and call_id not in connection.open_attempts
            and call_id not in connection.answered_calls
        )

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle the longest; return False if none is idle."""
        idle = [connection for pool in self._pools.values() for connection in pool if not connection.load]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since).close()
        return True

    def _open(self, engine: EngineAddress) -> RespConnection:
        connection = RespConnection(
            self.loop,
            engine,
            self._connect_timeout_s,
            self._idle_timeout_s,
            self.send_budget,
            self._connection_closed,
        )
        self._pools.setdefault(engine.number, []).append(connection)
        self._connection_count += 1
        return connection

    def _connection_closed(self, connection: RespConnection) -> None:
        self._connection_count -= 1
        number = connection.engine.number
        self._pools[number].remove(connection)
        if not self._pools[number]:
            del self._pools[number]
