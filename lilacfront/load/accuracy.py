"""Compares the latencies that the generator reports with those computed from the log of a stand-in server.

The actual latencies are computed independently of the generator: the plan and its seed give the due time of
each request, and the stand-in logs the time of each answer, both on the system's monotonic clock. The
difference (loopback, and the time at which the generator reads an answer) is the error that is checked.
"""

from __future__ import annotations

import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from lilacfront.errors import LilacfrontError
from lilacfront.lab.process import StandInProcesses
from lilacfront.lab.standin import RequestRecord
from lilacfront.load import run as runs
from lilacfront.load.histogram import PERCENTILES
from lilacfront.load.plan import parse
from lilacfront.load.result import Result
from lilacfront.load.schedule import schedule

MARGIN_MS = 2.0  # allowed error, added to MARGIN_FRACTION of the actual latency
MARGIN_FRACTION = 0.01
MS_PER_S = 1000
# An HTTP connection has one open request. The connections suffice for requests of MAX_DELAY_S each, ten times
# the median delay of the stand-in, so that no request waits for a connection unless the stand-in stalls.
MIN_HTTP_CONNECTIONS = 64
MAX_DELAY_S = 0.06
THRIFT_CONNECTIONS_PER_WORKER = 8

Latencies = np.ndarray[tuple[int], np.dtype[np.float64]]


class CheckError(LilacfrontError, RuntimeError):
    """A check failed to produce a comparison; the message says why."""


@dataclass(slots=True, frozen=True)
class CheckedFigure:
    """A percentile in milliseconds: reported by the generator, and computed from the stand-in's log."""

    name: str
    reported: float
    actual: float

    @property
    def is_within_margin(self) -> bool:
        """Whether the reported value is within the margin of error."""
        return abs(self.reported - self.actual) <= MARGIN_MS + MARGIN_FRACTION * self.actual


@dataclass(slots=True, frozen=True)
class CheckReport:
    """The outcome of a check.

    Attributes:
        requests: The number of requests that the stand-ins answered.
        figures: The compared percentiles.
        result: The result of the generator.
    """

    requests: int
    figures: list[CheckedFigure]
    result: Result


def check_accuracy(
    rate: float, seconds: float, workers: int, protocol: str, stall_s: float = 0.0
) -> CheckReport:
    """Runs a constant load against stand-ins and compares the percentiles.

    Args:
        rate: Requests per second.
        seconds: Duration of the load.
        workers: The number of worker processes, and of stand-ins.
        protocol: The protocol of the plan's target.
        stall_s: The duration of a stall of the stand-ins, which begins after about a third of the load.

    Raises:
        CheckError: The generator and the stand-ins count different numbers of served requests.
    """
    behaviour = f'protocol = "{protocol}"\ndelay = {{ shape = "lognormal", median_ms = 6.0, sigma = 0.5 }}\n'
    if stall_s:
        # Stalls are timed from the start of the stand-ins; 1 s allows for the start of the generator.
        behaviour += f"stalls = [{{ at_s = {1 + seconds / 3}, seconds = {stall_s} }}]\n"
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        start = runs.StartTimeRecorder()
        with StandInProcesses(behaviour.encode(), workers, folder) as servers:
            text = plan_text(rate, seconds, workers, protocol, servers.addresses)
            result = runs.run_plan(text, folder, folder / "run", [], start)
        actual = actual_latencies_ms(text, folder, servers.record_paths, start.start_time)
    if len(actual) != result.outcomes["served"]:
        raise CheckError(
            f"the generator counts {result.outcomes['served']} served requests, the stand-ins {len(actual)}"
        )
    figures = [
        CheckedFigure(name, result.latency_ms.intended[name] or 0.0, percentile(actual, percent))
        for name, percent in PERCENTILES.items()
    ]
    return CheckReport(len(actual), figures, result)


def percentile(ordered: Latencies, percent: float) -> float:
    """Returns a percentile of ascending values by the nearest-rank method, as HdrHistogram does."""
    return float(ordered[max(0, int(len(ordered) * percent / 100 + 0.5) - 1)])


def plan_text(rate: float, seconds: float, workers: int, protocol: str, addresses: list[str]) -> bytes:
    """Returns the plan of a check as TOML."""
    if protocol == "clickhouse":
        connections = max(MIN_HTTP_CONNECTIONS, int(rate * MAX_DELAY_S))
    else:
        connections = THRIFT_CONNECTIONS_PER_WORKER * workers
    quoted = ", ".join(f'"{address}"' for address in addresses)
    return f"""seed = 11
workers = {workers}
connections = {connections}
client = {{ timeout_s = 30.0 }}
target = {{ protocol = "{protocol}", addresses = [{quoted}] }}
[[phases]]
shape = "constant"
rate = {rate!r}
seconds = {seconds!r}
[[mix]]
class = "lookup"
statement = "SELECT 1"
""".encode()


def actual_latencies_ms(text: bytes, folder: Path, server_logs: list[Path], start_time: float) -> Latencies:
    """Returns the actual latencies in milliseconds, ascending: from the due time to the stand-in's answer.

    Args:
        text: The plan as TOML.
        folder: The directory of the plan.
        server_logs: The log files of the stand-ins.
        start_time: The start of the run on the system's monotonic clock.
    """
    due_times = {request.number: request.due_s for request in schedule(parse(text, folder), folder)}
    return latencies_ms(
        due_times, (line for path in server_logs for line in path.read_bytes().splitlines()), start_time
    )


def latencies_ms(due_times: dict[int, float], lines: Iterable[bytes], start_time: float) -> Latencies:
    """Returns the actual latencies in milliseconds, ascending, from due times and logged answers.

    Args:
        due_times: The due times in seconds after the start, by request number.
        lines: The log lines of the stand-ins.
        start_time: The start of the run on the clock of the log.

    Raises:
        KeyError: A request was answered twice, or was not in the schedule.
    """
    decoder = msgspec.json.Decoder(RequestRecord)
    unanswered = dict(due_times)
    latencies = []
    for line in lines:
        record = decoder.decode(line)
        # The request's number: the decimal end of a query id, or the last eight hex digits of a call id.
        number = int(record.id.rpartition("-")[2]) if "-" in record.id else int(record.id[8:], 16)
        latencies.append((record.ended_at - start_time - unanswered.pop(number)) * MS_PER_S)
    return np.sort(np.array(latencies, dtype=np.float64))
