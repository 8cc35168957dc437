"""Load of engines from load reports and from attempts that time out."""

from __future__ import annotations

from helpers import (
    SECOND_US,
    SHORT,
    end_attempt,
    end_with_load,
    endpoints,
    forwards,
    make_routers,
    receive_request,
)

from lilacfront.decisions.events import AttemptResult, EndpointList, ListScope


def test_load_reports_from_before_a_restart_are_discarded() -> None:
    router = make_routers(200, endpoints(3), SHORT)[0]
    for number, load in ((1, 9.0), (2, 1.0)):
        router.loads.record(router.state.engines[number], load)
    assert router.loads.report_count == 2
    router.handle(101 * SECOND_US, EndpointList(ListScope.DELTA, endpoints(1, started_us=101 * SECOND_US)))
    assert router.loads.report_count == 1
    assert router.loads.mean_load < 3.0
    assert router.state.engines[1].reported_load < 0


def test_an_engine_that_reports_a_high_load_is_avoided_until_the_report_is_old() -> None:
    router = make_routers(200, endpoints(10), SHORT)[0]
    now, sent_there = 100 * SECOND_US, 0
    for n in range(80):
        now += 300_000
        for send in forwards(receive_request(router, now, n, table_group=n)):
            sent_there += send.engine == 1
            end_with_load(router, now + 50_000, send, 60.0 if send.engine == 1 else 6.0)
    assert 1 <= sent_there <= 4  # of 80 attempts on ten engines
    full = router.state.engines[1]
    router.loads.record(full, 60.0 / 8)
    assert router.loads.load_per_core(full) > 2 * router.loads.mean_load
    router.state.now_us = now + 10 * router.loads.send_interval_us()
    assert (
        abs(router.loads.load_per_core(full) - router.loads.mean_load) < 1e-9
    )  # the old report has no weight


def test_an_attempt_that_times_out_counts_as_a_load_report() -> None:
    router = make_routers(200, endpoints(10), SHORT)[0]
    now = 100 * SECOND_US
    for n in range(40):
        now += 300_000
        for send in forwards(receive_request(router, now, n, table_group=n)):
            end_with_load(router, now + 100_000, send, 6.0)
    (send,) = forwards(receive_request(router, now + 300_000, 900))
    end_attempt(router, now + 4 * SECOND_US, send, AttemptResult.TIMEOUT)
    assert router.loads.load_per_core(router.state.engines[send.engine]) > 3 * router.loads.mean_load
