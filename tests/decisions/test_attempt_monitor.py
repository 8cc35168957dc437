"""Monitoring of silent engines and overdue attempts."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import (
    KEYED,
    LONG,
    SECOND_US,
    SHORT,
    STEP_TIMER,
    end_attempt,
    end_with_load,
    endpoints,
    fire_step_timer,
    forwards,
    make_router,
    make_routers,
    policy_settings,
    receive_request,
    serve_in_sequence,
)

from lilacfront.decisions.actions import CancelAttempt
from lilacfront.decisions.events import AttemptNotification, AttemptResult, NotificationKind, TimerFired
from lilacfront.decisions.settings import Idempotency


def test_an_overloaded_engine_does_not_count_as_silent() -> None:
    router = make_router(policy_settings(), endpoints(1))
    now = serve_in_sequence(router, 0, 100, 150_000)
    assert len([1 for n in range(20) if forwards(receive_request(router, now, n))]) == 20
    late = fire_step_timer(router, now + 400_000)  # many responses are missing, but the silence is short
    assert not [a for a in late if isinstance(a, CancelAttempt)]
    silent = fire_step_timer(router, now + 2 * SECOND_US)
    assert [a for a in silent if isinstance(a, CancelAttempt)]


def test_a_silent_engine_is_ejected_and_its_idempotent_requests_are_retried() -> None:
    router = make_router(policy_settings(replace(SHORT, deadline_us=20 * SECOND_US)), endpoints(4))
    now = serve_in_sequence(router, 0, 40, 100_000)
    sent = [
        forwards(receive_request(router, now, n, time_left_us=20 * SECOND_US, table_group=n))[0]
        for n in range(40)
    ]
    silent_engine = sent[0].engine
    for send in sent:
        if send.engine != silent_engine:
            end_attempt(router, now + 200_000, send, AttemptResult.OK)
    cancelled = [a for a in fire_step_timer(router, now + 2 * SECOND_US) if isinstance(a, CancelAttempt)]
    assert {a.request for a in cancelled} == {s.request for s in sent if s.engine == silent_engine}
    (retry,) = forwards(end_attempt(router, now + 2 * SECOND_US, sent[0], AttemptResult.CANCELLED))
    assert retry.engine != silent_engine
    assert all(
        s.engine != silent_engine
        for n in range(100, 120)
        for s in forwards(receive_request(router, now + 2 * SECOND_US, n, table_group=n))
    )


def test_rescheduling_is_limited_if_all_attempts_are_overdue() -> None:
    router = make_router(policy_settings(replace(LONG, deadline_us=60 * SECOND_US)), endpoints(8))
    now = serve_in_sequence(router, 0, 20, 300_000)
    sent = [
        s
        for n in range(60)
        for s in forwards(receive_request(router, now, n, time_left_us=60 * SECOND_US, table_group=n))
    ]
    for engine in router.state.engines.values():
        engine.last_response_us = now + 3 * SECOND_US  # overdue, but not silent
    cancelled = [a for a in fire_step_timer(router, now + 3 * SECOND_US) if isinstance(a, CancelAttempt)]
    assert len(sent) > 40
    assert 1 <= len(cancelled) <= 12


def test_an_overdue_attempt_is_rescheduled() -> None:
    router = make_router(
        policy_settings(replace(LONG, deadline_us=60 * SECOND_US), notification_interval_us=500_000),
        endpoints(3),
    )
    now = serve_in_sequence(router, 0, 20, SECOND_US)
    (send,) = forwards(receive_request(router, now, 1, time_left_us=60 * SECOND_US))
    router.handle(now + 600_000, AttemptNotification(1, 0, send.engine, NotificationKind.PROGRESS, 0.05))
    assert CancelAttempt(1, 0) in fire_step_timer(router, now + 650_000)
    assert forwards(end_attempt(router, now + 660_000, send, AttemptResult.CANCELLED))


def test_an_attempt_that_waits_for_a_data_load_is_retried_on_an_engine_with_capacity() -> None:
    load = replace(LONG, is_load=True, idempotency=Idempotency.NOT_IDEMPOTENT)
    router = make_router(policy_settings(replace(SHORT, waits_for_loads=True), load), endpoints(3))
    (send,) = forwards(receive_request(router, 0, 1, table_group=5))
    notification = AttemptNotification(1, 0, send.engine, NotificationKind.WAITING_FOR_LOAD, 2.0)
    assert router.handle(500_000, notification) == [CancelAttempt(1, 0)]
    (retry,) = forwards(end_attempt(router, 500_500, send, AttemptResult.CANCELLED))
    assert retry.engine != send.engine
    later = [s for n in range(2, 6) for s in forwards(receive_request(router, 600_000, n, table_group=5))]
    assert later
    assert all(s.engine != send.engine for s in later)


def test_a_stalled_gateway_cancels_no_attempts() -> None:
    router = make_router(policy_settings(), endpoints(2))
    now = serve_in_sequence(router, 0, 40, 100_000)
    assert [s for n in range(20) for s in forwards(receive_request(router, now, n, table_group=n))]
    assert not [
        a for a in router.handle(now + 3 * SECOND_US, TimerFired(STEP_TIMER)) if isinstance(a, CancelAttempt)
    ]


def test_a_request_is_rescheduled_once_and_earns_a_token_only_if_it_ends_in_time() -> None:
    def after_retry(duration_us: int) -> tuple[int, float]:
        """Return how often a second attempt of this duration was cancelled, and the tokens left."""
        router = make_router(policy_settings(replace(SHORT, deadline_us=20 * SECOND_US)), endpoints(4))
        now = serve_in_sequence(router, 0, 60, 100_000)
        (send,) = forwards(receive_request(router, now, 1, time_left_us=20 * SECOND_US))
        router.monitor.reschedule_tokens = 5.0
        router.state.engines[send.engine].last_response_us = now + 100 * SECOND_US  # so that it is not silent
        actions = fire_step_timer(router, now + SECOND_US)
        assert [a for a in actions if isinstance(a, CancelAttempt)]
        (send,) = forwards(end_attempt(router, now + SECOND_US, send, AttemptResult.CANCELLED))
        router.state.engines[send.engine].last_response_us = now + 100 * SECOND_US
        end_us = now + SECOND_US + duration_us
        cancelled = [a for a in fire_step_timer(router, end_us) if isinstance(a, CancelAttempt)]
        end_attempt(router, end_us, send, AttemptResult.OK, attempt=1)
        return len(cancelled), router.monitor.reschedule_tokens

    assert after_retry(3 * SECOND_US) == (0, 4.0)  # not rescheduled again, no token earned
    assert after_retry(50_000) == (0, 5.0)


@pytest.mark.parametrize(
    ("gateway_count", "window_us", "is_cancelled"),
    [(200, 15 * SECOND_US, True), (200, 900_000, False), (3, 15 * SECOND_US, False)],
)
def test_a_keyed_data_load_is_cancelled_only_within_its_deduplication_window(
    gateway_count: int, window_us: int, is_cancelled: bool
) -> None:
    load = replace(KEYED, is_load=True, waits_for_loads=True, deduplication_window_us=15 * SECOND_US)
    router = make_routers(gateway_count, endpoints(10), replace(load, deduplication_window_us=window_us))[0]
    (send,) = forwards(receive_request(router, 100 * SECOND_US, 1, time_left_us=20 * SECOND_US))
    notification = AttemptNotification(1, 0, send.engine, NotificationKind.WAITING_FOR_LOAD, 2.0)
    assert (CancelAttempt(1, 0) in router.handle(101 * SECOND_US, notification)) is is_cancelled


@pytest.mark.parametrize(("gateway_count", "is_cancelled"), [(200, False), (3, True)])
def test_overdue_attempts_are_rescheduled_only_without_pooled_limits(
    gateway_count: int, is_cancelled: bool
) -> None:
    router = make_routers(gateway_count, endpoints(10), SHORT)[0]
    now = 100 * SECOND_US
    for n in range(30):
        now += 300_000
        for send in forwards(receive_request(router, now, n, table_group=n)):
            end_with_load(router, now + 60_000, send, 6.0)
    receive_request(router, now, 99)
    router.next_step_at_us = now + 600_000
    for engine in router.state.active_engines.values():
        engine.last_response_us = now + 600_000  # so that it is not silent
    actions = router.handle(now + 600_000, TimerFired(STEP_TIMER))
    assert bool([a for a in actions if isinstance(a, CancelAttempt)]) is is_cancelled


@pytest.mark.parametrize(
    ("notification_interval_us", "silence_us", "is_ejected"),
    [(0, 3 * SECOND_US, False), (2 * SECOND_US, 3 * SECOND_US, False), (2 * SECOND_US, 5_100_000, True)],
)
def test_missing_notifications_count_as_silence_and_one_long_request_does_not(
    notification_interval_us: int, silence_us: int, is_ejected: bool
) -> None:
    router = make_routers(
        200,
        endpoints(10),
        SHORT,
        replace(LONG, idempotency=Idempotency.NOT_IDEMPOTENT),
        notification_interval_us=notification_interval_us,
    )[0]
    router.state.class_estimates[1].run_time_us = 300_000.0
    (send,) = forwards(
        receive_request(router, 100 * SECOND_US, 1, class_index=1, time_left_us=20 * SECOND_US)
    )
    router.next_step_at_us = 100 * SECOND_US + silence_us
    router.handle(100 * SECOND_US + silence_us, TimerFired(STEP_TIMER))
    assert (send.engine in router.state.ejected_engines) is is_ejected
