"""Floods against one front end process: its memory and what a bystander gets meanwhile."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from lilacfront.lab.test_bed import FrontEndProcess, ProcessTestBed

SAMPLE_INTERVAL_S = 0.01
KB_PER_MB = 1024
END_TIMEOUT_S = 60.0
# As in production, the number of log lines is limited, which it is not at the level that tests use elsewhere.
COMMAND = [sys.executable, "-m", "lilacfront", "--log-format", "json"]
GATEWAY_FILE = """[clickhouse]
listen = "127.0.0.1:0"
read_class = "report"
load_class = "load"
[warehouses]
protocol = "clickhouse"
"""


@dataclass(slots=True, frozen=True)
class Flood:
    """Clients of one kind; see `flood_clients.BEHAVIOURS`.

    Attributes:
        kind: Name of the behaviour.
        clients: Number of clients.
    """

    kind: str
    clients: int


@dataclass(slots=True, frozen=True)
class FloodReport:
    """What was measured during floods.

    Attributes:
        idle_mb: Resident memory of the process before, in MB.
        peak_mb: Largest resident memory, in MB.
        latencies_s: Times until the bystander's answers, in seconds, sorted.
        outcomes: The bystander's requests by the kind of their reply.
    """

    idle_mb: float
    peak_mb: float
    latencies_s: list[float]
    outcomes: dict[str, int]

    @property
    def served(self) -> int:
        """Number of the bystander's requests that were served."""
        return self.outcomes.get("answer", 0)

    @property
    def longest_s(self) -> float:
        """Longest time until an answer, in seconds; infinite if none came."""
        return max(self.latencies_s, default=float("inf"))

    def __str__(self) -> str:
        middle = self.latencies_s[len(self.latencies_s) // 2] if self.latencies_s else float("inf")
        return (
            f"idle {self.idle_mb:.0f} MB, peak {self.peak_mb:.0f} MB, median {1000 * middle:.0f} ms, "
            f"longest {1000 * self.longest_s:.0f} ms, {self.outcomes}"
        )


class MemorySampler:
    """Samples the memory of the running processes of a test bed until it is stopped.

    Attributes:
        peak_mb: The largest sample, in MB.
    """

    def __init__(self, test_bed: ProcessTestBed) -> None:
        self._test_bed = test_bed
        self._is_stopped = threading.Event()
        self.peak_mb = 0.0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._is_stopped.wait(SAMPLE_INTERVAL_S):
            running = [
                process.popen.pid for process in self._test_bed.processes if process.popen.poll() is None
            ]
            # Pages that two processes share, as those of the program, count once.
            measure = resident_mb if len(running) == 1 else proportional_mb
            self.peak_mb = max(self.peak_mb, sum(measure(number) for number in running))

    def stop(self) -> float:
        """Stop sampling and return the largest sample, in MB."""
        self._is_stopped.set()
        self._thread.join()
        return self.peak_mb


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB; 0 if it has ended."""
    return _read_mb(Path(f"/proc/{process_id}/status"), "VmRSS:")


def proportional_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB, with its part of shared pages; 0 if it has ended."""
    return _read_mb(Path(f"/proc/{process_id}/smaps_rollup"), "Pss:")


def _read_mb(path: Path, name: str) -> float:
    try:
        text = path.read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith(name):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


def start_front_end(
    test_bed: ProcessTestBed, memory_mb: int, descriptors: int, with_http: bool = False
) -> FrontEndProcess:
    """Start a front end with these limits in its settings, and wait until it serves."""
    test_bed.config_overrides["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    options: list[str] = []
    if with_http:
        gateway = test_bed.directory / "gateway.toml"
        gateway.write_text(GATEWAY_FILE)
        options = ["--gateway", str(gateway)]
        test_bed.stop_warehouses()  # they don't speak HTTP
    return test_bed.start(options=options, command=COMMAND).wait_until_ready()


def http_address(process: FrontEndProcess) -> tuple[str, int]:
    """Return where the process listens for HTTP clients."""
    process.wait_for_log("listening")
    lines = process.logged("listening")
    host, port = lines[-1]["address"].split(":")
    return host, int(port)


def run_floods(
    test_bed: ProcessTestBed,
    process: FrontEndProcess,
    floods: Sequence[Flood],
    seconds: float,
    disturb: Callable[[], None] | None = None,
) -> FloodReport:
    """Run floods side by side for some seconds, with a bystander beside them.

    Args:
        test_bed: The services, and all processes whose memory is measured.
        process: The process that HTTP clients connect to.
        floods: The floods.
        seconds: Their length.
        disturb: Called once the clients have been started.
    """
    idle_mb = resident_mb(process.popen.pid)
    sampler = MemorySampler(test_bed)
    # Beside HTTP clients no warehouse serves, so the bystander only asks the front end itself.
    with_http = any(flood.kind.startswith("http") for flood in floods)
    bystander = _start_clients("bystander-ping" if with_http else "bystander", test_bed.address, 1, seconds)
    running = [
        _start_clients(
            flood.kind,
            http_address(process) if flood.kind.startswith("http") else test_bed.address,
            flood.clients,
            seconds,
        )
        for flood in floods
    ]
    if disturb is not None:
        disturb()
    report = json.loads(_output(bystander, seconds))
    for clients in running:
        _output(clients, seconds)
    return FloodReport(idle_mb, sampler.stop(), sorted(report["latencies_s"]), report["outcomes"])


def _start_clients(
    kind: str, address: tuple[str, int], clients: int, seconds: float
) -> subprocess.Popen[bytes]:
    host, port = address
    arguments = [kind, host, str(port), str(clients), str(seconds)]
    return subprocess.Popen(
        [sys.executable, "-m", "lilacfront.lab.flood_clients", *arguments], stdout=subprocess.PIPE
    )


def _output(clients: subprocess.Popen[bytes], seconds: float) -> bytes:
    try:
        return clients.communicate(timeout=seconds + END_TIMEOUT_S)[0]
    finally:
        if clients.poll() is None:
            clients.kill()
            clients.wait()
