"""A stand-in warehouse with the ClickHouse HTTP interface: one request at a time on a connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from common.bed import Record

REASONS = {200: b"OK", 500: b"Internal Server Error"}
QUERY_S, LOAD_S = 0.08, 0.4
KEEP_ALIVE_S = 10


@dataclass(slots=True)
class HttpAnswer:
    """What a warehouse does with a statement.

    Attributes:
        code: The code of the exception that it answers with, without running the statement; 0: it runs it.
        text: The text of the exception.
        second_copy_after_s: How long after the answer a second copy of it follows; 0: none does.
    """

    code: int = 0
    text: bytes = b""
    second_copy_after_s: float = 0.0


class HttpWarehouse:
    """Runs each statement for a while and answers with the rows that it made for that query id.

    Attributes:
        name: Its id in the list.
        address: Where it listens.
        rows: The rows that it made, by query id, of the statements that it has run.
        applied: The query ids of the loads that it has run.
    """

    def __init__(
        self, name: str, record: Record, answer: Callable[[HttpWarehouse, str, bool], HttpAnswer | None]
    ) -> None:
        """Create a warehouse.

        Args:
            name: Its id in the list.
            record: The record of the run.
            answer: Called for each statement with the query id and whether it is a load; returns what to do
                with it, None to run it.
        """
        self.name = name
        self.address = ""
        self.rows: dict[str, bytes] = {}
        self.applied: set[str] = set()
        self._record = record
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n")[1:]:
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                statement = await reader.readexactly(length)
                parameters = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
                await self._run(parameters["query_id"][0], statement, writer)
        writer.close()

    async def _run(self, query_id: str, statement: bytes, writer: asyncio.StreamWriter) -> None:
        is_load = statement.startswith(b"insert")
        self._record.add(f"{self.name} takes {query_id} {'load' if is_load else 'query'}")
        answer = self._answer(self, query_id, is_load) or HttpAnswer()
        if not answer.code:
            await asyncio.sleep(LOAD_S if is_load else QUERY_S)
            self._apply(query_id, is_load)
        self._record.add(
            f"{self.name} answers {query_id} with {f'error {answer.code}' if answer.code else 'rows'}"
        )
        data = _encode(query_id, answer, self.rows.get(query_id, b""))
        writer.write(data)
        if answer.second_copy_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(answer.second_copy_after_s, self._write_again, query_id, writer, data)
        await writer.drain()

    def _apply(self, query_id: str, is_load: bool) -> None:
        if is_load:
            self.applied.add(query_id)
            self.rows[query_id] = b""
        else:
            self.rows[query_id] = b"%s\t%s\t1\n" % (query_id.encode(), self.name.encode())

    def _write_again(self, query_id: str, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            self._record.add(f"{self.name} answers {query_id} a second time")
            writer.write(data)


def _encode(query_id: str, answer: HttpAnswer, rows: bytes) -> bytes:
    body = answer.text if answer.code else rows
    status = 500 if answer.code else 200
    lines = [
        b"HTTP/1.1 %d %s" % (status, REASONS[status]),
        b"Content-Type: text/tab-separated-values; charset=UTF-8",
        b"X-ClickHouse-Query-Id: " + query_id.encode(),
        b"Connection: Keep-Alive",
        b"Keep-Alive: timeout=%d" % KEEP_ALIVE_S,
        b"Content-Length: %d" % len(body),
    ]
    if answer.code:
        lines.append(b"X-ClickHouse-Exception-Code: %d" % answer.code)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
