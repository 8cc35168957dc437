"""Sends results to ClickHouse clients: short ones are buffered, longer ones are streamed."""

from __future__ import annotations

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.in_flight import InFlightRequest
from lilacfront.protocols import http1
from lilacfront.sched import Stream

MAX_BUFFERED_BYTES = 48_000  # up to this size nothing is sent, so that a failed attempt can be retried
MAX_UNREAD_BYTES = 256 << 10  # with more queued for the client, reading of the result pauses


class StreamedResult:
    """A `ResponseSink` that writes an HTTP response.

    Attributes:
        keep_alive: Whether the connection stays open after the response.
        has_started: Whether a part of the result has been sent to the client.
        in_flight: The request; set before the first write.
    """

    def __init__(self, dispatcher: RequestDispatcher, stream: Stream, keep_alive: bool) -> None:
        self._dispatcher = dispatcher
        self._stream = stream
        self.keep_alive = keep_alive
        self.has_started = False
        self.in_flight: InFlightRequest | None = None
        self._head: http1.Head | None = None
        self._buffer = bytearray()

    def clear(self) -> None:
        """Discard the buffered result of a failed attempt."""
        self._head = None
        self._buffer.clear()

    def start(self, head: object) -> None:
        """Keep the head of an engine's response."""
        self._head = head if isinstance(head, http1.Head) else None

    def write(self, data: bytes) -> bool:
        """Append a part of the result; return False if the client disconnected or did not read in time.

        Waits while more than `MAX_UNREAD_BYTES` are queued for the client.
        """
        if self.has_started:
            self._queue(http1.chunk(data))
        else:
            self._buffer += data
            if len(self._buffer) <= MAX_BUFFERED_BYTES:
                return not self._stream.closed
            self._start_streaming()
        assert self.in_flight is not None
        return self._stream.wait_for_queue_space(
            self.in_flight.task, self.in_flight.request.deadline, MAX_UNREAD_BYTES
        )

    def is_valid_result(self) -> bool:
        """Return True: HTTP clients choose the format of their results."""
        return True

    @property
    def can_finish(self) -> bool:
        """Whether the rest of a complete result may be queued for the client."""
        return self.has_started or self._stream.has_answer_capacity(len(self._buffer))

    def finish(self) -> None:
        """Write the rest of a complete result."""
        if self.has_started:
            self._queue(http1.LAST_CHUNK, is_final=True)
        else:
            length = (b"Content-Length", b"%d" % len(self._buffer))
            self._queue(self._encode_head(length) + bytes(self._buffer), is_final=True)

    def replace(self, response: bytes) -> None:
        """Write a whole response in place of the result, of which nothing has been sent."""
        self._queue(response, is_final=True)

    def _queue(self, data: bytes, is_final: bool = False) -> None:
        assert self.in_flight is not None
        self._stream.write(data, is_final=is_final, awaited_until=self.in_flight.request.deadline)

    def _start_streaming(self) -> None:
        assert self.in_flight is not None
        self.has_started = True
        self._dispatcher.response_started(self.in_flight)
        head = self._encode_head((b"Transfer-Encoding", b"chunked"))
        self._queue(head + http1.chunk(bytes(self._buffer)))
        self._buffer.clear()

    def _encode_head(self, framing: tuple[bytes, bytes]) -> bytes:
        if self._head is None:
            status, reason = 200, b"OK"
            headers = [(b"Content-Type", b"text/tab-separated-values; charset=UTF-8")]
        else:
            status, reason = self._head.status, self._head.reason
            headers = self._head.end_to_end_headers()
        headers = [*headers, framing]
        if not self.keep_alive:
            headers.append((b"Connection", b"close"))
        return http1.response(status, headers, reason)
