"""Schedules, results and traces of seeded plans, compared with recorded SHA-256 digests."""

from __future__ import annotations

import hashlib
import io
import re
from pathlib import Path

import msgspec
import pytest

from lilacfront.lab.fault_model import parse_behaviour
from lilacfront.load.plan import parse
from lilacfront.load.result import merge_results
from lilacfront.load.schedule import planned_duration_s, schedule
from lilacfront.load.simulated_run import simulate_run
from lilacfront.load.trace import write_trace
from lilacfront.load.trace_import import ImportTally, RequestFilter, convert_traces

PLAN = """
seed = 23
workers = 3
connections = 20
[target]
protocol = "{protocol}"
addresses = ["127.0.0.1:8123"]
[client]
retry = "{retry}"
timeout_s = 1.5
[[phases]]
shape = "constant"
rate = 200.0
seconds = 1.5
[[phases]]
shape = "step"
rate = 20.0
to = 200.0
seconds = 2.0
arrivals = "even"
[[phases]]
shape = "ramp"
rate = 0.0
to = 300.0
seconds = 1.0
[[phases]]
shape = "burst"
rate = 50.0
burst_rate = 500.0
length = 0.2
period = 0.7
seconds = 2.0
[[phases]]
shape = "daily"
points = [["06:00", 10.0], ["18:00", 400.0]]
seconds = 2.0
[[mix]]
weight = 3.0
class = "lookup"
user = "dash"
statement = "SELECT {{id}} FROM s_{{group}}.t WHERE k = '{{word}}'"
groups = {{ exponent = 1.1, count = 20 }}
parameters = {{ id = {{ low = 1, high = 1000 }}, word = ["a", "b", "c"] }}
[[mix]]
class = "load"
statement = "INSERT INTO s_{{group}}.t SELECT 1"
groups = [4, 5, 6]
timeout_s = 1.0
"""
BEHAVIOUR = """protocol = "{protocol}"
delay = {{ shape = "lognormal", median_ms = 30, sigma = 0.8 }}
shares = {{ refuse = 0.05, error = 0.02, reset = 0.02, cut = 0.02, silent = 0.01 }}
retry_after_s = 1
stalls = [{{ at_s = 2.5, seconds = 1 }}]
"""
TRACE = b"""{"format":"lilacfront-trace","version":1,"source":"x"}
{"at":0.5,"statement":"SELECT 1","user":"a","class":"lookup"}
{"at":2.25,"statement":"SELECT 2","user":"b","ms":4.5}
{"at":1.125,"statement":"INSERT INTO t SELECT 3"}
not a request
{"at":7.0,"statement":"SELECT 4","user":"a"}
"""
SCHEDULE_DIGESTS = {1: "9c8e07be2b585e9f", 3: "b37d807dcbc5cc64"}
RESULT_DIGESTS = {
    ("clickhouse", "never"): "eb594ec7f783a44c",
    ("clickhouse", "at_once"): "1322783d0fc0aecb",
    ("clickhouse", "told"): "19802be7c0b516ce",
    ("platform", "told"): "650492ca7a28878d",
}
TRACE_DIGESTS = {False: "52df8c32dd8d5b5d", True: "2a430f9fe5f3b5d6"}


def digest(data: bytes) -> str:
    """Returns the first 16 hex digits of the SHA-256 digest."""
    return hashlib.sha256(data).hexdigest()[:16]


def plan_text(protocol: str = "clickhouse", retry: str = "never") -> bytes:
    """Returns the plan of the recorded digests."""
    return PLAN.format(protocol=protocol, retry=retry).encode()


@pytest.mark.parametrize("workers", SCHEDULE_DIGESTS)
def test_schedule_matches_the_recorded_digest(workers: int) -> None:
    plan = parse(plan_text())
    requests = [
        (
            request.number,
            request.due_s,
            request.statement.decode(),
            request.profile.class_name,
            request.profile.user,
            request.profile.timeout_s,
        )
        for rank in range(workers)
        for request in schedule(plan, rank=rank, workers=workers)
    ]
    assert planned_duration_s(plan) == 8.5
    assert digest(msgspec.json.encode(requests)) == SCHEDULE_DIGESTS[workers]


@pytest.mark.parametrize(("protocol", "retry"), RESULT_DIGESTS)
def test_result_of_a_simulated_run_matches_the_recorded_digest(protocol: str, retry: str) -> None:
    plan = parse(plan_text(protocol, retry))
    run = simulate_run(plan, parse_behaviour(BEHAVIOUR.format(protocol=protocol).encode()))
    result = merge_results(
        plan,
        [run.measured],
        started_at="2026-01-01T00:00:00.000+00:00",
        planned_seconds=8.5,
        partial=False,
        worker_failures=["worker 1 ended with -9 and without a result"],
    )
    encoded = [msgspec.json.format(msgspec.json.encode(result), indent=2)]
    encoded += [msgspec.json.encode(second) for second in run.seconds]
    encoded.append(msgspec.json.encode([run.measured, sorted(run.server_actions.items())]))
    assert digest(b"\n".join(encoded)) == RESULT_DIGESTS[protocol, retry]


@pytest.mark.parametrize("overlay", TRACE_DIGESTS)
def test_converted_trace_matches_the_recorded_digest(tmp_path: Path, overlay: bool) -> None:
    path = tmp_path / "a.jsonl"
    path.write_bytes(TRACE)
    tally = ImportTally()
    out = io.BytesIO()
    request_filter = RequestFilter(pattern=re.compile("SELECT"), begin_s=0.25, end_s=6.0)
    class_patterns = [(re.compile("INSERT"), "load")]
    files = [(path, "own"), (path, "own")]
    requests = convert_traces(files, request_filter, 1.5, class_patterns, tally, overlay)  # type: ignore[arg-type]
    count = write_trace(requests, out, "a.jsonl")
    out.write(msgspec.json.encode([count, tally.read, tally.unusable, tally.skipped, tally.out_of_order]))
    out.write("\n".join(line.replace(str(path), "FILE") for line in tally.shown_lines).encode())
    assert digest(out.getvalue()) == TRACE_DIGESTS[overlay]
