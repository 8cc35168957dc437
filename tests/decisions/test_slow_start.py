"""Slow start: the requests that warming engines get."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
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

from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointState,
    ListScope,
)
from lilacfront.decisions.slow_start import FULL_CPU_FRACTION


def test_a_gateway_sends_a_warming_engine_no_more_than_its_budget() -> None:
    now = 100 * SECOND_US
    warm_router = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1), now)
    cold_router = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1, started_us=now), now)
    assert len([1 for n in range(12) if forwards(receive_request(warm_router, now, n))]) == 12
    sent_count = len([1 for n in range(12) if forwards(receive_request(cold_router, now, n))])
    # Seconds of work per window; before the first sample a request counts with its latency objective of 1 s.
    budget = 2.5 * 0.3 * 0.85 * 8 * 1.5
    assert 1 <= sent_count <= budget


def test_slow_runs_on_overloaded_engines_do_not_use_up_the_budget_of_warming_ones() -> None:
    """The charge per request would be too high if it were estimated from runs under contention."""

    def sent_count(slow_runs: int) -> int:
        now, started_us = 60 * SECOND_US, 200 * SECOND_US
        router = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1), now)
        for n in range(30 + slow_runs):
            (send,) = forwards(receive_request(router, now, 1000 + n))
            now += 100_000 if n < 30 or n % 2 else 1_500_000
            end_attempt(router, now, send, AttemptResult.OK)
        cold = Endpoint(2, EndpointState.READY, started_us=started_us)
        router.handle(started_us, EndpointList(ListScope.SNAPSHOT, (cold,)))
        count, now = 0, started_us + SECOND_US
        while sent := forwards(receive_request(router, now, count)):
            count += 1
            router.handle(now, AttemptEnded(sent[0].request, 0, 2, AttemptResult.REJECTED, 0, True))
        return count

    usual_count = sent_count(0)
    assert usual_count >= 30
    assert sent_count(40) >= usual_count / 2


def test_all_gateways_together_use_the_budget_of_a_warming_engine_and_stay_within_it() -> None:
    started_us = 100 * SECOND_US
    fleet_now = (replace(endpoints(1)[0], started_us=started_us), *endpoints(12)[1:])
    routers = [
        make_router(
            policy_settings(SHORT, gateway_count=200, gateway_index=n, rules=SLOW_START_RULES),
            endpoints(12),
            started_us - 10 * SECOND_US,
        )
        for n in range(200)
    ]
    for n, router in enumerate(routers):  # the gateways get the list over 1.8 s
        router.handle(started_us + n * 9_000, EndpointList(ListScope.SNAPSHOT, fleet_now))
    for router in routers:
        router.state.class_estimates[0].work_us = 200_000.0
    sent_times_us = []
    for now in range(started_us + 1_900_000, started_us + 8 * SECOND_US, 100_000):
        for router in routers:
            sent_times_us += [
                now
                for s in forwards(receive_request(router, now, now + router.settings.gateway_index))
                if s.engine == 1
            ]
    assert len(sent_times_us) > 30
    for window_us in range(started_us, started_us + 8 * SECOND_US, 100_000):
        # Assumes that the capacity grows linearly.
        capacity = (0.3 + 0.7 * (window_us - started_us) / (14 * SECOND_US)) * FULL_CPU_FRACTION * 8
        work_s = 0.2 * sum(window_us <= sent_us < window_us + 1_500_000 for sent_us in sent_times_us)
        assert work_s <= 2.5 * capacity * 1.5 + 0.1


def test_a_gateway_in_its_turn_sends_its_next_request_to_the_warming_engine() -> None:
    started_us = 100 * SECOND_US
    fleet_now = (replace(endpoints(1)[0], started_us=started_us), *endpoints(12)[1:])
    sent_there = 0
    for router in make_routers(200, fleet_now, SHORT, rules=SLOW_START_RULES):
        router.state.class_estimates[0].work_us = 200_000.0
        for number, engine in router.state.engines.items():
            router.loads.record(engine, 0.6 if number == 1 else 0.5)
        sent_there += sum(
            s.engine == 1
            for s in forwards(
                receive_request(router, started_us + SECOND_US, 1, table_group=router.settings.gateway_index)
            )
        )
    assert sent_there >= 12  # of about 19 turns; without preference a sixth of them would send it one


def test_a_restarted_gateway_skips_its_first_window_and_then_keeps_to_its_turns() -> None:
    """Its previous process may have used the turn of that window already."""
    started_us = 100 * SECOND_US
    cold = (replace(endpoints(1)[0], started_us=started_us),)
    configs = [
        policy_settings(SHORT, gateway_count=200, gateway_index=n, rules=SLOW_START_RULES) for n in range(200)
    ]

    def sends(gateway_started_us: int, now: int) -> list[bool]:
        routers = [make_router(config, cold, gateway_started_us) for config in configs]
        return [bool(forwards(receive_request(router, now, 1))) for router in routers]

    window_us = SLOW_START_RULES.overload_window_us + 500_000  # windows start at multiples of this
    assert started_us % window_us == 0
    assert 0 < sum(sends(started_us, started_us + SECOND_US)) < 20
    assert not any(sends(started_us + SECOND_US, started_us + SECOND_US + 100_000))
    next_window_us = started_us + window_us
    assert sends(started_us + SECOND_US, next_window_us) == sends(started_us, next_window_us)
    assert 0 < sum(sends(started_us, next_window_us)) < 20


def test_an_attempt_delayed_into_the_next_window_is_sent_only_in_the_gateways_turn() -> None:
    """After a slow connect the attempt would add to those that other gateways send in the next window."""
    started_us = 100 * SECOND_US
    window_us = SLOW_START_RULES.overload_window_us + 500_000
    cold = (replace(endpoints(1)[0], started_us=started_us),)
    held_count = sent_count = 0
    for gateway in range(200):
        router = make_router(
            policy_settings(SHORT, gateway_count=200, gateway_index=gateway, rules=SLOW_START_RULES),
            cold,
            started_us - 10 * SECOND_US,
        )
        if not forwards(receive_request(router, started_us + window_us - 100_000, 1)):
            continue
        assert router.may_begin(started_us + window_us - 50_000, 1)
        new_router = make_router(
            policy_settings(SHORT, gateway_count=200, gateway_index=gateway, rules=SLOW_START_RULES),
            cold,
            started_us - 10 * SECOND_US,
        )
        has_turn = bool(forwards(receive_request(new_router, started_us + window_us + 200_000, 2)))
        assert router.may_begin(started_us + window_us + 200_000, 1) is has_turn
        held_count, sent_count = held_count + (not has_turn), sent_count + has_turn
    assert held_count >= 3
