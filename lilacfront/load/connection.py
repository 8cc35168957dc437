"""One connection of the load generator. A task per connection reads answers; any task may send requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lilacfront.load.client_codecs import Answer, ClientCodec, ClientProtocolError
from lilacfront.load.schedule import ScheduledRequest
from lilacfront.sched import Chunk, Stream, Task, Wait

IDLE_TIMEOUT_S = 3600.0  # limits one read; requests have their own deadlines


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final outcome. Times are seconds after the start of the run.

    Attributes:
        sent_at: The time at which the last attempt was sent.
        connection: The connection of the attempt in flight; None if there is none.
        chunk: The written bytes of that attempt; shows how many have been sent.
        finished: Whether the request has its final outcome.
    """

    scheduled: ScheduledRequest
    deadline: float
    attempts: int = 0
    sent_at: float = 0.0
    connection: LoadConnection | None = None
    chunk: Chunk | None = None
    finished: bool = False


class ConnectionListener(Protocol):
    """Receives the events of a connection."""

    def answer_received(self, connection: LoadConnection, answer: Answer) -> None:
        """Handles a complete answer."""
        ...

    def connection_closed(self, connection: LoadConnection) -> None:
        """Handles the end of the connection and of all attempts in flight on it."""
        ...


class LoadConnection:
    """A connection with its codec and the requests that are in flight on it.

    Attributes:
        open_requests: The requests in flight, by number.
        is_listed: Whether the pool's queue of available connections contains the connection.
    """

    def __init__(self, listener: ConnectionListener, stream: Stream, codec: ClientCodec) -> None:
        self.stream = stream
        self.codec = codec
        self.open_requests: dict[int, OpenRequest] = {}
        self.is_listed = False
        self._listener = listener

    @property
    def is_available(self) -> bool:
        """Whether a request can be sent now."""
        return not self.stream.closed and not self.codec.closing and bool(self.codec.capacity)

    def read(self, task: Task) -> None:
        """Reads answers until the connection ends; runs as a task."""
        while not self.stream.closed:
            data = self.stream.read(task, self.stream.loop.now + IDLE_TIMEOUT_S)
            if isinstance(data, Wait):
                continue
            try:
                answers = self.codec.feed(data) if data else self.codec.eof()
            except ClientProtocolError:
                break
            for answer in answers:
                self._listener.answer_received(self, answer)
            if not data or (self.codec.closing and not self.open_requests):
                break
        self.stream.close()
        self._listener.connection_closed(self)

    def send(self, request: OpenRequest, now: float) -> None:
        """Sends an attempt of a request."""
        scheduled = request.scheduled
        request.connection = self
        self.open_requests[scheduled.number] = request
        ttl_s = request.deadline - now
        data = self.codec.request(scheduled.number, scheduled.profile, scheduled.statement, ttl_s)
        request.chunk = self.stream.write(data)

    def cancel(self, request: OpenRequest) -> bool:
        """Cancels an attempt in flight on this connection; closes the connection if the protocol requires it.

        Returns:
            Whether the connection can still be used.
        """
        number = request.scheduled.number
        del self.open_requests[number]
        request.connection = None
        message = self.codec.cancel(number)
        if message is None:
            self.stream.close()
            return False
        self.stream.write(message)
        return True
