"""The pooled concurrency limit over all engines."""

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


def test_a_burst_at_two_hundred_gateways_stays_within_ten_threads_per_core() -> None:
    routers = make_routers(200, endpoints(10), LONG)  # 80 cores
    started = sum(
        len(forwards(receive_request(router, 100 * SECOND_US, n, time_left_us=20 * SECOND_US, table_group=n)))
        for router in routers
        for n in range(20)
    )
    assert started * LONG.threads <= 10 * 80  # one query per engine and gateway would be 2000
    assert started >= 100
    assert all(router.state.is_pooled for router in routers)
    assert not make_router(policy_settings(LONG, gateway_count=3), endpoints(10)).state.is_pooled


def test_the_pooled_limit_falls_when_all_engines_are_slow_and_recovers() -> None:
    (router,) = make_routers(200, endpoints(10), SHORT)[:1]
    initial_limit, now, request = router.pooled_limit.concurrency.limit, 100 * SECOND_US, 0

    def send_batch(duration_us: int) -> None:
        nonlocal now, request
        now += SECOND_US
        running = [
            s for n in range(12) for s in forwards(receive_request(router, now, request + n, table_group=n))
        ]
        request += 12
        while running:
            now += duration_us // len(running)
            running += forwards(end_attempt(router, now, running.pop(0), AttemptResult.OK))

    for _ in range(20):
        send_batch(4 * SECOND_US)
    lowered_limit = router.pooled_limit.concurrency.limit
    assert (
        MIN_THREADS_PER_CORE * router.state.effective_cores * router.pooled_limit.share()
        <= lowered_limit
        < 0.8 * initial_limit
    )
    for _ in range(60):
        send_batch(50_000)
    assert router.pooled_limit.concurrency.limit > lowered_limit


def test_a_short_request_is_admitted_while_long_ones_use_up_the_pooled_limit() -> None:
    router = make_routers(200, endpoints(10), SHORT, replace(LONG, priority_weight=2.0))[0]
    now = 100 * SECOND_US
    for n in range(6):  # long requests until the pooled limit is reached
        receive_request(router, now, n, class_index=1, time_left_us=20 * SECOND_US, table_group=n)
    now += 3 * SECOND_US  # the credit has become a debt
    assert not forwards(receive_request(router, now, 90, class_index=1, time_left_us=20 * SECOND_US))
    assert router.pooled_limit.credit_us < 0
    assert forwards(receive_request(router, now, 91, class_index=0))


def test_cores_of_warming_engines_count_by_their_capacity_fraction() -> None:
    started_us = 100 * SECOND_US
    router = make_routers(200, endpoints(10), SHORT, rules=SLOW_START_RULES)[0]
    warm_limit = router.pooled_limit.concurrency.limit
    router.handle(started_us, EndpointList(ListScope.DELTA, endpoints(10, started_us=started_us)[5:]))
    assert abs(router.pooled_limit.concurrency.limit - 0.65 * warm_limit) < 1e-6  # 5 engines at 1, 5 at 0.3
    receive_request(router, started_us + SECOND_US, 1)
    router.handle(started_us + 13 * SECOND_US, TimerFired(0))
    assert router.pooled_limit.concurrency.limit > 0.9 * warm_limit


def test_the_debt_of_the_pooled_limit_ends_within_a_second_after_an_overload() -> None:
    router = make_routers(40, endpoints(10), SHORT, LONG)[0]
    for used, now in ((0, 100), (60, 110), (0, 111)):  # 10 s far above the limit, then 1 s idle
        router.pooled_limit.concurrency.used, router.state.now_us = used, now * SECOND_US
        router.pooled_limit.accrue_credit()
    assert router.pooled_limit.credit_us > 0


def test_a_gateway_with_more_traffic_than_others_keeps_a_higher_limit_if_engines_have_capacity() -> None:
    """This happens if most gateways are dead, or if this one gets several times the mean traffic."""
    limits = []
    for in_flight in (20.0, 4.0):  # engines of 8 cores: overloaded, or half idle
        router, running = make_routers(200, endpoints(10), SHORT)[0], list[Forward]()
        for now in range(100 * SECOND_US, 140 * SECOND_US, 250_000):
            report = LoadReport(in_flight=in_flight)
            # Attempts are slow for a reason other than the reported load.
            actions = [end_attempt(router, now, send, AttemptResult.OK, report=report) for send in running]
            actions += [receive_request(router, now, now + n, table_group=n) for n in range(4)]
            running = [send for batch in actions for send in forwards(batch)]
        limits.append(router.pooled_limit.concurrency.limit)
    equal_share = MIN_THREADS_PER_CORE * 80 / 200
    assert limits[1] > 2 * equal_share
    assert limits[1] > 1.5 * limits[0]


@pytest.mark.parametrize(
    ("priority_weight", "min_difference", "max_difference"), [(2.05, 0.0, 0.05), (20.0, 0.25, 1.0)]
)
def test_only_a_clearly_higher_priority_weight_allows_a_larger_overdraft(
    priority_weight: float, min_difference: float, max_difference: float
) -> None:
    router = make_routers(
        200, endpoints(10), replace(LONG, priority_weight=priority_weight), replace(LONG, priority_weight=2.0)
    )[0]
    for index in (0, 1):
        receive_request(router, 100 * SECOND_US, index, class_index=index, time_left_us=20 * SECOND_US)
    assert (
        min_difference
        <= router.pooled_limit.value_density_excess(router.state.requests[0])
        - router.pooled_limit.value_density_excess(router.state.requests[1])
        <= max_difference
    )
