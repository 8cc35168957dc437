"""Order of requests with the same ordering key."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
    RULES,
    SECOND_US,
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


# The gap of each key that ever had an attempt with an unknown end was kept for the life of the process.
def test_nothing_is_kept_of_keys_whose_requests_and_gaps_have_ended() -> None:
    spec = replace(SHORT, is_ordered=True)
    router = make_router(policy_settings(spec, rules=replace(RULES, ordering_gap_us=300_000)), endpoints(3))
    for key in range(1, 2_000):
        now = key * SECOND_US
        (send,) = forwards(receive_request(router, now, key, ordering_key=key))
        router.handle(now, ClientDisconnected(key))
        end_attempt(router, now, send, AttemptResult.CANCELLED)
    assert not router._ordered_keys._queues
    assert len(router._ordered_keys._gaps) == 1


def test_held_key_holds_back_new_requests_and_no_retries() -> None:
    spec = replace(SHORT, is_ordered=True)
    router = make_router(policy_settings(spec), endpoints(3))
    (first,) = forwards(receive_request(router, 0, 1, ordering_key=5))
    router.hold_key(5)
    router.hold_key(5)
    (retry,) = forwards(end_attempt(router, 1000, first, AttemptResult.ERROR))
    assert retry.request == 1
    end_attempt(router, 2000, retry, AttemptResult.OK, attempt=1)
    assert not forwards(receive_request(router, 3000, 2, ordering_key=5))
    assert forwards(receive_request(router, 3000, 3, ordering_key=6))
    router.release_key(5)
    assert not forwards(router.handle(60_000, TimerFired(STEP_TIMER)))
    router.release_key(5)
    assert [send.request for send in forwards(router.handle(120_000, TimerFired(STEP_TIMER)))] == [2]
    assert not router._ordered_keys._holds
