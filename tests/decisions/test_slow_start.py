"""What warming engines are sent."""

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


def test_a_warming_engine_gets_only_the_gateways_share_of_its_budget() -> None:
    now = 100 * SECOND_US
    warm = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1), now)
    cold = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1, started_us=now), now)
    assert len([1 for n in range(12) if forwards(receive_request(warm, now, n))]) == 12
    gone = len([1 for n in range(12) if forwards(receive_request(cold, now, n))])
    budget = (
        2.5 * 0.3 * 0.85 * 8 * 1.5
    )  # seconds of work in the window; a query counts its objective before the first sample
    assert 1 <= gone <= budget


def test_runs_on_crowded_engines_do_not_use_up_the_budget_of_warming_ones() -> None:
    """Idle warming engines would get nothing if slow runs counted as work."""

    def room(crowded: int) -> int:
        now, born = 60 * SECOND_US, 200 * SECOND_US
        router = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1), now)
        for n in range(30 + crowded):
            (send,) = forwards(receive_request(router, now, 1000 + n))
            now += 100_000 if n < 30 or n % 2 else 1_500_000
            end_attempt(router, now, send, AttemptResult.OK)
        cold = Endpoint(2, EndpointState.READY, started_us=born)
        router.handle(born, EndpointList(ListScope.SNAPSHOT, (cold,)))
        went = 0
        while found := forwards(receive_request(router, born + SECOND_US, went)):
            went += 1
            router.handle(
                born + SECOND_US, AttemptEnded(found[0].request, 0, 2, AttemptResult.REJECTED, 0, True)
            )
        return went

    usual = room(0)
    assert usual >= 30
    assert room(40) >= usual / 2


def test_all_gateways_together_keep_a_warming_engine_within_its_budget_and_use_it() -> None:
    born = 100 * SECOND_US
    fleet_now = (replace(endpoints(1)[0], started_us=born), *endpoints(12)[1:])
    routers = [
        make_router(
            policy_settings(SHORT, gateway_count=200, gateway_index=n, rules=SLOW_START_RULES),
            endpoints(12),
            born - 10 * SECOND_US,
        )
        for n in range(200)
    ]
    for n, router in enumerate(routers):  # the list is heard over nearly two seconds
        router.handle(born + n * 9_000, EndpointList(ListScope.SNAPSHOT, fleet_now))
    for router in routers:
        router.state.class_estimates[0].work_us = 200_000.0
    sent = []
    for at in range(born + 1_900_000, born + 8 * SECOND_US, 100_000):
        for router in routers:
            sent += [
                at
                for s in forwards(receive_request(router, at, at + router.settings.gateway_index))
                if s.engine == 1
            ]
    assert len(sent) > 30
    for start in range(born, born + 8 * SECOND_US, 100_000):
        able = (0.3 + 0.7 * (start - born) / (14 * SECOND_US)) * FULL_CPU_FRACTION * 8  # warming evenly
        pushed = 0.2 * sum(start <= at < start + 1_500_000 for at in sent)
        assert pushed <= 2.5 * able * 1.5 + 0.1


def test_the_gateway_whose_turn_it_is_sends_a_warming_engine_its_next_request() -> None:
    born = 100 * SECOND_US
    fleet_now = (replace(endpoints(1)[0], started_us=born), *endpoints(12)[1:])
    sent_there = 0
    for router in make_routers(200, fleet_now, SHORT, rules=SLOW_START_RULES):
        router.state.class_estimates[0].work_us = 200_000.0
        for number, engine in router.state.engines.items():
            router.loads.record(engine, 0.6 if number == 1 else 0.5)
        sent_there += sum(
            s.engine == 1
            for s in forwards(
                receive_request(router, born + SECOND_US, 1, table_group=router.settings.gateway_index)
            )
        )
    assert sent_there >= 12  # of about 19 turns; by chance a sixth of those would send it one


def test_a_restarted_gateway_waits_for_the_next_window_and_keeps_to_its_turn_there() -> None:
    """It does not know whether the process before it has used the turn already: the two would add up."""
    born = 100 * SECOND_US
    cold = (replace(endpoints(1)[0], started_us=born),)
    config = [
        policy_settings(SHORT, gateway_count=200, gateway_index=n, rules=SLOW_START_RULES) for n in range(200)
    ]

    def may(started: int, at: int) -> list[bool]:
        return [bool(forwards(receive_request(make_router(c, cold, started), at, 1))) for c in config]

    span = SLOW_START_RULES.overload_window_us + 500_000  # windows follow each other from 0 on
    assert born % span == 0
    assert 0 < sum(may(born, born + SECOND_US)) < 20
    assert not any(may(born + SECOND_US, born + SECOND_US + 100_000))
    later = born + span
    assert may(born + SECOND_US, later) == may(born, later)
    assert 0 < sum(may(born, later)) < 20


def test_an_attempt_delayed_past_the_end_of_its_window_begins_only_in_the_gateways_turn() -> None:
    """Its connection came up late; beside what others send in the next window it would be too much."""
    born = 100 * SECOND_US
    span = SLOW_START_RULES.overload_window_us + 500_000
    cold = (replace(endpoints(1)[0], started_us=born),)
    held = begun = 0
    for slot in range(200):
        router = make_router(
            policy_settings(SHORT, gateway_count=200, gateway_index=slot, rules=SLOW_START_RULES),
            cold,
            born - 10 * SECOND_US,
        )
        if not forwards(receive_request(router, born + span - 100_000, 1)):
            continue
        assert router.may_begin(born + span - 50_000, 1)
        fresh = make_router(
            policy_settings(SHORT, gateway_count=200, gateway_index=slot, rules=SLOW_START_RULES),
            cold,
            born - 10 * SECOND_US,
        )
        turn_again = bool(forwards(receive_request(fresh, born + span + 200_000, 2)))
        assert router.may_begin(born + span + 200_000, 1) is turn_again
        held, begun = held + (not turn_again), begun + turn_again
    assert held >= 3
