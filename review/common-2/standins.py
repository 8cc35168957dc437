"""Stand-ins, client and helpers that the cases 6 to 10 share.

Everything runs on one asyncio loop on the real clock and on loopback addresses; the front ends are separate
processes, started with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from lilacfront.protocols import resp, thrift  # noqa: E402

HOLDS, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0
READY_TIMEOUT_S = 20.0
PASSED_DESCRIPTOR = 3  # the clients' listening socket, as the platform passes it
MS = 1000


def has_trouble() -> bool:
    """Whether the disruption takes place; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file `record.txt`: what was sent, answered and run, each with its Unix time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.line("case", f"trouble={int(has_trouble())}")

    def line(self, who: str, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.time():.3f} {who}: {text}\n")
        self._file.flush()

    def raw(self, text: str) -> None:
        """Add text as it is."""
        self._file.write(text)
        self._file.flush()


def free_port() -> int:
    """Return a port that is free on the loopback address."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def settings(classes: list[dict[str, Any]], threads: list[int], **changes: Any) -> dict[str, Any]:
    """Return settings in the form of the wire page, for a small deployment of two front ends."""
    loads = [item["effect"] != "free" for item in classes]
    return {
        "classes": classes,
        "clients": {"marks-retry": False},
        "discovery": "push",
        "domain-type": "queries",
        "extra": {
            "blocked-by-loads": [not load for load in loads],
            "class-load": loads,
            "cpu-of-kind": [12, 8],
            "grants": False,
            "out-of-memory": "shrink",
            "progress": 0,
            "takes-priority": True,
            "threads-by-class": threads,
        },
        "instances": 2,
        "kinds": ["c12", "c8"],
        "layers": ["query-fleet"],
        "orgs": [],
        "policy-limits": {
            "cancel": True,
            "conn-idle": 30_000_000,
            "connect-timeout": 250_000,
            "max-retry-after": 2_000_000,
            "may-tell": False,
            "most-held": 30000,
            "most-tries": 5,
            "probing": False,
            "retry-after": True,
            "second-copies": False,
            "streams-per-conn": 32,
        },
        "safety": {
            "answer-slack": 20_000,
            "cold-share": 0.3,
            "fall": 2_000_000,
            "overload-factor": 4.0,
            "stop-sending-within": 500_000,
            "warm-after": 14_000_000,
        },
        "slot-no": 0,
        "stage": 0,
        "stats": {"fields": ["cpu", "active", "x1", "x0"], "via": "piggyback"},
        "tick": 5000,
        "weight-kind": "nominal",
        "worth-by": "request",
        "zone": 0,
        "zones": ["hall-a", "hall-b"],
        **changes,
    }


COLOMBO_CLASSES: list[dict[str, Any]] = [
    {
        "name": "lookup",
        "aim": 800_000,
        "aim-stretch": 1.5,
        "deadline": 4_000_000,
        "effect": "free",
        "worth": 1.0,
    },
    {
        "name": "report",
        "aim": 1_500_000,
        "aim-stretch": 2.5,
        "deadline": 20_000_000,
        "effect": "free",
        "worth": 6,
    },
    {
        "name": "load",
        "aim": 4_000_000,
        "aim-stretch": 2.5,
        "deadline": 20_000_000,
        "effect": "single_shot",
        "worth": 5.0,
    },
]
COLOMBO_THREADS = [1, 4, 2]


def entry(name: str, port: int, state: str = "ready", started_ms: int = 0) -> dict[str, Any]:
    """Return the entry of a warehouse in the list."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "hall-a",
        "machineType": "c12",
        "cell": 1,
        "lifecycle": state,
        "weight": 12,
        "startedAtMs": started_ms,
    }


