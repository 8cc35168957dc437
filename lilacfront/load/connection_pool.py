"""The connection pool of a worker: assigns requests to connections and opens connections on demand.

A request without an available connection waits in a queue; the wait is part of its latency.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lilacfront.load.client_codecs import Answer, ClientCodec, StrayAnswer
from lilacfront.load.connection import LoadConnection, OpenRequest
from lilacfront.load.measurements import Counters
from lilacfront.load.retry_policy import AttemptEnd, AttemptResult
from lilacfront.sched import Loop, Stream, Task

MAX_QUEUED_BYTES = 4 << 20  # write buffer of a connection

Address = tuple[str, int]
CodecFactory = Callable[[Address], ClientCodec]


class AttemptListener(Protocol):
    """The owner of a pool; decides on retries."""

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        ...

    def attempt_ended(self, request: OpenRequest, result: AttemptResult) -> None:
        """Handles the end of an attempt."""
        ...


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """The limits of a pool.

    Attributes:
        max_connections: The largest number of connections, including those being opened.
        max_waiting: The largest number of requests that wait for a connection.
        first_address: The index of the first connection's address; later ones use the addresses round robin.
    """

    addresses: list[Address]
    max_connections: int
    max_waiting: int
    connect_timeout_s: float
    first_address: int = 0


class ConnectionPool:
    """The connections of one worker and the queue of requests that wait for a connection.

    Attributes:
        connections: The open connections.
        connecting: The number of connections that are being opened.
        in_flight: The number of attempts that were sent on a connection and have not ended.
    """

    def __init__(
        self,
        loop: Loop,
        settings: PoolSettings,
        codec_factory: CodecFactory,
        counters: Counters,
        listener: AttemptListener,
    ) -> None:
        self.connections: set[LoadConnection] = set()
        self.connecting = 0
        self.in_flight = 0
        self._loop = loop
        self._settings = settings
        self._codec_factory = codec_factory
        self._counters = counters
        self._listener = listener
        self._next_address = settings.first_address
        self._available: deque[LoadConnection] = deque()
        self._waiting: deque[OpenRequest] = deque()

    def submit(self, request: OpenRequest) -> bool:
        """Sends a request, or queues it until a connection is available.

        Returns:
            False if the queue is full and the request was dropped. The limit bounds the memory if the target
            accepts no connections.
        """
        if not self._waiting and (connection := self._first_available()) is not None:
            self._send(connection, request)
            return True
        if len(self._waiting) >= self._settings.max_waiting:
            return False
        self._waiting.append(request)
        if self.connecting < len(self._waiting):
            self._open_connection()
        return True

    def cancel(self, request: OpenRequest) -> None:
        """Cancels the attempt of a request if one is in flight."""
        connection = request.connection
        if connection is None:
            return
        self.in_flight -= 1
        if connection.cancel(request) and connection.codec.capacity:
            self._add_available(connection)

    def answer_received(self, connection: LoadConnection, answer: Answer) -> None:
        """Ends the attempt that an answer belongs to. Implements ConnectionListener."""
        if answer.number is None:
            self._count_stray(answer.stray)
            return
        request = connection.open_requests.pop(answer.number)
        self.in_flight -= 1
        request.connection = None
        self._counters.wrong_answers += answer.result.end is AttemptEnd.WRONG
        self._listener.attempt_ended(request, answer.result)
        if connection.codec.capacity and not connection.codec.closing:
            self._add_available(connection)

    def connection_closed(self, connection: LoadConnection) -> None:
        """Ends the attempts in flight on a closed connection. Implements ConnectionListener.

        An attempt may have been executed unless none of its bytes had been sent.
        """
        self.connections.discard(connection)
        requests = list(connection.open_requests.values())
        connection.open_requests = {}
        for request in requests:
            self.in_flight -= 1
            request.connection = None
            is_unsent = request.chunk is not None and request.chunk.sent == 0
            end = AttemptEnd.UNSENT if is_unsent else AttemptEnd.BROKEN
            self._listener.attempt_ended(request, AttemptResult(end))
        if self._waiting:
            self._open_connection()

    def _open_connection(self) -> None:
        if len(self.connections) + self.connecting < self._settings.max_connections:
            self.connecting += 1
            self._loop.spawn(self._connect)

    def _connect(self, task: Task) -> None:
        addresses = self._settings.addresses
        address = addresses[self._next_address % len(addresses)]
        self._next_address += 1
        connect_deadline = self._loop.now + self._settings.connect_timeout_s
        stream = Stream.connect(self._loop, task, address, connect_deadline, MAX_QUEUED_BYTES)
        self.connecting -= 1
        if not isinstance(stream, Stream):
            self._fail_first_waiting()
            return
        connection = LoadConnection(self, stream, self._codec_factory(address))
        self.connections.add(connection)
        self._add_available(connection)
        connection.read(task)

    def _fail_first_waiting(self) -> None:
        """Fails the first waiting request after a failed connect; the others keep waiting."""
        request = self._pop_waiting()
        if request is not None:
            request.attempts += 1
            request.sent_at = self._listener.now()
            self._counters.attempts += 1
            self._listener.attempt_ended(request, AttemptResult(AttemptEnd.UNSENT))

    def _pop_waiting(self) -> OpenRequest | None:
        while self._waiting:
            request = self._waiting.popleft()
            if not request.finished:
                return request
        return None

    def _first_available(self) -> LoadConnection | None:
        while self._available:
            connection = self._available[0]
            if connection.is_available:
                return connection
            self._available.popleft().is_listed = False
        return None

    def _add_available(self, connection: LoadConnection) -> None:
        if not connection.is_listed and not connection.stream.closed:
            connection.is_listed = True
            self._available.append(connection)
        while (available := self._first_available()) is not None:
            request = self._pop_waiting()
            if request is None:
                return
            self._send(available, request)

    def _send(self, connection: LoadConnection, request: OpenRequest) -> None:
        now = self._listener.now()
        request.attempts += 1
        request.sent_at = now
        self._counters.attempts += 1
        self.in_flight += 1
        connection.send(request, now)
        if not connection.codec.capacity:
            # Written now and not at the end of the loop's turn, since no further request can share the write.
            connection.stream.flush()
            connection.is_listed = False
            # Usually the connection is the first, where `_first_available` found it.
            if self._available and self._available[0] is connection:
                self._available.popleft()
            else:
                self._available.remove(connection)

    def _count_stray(self, stray: StrayAnswer | None) -> None:
        match stray:
            case StrayAnswer.LATE:
                self._counters.late_answers += 1
            case StrayAnswer.DUPLICATE:
                self._counters.duplicate_answers += 1
            case _:
                self._counters.unknown_answers += 1
