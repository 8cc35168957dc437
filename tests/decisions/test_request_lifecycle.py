"""Start and end of attempts, and final answers."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
    DEADLINE_TIMER_1,
    SECOND_US,
    SHORT,
    STEP_TIMER,
    end_attempt,
    endpoints,
    final_answers,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import Fail, Reject
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ResponseStarted,
    TimerFired,
)


def test_a_request_without_any_engine_is_rejected_once() -> None:
    router = make_router(policy_settings(), ())
    answers = final_answers(receive_request(router, 0, 1))
    for step in range(1, 120):
        answers += final_answers(router.handle(step * 50_000, TimerFired(STEP_TIMER)))
    answers += final_answers(router.handle(5 * SECOND_US, TimerFired(DEADLINE_TIMER_1)))
    assert answers == [Reject(1, 0)]


def test_a_timeout_at_the_deadline_fails_the_request() -> None:
    router = make_router(policy_settings(), endpoints(2))
    (send,) = forwards(receive_request(router, 0, 1, time_left_us=2 * SECOND_US))
    assert send.deadline_us == 2 * SECOND_US
    assert final_answers(end_attempt(router, 2 * SECOND_US, send, AttemptResult.TIMEOUT)) == [Fail(1)]
    assert final_answers(router.handle(2 * SECOND_US, TimerFired(DEADLINE_TIMER_1))) == []


def test_a_late_result_of_an_answered_request_releases_its_threads() -> None:
    router = make_router(policy_settings(), endpoints(1))
    (send,) = forwards(receive_request(router, 0, 1))
    router.handle(SECOND_US, ClientDisconnected(1))
    engine = router.state.engines[1]
    assert engine.concurrency.used == 1
    assert (
        final_answers(
            router.handle(2 * SECOND_US, AttemptEnded(1, 0, send.engine, AttemptResult.CANCELLED, 0, True))
        )
        == []
    )
    assert engine.concurrency.used == 0
    assert not router.state.requests


def test_a_streaming_response_is_not_cancelled_at_the_deadline() -> None:
    router = make_router(policy_settings(replace(SHORT, is_streamed=True)), endpoints(1))
    (send,) = forwards(receive_request(router, 0, 1))
    router.handle(1000, ResponseStarted(1, 0, send.engine))
    assert router.handle(5 * SECOND_US, TimerFired(DEADLINE_TIMER_1)) == []
    assert (
        final_answers(
            router.handle(9 * SECOND_US, AttemptEnded(1, 0, send.engine, AttemptResult.OK, 0, True))
        )
        == []
    )
