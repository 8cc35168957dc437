"""A client of the platform's protocol: Thrift, framed, strict binary; written from the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from dataclasses import dataclass, field

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
T_BOOL, T_I32, T_STRING, T_STRUCT, T_MAP = 2, 8, 11, 12, 13
KINDS = {0: "served", 1: "refused", 2: "failed"}
VERSION = 0x80010000


@dataclass(slots=True)
class Answer:
    """One answer: `served`, `refused` or `failed`; the result and the fields."""

    kind: str
    body: bytes = b""
    good: bool = False
    fields: dict[bytes, bytes] = field(default_factory=dict)


def _string(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _message(kind: int, name: bytes, seqid: int, content: bytes) -> bytes:
    body = struct.pack(">I", VERSION | kind) + _string(name) + struct.pack(">i", seqid) + content + b"\0"
    return struct.pack(">i", len(body)) + body


def encode_invoke(seqid: int, fields: dict[bytes, bytes], body: bytes) -> bytes:
    """Encode `invoke(fields, body)`."""
    pairs = b"".join(_string(name) + _string(value) for name, value in fields.items())
    content = struct.pack(">bhbbi", T_MAP, 1, T_STRING, T_STRING, len(fields)) + pairs
    return _message(CALL, b"invoke", seqid, content + struct.pack(">bh", T_STRING, 2) + _string(body))


def encode_ping(seqid: int) -> bytes:
    """Encode `ping(true)`."""
    return _message(CALL, b"ping", seqid, struct.pack(">bhb", T_BOOL, 1, 1))


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, size: int) -> bytes:
        if size < 0 or self.at + size > len(self.data):
            raise ValueError("a message that can't be read")
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self) -> int:
        return int.from_bytes(self.take(4), "big", signed=True)

    def string(self) -> bytes:
        return self.take(self.number())

    def header(self) -> tuple[int, int]:
        kind = self.take(1)[0]
        return (kind, int.from_bytes(self.take(2), "big", signed=True)) if kind else (0, 0)

    def string_map(self) -> dict[bytes, bytes]:
        self.take(2)
        return {self.string(): self.string() for _ in range(self.number())}


def decode_reply(frame: bytes) -> tuple[int, Answer]:
    """Decode one reply: its sequence number and the answer.

    Raises:
        ValueError: The reply can't be read.
    """
    reader = _Reader(frame)
    kind = int.from_bytes(reader.take(4), "big") & 0xFF
    reader.string()
    seqid = reader.number()
    if kind != REPLY:
        return seqid, Answer("failed")
    field_type, field_id = reader.header()
    if field_type != T_STRUCT or field_id not in KINDS:
        raise ValueError("a reply without a known result")
    answer = Answer(KINDS[field_id])
    while (header := reader.header())[0]:
        match header[0]:
            case 11:
                answer.body = reader.string()
            case 13:
                answer.fields = reader.string_map()
            case 2:
                answer.good = reader.take(1) != b"\0"
            case _:
                raise ValueError("a field of an unknown type")
    return seqid, answer


class ThriftClient:
    """A connection; several requests may be open on it.

    Attributes:
        second_answers: Sequence numbers that were answered more than once.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._seqid = 0
        self._open: dict[int, asyncio.Future[Answer | None]] = {}
        self._answered: set[int] = set()
        self.second_answers: list[int] = []
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, address: str) -> ThriftClient:
        """Connect to a front end."""
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer)

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                size = int.from_bytes(await self._reader.readexactly(4), "big")
                seqid, answer = decode_reply(await self._reader.readexactly(size))
                future = self._open.pop(seqid, None)
                if future is None:
                    self.second_answers.append(seqid)
                elif not future.done():
                    future.set_result(answer)
        for future in self._open.values():
            if not future.done():
                future.set_result(None)
        self._open.clear()

    def _begin(self) -> tuple[int, asyncio.Future[Answer | None]]:
        self._seqid += 1
        future: asyncio.Future[Answer | None] = asyncio.get_running_loop().create_future()
        if self._task.done():
            future.set_result(None)
        else:
            self._open[self._seqid] = future
        return self._seqid, future

    async def invoke(self, fields: dict[bytes, bytes], body: bytes, timeout_s: float) -> Answer | None:
        """Send a request and wait for its answer; None if there is none by the timeout."""
        seqid, future = self._begin()
        self._writer.write(encode_invoke(seqid, fields, body))
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return None

    async def ping(self) -> bool:
        """Whether the front end answers `ping` with `good` true."""
        seqid, future = self._begin()
        self._writer.write(encode_ping(seqid))
        answer = await asyncio.wait_for(future, 2.0)
        return answer is not None and answer.good

    async def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()
