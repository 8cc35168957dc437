"""Parser and encoder for the messages of the Thrift service Front, without I/O.

The messages use framed transport and the strict binary protocol. Lengths are checked before memory is
allocated for them. Unknown fields are skipped.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lilacfront.errors import LilacfrontError

MAX_FRAME_BYTES = 256 << 10
LENGTH_BYTES = 4  # of the length before a frame
NAME_POSITION = 4  # of the name's length, behind the version and the type
ABORT_NAME = b"\x00\x00\x00\x05abort"
MAX_OPEN_CALLS = 32  # limit for one connection
MAX_FIELDS = 256  # limit for the fields of one request; the service defines nine
MAX_SKIPPED_VALUES = 1024  # limit for the values in unknown fields of one message
MAX_NESTING_DEPTH = 16  # limit for values in unknown fields, which are skipped
VERSION = 0x80010000
VERSION_MASK = 0xFFFF0000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4  # message types
# Type ids of values.
BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15
SIZE_BY_TYPE = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7  # codes of an application exception
STOP = b"\x00"
MIN_MAP_ENTRY_BYTES = 8  # the length prefixes of its key and value
_I32 = struct.Struct(">i")
_FIELD_HEADER = struct.Struct(">bh")
_FieldHeader = tuple[int, int]  # type and field id; type 0: end of the struct


class ThriftError(LilacfrontError, ValueError):
    """An invalid message.

    Attributes:
        name: Name of the method; empty if it could not be parsed.
        seqid: Sequence number; None if it could not be parsed.
    """

    def __init__(self, text: str, name: bytes = b"", seqid: int | None = None) -> None:
        super().__init__(text)
        self.name = name
        self.seqid = seqid


@dataclass(slots=True)
class Message:
    """One call, with the arguments that the service defines.

    Attributes:
        message_type: The type of the message; a client sends CALL and ONEWAY.
        name: Name of the method.
        seqid: The sequence number.
        fields: Argument 1 of `invoke`.
        body: Argument 2 of `invoke`.
        aborted_seqid: Argument 1 of `abort`.
    """

    message_type: int
    name: bytes
    seqid: int
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    aborted_seqid: int | None = None


class FrameDecoder:
    """Splits a byte stream, received in pieces of any size, into frames."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    @property
    def buffered_bytes(self) -> int:
        """Number of received bytes of the incomplete frame."""
        return len(self._buffer)

    @property
    def missing_bytes(self) -> int:
        """Number of bytes that complete the incomplete frame; 0 if its length is not known yet."""
        if len(self._buffer) < LENGTH_BYTES:
            return 0
        return LENGTH_BYTES + int.from_bytes(self._buffer[:LENGTH_BYTES], "big") - len(self._buffer)

    def pop_incomplete(self) -> bytes:
        """Remove the received bytes of the incomplete frame and return them."""
        data = bytes(self._buffer)
        self._buffer.clear()
        return data

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the frames that they complete, without their length prefixes.

        Raises:
            ThriftError: A frame is too large.
        """
        self._buffer += data
        frames = []
        position = 0
        while len(self._buffer) - position >= LENGTH_BYTES:
            start = position + LENGTH_BYTES
            size = int.from_bytes(self._buffer[position:start], "big")
            if size > self._max_frame_bytes:
                raise ThriftError(f"a frame of {size} bytes, over {self._max_frame_bytes}")
            if len(self._buffer) - start < size:
                break
            with memoryview(self._buffer) as view:
                frames.append(bytes(view[start : start + size]))
            position = start + size
        if position:
            del self._buffer[:position]
        return frames


class _Reader:
    """Reads the values of one frame."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0
        self._skipped_values = 0

    def read(self, size: int) -> bytes:
        if size < 0 or size > len(self.data) - self.position:
            raise ThriftError(f"a length of {size} at byte {self.position} runs past the frame")
        self.position += size
        return self.data[self.position - size : self.position]

    def read_i32(self) -> int:
        value: int = _I32.unpack(self.read(4))[0]
        return value

    def read_string(self) -> bytes:
        return self.read(self.read_i32())

    def read_string_map(self) -> dict[bytes, bytes]:
        key_type, value_type = self.read(2)
        size = self.read_i32()
        if size and (key_type, value_type) != (STRING, STRING):
            raise ThriftError("a map that is not of strings")
        if size < 0 or size > min(MAX_FIELDS, (len(self.data) - self.position) // MIN_MAP_ENTRY_BYTES):
            raise ThriftError(f"a map of {size} entries")
        return {self.read_string(): self.read_string() for _ in range(size)}

    def read_field_header(self) -> _FieldHeader:
        field_type = self.read(1)[0]
        if not field_type:
            return (0, 0)
        return (field_type, int.from_bytes(self.read(2), "big", signed=True))

    def skip(self, value_type: int, depth: int = 0) -> None:
        if depth > MAX_NESTING_DEPTH:
            raise ThriftError("values nested too deeply")
        self._skipped_values += 1
        if self._skipped_values > MAX_SKIPPED_VALUES:
            raise ThriftError("too many values in unknown fields")
        if value_type in SIZE_BY_TYPE:
            self.read(SIZE_BY_TYPE[value_type])
        elif value_type == STRING:
            self.read_string()
        elif value_type == STRUCT:
            while (inner := self.read_field_header())[0]:
                self.skip(inner[0], depth + 1)
        elif value_type in (MAP, SET, LIST):
            self._skip_collection(value_type, depth)
        else:
            raise ThriftError(f"a value of the unknown type {value_type}")

    def _skip_collection(self, collection_type: int, depth: int) -> None:
        element_types = self.read(2) if collection_type == MAP else self.read(1)
        size = self.read_i32()
        if size < 0 or size > len(self.data) - self.position:
            raise ThriftError(f"a collection of {size} entries")
        if all(element_type in SIZE_BY_TYPE for element_type in element_types):
            self.read(size * sum(SIZE_BY_TYPE[element_type] for element_type in element_types))
            return
        for _ in range(size):
            for element_type in element_types:
                self.skip(element_type, depth + 1)


def parse_call(frame: bytes) -> Message:
    """Parse one call of the service Front.

    Raises:
        ThriftError: The call is invalid. The error has the name and the sequence number if they were parsed.
    """
    reader = _Reader(frame)
    head = int.from_bytes(reader.read(4), "big")
    if head & VERSION_MASK != VERSION:
        raise ThriftError("not the strict binary protocol")
    message = Message(head & 0xFF, reader.read_string(), reader.read_i32())
    try:
        _read_arguments(reader, message)
    except ThriftError as error:
        raise ThriftError(str(error), message.name, message.seqid) from None
    if reader.position != len(frame):
        extra = len(frame) - reader.position
        raise ThriftError(f"{extra} bytes after the arguments", message.name, message.seqid)
    return message


def is_abort(frame: bytes) -> bool:
    """Whether a frame is a call of `abort`, without parsing it."""
    return frame[NAME_POSITION : NAME_POSITION + len(ABORT_NAME)] == ABORT_NAME


def _read_arguments(reader: _Reader, message: Message) -> None:
    while (header := reader.read_field_header())[0]:
        if message.name == b"invoke" and header == (MAP, 1):
            message.fields = reader.read_string_map()
        elif message.name == b"invoke" and header == (STRING, 2):
            message.body = reader.read_string()
        elif message.name == b"abort" and header == (I32, 1):
            message.aborted_seqid = reader.read_i32()
        else:
            reader.skip(header[0])


# ---- writing --------------------------------------------------------------------------------------


def _encode_string(data: bytes) -> bytes:
    return _I32.pack(len(data)) + data


def _encode_map(field_id: int, fields: Mapping[bytes, bytes]) -> bytes:
    entries = b"".join(_encode_string(key) + _encode_string(value) for key, value in fields.items())
    return _FIELD_HEADER.pack(MAP, field_id) + bytes((STRING, STRING)) + _I32.pack(len(fields)) + entries


def _encode_message(message_type: int, name: bytes, seqid: int, content: bytes) -> bytes:
    body = _I32.pack((VERSION | message_type) - (1 << 32)) + _encode_string(name) + _I32.pack(seqid) + content
    return _I32.pack(len(body)) + body


def encode_answer(name: bytes, seqid: int, body: bytes, is_good: bool = True) -> bytes:
    """Encode the reply of `invoke` or `ping`: an Answer."""
    inner = (
        _FIELD_HEADER.pack(STRING, 1)
        + _encode_string(body)
        + _encode_map(2, {})
        + _FIELD_HEADER.pack(BOOL, 3)
        + bytes((is_good,))
    )
    return _encode_message(REPLY, name, seqid, _FIELD_HEADER.pack(STRUCT, 0) + inner + STOP + STOP)


def encode_shed(seqid: int, fields: Mapping[bytes, bytes]) -> bytes:
    """Encode the reply of an `invoke` that throws Shed: the request was rejected."""
    return _encode_message(
        REPLY, b"invoke", seqid, _FIELD_HEADER.pack(STRUCT, 1) + _encode_map(1, fields) + STOP + STOP
    )


def encode_fault(seqid: int, fields: Mapping[bytes, bytes]) -> bytes:
    """Encode the reply of an `invoke` that throws Fault: the request failed."""
    return _encode_message(
        REPLY, b"invoke", seqid, _FIELD_HEADER.pack(STRUCT, 2) + _encode_map(1, fields) + STOP + STOP
    )


def encode_application_exception(name: bytes, seqid: int, code: int, text: str) -> bytes:
    """Encode a Thrift application exception, the answer to a call that the service does not accept."""
    inner = (
        _FIELD_HEADER.pack(STRING, 1)
        + _encode_string(text.encode())
        + _FIELD_HEADER.pack(I32, 2)
        + _I32.pack(code)
    )
    return _encode_message(EXCEPTION, name, seqid, inner + STOP)


# ---- client side ------------------------------------------------------------------------------------
class ReplyKind(StrEnum):
    """The kind of a reply."""

    ANSWER = "answer"
    SHED = "shed"
    FAULT = "fault"
    EXCEPTION = "exception"


RESULT_KINDS = {(STRUCT, 0): ReplyKind.ANSWER, (STRUCT, 1): ReplyKind.SHED, (STRUCT, 2): ReplyKind.FAULT}


@dataclass(slots=True)
class Reply:
    """A reply to `invoke` or `ping`.

    Attributes:
        name: Name of the method.
        seqid: The sequence number.
        kind: The kind of the reply.
        body: The result of an answer.
        is_good: The flag of an answer: that of a `ping` says whether the server is healthy.
        fields: The fields of a Shed or a Fault.
    """

    name: bytes
    seqid: int
    kind: ReplyKind
    body: bytes = b""
    is_good: bool = False
    fields: dict[bytes, bytes] = field(default_factory=dict)


def encode_invoke(seqid: int, fields: Mapping[bytes, bytes], body: bytes) -> bytes:
    """Encode a call of `invoke`."""
    content = _encode_map(1, fields) + _FIELD_HEADER.pack(STRING, 2) + _encode_string(body) + STOP
    return _encode_message(CALL, b"invoke", seqid, content)


def encode_abort(seqid: int) -> bytes:
    """Encode a call of `abort`, which has no reply."""
    return _encode_message(ONEWAY, b"abort", 0, _FIELD_HEADER.pack(I32, 1) + _I32.pack(seqid) + STOP)


def encode_ping(seqid: int) -> bytes:
    """Encode a call of `ping`."""
    return _encode_message(CALL, b"ping", seqid, _FIELD_HEADER.pack(BOOL, 1) + b"\x01" + STOP)


def parse_reply(frame: bytes) -> Reply:
    """Parse one reply of the service Front.

    Raises:
        ThriftError: The reply is invalid, has no result, or is an answer without its flag.
    """
    reader = _Reader(frame)
    head = int.from_bytes(reader.read(4), "big")
    message_type = head & 0xFF
    if head & VERSION_MASK != VERSION or message_type not in (REPLY, EXCEPTION):
        raise ThriftError("not a reply in the strict binary protocol")
    reply = Reply(reader.read_string(), reader.read_i32(), ReplyKind.EXCEPTION)
    if message_type == REPLY:
        kind = RESULT_KINDS.get(reader.read_field_header())
        if kind is None:
            raise ThriftError("reply has no known result field", reply.name, reply.seqid)
        reply.kind = kind
    has_flag = _read_result(reader, reply)
    if message_type == REPLY and reader.read(1) != STOP:
        raise ThriftError("reply has more than one result field", reply.name, reply.seqid)
    if reader.position != len(frame) or (reply.kind is ReplyKind.ANSWER and not has_flag):
        raise ThriftError(
            "reply has bytes after its end, or an answer without its flag", reply.name, reply.seqid
        )
    return reply


def _read_result(reader: _Reader, reply: Reply) -> bool:
    """Read the fields of the result; return whether they include the flag of an answer."""
    has_flag = False
    while (header := reader.read_field_header())[0]:
        if reply.kind is ReplyKind.ANSWER and header == (STRING, 1):
            reply.body = reader.read_string()
        elif reply.kind is ReplyKind.ANSWER and header == (BOOL, 3):
            reply.is_good = reader.read(1) != STOP
            has_flag = True
        elif reply.kind in (ReplyKind.SHED, ReplyKind.FAULT) and header == (MAP, 1):
            reply.fields = reader.read_string_map()
        else:
            reader.skip(header[0])
    return has_flag
