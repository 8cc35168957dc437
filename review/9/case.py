"""Case 9: with a change log that answers 2.5 s late, a front end never learns of a drain."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import standins  # noqa: E402

WAREHOUSES = 4
WORK_S = 0.1  # of each lookup
STEP_S = 0.05  # between two lookups
LATE_S = 2.5  # by which the relay delays what the change log tells
QUIET_S = 4.0  # before the delay begins
DRAIN_AFTER_S = 5.0  # from the begin of the delay to the drain
WATCH_S = 20.0  # after the drain
TOLD_S = 7.0  # "counts as told at the latest 7 s later, whether it arrived or not"
GRACE_S = 0.5 + 0.05  # of the settings, and "each time limit is 50 ms longer"
TTL_MS = 4_000


class Relay:
    """Passes bytes between the front end and the change log, those of the log late if it is told to."""

    def __init__(self, case: standins.Case, port: int) -> None:
        self.port = 0
        self.late_s = 0.0
        self._case = case
        self._log_port = port

    async def start(self) -> Relay:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._case.record.line("relay", "the front end has connected")
        log_reader, log_writer = await asyncio.open_connection("127.0.0.1", self._log_port)
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        tasks = [
            self._case.spawn(self._receive(log_reader, queue)),
            self._case.spawn(self._pass_on(queue, writer)),
        ]
        while data := await reader.read(65536):
            self._case.record.line("relay", f"front end writes {data!r}")
            log_writer.write(data)
        self._case.record.line("relay", "the front end has closed")
        for task in tasks:
            task.cancel()
        log_writer.close()
        writer.close()

    async def _receive(self, reader: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        while data := await reader.read(65536):
            queue.put_nowait((time.time() + self.late_s, data))

    async def _pass_on(self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        while True:
            at, data = await queue.get()
            await asyncio.sleep(at - time.time())
            self._case.record.line("relay", f"change log's bytes arrive: {data!r}")
            writer.write(data)


async def lookups(client: standins.ThriftClient, until: list[float]) -> None:
    """Send lookups at an even rate."""
    number = 0
    while time.time() < until[0]:
        number += 1
        client.send("lookup", TTL_MS, f"SELECT a FROM sales_{number % 97 + 1}.orders".encode())
        await asyncio.sleep(STEP_S)


async def play(case: standins.Case) -> list[str]:
    """Let a warehouse drain while discovery is slow, and see what reaches it."""
    warehouses = [
        await standins.RespWarehouse(case, f"w{number}", lambda _attempt: WORK_S).start()
        for number in range(WAREHOUSES)
    ]
    entries = [standins.entry(item.name, item.port) for item in warehouses]
    change_log = await standins.ChangeLog(case, entries).start()
    relay = await Relay(case, change_log.port).start()
    port = standins.free_port()
    configuration = {
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": f"127.0.0.1:{relay.port}",
        "known": standins.known(entries),
        "settings": standins.settings(standins.COLOMBO_CLASSES, standins.COLOMBO_THREADS),
    }
    config = case.write("config.json", json.dumps(configuration))
    front_end = case.front_end("front-end")
    await front_end.start(config, None, case.tmp())
    await front_end.wait_ready()
    client = await standins.ThriftClient(case, "client").connect(("127.0.0.1", port))
    until = [time.time() + 1000.0]
    sending = case.spawn(lookups(client, until))
    await asyncio.sleep(QUIET_S)
    if standins.has_trouble():
        relay.late_s = LATE_S
        case.record.line("case", f"from now on the change log is {LATE_S} s late")
    await asyncio.sleep(DRAIN_AFTER_S)
    drained = warehouses[0]
    drained_at = time.time()
    change_log.tell([standins.entry(drained.name, drained.port, "draining")])
    await asyncio.sleep(WATCH_S)
    until[0] = 0.0
    await sending
    await asyncio.sleep(1.0)
    limit = drained_at + TOLD_S + GRACE_S
    if not any(attempt.began_at < drained_at for attempt in drained.attempts):
        raise standins.CaseError("the warehouse has had no work before its drain")
    return [
        f"{attempt.call} reached {drained.name} {attempt.began_at - drained_at:.2f} s after it began to drain"
        for attempt in drained.attempts
        if attempt.began_at > limit
    ]


standins.run_case(FOLDER, play)
