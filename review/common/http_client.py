"""A client of the ClickHouse HTTP interface: one request after the other on a kept connection."""

from __future__ import annotations

import asyncio
import contextlib

from common.thrift_client import Answer

KIND_BY_STATUS = {200: "served", 503: "refused"}


class HttpClient:
    """A connection, opened with the first request and again after it has ended."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def query(self, query_id: str, statement: bytes, timeout_s: float) -> Answer | None:
        """Send a statement; None if there is no whole answer by the timeout."""
        head = b"POST /?query_id=%s HTTP/1.1\r\nHost: front\r\nContent-Length: %d\r\n\r\n"
        try:
            if self._streams is None:
                host, port = self._address.rsplit(":", 1)
                self._streams = await asyncio.open_connection(host, int(port))
            self._streams[1].write(head % (query_id.encode(), len(statement)) + statement)
            return await asyncio.wait_for(self._read_answer(self._streams[0]), timeout_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self.close()
            return None

    async def _read_answer(self, reader: asyncio.StreamReader) -> Answer:
        lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines[1:])
        }
        if headers.get(b"transfer-encoding", b"") == b"chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers[b"content-length"]))
        if headers.get(b"connection", b"").lower() == b"close":
            self.close()
        return Answer(KIND_BY_STATUS.get(int(lines[0].split(b" ")[1]), "failed"), body)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(OSError):
                self._streams[1].close()
            self._streams = None
