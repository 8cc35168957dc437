"""Concurrency limit of one engine."""

from __future__ import annotations

from helpers import (
    LONG,
    SECOND_US,
    SHORT,
    end_attempt,
    endpoints,
    forwards,
    make_router,
    policy_settings,
    receive_request,
    serve_in_sequence,
)

from lilacfront.decisions.events import AttemptResult


def test_one_slow_attempt_lowers_the_limit_only_a_little() -> None:
    router = make_router(policy_settings(SHORT, LONG), endpoints(1))
    now = serve_in_sequence(router, 0, 200, 100_000)
    initial_limit = router.state.engines[1].concurrency.limit
    (send,) = forwards(receive_request(router, now, 1, class_index=1, time_left_us=20 * SECOND_US))
    end_attempt(router, now + 19 * SECOND_US, send, AttemptResult.OK)
    assert router.state.engines[1].concurrency.limit > 0.7 * initial_limit


def test_the_limit_rises_only_when_full_and_falls_when_slow() -> None:
    router = make_router(policy_settings(), endpoints(1))
    initial_limit = router.state.engines[1].concurrency.limit
    now = serve_in_sequence(router, 0, 50, 20_000)
    assert router.state.engines[1].concurrency.limit == initial_limit
    sent = [s for n in range(int(initial_limit) + 1) for s in forwards(receive_request(router, now, n))]
    assert len(sent) == int(initial_limit)
    for n, send in enumerate(sent):
        end_attempt(router, now + 20_000 + n, send, AttemptResult.OK)
    assert router.state.engines[1].concurrency.limit > initial_limit
    for turn in range(3):
        sent_at = now + (turn + 1) * 5 * SECOND_US
        for send in [
            s for n in range(100, 140) for s in forwards(receive_request(router, sent_at, n + 40 * turn))
        ]:
            end_attempt(router, sent_at + 4 * SECOND_US, send, AttemptResult.OK)
    assert 1.0 <= router.state.engines[1].concurrency.limit < initial_limit


def test_the_limit_of_a_slow_engine_falls_below_that_of_its_peers() -> None:
    router = make_router(policy_settings(), endpoints(4))
    now = 0
    for n in range(300):
        now += 400_000
        for send in forwards(receive_request(router, now, n, table_group=n)):
            end_attempt(router, now + (390_000 if send.engine == 1 else 40_000), send, AttemptResult.OK)
    assert router.state.engines[1].concurrency.limit < 3 < router.state.engines[2].concurrency.limit
