"""One attempt on an established HTTP connection: a request and its response."""

from __future__ import annotations

from lilacfront.core.model import (
    AttemptEnding,
    AttemptOutcome,
    DeliveryStage,
    EngineAddress,
    Request,
    ResponseSink,
)
from lilacfront.logs import Log
from lilacfront.protocols import http1
from lilacfront.sched import Chunk, Interrupted, Stream, Task, Wait
from lilacfront.upstream.clickhouse_exceptions import error_ending, exception_code, is_forwarded_error

log = Log(__name__)
MAX_ERROR_TEXT_BYTES = 64 << 10
MAX_LOGGED_TEXT_BYTES = 200
STATUS_OK = 200
QUERY_ID_HEADER = b"x-clickhouse-query-id"


class ClickHouseAttempt:
    """Sends a request and receives its response.

    A late second copy of an earlier response must not be taken for the response to this request. So a
    response has to name the request's query id; only the first response on a connection may name none.

    Attributes:
        head: The head of the response; None until it has been received.
    """

    def __init__(self, stream: Stream, request: Request, engine: EngineAddress, is_first: bool) -> None:
        """Send the request.

        Args:
            stream: The connection.
            request: The request.
            engine: The engine at the other end.
            is_first: Whether this is the first request on the connection.
        """
        self.head: http1.Head | None = None
        self._stream = stream
        self._engine = engine
        self._query_id = request.query_id
        self._is_first = is_first
        self._has_unsolicited_bytes = False
        self._parser = http1.Parser(responses=True)
        self._error_text = b""
        self._is_complete = False
        self._first_chunk: Chunk = stream.write(_request_head(request, engine))
        self._last_chunk = stream.write(request.body) if request.body else self._first_chunk
        stream.flush()

    @property
    def is_connection_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        if self.head is None or not self.head.keep_alive or self._stream.closed:
            return False
        if self._has_unsolicited_bytes or not self.head.get(QUERY_ID_HEADER):
            return False
        return self._is_complete and self._last_chunk.is_fully_sent and self._parser.is_between_messages

    def run(self, task: Task, deadline: float, stall_timeout_s: float, sink: ResponseSink) -> AttemptOutcome:
        """Receive the response until the outcome is known."""
        while True:
            stall_deadline = self._stream.loop.now + stall_timeout_s
            read_deadline = deadline if self.head is None else min(deadline, stall_deadline)
            received = self._stream.read(task, read_deadline)
            if isinstance(received, Wait):
                is_cancelled = received is Interrupted
                ending = AttemptEnding.CANCELLED if is_cancelled else AttemptEnding.TIMED_OUT
                return AttemptOutcome(ending, self._delivery_stage())
            outcome = self._handle_bytes(received, task, sink)
            if outcome is not None:
                return outcome

    def _handle_bytes(self, received: bytes, task: Task, sink: ResponseSink) -> AttemptOutcome | None:
        try:
            parts = self._parser.feed(received) if received else self._parser.end_of_stream()
        except http1.HttpError as error:
            stage = max(self._delivery_stage(), DeliveryStage.WRITTEN)
            return AttemptOutcome(AttemptEnding.CONNECTION_LOST, stage, None, str(error).encode())
        if not received and not parts:
            return AttemptOutcome(AttemptEnding.CONNECTION_LOST, self._delivery_stage())
        if self._parser.is_in_unframed_body or not received:
            # A result without a length ends with the connection, so a truncated one would look complete.
            return AttemptOutcome(AttemptEnding.CONNECTION_LOST, DeliveryStage.RESPONDING)
        for number, part in enumerate(parts, 1):
            outcome = self._handle_part(part, task, sink)
            if outcome is not None:
                self._has_unsolicited_bytes = number < len(parts)
                return outcome
        return None

    def _handle_part(self, part: http1.Part, task: Task, sink: ResponseSink) -> AttemptOutcome | None:
        match part:
            case http1.Head() if not self._is_own_response(part):
                detail = b"the answer is not proven to be to this request"
                return AttemptOutcome(AttemptEnding.CONNECTION_LOST, self._delivery_stage(), None, detail)
            case http1.Head():
                self.head = part
                if part.status == STATUS_OK:
                    sink.start(part)
                return None
            case http1.Body(data):
                return self._handle_body(data, task, sink)
            case http1.End():
                return self._handle_end(sink)

    def _is_own_response(self, head: http1.Head) -> bool:
        """Whether a response is proven to be to this request and not to an earlier one."""
        query_id = head.get(QUERY_ID_HEADER)
        if self._is_first and not (query_id and self._query_id):
            return True
        is_own = query_id == self._query_id
        if not is_own:
            log.warning(
                "unproven response", engine=self._engine.address, expected=self._query_id, named=query_id
            )
        return is_own

    def _handle_body(self, data: bytes, task: Task, sink: ResponseSink) -> AttemptOutcome | None:
        assert self.head is not None
        if self.head.status != STATUS_OK:
            self._error_text += data
            is_too_long = len(self._error_text) > MAX_ERROR_TEXT_BYTES
            return self._error_outcome(self.head, sink) if is_too_long else None
        if sink.write(data):
            return None
        if task.interrupted:
            return AttemptOutcome(AttemptEnding.CANCELLED, DeliveryStage.RESPONDING)
        detail = b"the answer can't be passed on"
        return AttemptOutcome(AttemptEnding.ERROR, DeliveryStage.RESPONDING, None, detail)

    def _handle_end(self, sink: ResponseSink) -> AttemptOutcome:
        self._is_complete = True
        assert self.head is not None
        if self.head.status != STATUS_OK:
            return self._error_outcome(self.head, sink)
        if not sink.is_valid_result():
            detail = b"the answer does not consist of rows"
            return AttemptOutcome(AttemptEnding.ERROR, DeliveryStage.RESPONDING, None, detail)
        return AttemptOutcome(AttemptEnding.COMPLETED, DeliveryStage.RESPONDING)

    def _error_outcome(self, head: http1.Head, sink: ResponseSink) -> AttemptOutcome:
        """Return the outcome for an error response.

        An error of the statement itself ends the request, and the sink receives the response. An error of
        the engine does not: the router decides whether another engine may run the request.
        """
        text = self._error_text[:MAX_ERROR_TEXT_BYTES]
        code = exception_code(head, text)
        ending = error_ending(head.status, code, is_forwarded_error(text))
        log.debug(
            "error response received",
            engine=self._engine.address,
            status=head.status,
            code=code,
            ending=ending.value,
            text=text[:MAX_LOGGED_TEXT_BYTES],
        )
        if ending is AttemptEnding.STATEMENT_ERROR:
            sink.start(head)
            sink.write(text)
        return AttemptOutcome(ending, DeliveryStage.RESPONDING, None, text)

    def _delivery_stage(self) -> DeliveryStage:
        if self.head is not None:
            return DeliveryStage.RESPONDING
        if self._first_chunk.withdraw():
            return DeliveryStage.CONNECTED
        return DeliveryStage.WRITTEN if self._last_chunk.is_fully_sent else DeliveryStage.PARTLY_WRITTEN


def _request_head(request: Request, engine: EngineAddress) -> bytes:
    """Return the head of the request to the engine.

    The head of an HTTP client is forwarded without its hop-by-hop headers. For other protocols, the head is
    that of a POST whose body is the statement.
    """
    host = b"%s:%d" % (engine.address[0].encode(), engine.address[1])
    client_head = request.protocol_context
    if isinstance(client_head, http1.Head):
        method = client_head.method
        target = client_head.target
        headers = [
            header
            for header in client_head.end_to_end_headers()
            if header[0].lower() not in (b"host", b"expect")
        ]
    else:
        method = b"POST"
        target = b"/?query_id=" + request.call_id
        headers = []
    if method != b"GET" or request.body:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return http1.request(method, target, [(b"Host", host), *headers])
