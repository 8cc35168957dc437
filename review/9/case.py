"""Case 9: while the open etcd watch is silent, a drain is not heeded for up to ten seconds."""

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
QUIET_S = 4.0  # before the watch falls silent
DRAIN_AFTER_S = 0.5  # from the silence to the drain
WATCH_S = 15.0  # after the drain
TOLD_S = 7.0  # "counts as told at the latest 7 s later, whether it arrived or not"
GRACE_S = 0.5 + 0.05  # of the settings, and "each time limit is 50 ms longer"
TTL_MS = 4_000
GATEWAY = """
[etcd]
endpoints = ["127.0.0.1:{port}"]
prefix = "/warehouses/"
"""


async def lookups(client: standins.ThriftClient, until: list[float]) -> None:
    """Send lookups at an even rate."""
    number = 0
    while time.time() < until[0]:
        number += 1
        client.send("lookup", TTL_MS, f"SELECT a FROM sales_{number % 97 + 1}.orders".encode())
        await asyncio.sleep(STEP_S)


async def play(case: standins.Case) -> list[str]:
    """Let the watch fall silent and then a warehouse drain, and see what reaches it."""
    warehouses = [
        await standins.RespWarehouse(case, f"w{number}", lambda _attempt: WORK_S).start()
        for number in range(WAREHOUSES)
    ]
    entries = {item.name: standins.entry(item.name, item.port) for item in warehouses}
    store = standins.Store(case)
    for name, value in entries.items():
        store.put(name, value)
    etcd = await standins.Etcd(case, store, "etcd").start()
    port = standins.free_port()
    configuration = {
        "listen": f"127.0.0.1:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": "",
        "known": standins.known(list(entries.values())),
        "settings": standins.settings(standins.COLOMBO_CLASSES, standins.COLOMBO_THREADS),
    }
    config = case.write("config.json", json.dumps(configuration))
    gateway = case.write("gateway.toml", GATEWAY.format(port=etcd.port))
    front_end = case.front_end("front-end")
    await front_end.start(config, gateway, case.tmp())
    await front_end.wait_ready()
    client = await standins.ThriftClient(case, "client").connect(("127.0.0.1", port))
    until = [time.time() + 1000.0]
    sending = case.spawn(lookups(client, until))
    await asyncio.sleep(QUIET_S)
    store.put("w3", {**entries["w3"], "weight": 11})  # the last change that the watch tells
    await asyncio.sleep(0.2)
    if standins.has_trouble():
        etcd.silence()
    await asyncio.sleep(DRAIN_AFTER_S)
    drained = warehouses[0]
    drained_at = time.time()
    store.put(drained.name, {**entries[drained.name], "lifecycle": "draining"})
    await asyncio.sleep(WATCH_S)
    until[0] = 0.0
    await sending
    await asyncio.sleep(1.0)
    if not any(attempt.began_at < drained_at for attempt in drained.attempts):
        raise standins.CaseError("the warehouse has had no work before its drain")
    return [
        f"{attempt.call} reached {drained.name} {attempt.began_at - drained_at:.2f} s after it began to drain"
        for attempt in drained.attempts
        if attempt.began_at > drained_at + TOLD_S + GRACE_S
    ]


standins.run_case(FOLDER, play)
