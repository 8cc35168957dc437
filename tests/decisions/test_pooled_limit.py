"""The concurrency limit over all engines, with many gateways."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import (
    LONG,
    SECOND_US,
    SHORT,
    SLOW_START_RULES,
    end_attempt,
    endpoints,
    forwards,
    make_router,
    make_routers,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import Forward
from lilacfront.decisions.events import AttemptResult, EndpointList, ListScope, LoadReport, TimerFired
from lilacfront.decisions.pooled_limit import MIN_THREADS_PER_CORE


def test_a_burst_at_two_hundred_gateways_does_not_start_one_request_each_on_every_engine() -> None:
    routers = make_routers(200, endpoints(10), LONG)  # 80 cores
    started = sum(
        len(forwards(receive_request(router, 100 * SECOND_US, n, time_left_us=20 * SECOND_US, table_group=n)))
        for router in routers
        for n in range(20)
    )
    assert started * LONG.threads <= 10 * 80  # a floor of one query an engine and gateway would start 2000
    assert started >= 100
    assert all(router.state.is_pooled for router in routers)
    assert not make_router(policy_settings(LONG, gateway_count=3), endpoints(10)).state.is_pooled


def test_the_pooled_limit_shrinks_when_all_is_slow_and_recovers() -> None:
    (router,) = make_routers(200, endpoints(10), SHORT)[:1]
    first, now, request = router.pooled_limit.concurrency.limit, 100 * SECOND_US, 0

    def turn(took: int) -> None:
        nonlocal now, request
        now += SECOND_US
        out = [
            s for n in range(12) for s in forwards(receive_request(router, now, request + n, table_group=n))
        ]
        request += 12
        while out:
            now += took // len(out)
            out += forwards(end_attempt(router, now, out.pop(0), AttemptResult.OK))

    for _ in range(20):
        turn(4 * SECOND_US)
    low = router.pooled_limit.concurrency.limit
    assert (
        MIN_THREADS_PER_CORE * router.state.effective_cores * router.pooled_limit.share() <= low < 0.8 * first
    )
    for _ in range(60):
        turn(50_000)
    assert router.pooled_limit.concurrency.limit > low


def test_a_short_request_is_admitted_while_long_ones_use_up_the_pooled_limit() -> None:
    router = make_routers(200, endpoints(10), SHORT, replace(LONG, priority_weight=2.0))[0]
    now = 100 * SECOND_US
    for n in range(6):  # long queries until the pool has no more room for them
        receive_request(router, now, n, class_index=1, time_left_us=20 * SECOND_US, table_group=n)
    now += 3 * SECOND_US  # and what was saved up is owed
    assert not forwards(receive_request(router, now, 90, class_index=1, time_left_us=20 * SECOND_US))
    assert router.pooled_limit.credit_us < 0
    assert forwards(receive_request(router, now, 91, class_index=0))


def test_cores_of_warming_engines_count_by_the_capacity_that_they_have() -> None:
    born = 100 * SECOND_US
    router = make_routers(200, endpoints(10), SHORT, rules=SLOW_START_RULES)[0]
    warm = router.pooled_limit.concurrency.limit
    router.handle(born, EndpointList(ListScope.DELTA, endpoints(10, started_us=born)[5:]))
    assert abs(router.pooled_limit.concurrency.limit - 0.65 * warm) < 1e-6  # five at 1, five at 0.3
    receive_request(router, born + SECOND_US, 1)
    router.handle(born + 13 * SECOND_US, TimerFired(0))
    assert router.pooled_limit.concurrency.limit > 0.9 * warm


def test_the_debt_of_the_pooled_limit_ends_soon_after_an_overload() -> None:
    router = make_routers(40, endpoints(10), SHORT, LONG)[0]
    for used, now in ((0, 100), (60, 110), (0, 111)):  # ten seconds far beyond the bound, then a second idle
        router.pooled_limit.concurrency.used, router.state.now_us = used, now * SECOND_US
        router.pooled_limit.settle()
    assert router.pooled_limit.credit_us > 0


def test_a_gateway_with_more_than_its_share_of_traffic_keeps_a_higher_limit_where_engines_have_room() -> None:
    """As where most gateways are dead, or this one gets several times the traffic of others."""
    low = []
    for in_flight in (20.0, 4.0):  # of 8 cores: all busy, or mostly idle
        router, out = make_routers(200, endpoints(10), SHORT)[0], list[Forward]()
        for now in range(100 * SECOND_US, 140 * SECOND_US, 250_000):
            report = LoadReport(in_flight=in_flight)  # slow, as where something else slows engines down
            acts = [end_attempt(router, now, send, AttemptResult.OK, report=report) for send in out]
            acts += [receive_request(router, now, now + n, table_group=n) for n in range(4)]
            out = [send for some in acts for send in forwards(some)]
        low.append(router.pooled_limit.concurrency.limit)
    equal_share = MIN_THREADS_PER_CORE * 80 / 200
    assert low[1] > 2 * equal_share
    assert low[1] > 1.5 * low[0]


@pytest.mark.parametrize(("priority_weight", "min_lead", "max_lead"), [(2.05, 0.0, 0.05), (20.0, 0.25, 1.0)])
def test_of_two_classes_with_equal_weight_neither_overdraws_at_the_cost_of_the_other(
    priority_weight: float, min_lead: float, max_lead: float
) -> None:
    router = make_routers(
        200, endpoints(10), replace(LONG, priority_weight=priority_weight), replace(LONG, priority_weight=2.0)
    )[0]
    for cls in (0, 1):
        receive_request(router, 100 * SECOND_US, cls, class_index=cls, time_left_us=20 * SECOND_US)
    assert (
        min_lead
        <= router.pooled_limit.density_lead(router.state.requests[0])
        - router.pooled_limit.density_lead(router.state.requests[1])
        <= max_lead
    )
