"""Whole runs against stand-ins on a virtual clock."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pytest
from load_builders import EACH_PROTOCOL, outcomes, plan, result_of

from lilacfront.lab.fault_model import parse_behaviour as behaviour
from lilacfront.load.accuracy import latencies_ms, percentile
from lilacfront.load.histogram import (
    PERCENTILES,
    merge_histograms,
    percentiles_ms,
)
from lilacfront.load.plan import ClientSettings
from lilacfront.load.schedule import schedule
from lilacfront.load.simulated_run import simulate_run


@EACH_PROTOCOL
@pytest.mark.parametrize("stall", ["", "stalls = [{ at_s = 1.5, seconds = 3 }]"])
def test_percentiles_match_the_log_of_the_stand_in(protocol: str, stall: str) -> None:
    """Percentiles match the stand-in's log; a stall of 3 s at 500 requests per second is fully included."""
    text = f'protocol = "{protocol}"\n{stall}\ndelay = {{ shape = "lognormal", median_ms = 6, sigma = 0.5 }}'
    load_plan = plan(protocol=protocol, seconds=6.0)
    run = simulate_run(load_plan, behaviour(text.encode()))
    due_times = {request.number: request.due_s for request in schedule(load_plan)}
    actual = latencies_ms(due_times, run.server_log.splitlines(), run.start_time)
    assert len(actual) == run.measured.counters.answered == len(due_times) == sum(outcomes(run).values())
    reported = percentiles_ms(merge_histograms(group.intended for group in run.measured.groups))
    for name, percent in PERCENTILES.items():
        assert reported[name] == pytest.approx(percentile(actual, percent), rel=0.002, abs=0.05)
    assert reported["max"] == pytest.approx(actual[-1], rel=0.002)
    if stall:
        # Half of all requests (3 s of 6 s) are due in the stall, so p99 is 3 s * (1 - 0.01 / 0.5) = 2.94 s.
        assert reported["p99"] == pytest.approx(1000 * 3 * (1 - 0.01 / 0.5), rel=0.01)
        assert reported["max"] is not None
        assert reported["max"] >= 2990
        medians_ms = {
            second.second: percentiles_ms(merge_histograms([second.intended]))["p50"] or 0.0
            for second in run.seconds
        }
        assert 0 < medians_ms[0] < 20
        assert medians_ms[2] > 1500
        assert 0 < medians_ms[5] < 50
    assert not result_of(run, load_plan).is_void


@EACH_PROTOCOL
def test_outcomes_match_the_actions_of_the_stand_in(protocol: str) -> None:
    shares = "shares = { refuse = 0.04, error = 0.04, reset = 0.03, cut = 0.03, silent = 0.02 }"
    load_plan = plan(protocol=protocol, client=ClientSettings(timeout_s=2.0))
    run = simulate_run(load_plan, behaviour(f'protocol = "{protocol}"\n{shares}'.encode()))
    counters, counts = run.measured.counters, outcomes(run)
    assert sum(counts.values()) == counters.sent == counters.attempts == run.server_actions.total()
    assert counts["refused"] == run.server_actions["refuse"]
    if protocol == "clickhouse":  # one request per connection: a broken connection fails one request
        assert (
            counts["failed"]
            == run.server_actions["error"] + run.server_actions["reset"] + run.server_actions["cut"]
        )
        assert counts["lost"] == run.server_actions["silent"]
    assert (
        counters.late_answers
        == counters.duplicate_answers
        == counters.unknown_answers
        == counters.wrong_answers
        == 0
    )


