"""A stand-in of the change log, written from the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any


class ChangeLog:
    """Sends the events after the number that a front end names, and its last number every second.

    Attributes:
        address: Where it listens.
        seq: Number of the last event.
    """

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.seq = 1
        self.first_event = {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": instances}}
        self.address = ""
        self._events = [self.first_event]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def known(self) -> dict[str, Any]:
        """The events of the start, as the configuration has them."""
        return {"seq": self.seq, "results": list(self._events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, asyncio.CancelledError):
            sent = int((await reader.readline()).removeprefix(b"since "))
            while True:
                for event in self._events[sent:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                sent = len(self._events)
                writer.write(b"%d\n" % self.seq)
                await writer.drain()
                await asyncio.sleep(1.0)
        writer.close()
