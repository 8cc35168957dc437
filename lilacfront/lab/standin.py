"""A stand-in server: a load target with scripted behaviour.

It serves ClickHouse's HTTP interface or the platform's protocol and records the action and the times of each
request, to check the measurements of a load generator against.
"""

from __future__ import annotations

import socket
import struct
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import BinaryIO

import msgspec

from lilacfront.frontends.listener import ClientSlot, Listener
from lilacfront.lab.fault_model import ActionSequence, Behaviour, ResponseAction
from lilacfront.protocols import http1, thrift
from lilacfront.sched import Loop, Stream, Task, Wait

MAX_CONNECTIONS = 20_000
MAX_QUEUED_BYTES = 8 << 20
MAX_BODY_BYTES = 64 << 20
IDLE_TIMEOUT_S = 3600.0
MS_PER_S = 1000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a timeout of 0: close sends a RST
TRUNCATED_FRAME_BYTES = 4  # bytes cut from the end of a truncated answer
REJECTED_CODE = b"202"
REJECTED_BODY = b"Code: 202. DB::Exception: Too many simultaneous queries. (TOO_MANY_SIMULTANEOUS_QUERIES)\n"
ERROR_CODE = b"241"
ERROR_BODY = b"Code: 241. DB::Exception: Memory limit exceeded. (MEMORY_LIMIT_EXCEEDED)\n"
QUERY_ID_PREFIX = b"query_id="


class RequestRecord(msgspec.Struct, array_like=True):
    """The action taken on one request; times in seconds on the loop's clock.

    Attributes:
        id: The request's id in its protocol.
        action: The value of the `ResponseAction` taken.
        received_at: When the request was completely read.
        ended_at: When the action was taken.
    """

    id: str
    action: str
    received_at: float
    ended_at: float


class StandInServer:
    """A server on one address.

    Attributes:
        behaviour: Script of the actions taken on requests.
        actions: Chooses the action and delay for each request.
        started_at: Start time in seconds on the loop's clock.
        pending: Number of requests that were completely read and are not answered.
        action_counts: Number of requests by the value of their action.
        address: Host and port of the listening socket.
    """

    def __init__(
        self, loop: Loop, behaviour: Behaviour, address: tuple[str, int], record_file: BinaryIO | None = None
    ) -> None:
        self.loop = loop
        self.behaviour = behaviour
        self.actions = ActionSequence(behaviour)
        self.started_at = loop.now
        self.pending = 0
        self.action_counts: Counter[str] = Counter()
        self._record_file = record_file
        self._encoder = msgspec.json.Encoder()
        self._listener = Listener(loop, address, MAX_CONNECTIONS, MAX_QUEUED_BYTES, self._accept)
        self.address = self._listener.address

    def record(self, request: RequestRecord) -> None:
        """Write a JSON line for a finished request."""
        if self._record_file is not None:
            self._record_file.write(self._encoder.encode(request) + b"\n")

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self, slot: ClientSlot) -> None:
        slot.mark_busy()  # keeps the listener from closing this connection in favour of a new one
        connection_type = _HttpConnection if self.behaviour.protocol == "clickhouse" else _ThriftConnection
        connection = connection_type(self, slot.stream)
        self.loop.spawn(connection.run)


class _Connection(ABC):
    """A client connection: reads requests and answers each after its scripted delay."""

    def __init__(self, server: StandInServer, stream: Stream) -> None:
        self.server = server
        self.stream = stream
        self.loop = server.loop
        self.open_requests: set[str] = set()

    @abstractmethod
    def feed(self, data: bytes) -> None:
        """Parse received bytes and handle the requests in them."""

    def run(self, task: Task) -> None:
        """Read requests until the connection ends."""
        try:
            while not self.stream.closed:
                data = self.stream.read(task, self.loop.now + IDLE_TIMEOUT_S)
                if data == b"" or isinstance(data, Wait):
                    return
                self.feed(data)
        except (http1.HttpError, thrift.ThriftError):
            return
        finally:
            self.stream.close()
            self.server.pending -= len(self.open_requests)
            self.open_requests.clear()

    def handle_request(self, request_id: str, build_response: Callable[[ResponseAction], bytes]) -> None:
        """Handle a completely read request; `build_response` encodes the response for an action."""
        server = self.server
        received_at = self.loop.clock()
        action, delay_s = server.actions.next_action(received_at - server.started_at)
        server.pending += 1
        server.action_counts[action.value] += 1
        self.open_requests.add(request_id)
        if action is ResponseAction.NO_RESPONSE:
            return

        def finish() -> None:
            if request_id not in self.open_requests:
                return
            self.discard_request(request_id)
            self._apply(action, build_response)
            server.record(RequestRecord(request_id, action.value, received_at, self.loop.clock()))

        if server.started_at + delay_s <= received_at:
            finish()
        else:
            self.loop.call_at(server.started_at + delay_s, finish)

    def discard_request(self, request_id: str) -> None:
        """Forget a pending request, so that it is not answered."""
        self.open_requests.discard(request_id)
        self.server.pending -= 1

    def _apply(self, action: ResponseAction, build_response: Callable[[ResponseAction], bytes]) -> None:
        response = build_response(action)
        if response:
            self.stream.write(response)
        if action is ResponseAction.RESET:
            self._reset()
        # Flushed now and not at the end of the loop's turn, so that the recorded time is that of the answer.
        self.stream.flush()
        if action is ResponseAction.TRUNCATE:
            self.stream.close()

    def _reset(self) -> None:
        if not self.stream.closed:
            self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.stream.close()