@pytest.mark.parametrize("retry", ["never", "at_once", "told"])
@pytest.mark.parametrize("statement", ["SELECT 1", "INSERT INTO t SELECT 1"])
def test_retries_follow_the_plan_and_skip_loads_that_may_have_run(retry: str, statement: str) -> None:
    shares = "shares = { refuse = 0.2, reset = 0.2 }\nretry_after_s = 1"
    client = ClientSettings(retry=retry, max_attempts=3, timeout_s=4.0)  # type: ignore[arg-type]
    mix = [msgspec.structs.replace(plan().mix[0], statement=statement)]
    run = simulate_run(plan(client=client, mix=mix), behaviour(shares.encode()))
    counters, counts = run.measured.counters, outcomes(run)
    is_read = statement.startswith("SELECT")
    retriable = (
        0
        if retry == "never"
        else run.server_actions["refuse"] + (run.server_actions["reset"] if is_read else 0)
    )
    # Each rejected or reset attempt was retried unless it was the final attempt of its request.
    final = counts["refused"] + (counts["failed"] if is_read else 0)
    assert counters.attempts == counters.sent + (retriable - final if retriable else 0)
    if not is_read:
        assert counts["failed"] == run.server_actions["reset"]
    slowest = percentiles_ms(
        merge_histograms(group.intended for group in run.measured.groups if group.outcome == "served")
    )["max"]
    assert slowest is not None
    assert (slowest >= 1000) == (retry == "told")
    assert slowest <= 2 * 1200 + 10  # ms: two delays of 1 s with up to 20% jitter


def test_refused_connections_fail_each_request_once() -> None:
    run = simulate_run(plan(seconds=1.0), behaviour(b""), refuse_connections=True)
    assert outcomes(run) == {"failed": run.measured.counters.sent}
    assert run.measured.counters.answered == 0


def test_wait_for_a_connection_counts_from_the_due_time() -> None:
    """Ten connections, 100 ms per request: the tenth connection gets its first request at 47.5 ms and ends
    its 40th, the last of all, 4 s later; that request was due at 1,997.5 ms."""
    load_plan = plan(rate=200.0, seconds=2.0, connections=10, arrivals="even")
    run = simulate_run(load_plan, behaviour(b'delay = { shape = "fixed", ms = 100 }'))
    (group,) = run.measured.groups
    assert percentiles_ms(merge_histograms([group.intended]))["max"] == pytest.approx(
        4047.5 - 1997.5, rel=0.001
    )
    assert percentiles_ms(merge_histograms([group.actual]))["max"] == pytest.approx(100, rel=0.01)
    small_queue = msgspec.structs.replace(
        load_plan, bounds=msgspec.structs.replace(load_plan.bounds, max_waiting=20)
    )
    result = result_of(
        simulate_run(small_queue, behaviour(b'delay = { shape = "fixed", ms = 100 }')), small_queue
    )
    assert result.is_void
    assert "waiting for a connection" in result.void_reasons[0]
    assert result.outcomes["lost"] > 0


def test_phase_of_rate_0_sends_no_requests() -> None:
    load_plan = plan(rate=0.0)
    result = result_of(simulate_run(load_plan, behaviour(b"")), load_plan)
    assert result.sent == 0
    assert not result.is_void
    assert set(result.latency_ms.intended.values()) == {None}


def test_a_thousand_connections_at_once() -> None:
    load_plan = plan(rate=1000.0, seconds=1.5, arrivals="even", connections=1000)
    run = simulate_run(load_plan, behaviour(b'delay = { shape = "fixed", ms = 999 }'))
    assert outcomes(run) == {"served": 1500}
    assert percentiles_ms(merge_histograms([run.measured.groups[0].intended]))["max"] < 1010  # type: ignore[operator]


def test_run_is_void_if_the_generator_lags() -> None:
    delay_times = [1.0, 2.0, 3.0]

    def delay_generator(clock: Any, sender: Any) -> None:
        if delay_times and sender.now() > delay_times[0]:
            delay_times.pop(0)
            clock.now += 0.2

    load_plan = plan()
    run = simulate_run(load_plan, behaviour(b""), delay_generator)
    result = result_of(run, load_plan)
    assert result.is_void
    assert "could not keep up" in result.void_reasons[0]
    assert result.schedule_lag_ms["max"] == pytest.approx(200, rel=0.05)
    assert max(second.lag_ms for second in run.seconds) == pytest.approx(200, rel=0.05)


def test_step_of_the_wall_clock_has_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    expected = simulate_run(plan(seconds=1.0), behaviour(b"")).measured
    wall_times = iter(range(10**9, 0, -3600))
    monkeypatch.setattr(time, "time", lambda: float(next(wall_times)))
    assert simulate_run(plan(seconds=1.0), behaviour(b"")).measured == expected
