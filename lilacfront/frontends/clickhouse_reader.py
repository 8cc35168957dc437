"""Reads the requests of one connection of the ClickHouse HTTP interface."""

from __future__ import annotations

from lilacfront.frontends.clickhouse_request_parser import HttpRequest, Target
from lilacfront.frontends.clickhouse_services import BodyBudget
from lilacfront.frontends.listener import ClientSlot
from lilacfront.protocols import http1
from lilacfront.sched import READ_BYTES, SMALL_READ_BYTES, RejectedInput, Task, Wait

MAX_PIPELINED_BYTES = 64 << 10  # limit for bytes of further requests that are read while one is served
IDLE_TIMEOUT_S = 30.0  # time between two requests
# Time from connecting, or from the first byte of a later head, to the last byte of the head.
HEAD_TIMEOUT_S = 2.0
BODY_READ_TIMEOUT_S = 2.0  # time between two reads of a body
BODY_TIMEOUT_S = 30.0  # time from the end of the head to the last byte of the body
# Memory of a parsed header beside its bytes, and of the heads that the cost of a connection includes.
HEADER_OBJECT_BYTES = 192
INCLUDED_HEAD_BYTES = 8 << 10
BODY_TOO_LARGE = "the body is larger than this gateway takes"


class BodiesExceededError(http1.HttpError):
    """The body would be accepted if there were fewer others in hand."""

    def __init__(self) -> None:
        super().__init__(503, "too many bodies are in hand")


class RequestReader:
    """Reads one request after the other and enforces the limits on time and memory."""

    def __init__(self, slot: ClientSlot, bodies: BodyBudget) -> None:
        self._slot = slot
        self._stream = slot.stream
        self._loop = slot.stream.loop
        self._bodies = bodies
        self._parser = http1.Parser(responses=False)
        self._accounted_bytes = 0
        self._served_body_bytes = 0
        self._had_request = False
        self._head: http1.Head | None = None
        self._body = bytearray()
        self._deadline = 0.0

    @property
    def has_pipeline_capacity(self) -> bool:
        """Whether more pipelined bytes may be read while a request is served."""
        return self._parser.buffered_bytes < MAX_PIPELINED_BYTES and self._bodies.available_bytes > 0

    def read_ahead(self, task: Task) -> None:
        """Read the pipelined bytes that are there, as many as may be read while a request is served."""
        while self.has_pipeline_capacity:
            data = self._stream.read(task, self._loop.now, SMALL_READ_BYTES)
            if not isinstance(data, bytes) or not data:
                return
            self.add_pipelined(data)

    def add_pipelined(self, data: bytes) -> None:
        """Keep pipelined bytes that were read while a request is served."""
        self._parser.add(data)
        self._account()

    def release_body(self) -> None:
        """Free the last request's body, and return its memory to the budget."""
        self._head = None
        self._served_body_bytes = 0
        self._body = bytearray()
        self._account()

    def release_all(self) -> None:
        """Return all memory to the budget; called at the end of the connection."""
        self._parser = http1.Parser(responses=False)
        self.release_body()

    @property
    def rejected_body(self) -> RejectedInput | None:
        """How long the rest of the current body is discarded if it is rejected; None if there is no rest."""
        if self._head is None or self._parser.is_between_messages:
            return None
        return RejectedInput(BODY_READ_TIMEOUT_S, self._deadline)

    def receive(self, task: Task) -> HttpRequest | None:
        """Wait for the next complete request; None if the connection ends or is idle for too long.

        No request is read while the client is too far behind with its answers.

        Raises:
            http1.HttpError: The request can't be read; the connection has to be closed.
        """
        self.release_body()
        self._slot.mark_idle(self._had_request)
        self._stream.wait_while_backlogged(task)
        timeout_s = IDLE_TIMEOUT_S if self._had_request else HEAD_TIMEOUT_S
        self._deadline = self._loop.now + timeout_s
        while True:
            while (part := self._parser.next_part()) is not None:
                self._slot.has_unhandled_messages = True
                self._loop.share_turn(task)
                self._slot.has_unhandled_messages = False
                request = self._handle(part)
                if request is not None:
                    return request
            self._expect_rest()
            data = self._read(task)
            if not data:
                return None
            self._parser.add(data)
            self._account()
            self._check_limits()

    def _handle(self, part: http1.Part) -> HttpRequest | None:
        match part:
            case http1.Head():
                self._begin(part)
            case http1.Body(data):
                self._body += data
                self._account()
                self._check_limits()
            case http1.End():
                assert self._head is not None
                self._had_request = True
                self._slot.has_partial_message = False
                body = bytes(self._body)
                self._served_body_bytes = len(body)
                self._body = bytearray()  # the budget counts one copy
                return HttpRequest(self._head, body, Target.parse(self._head.target))
        return None

    def _begin(self, head: http1.Head) -> None:
        self._head = head
        self._slot.mark_busy()
        self._deadline = self._loop.now + BODY_TIMEOUT_S
        length = head.get(b"content-length")
        if length:
            without_own_bytes = self._bodies.available_bytes + self._accounted_bytes
            self._check_size(int(length), without_own_bytes - int(length))
        if head.get(b"expect").lower() == b"100-continue":
            self._stream.write(http1.CONTINUE)

    def _read(self, task: Task) -> bytes:
        """Return the next bytes; b"" if the connection ends or is idle for too long."""
        deadline = self._deadline
        if self._head is not None:
            deadline = min(deadline, self._loop.now + BODY_READ_TIMEOUT_S)
        max_bytes = SMALL_READ_BYTES if self._head is None else READ_BYTES
        data = self._stream.read(task, deadline, max_bytes)
        if not isinstance(data, Wait):
            return data
        if self._head is not None or not self._parser.is_between_messages:
            raise http1.HttpError(408, "the request did not come whole in time")
        return b""

    def _expect_rest(self) -> None:
        """Note whether a part of a message has been received, and start the timeout of a head."""
        is_partial = not self._parser.is_between_messages
        self._slot.has_partial_message = is_partial
        if self._head is None and is_partial:
            # The timeout of a head counts from its first byte, so sending it byte by byte gains no time.
            self._deadline = min(self._deadline, self._loop.now + HEAD_TIMEOUT_S)

    def _account(self) -> None:
        """Set the memory that the budget counts for this connection."""
        body_bytes = len(self._body) + self._served_body_bytes
        size = body_bytes + self._parser.buffered_bytes + _head_bytes(self._head)
        self._bodies.available_bytes -= size - self._accounted_bytes
        self._accounted_bytes = size

    def _check_limits(self) -> None:
        """Check the limits for one body and for all bodies.

        Raises:
            http1.HttpError: One of them is exceeded.
        """
        if self._accounted_bytes:
            self._check_size(len(self._body), self._bodies.available_bytes)

    def _check_size(self, size: int, available_bytes: int) -> None:
        if size > self._bodies.max_body_bytes:
            raise http1.HttpError(413, BODY_TOO_LARGE)
        if available_bytes < 0:
            raise BodiesExceededError


def _head_bytes(head: http1.Head | None) -> int:
    """The memory of a parsed head beyond what the cost of a connection includes."""
    if head is None:
        return 0
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    return max(0, size + HEADER_OBJECT_BYTES * len(head.headers) - INCLUDED_HEAD_BYTES)
