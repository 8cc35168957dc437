"""Evaluation of the results of attempts."""

from __future__ import annotations

from helpers import (
    SECOND_US,
    SLOW_START_RULES,
    end_attempt,
    endpoints,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.events import AttemptResult, LoadReport


def test_late_responses_of_an_idle_engine_do_not_lower_its_limit() -> None:
    def limit_after(cpu_utilization: float) -> float:
        router = make_router(policy_settings(), endpoints(1))
        for n in range(20):
            (send,) = forwards(receive_request(router, n * SECOND_US, n))
            end_attempt(
                router,
                n * SECOND_US + 900_000,
                send,
                AttemptResult.OK,
                report=LoadReport(cpu_utilization=cpu_utilization),
            )
        return router.state.engines[1].concurrency.limit

    initial_limit = make_router(policy_settings(), endpoints(1)).state.engines[1].concurrency.limit
    assert limit_after(0.3) == initial_limit
    assert limit_after(0.95) < initial_limit


def test_slow_runs_on_a_warming_engine_do_not_count_as_overload() -> None:
    ratios = []
    for started_us in (0, 60 * SECOND_US):
        now = 60 * SECOND_US
        router = make_router(
            policy_settings(rules=SLOW_START_RULES), endpoints(1, started_us=started_us), now
        )
        for n in range(10):
            (send,) = forwards(receive_request(router, now, n))
            now += 300_000  # the target latency is 200 ms; a cold engine has 0.3 of the capacity
            end_attempt(router, now, send, AttemptResult.OK)
        ratios.append(router.state.engines[1].concurrency.latency_ratio)
    assert ratios[0] > 1.2
    assert ratios[1] < 0.8