class _HttpConnection(_Connection):
    """A client connection of ClickHouse's HTTP interface."""

    def __init__(self, server: StandInServer, stream: Stream) -> None:
        super().__init__(server, stream)
        self._parser = http1.Parser(responses=False)
        self._head: http1.Head | None = None
        self._body_bytes = 0

    def feed(self, data: bytes) -> None:
        for part in self._parser.feed(data):
            match part:
                case http1.Head():
                    self._head = part
                    self._body_bytes = 0
                case http1.Body(body):
                    self._body_bytes += len(body)
                    if self._body_bytes > MAX_BODY_BYTES:
                        raise http1.HttpError(413, "request body is too large")
                case http1.End():
                    assert self._head is not None
                    self._dispatch(self._head)

    def _dispatch(self, head: http1.Head) -> None:
        path, _, query = head.target.partition(b"?")
        if path == b"/ping" or (path == b"/" and not query and head.method == b"GET"):
            self.stream.write(_http_response(200, b"Ok.\n", []))
            return
        query_id = b""
        for parameter in query.split(b"&"):
            if parameter.startswith(QUERY_ID_PREFIX):
                query_id = parameter[len(QUERY_ID_PREFIX) :]
                break
        self.handle_request(
            query_id.decode(errors="replace"), lambda action: self._response(action, query_id)
        )

    def _response(self, action: ResponseAction, query_id: bytes) -> bytes:
        behaviour = self.server.behaviour
        result = behaviour.result.encode()
        echo = (b"X-ClickHouse-Query-Id", query_id)
        match action:
            case ResponseAction.SERVE:
                return _http_response(200, result, [echo])
            case ResponseAction.TRUNCATE:
                response = _http_response(200, result, [echo])
                return response[: len(response) - max(1, len(behaviour.result) // 2)]
            case ResponseAction.REJECT:
                code = (b"X-ClickHouse-Exception-Code", REJECTED_CODE)
                retry_after = (b"Retry-After", b"%d" % behaviour.retry_after_s)
                return _http_response(503, REJECTED_BODY, [echo, code, retry_after])
            case ResponseAction.ERROR:
                code = (b"X-ClickHouse-Exception-Code", ERROR_CODE)
                return _http_response(500, ERROR_BODY, [echo, code])
        return b""


def _http_response(status: int, body: bytes, headers: http1.Headers) -> bytes:
    content_type = (b"Content-Type", b"text/tab-separated-values; charset=UTF-8")
    content_length = (b"Content-Length", b"%d" % len(body))
    return http1.response(status, [content_type, *headers, content_length]) + body


class _ThriftConnection(_Connection):
    """A client connection of the platform's protocol, which can have several calls in flight."""

    def __init__(self, server: StandInServer, stream: Stream) -> None:
        super().__init__(server, stream)
        self._frames = thrift.FrameDecoder()
        self._calls: dict[int, str] = {}

    def feed(self, data: bytes) -> None:
        for frame in self._frames.feed(data):
            message = thrift.parse_call(frame)
            if message.name == b"ping":
                self.stream.write(thrift.encode_answer(b"ping", message.seqid, b""))
            elif message.name == b"abort" and message.aborted_seqid is not None:
                self._abort(message.aborted_seqid)
            elif message.name == b"invoke":
                self._invoke(message)

    def _abort(self, seqid: int) -> None:
        request_id = self._calls.pop(seqid, "")
        if request_id in self.open_requests:
            self.discard_request(request_id)

    def _invoke(self, message: thrift.Message) -> None:
        seqid = message.seqid
        if len(self._calls) >= thrift.MAX_OPEN_CALLS or seqid in self._calls:
            raise thrift.ThriftError(f"sequence id {seqid} is already in use, or too many calls are open")
        request_id = message.fields.get(b"call", b"").decode(errors="replace")
        self._calls[seqid] = request_id

        def build_response(action: ResponseAction) -> bytes:
            self._calls.pop(seqid, None)
            return self._response(action, seqid)

        self.handle_request(request_id, build_response)

    def _response(self, action: ResponseAction, seqid: int) -> bytes:
        behaviour = self.server.behaviour
        result = behaviour.result.encode()
        match action:
            case ResponseAction.SERVE:
                return thrift.encode_answer(b"invoke", seqid, result)
            case ResponseAction.TRUNCATE:
                return thrift.encode_answer(b"invoke", seqid, result)[:-TRUNCATED_FRAME_BYTES]
            case ResponseAction.REJECT:
                return thrift.encode_shed(seqid, {b"pushback": b"%d" % (behaviour.retry_after_s * MS_PER_S)})
            case ResponseAction.ERROR:
                return thrift.encode_fault(seqid, {})
        return b""