def known(entries: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the events of the start: one, with the whole list."""
    fleet = {"generation": 1, "reset": True, "instances": entries}
    return {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}


class FrontEnd:
    """One process of the front end, started as the deploy file says."""

    def __init__(self, case: Case, name: str, admin_port: int) -> None:
        self.name = name
        self.admin_port = admin_port
        self.log_path = case.directory / f"{name}.log"
        self._record = case.record
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self,
        config: Path,
        gateway: Path | None,
        tmp: Path,
        passed: socket.socket | None = None,
        recovery: Path | None = None,
    ) -> None:
        """Start the process; `passed` is the listening socket that it inherits as descriptor 3."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        command = deploy["run"] + (f" --gateway {gateway}" if gateway else "")
        command += f" --recovery {recovery}" if recovery else ""
        environment = {
            **os.environ,
            "PROXY_NAME": "n0",
            "PROXY_CONFIG": str(config),
            "PROXY_ADMIN": f"127.0.0.1:{self.admin_port}",
            "TMPDIR": str(tmp),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        more: dict[str, Any] = {}
        if passed is not None:
            environment["PROXY_PASSED_SOCKET"] = str(PASSED_DESCRIPTOR)
            descriptor = passed.fileno()
            more["preexec_fn"] = lambda: os.dup2(descriptor, PASSED_DESCRIPTOR)
            more["pass_fds"] = (PASSED_DESCRIPTOR,)
        with self.log_path.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=log, stdout=log, **more
            )
        self._record.line(self.name, f"started, process {self._process.pid}")

    async def admin(self, line: str) -> str:
        """Call the admin address; returns the answer, or an empty text without one."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
            writer.close()
        except (OSError, TimeoutError):
            return ""
        return answer

    async def wait_ready(self, interval_s: float = 0.1) -> None:
        """Ask STATUS until the answer is a yes."""
        until = time.time() + READY_TIMEOUT_S
        while not (await self.admin("STATUS")).startswith("ok"):
            if time.time() > until or (self._process is not None and self._process.returncode is not None):
                raise CaseError(f"{self.name} is not ready; log: {self.log()}")
            await asyncio.sleep(interval_s)
        self._record.line(self.name, "says it is ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        assert self._process is not None
        self._record.line(self.name, f"gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    @property
    def runs(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def memory_mb(self) -> float:
        """Return the anonymous memory that the process holds; 0 if it has ended."""
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(sizes[0]) / 1024 if sizes else 0.0

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process; returns whether it has ended in time."""
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        self._record.line(self.name, f"ended with {self._process.returncode}")
        return True

    async def close(self) -> None:
        """Kill the process if it runs."""
        if self.runs:
            assert self._process is not None
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    def log(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text() if self.log_path.exists() else ""


class Case:
    """The surroundings of one case: temporary folder, record, processes."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="lilacfront-case-"))
        self.front_ends: list[FrontEnd] = []
        self.tasks: list[asyncio.Task[Any]] = []

    def write(self, name: str, text: str) -> Path:
        """Write a file into the temporary folder."""
        path = self.directory / name
        path.write_text(text)
        return path

    def tmp(self, name: str = "tmp") -> Path:
        """Return a folder for `$TMPDIR`."""
        path = self.directory / name
        path.mkdir(exist_ok=True)
        return path

    def front_end(self, name: str) -> FrontEnd:
        """Return a front end process that is not started yet."""
        process = FrontEnd(self, name, free_port())
        self.front_ends.append(process)
        return process

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def close(self) -> None:
        """End everything that the case has started."""
        for process in self.front_ends:
            await process.close()
        for task in self.tasks:
            task.cancel()
        for process in self.front_ends:
            log = process.log()
            if log:
                self.record.raw(f"--- log of {process.name}\n{log[-6000:]}\n")
        shutil.rmtree(self.directory, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case, and exit with 1 if it returns breaks of the rule, 0 if there are none, 2 if it failed."""

    async def run() -> int:
        # The servers' tasks are cancelled at the end; that is no fault to print.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        case = Case(folder)
        try:
            breaks = await asyncio.wait_for(play(case), TIME_LIMIT_S)
        except Exception as error:  # noqa: BLE001 - whatever it is, the case has not run
            case.record.line("case", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await case.close()
        for text in breaks:
            case.record.line("broken", text)
        verdict = f"broken: {len(breaks)}" if breaks else "the rule held"
        case.record.line("case", verdict)
        print(verdict)
        return BROKEN if breaks else HOLDS

    sys.exit(asyncio.run(run()))


# ---- warehouses that speak RESP -----------------------------------------------------------------------
@dataclass
class Attempt:
    """One `do` that a warehouse has received whole.

    Attributes:
        ended_at: When its end was written or it was given up; None while it is out.
    """

    warehouse: str
    call: str
    fields: dict[str, str]
    body: bytes
    began_at: float
    ended_at: float | None = None
    end: str = ""


class RespWarehouse:
    """A warehouse of the platform's protocol; each request takes `work_s(attempt)` and ends well."""

    def __init__(self, case: Case, name: str, work_s: Callable[[Attempt], float]) -> None:
        self.name = name
        self.port = 0
        self.attempts: list[Attempt] = []
        self._record = case.record
        self._work_s = work_s
        self._server: asyncio.Server | None = None

    async def start(self) -> RespWarehouse:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = resp.Parser()
        running: dict[str, tuple[asyncio.Task[None], Attempt]] = {}
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                for words in parser.feed(data):
                    self._command(words, writer, running)
        for task, attempt in running.values():
            if attempt.ended_at is None:
                task.cancel()
                self._end(attempt, "given up by a close")
        writer.close()

    def _command(
        self,
        words: list[bytes],
        writer: asyncio.StreamWriter,
        running: dict[str, tuple[asyncio.Task[None], Attempt]],
    ) -> None:
        name, call = words[0].decode(), words[1].decode()
        if name == "do":
            text = words[2].decode()
            fields = {} if text == "-" else dict(pair.partition("=")[::2] for pair in text.split(","))
            attempt = Attempt(self.name, call, fields, words[3], time.time())
            self.attempts.append(attempt)
            self._record.line(self.name, f"do {call} {text} {words[3].decode(errors='replace')}")
            running[call] = (asyncio.ensure_future(self._run(attempt, writer)), attempt)
        elif name == "undo" and call in running:
            task, attempt = running.pop(call)
            if attempt.ended_at is None:
                task.cancel()
                self._end(attempt, "given up by undo")
        elif name == "ping":
            writer.write(resp.encode(words[1], b"PONG", b"-", b""))

    async def _run(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self._work_s(attempt))
        self._end(attempt, "HIT")
        row = f"{self.name}\t{attempt.call}\tdone\n".encode()
        report = b"pages=1,rep=cpu:0.4;active:3;x1:0.2;x0:0.2"
        writer.write(resp.encode(attempt.call.encode(), b"HIT", report, row))

    def _end(self, attempt: Attempt, end: str) -> None:
        attempt.ended_at = time.time()
        attempt.end = end
        self._record.line(self.name, f"{end} {attempt.call}")


# ---- clients of the platform's protocol ---------------------------------------------------------------
@dataclass
class Call:
    """A request of a client, and its final answer."""

    seqid: int
    call: str
    sent_at: float
    answers: list[tuple[float, str]] = field(default_factory=list)


class ThriftClient:
    """One connection of a client of the platform's protocol."""

    def __init__(self, case: Case, name: str) -> None:
        self.name = name
        self.calls: dict[int, Call] = {}
        self.ended_at: float | None = None
        self._case = case
        self._record = case.record
        self._seqid = 0
        self._writer: asyncio.StreamWriter | None = None
        self._changed = asyncio.Event()

    async def connect(self, address: tuple[str, int]) -> ThriftClient:
        """Connect."""
        reader, self._writer = await asyncio.open_connection(*address)
        self._case.spawn(self._read(reader))
        return self

    def send(self, class_name: str, ttl_ms: int, statement: bytes, **more: str) -> Call:
        """Write a request."""
        assert self._writer is not None
        self._seqid += 1
        call = Call(self._seqid, os.urandom(8).hex(), time.time())
        fields = {"op": class_name, "call": call.call, "ttl": str(ttl_ms), **more}
        encoded = {key.encode(): value.encode() for key, value in fields.items()}
        self._writer.write(thrift.encode_invoke(self._seqid, encoded, statement))
        self.calls[self._seqid] = call
        self._record.line(self.name, f"invoke {fields} {statement.decode()}")
        return call

    async def ping(self) -> bool:
        """Ask whether the front end is ready."""
        assert self._writer is not None
        self._seqid += 1
        call = self.calls[self._seqid] = Call(self._seqid, "ping", time.time())
        self._writer.write(thrift.encode_ping(self._seqid))
        await self.wait(call, 2.0)
        return bool(call.answers) and call.answers[0][1] == "answer good"

    async def wait(self, call: Call, timeout_s: float) -> None:
        """Wait for the answer to a request, or the end of the connection."""
        until = time.time() + timeout_s
        while not call.answers and self.ended_at is None and time.time() < until:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), max(0.0, until - time.time()))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        frames = thrift.FrameDecoder()
        try:
            while data := await reader.read(65536):
                for frame in frames.feed(data):
                    self._take(thrift.parse_reply(frame))
        except OSError as error:
            self._record.line(self.name, f"connection lost: {error!r}")
        self.ended_at = time.time()
        self._changed.set()

    def _take(self, reply: thrift.Reply) -> None:
        text = str(reply.kind) + (" good" if reply.is_good else "")
        call = self.calls[reply.seqid]
        call.answers.append((time.time(), text))
        if call.call != "ping":
            self._record.line(self.name, f"{text} to {call.call}")
        self._changed.set()


# ---- the change log -----------------------------------------------------------------------------------
class ChangeLog:
    """A change log that tells each event at once and its last number every second."""

    def __init__(self, case: Case, entries: list[dict[str, Any]]) -> None:
        self.port = 0
        self._events: list[bytes] = []
        self._seq = 1
        self._writers: set[asyncio.StreamWriter] = set()
        self._record = case.record
        self.entries = entries

    async def start(self) -> ChangeLog:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def begin_anew(self, entries: list[dict[str, Any]]) -> dict[str, Any]:
        """Count from 1 again for a front end that starts; returns its `known`, with the whole list."""
        self.entries = entries
        self._seq = 1
        self._events = []
        self._record.line("change log", f"counts from 1 for a new start: {json.dumps(entries)}")
        return known(entries)

    def tell(self, entries: list[dict[str, Any]]) -> None:
        """Add an event with what has changed."""
        self._seq += 1
        fleet = {"generation": self._seq, "reset": False, "instances": entries}
        line = json.dumps({"seq": self._seq, "fleet": fleet}).encode() + b"\n"
        self._events.append(line)
        self._record.line("change log", line.decode().strip())
        for writer in self._writers:
            writer.write(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        after = int(line.split()[1])
        writer.writelines(self._events[max(0, after - 1) :])
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            while not reader.at_eof() and not writer.is_closing():
                writer.write(b"%d\n" % self._seq)
                await asyncio.sleep(1.0)
        self._writers.discard(writer)
        writer.close()


# ---- HTTP ---------------------------------------------------------------------------------------------
@dataclass
class HttpMessage:
    """A request or an answer that has come whole."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_http(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read one message that has a length or chunks; None if the connection ends before its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return HttpMessage(first_line, headers, body)


class HttpWarehouse:
    """A warehouse with the ClickHouse HTTP interface; each statement takes `work_s` and ends well."""

    def __init__(self, case: Case, name: str, work_s: Callable[[str], float]) -> None:
        self.name = name
        self.port = 0
        self.began: list[tuple[float, str]] = []
        self._record = case.record
        self._work_s = work_s
        self._server: asyncio.Server | None = None

    async def start(self) -> HttpWarehouse:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_http(reader)) is not None:
            statement = request.body.decode(errors="replace")
            self.began.append((time.time(), statement))
            self._record.line(self.name, f"runs {statement}")
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait([closed], timeout=self._work_s(statement))
            if closed.done():
                self._record.line(self.name, f"given up by a close {statement}")
                break
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            body = f"{self.name}\t{statement}\tdone\n".encode()
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/tab-separated-values; charset=UTF-8\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            self._record.line(self.name, f"answers {statement}")
        writer.close()
