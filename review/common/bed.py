"""Starts front ends with the deploy file's command, and keeps the record of a run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from common.thrift_client import ThriftClient

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
END_TIMEOUT_S = 5.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run, in the order in which it happened."""

    def __init__(self) -> None:
        self._began = time.time()
        self._lines: list[str] = []
        self.breaks: list[str] = []

    def now(self) -> float:
        """Seconds since the run began."""
        return time.time() - self._began

    def add(self, text: str) -> None:
        """Add a line with the time."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def add_break(self, text: str) -> None:
        """Add a line on a broken rule."""
        self.breaks.append(text)
        self.add(f"BROKEN {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")


class Bed:
    """A temporary folder and the processes of one run; all of them are ended by `close`.

    Attributes:
        record: The record of the run.
        folder: The temporary folder.
        front_ends: The processes of the front ends, by name.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.front_ends: dict[str, subprocess.Popen[bytes]] = {}
        self._killed: set[str] = set()
        self._reserved: list[socket.socket] = []

    def reserve_address(self) -> str:
        """Return a free loopback address; it stays bound here, so that the system gives it to nobody else."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self._reserved.append(sock)
        return "{}:{}".format(*sock.getsockname())

    def write(self, name: str, text: str) -> Path:
        """Write a file into the temporary folder."""
        path = self.folder / name
        path.write_text(text)
        return path

    def start_front_end(self, name: str, configuration: dict[str, Any], options: str = "") -> str:
        """Start `run` of the deploy file as the platform does; returns the address for clients."""
        address = self.reserve_address()
        private = self.folder / f"tmp-{name}"
        private.mkdir()
        values = {"name": name, "listen": address, **configuration}
        environment = {
            **os.environ,
            "PROXY_NAME": name,
            "PROXY_LISTEN": address,
            "PROXY_CONFIG": str(self.write(f"{name}.json", json.dumps(values))),
            "TMPDIR": str(private),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (self.folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", f"{run} {options}".strip()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.front_ends[name] = process
        self.record.add(f"front end {name} started at {address}")
        return address

    async def wait_until_ready(self, address: str) -> None:
        """Wait until a front end answers `ping` with `good` true."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                client = await ThriftClient.connect(address)
                is_good = await client.ping()
                await client.close()
                if is_good:
                    self.record.add(f"front end at {address} is ready")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the front end at {address} is not ready")

    def check_running(self) -> None:
        """Record front ends that have ended by themselves."""
        for name, process in self.front_ends.items():
            if name not in self._killed and process.poll() is not None:
                self.record.add_break(f"front end {name} ended by itself with code {process.returncode}")

    def kill(self, name: str) -> None:
        """Kill a front end."""
        self._killed.add(name)
        self.front_ends[name].send_signal(signal.SIGKILL)

    def log_tail(self, lines: int = 5) -> None:
        """Add the last lines of each front end's log to the record."""
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines()[-lines:]:
                self.record.add(f"log {path.name}: {line[:200]}")

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for name, process in self.front_ends.items():
            if process.poll() is None:
                self.kill(name)
            process.wait(END_TIMEOUT_S)
        for sock in self._reserved:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play: Callable[[Bed, Record], Awaitable[None]], case_file: str) -> None:
    """Play a case, write `record.txt` beside it and exit: 0 the rule held, 1 it was broken, 2 no run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the processes are ended all the same
    record = Record()
    bed = Bed(record)
    record.add(f"trouble: {'yes' if has_trouble() else 'no'}")
    code = HELD
    try:
        asyncio.run(_play(play, bed, record))
        code = BROKEN if record.breaks else HELD
    except Exception as error:  # noqa: BLE001 - whatever went wrong, the case could not run
        traceback.print_exc()
        record.add(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    finally:
        bed.log_tail()
        bed.close()
        record.add(f"exit {code}, {len(record.breaks)} breaks")
        record.write(Path(case_file).resolve().parent / "record.txt")
    for text in record.breaks[:5]:
        print("BROKEN", text)
    print(f"exit {code}, {len(record.breaks)} breaks")
    sys.exit(code)


async def _play(play: Callable[[Bed, Record], Awaitable[None]], bed: Bed, record: Record) -> None:
    await play(bed, record)
    bed.check_running()
