"""Order of requests with the same ordering key."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
    RULES,
    SHORT,
    STEP_TIMER,
    end_attempt,
    endpoints,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.events import AttemptResult, ClientDisconnected, TimerFired


def test_requests_of_one_key_run_one_at_a_time_with_a_gap() -> None:
    spec = replace(SHORT, is_ordered=True)
    router = make_router(policy_settings(spec, rules=replace(RULES, ordering_gap_us=300_000)), endpoints(3))
    (first,) = forwards(receive_request(router, 0, 1, ordering_key=5))
    assert not forwards(receive_request(router, 0, 2, ordering_key=5))
    assert forwards(receive_request(router, 0, 3, ordering_key=6))
    assert forwards(receive_request(router, 0, 4, ordering_key=0))
    assert forwards(receive_request(router, 0, 5, ordering_key=0))
    (second,) = forwards(end_attempt(router, 1000, first, AttemptResult.OK))
    assert second.request == 2
    assert not forwards(receive_request(router, 2000, 6, ordering_key=5))
    router.handle(3000, ClientDisconnected(2))
    end_attempt(router, 4000, second, AttemptResult.CANCELLED)
    assert not forwards(router.handle(200_000, TimerFired(STEP_TIMER)))
    assert [s.request for s in forwards(router.handle(310_000, TimerFired(STEP_TIMER)))] == [6]
