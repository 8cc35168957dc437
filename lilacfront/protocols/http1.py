"""Incremental parser and encoder for HTTP/1.1 messages, without I/O.

Bodies are not decoded; only their framing is parsed. A message with ambiguous framing is rejected, since
request smuggling becomes possible if a gateway and the server behind it disagree on where a message ends.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lilacfront.errors import LilacfrontError

MAX_HEAD_BYTES = 64 << 10
MAX_HEADERS = 200
MAX_CHUNK_SIZE_LINE_BYTES = 256  # including chunk extensions
MAX_BODY_BYTES = 1 << 40
MAX_TRAILER_LINE_BYTES = 8 << 10
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e\x80-\xff]+) HTTP/(\d)\.(\d)\Z")
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?\Z")
_HEADER = re.compile(rb"(" + TOKEN + rb"):([\t\x20-\x7e\x80-\xff]*)\Z")
_HEADER_PADDING = b" \t"
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,10})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\Z")
_CONNECTION_HEADERS = frozenset((b"connection", b"content-length", b"transfer-encoding"))
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",  # not hop-by-hop, but set anew for each message that is forwarded
    )
)

Headers = list[tuple[bytes, bytes]]


class HttpError(LilacfrontError, ValueError):
    """An invalid or unsupported message.

    Attributes:
        status: HTTP status of the error answer.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Head:
    """The head of a message: the request line or status line, and the headers.

    Attributes:
        headers: Names and values of the headers, unchanged and in the order received.
        minor: The minor version of HTTP/1.
        method: Method of a request.
        target: Target of a request.
        status: Status code of a response.
        reason: Reason phrase of a response.
        keep_alive: Whether the connection stays open after the message.
    """

    headers: Headers
    minor: int = 1
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    reason: bytes = b""
    keep_alive: bool = True

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header; `name` is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, b"" if it is absent; `name` is in lower case."""
        return next(iter(self.get_all(name)), b"")

    def end_to_end_headers(self) -> Headers:
        """Return the headers that a proxy forwards: all except the hop-by-hop headers."""
        dropped = HOP_BY_HOP | _connection_options(self.get_all(b"connection"))
        return [(name, value) for name, value in self.headers if name.lower() not in dropped]


@dataclass(slots=True, frozen=True)
class Body:
    """A part of a message's body, without the framing."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """The end of a message."""


Part = Head | Body | End


@dataclass(slots=True)
class _Framing:
    """Framing of a body: chunked, of a known length, or (neither is set) up to the end of the connection."""

    chunked: bool = False
    length: int | None = None


