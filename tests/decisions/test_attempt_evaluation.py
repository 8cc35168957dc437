"""What the end of an attempt tells."""

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


def test_a_late_answer_from_an_idle_engine_does_not_shrink_its_limit() -> None:
    def bound_after(busy: float) -> float:
        router = make_router(policy_settings(), endpoints(1))
        for n in range(20):
            (send,) = forwards(receive_request(router, n * SECOND_US, n))
            end_attempt(
                router,
                n * SECOND_US + 900_000,
                send,
                AttemptResult.OK,
                report=LoadReport(cpu_utilization=busy),
            )
        return router.state.engines[1].concurrency.limit

    opening = make_router(policy_settings(), endpoints(1)).state.engines[1].concurrency.limit
    assert bound_after(0.3) == opening
    assert bound_after(0.95) < opening


def test_slow_runs_on_a_warming_engine_do_not_count_as_crowding() -> None:
    ratios = []
    for started in (0, 60 * SECOND_US):
        now = 60 * SECOND_US
        router = make_router(policy_settings(rules=SLOW_START_RULES), endpoints(1, started_us=started), now)
        for n in range(10):
            (send,) = forwards(receive_request(router, now, n))
            now += 300_000  # over the ceiling of a warm engine; a cold one has a third of its speed
            end_attempt(router, now, send, AttemptResult.OK)
        ratios.append(router.state.engines[1].concurrency.latency_ratio)
    assert ratios[0] > 1.2
    assert ratios[1] < 0.8
