"""Case 6: loads of HTTP clients that are in flight at the end of a planned restart get no answer."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import standins  # noqa: E402

WAREHOUSES = 8
CLIENTS = 24
WORK_S = 5.0  # of the first load; each further one takes STEP_S longer: all within the deadline of 20 s
STEP_S = 0.1
SIGTERM_AFTER_S = 1.0  # from the first load
KILL_AFTER_S = 3.0 + 0.7  # SIGKILL comes no earlier: the longest deadline counts as 3 s
DEADLINE_S = 20.0
SLACK_S = 0.5
GATEWAY = """
[clickhouse]
listen = "127.0.0.1:{port}"
read_class = "report"
load_class = "load"
[warehouses]
protocol = "clickhouse"
"""


def work_s(statement: str) -> float:
    """Return how long a load takes; the loads end one after the other."""
    return WORK_S + STEP_S * int(statement.split("sales_")[1].split(".")[0])


async def ask(case: standins.Case, port: int, number: int) -> str:
    """Send one load on a connection of its own; return what came, an empty text if it was no answer."""
    statement = f"INSERT INTO sales_{number}.orders SELECT n FROM staging_{number}.orders"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = statement.encode()
    head = f"POST / HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\nConnection: close\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    case.record.line(f"client {number}", f"POST {statement}")
    answer = None
    try:
        answer = await asyncio.wait_for(standins.read_http(reader), DEADLINE_S + SLACK_S)
    except TimeoutError:
        case.record.line(f"client {number}", "no answer in time")
    writer.close()
    if answer is None:
        case.record.line(f"client {number}", "the connection has ended without a whole answer")
        return ""
    case.record.line(f"client {number}", f"{answer.first_line} {answer.body.decode().strip()}")
    return answer.first_line


async def play(case: standins.Case) -> list[str]:
    """Start a front end with the HTTP front, send loads, and restart it as planned."""
    warehouses = [
        await standins.HttpWarehouse(case, f"w{number}", work_s).start() for number in range(WAREHOUSES)
    ]
    http_port = standins.free_port()
    configuration = {
        "listen": f"127.0.0.1:{standins.free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": "",
        "known": standins.known([standins.entry(item.name, item.port) for item in warehouses]),
        "settings": standins.settings(standins.COLOMBO_CLASSES, standins.COLOMBO_THREADS),
    }
    config = case.write("config.json", json.dumps(configuration))
    gateway = case.write("gateway.toml", GATEWAY.format(port=http_port))
    front_end = case.front_end("front-end")
    await front_end.start(config, gateway, case.tmp())
    await front_end.wait_ready()
    asked = [case.spawn(ask(case, http_port, number)) for number in range(1, CLIENTS + 1)]
    await asyncio.sleep(SIGTERM_AFTER_S)
    if standins.has_trouble():
        at = time.time()
        front_end.signal(signal.SIGTERM)
        if not await front_end.wait_ended(KILL_AFTER_S):
            front_end.signal(signal.SIGKILL)
        case.record.line("case", f"ended {time.time() - at:.2f} s after SIGTERM")
    answers = await asyncio.gather(*asked)
    return [
        f"request {number} was taken and has no whole answer"
        for number, answer in enumerate(answers, 1)
        if not answer
    ]


standins.run_case(FOLDER, play)