class Parser:
    """Parses a byte stream, split in any way, into the parts of consecutive messages.

    The parser is a state machine: `_step` is the method that parses the next part.

    Attributes:
        parses_responses: Whether the messages are responses; otherwise they are requests.
    """

    def __init__(self, responses: bool) -> None:
        self.parses_responses = responses
        self._buffer = bytearray()
        self._parts: deque[Part] = deque()
        # A function, not a bound method: a parser that refers to itself would keep its buffer in memory
        # until a garbage collection.
        self._step: Callable[[Parser], bool] = Parser._read_head
        self._remaining_bytes = 0

    @property
    def is_between_messages(self) -> bool:
        """Whether the last message is complete and no byte of the next one has been received."""
        return self._step is Parser._read_head and not self._buffer

    @property
    def is_in_unframed_body(self) -> bool:
        """Whether the parser is in a body that ends with the connection."""
        return self._step is Parser._read_until_close

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes that have not been returned in a part."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Part]:
        """Add received bytes and return the parts that they complete.

        Raises:
            HttpError: The message is invalid or unsupported.
        """
        self.add(data)
        parts = []
        while (part := self.next_part()) is not None:
            parts.append(part)
        return parts

    def add(self, data: bytes) -> None:
        """Add received bytes without parsing them."""
        self._buffer += data

    def next_part(self) -> Part | None:
        """Parse and return the next part; None until more bytes have been received.

        Parsed parts take many times the memory of their bytes, so only one at a time should be in memory.

        Raises:
            HttpError: The message is invalid or unsupported.
        """
        while not self._parts and self._step(self):
            pass
        return self._parts.popleft() if self._parts else None

    def end_of_stream(self) -> list[Part]:
        """Return the parts completed by the end of the connection: the end of a body without framing."""
        if self._step is Parser._read_until_close:
            self._step = Parser._read_head
            return [End()]
        return []

    # ---- steps: each returns whether it made progress ------------------------------------------------
    def _read_line(self, max_bytes: int, status: int) -> bytes | None:
        end = self._buffer.find(b"\n", 0, max_bytes)
        if end < 0:
            if len(self._buffer) >= max_bytes:
                raise HttpError(status, f"a line of over {max_bytes} bytes")
            return None
        if self._buffer[end - 1 : end] != b"\r":
            raise HttpError(400, "a line that ends without CR LF")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        return line

    def _read_head(self) -> bool:
        while self._buffer[:2] == b"\r\n" and not self.parses_responses:
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                raise HttpError(431, f"a head of over {MAX_HEAD_BYTES} bytes")
            return False
        first_line, *lines = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[: end + 4]
        if len(lines) > MAX_HEADERS:
            raise HttpError(431, f"over {MAX_HEADERS} headers")
        headers, connection_headers = self._parse_headers(lines)
        head = (
            self._parse_status_line(first_line, headers)
            if self.parses_responses
            else self._parse_request_line(first_line, headers)
        )
        self._set_keep_alive(head, connection_headers)
        lengths = connection_headers.get(b"content-length", [])
        codings = connection_headers.get(b"transfer-encoding", [])
        framing = self._determine_framing(head, lengths, codings)
        if self.parses_responses and 100 <= head.status < 200:
            return True  # an interim response; the final response follows
        self._parts.append(head)
        self._remaining_bytes = framing.length or 0
        if framing.chunked:
            self._step = Parser._read_chunk_size
        elif framing.length is None:
            self._step = Parser._read_until_close
        else:
            self._step = Parser._read_fixed_length
        return True

    @staticmethod
    def _parse_headers(lines: list[bytes]) -> tuple[Headers, dict[bytes, list[bytes]]]:
        """Return all headers, and the values of those about the framing or the connection."""
        headers: Headers = []
        connection_headers: dict[bytes, list[bytes]] = {}
        for line in lines:
            if (match := _HEADER.match(line)) is None:
                raise HttpError(400, "a header that is not a name and a value")
            # Stripping is linear in time; a pattern with optional padding on both sides is not.
            name, value = match[1], match[2].strip(_HEADER_PADDING)
            headers.append((name, value))
            if (lower_name := name.lower()) in _CONNECTION_HEADERS:
                connection_headers.setdefault(lower_name, []).append(value)
        return headers, connection_headers

    @staticmethod
    def _set_keep_alive(head: Head, connection_headers: dict[bytes, list[bytes]]) -> None:
        if b"connection" in connection_headers or not head.minor:
            options = _connection_options(connection_headers.get(b"connection", []))
            head.keep_alive = b"close" not in options and (head.minor == 1 or b"keep-alive" in options)

    def _parse_request_line(self, first_line: bytes, headers: Headers) -> Head:
        if (match := _REQUEST_LINE.match(first_line)) is None:
            raise HttpError(400, "not a request line")
        if match[3] != b"1" or match[4] != b"1":
            raise HttpError(505, "only HTTP/1.1 is served here")
        head = Head(headers, method=match[1], target=match[2])
        if len(head.get_all(b"host")) != 1:
            raise HttpError(400, "not exactly one Host header")
        return head

    def _parse_status_line(self, first_line: bytes, headers: Headers) -> Head:
        if (match := _STATUS_LINE.match(first_line)) is None:
            raise HttpError(502, "not a status line")
        return Head(headers, int(match[1]), status=int(match[2]), reason=match[3] or b"")

    def _determine_framing(self, head: Head, lengths: list[bytes], codings: list[bytes]) -> _Framing:
        """Return the framing of the body; ambiguous or unsupported framing is rejected."""
        if len(lengths) > 1 or (lengths and codings):
            raise HttpError(400, "framed in two ways")
        if lengths and (not lengths[0].isdigit() or int(lengths[0][:20]) > MAX_BODY_BYTES):
            raise HttpError(400, "Content-Length is not a number of bytes")
        if codings and (len(codings) > 1 or codings[0].lower() != b"chunked" or head.minor == 0):
            raise HttpError(
                501 if not self.parses_responses else 502, "a transfer coding other than chunked alone"
            )
        if self.parses_responses and (head.status in (204, 304) or head.status < 200):
            return _Framing(length=0)
        if codings:
            return _Framing(chunked=True)
        if lengths:
            return _Framing(length=int(lengths[0]))
        return _Framing(length=None if self.parses_responses else 0)

    def _emit_body(self, size: int) -> None:
        if size:
            self._parts.append(Body(bytes(self._buffer[:size])))
            del self._buffer[:size]

    def _read_fixed_length(self) -> bool:
        size = min(self._remaining_bytes, len(self._buffer))
        self._emit_body(size)
        self._remaining_bytes -= size
        if self._remaining_bytes:
            return False
        self._parts.append(End())
        self._step = Parser._read_head
        return True

    def _read_until_close(self) -> bool:
        self._emit_body(len(self._buffer))
        return False

    def _read_chunk_size(self) -> bool:
        if (line := self._read_line(MAX_CHUNK_SIZE_LINE_BYTES, 400)) is None:
            return False
        if (match := _CHUNK_SIZE_LINE.match(line)) is None:
            raise HttpError(400, "not a chunk size")
        self._remaining_bytes = int(match[1], 16)
        self._step = Parser._read_chunk if self._remaining_bytes else Parser._read_trailer
        return True

    def _read_chunk(self) -> bool:
        size = min(self._remaining_bytes, len(self._buffer))
        self._emit_body(size)
        self._remaining_bytes -= size
        if self._remaining_bytes or len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise HttpError(400, "a chunk longer than it says")
        del self._buffer[:2]
        self._step = Parser._read_chunk_size
        return True

    def _read_trailer(self) -> bool:
        if (line := self._read_line(MAX_TRAILER_LINE_BYTES, 431)) is None:
            return False
        if not line:
            self._parts.append(End())
            self._step = Parser._read_head
        elif _HEADER.match(line) is None:
            raise HttpError(400, "a trailer that is not a name and a value")
        return True


# ---- writing --------------------------------------------------------------------------------------
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


def _connection_options(values: list[bytes]) -> set[bytes]:
    """Return the options listed in the values of the Connection header, in lower case."""
    return {option.strip().lower() for value in values for option in value.split(b",")}


def _encode_head(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    return first_line + b"\r\n" + lines + b"\r\n"


def request(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of a request."""
    return _encode_head(b"%s %s HTTP/1.1" % (method, target), headers)


def response(status: int, headers: Iterable[tuple[bytes, bytes]], reason: bytes = b"") -> bytes:
    """Encode the head of a response; without `reason`, the standard phrase of the status is used."""
    return _encode_head(b"HTTP/1.1 %d %s" % (status, reason or REASONS.get(status, b"Unknown")), headers)


def chunk(data: bytes) -> bytes:
    """Encode a chunk; for empty data return b"", since an empty chunk would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
