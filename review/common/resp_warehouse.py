"""A stand-in warehouse of the platform: RESP arrays of bulk strings, many requests on a connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from common.bed import Record

Words = tuple[bytes, ...]


async def read_words(reader: asyncio.StreamReader) -> Words:
    """Read one array of bulk strings."""
    size = int((await reader.readline()).removeprefix(b"*"))
    words = []
    for _ in range(size):
        length = int((await reader.readline()).removeprefix(b"$"))
        words.append((await reader.readexactly(length + 2))[:-2])
    return tuple(words)


def encode_words(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def parse_fields(raw: bytes) -> dict[bytes, bytes]:
    """Parse `name=value,name=value`."""
    pairs = (part.partition(b"=") for part in raw.split(b",")) if raw != b"-" else ()
    return {name: value for name, _, value in pairs}


@dataclass(slots=True, frozen=True)
class Request:
    """A request as the warehouse received it."""

    call: str
    fields: dict[bytes, bytes]
    statement: bytes


class RespWarehouse:
    """Runs each request in a task of its own; `undo` and the end of the connection give it up.

    Attributes:
        name: Its id in the list.
        address: Where it listens.
        hangs: Returns whether it takes requests and answers none now.
        on_end: Called with the id of a request whose end was written or that was given up.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        run: Callable[[RespWarehouse, Request], Awaitable[bytes]],
        note_s: float,
    ) -> None:
        """Create a warehouse.

        Args:
            name: Its id in the list.
            record: The record of the run.
            run: Runs a request and returns its rows.
            note_s: Time between two notes on a request that is out.
        """
        self.name = name
        self.address = ""
        self.hangs: Callable[[], bool] = lambda: False
        self.on_end: Callable[[str], None] = lambda _call: None
        self._record = record
        self._run_request = run
        self._note_s = note_s
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def wait_while_hanging(self) -> None:
        """Wait until it does not hang."""
        while self.hangs():
            await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[str, asyncio.Task[None]] = {}
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                match await read_words(reader):
                    case (b"do", request_id, fields, statement):
                        request = Request(request_id.decode(), parse_fields(fields), statement)
                        running[request.call] = asyncio.create_task(self._run(running, request, writer))
                    case (b"undo", request_id):
                        self._give_up(running, request_id.decode(), "undo")
                    case (b"ping", tag):
                        writer.write(encode_words(tag, b"PONG", b"-", b""))
        for call in list(running):
            self._give_up(running, call, "the connection ended")
        writer.close()

    def _give_up(self, running: dict[str, asyncio.Task[None]], call: str, how: str) -> None:
        task = running.pop(call, None)
        if task is not None:
            task.cancel()
            self._record.add(f"{self.name} gives up {call}: {how}")
            self.on_end(call)

    async def _run(
        self, running: dict[str, asyncio.Task[None]], request: Request, writer: asyncio.StreamWriter
    ) -> None:
        text = ",".join(f"{name.decode()}={value.decode()}" for name, value in request.fields.items())
        self._record.add(f"{self.name} takes {request.call} {text}")
        notes = asyncio.create_task(self._send_notes(request, writer))
        try:
            rows = await self._run_request(self, request)
        finally:
            notes.cancel()
        running.pop(request.call, None)
        writer.write(encode_words(request.call.encode(), b"HIT", b"pages=1,cost=60,need=16", rows))
        self._record.add(f"{self.name} answers {request.call}")
        self.on_end(request.call)

    async def _send_notes(self, request: Request, writer: asyncio.StreamWriter) -> None:
        share = 0.0
        while True:
            await asyncio.sleep(self._note_s)
            await self.wait_while_hanging()
            share = min(0.9, share + 0.3)
            writer.write(encode_words(request.call.encode(), b"INFO", b"why=so_far,v=%.1f" % share, b""))
