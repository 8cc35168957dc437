"""Unexpected events: unknown or repeated numbers, malformed messages, and a clock that goes backwards."""

from __future__ import annotations

import pytest
from helpers import (
    DEADLINE_TIMER_1,
    SECOND_US,
    SHORT,
    end_attempt,
    endpoints,
    final_answers,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import Fail
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptNotification,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    HealthCheckResult,
    LoadReport,
    NotificationKind,
    PeerMessageReceived,
    ResponseStarted,
    TimerFired,
)


def test_results_and_notifications_of_unknown_attempts_are_ignored() -> None:
    router = make_router(policy_settings(), endpoints(3))
    (send,) = forwards(receive_request(router, 0, 1))
    for request, attempt in ((99, 0), (1, 1), (1, 200), (1, -1)):
        assert router.handle(10, AttemptEnded(request, attempt, send.engine, AttemptResult.ERROR, 5)) == []
        assert (
            router.handle(
                10, AttemptNotification(request, attempt, send.engine, NotificationKind.WAITING_FOR_LOAD, 2.0)
            )
            == []
        )
        assert router.handle(10, ResponseStarted(request, attempt, send.engine)) == []
    assert router.handle(10, ClientDisconnected(99)) == []
    assert router.handle(10, TimerFired(12345)) == []
    assert router.state.engines[send.engine].concurrency.used == 1
    actions = end_attempt(router, 20, send, AttemptResult.ERROR)
    assert forwards(actions)
    assert router.handle(30, AttemptEnded(1, 0, send.engine, AttemptResult.OK, 5)) == []  # reported twice


def test_a_request_with_a_number_in_use_is_ignored() -> None:
    router = make_router(policy_settings(), endpoints(3))
    (send,) = forwards(receive_request(router, 0, 1))
    assert receive_request(router, 10, 1) == []
    end_attempt(router, 20, send, AttemptResult.OK)
    assert not router.state.requests
    assert all(e.concurrency.used == 0 for e in router.state.engines.values())


def test_a_clock_that_goes_backwards_counts_as_stopped() -> None:
    router = make_router(policy_settings(), endpoints(3), now=5 * SECOND_US)
    (send,) = forwards(receive_request(router, 2 * SECOND_US, 1, time_left_us=SECOND_US))
    assert send.deadline_us == 6 * SECOND_US
    assert (
        forwards(end_attempt(router, 3 * SECOND_US, send, AttemptResult.ERROR))[0].deadline_us
        == 6 * SECOND_US
    )
    assert final_answers(router.handle(6 * SECOND_US, TimerFired(DEADLINE_TIMER_1))) == [Fail(1)]


def test_malformed_gossip_and_unknown_health_checks_are_ignored() -> None:
    router = make_router(policy_settings(), endpoints(3))
    for data in (b"", b"\xff" * 256, b"\x02new"):
        assert router.handle(1, PeerMessageReceived(7, data)) == []
    assert router.handle(1, HealthCheckResult(99, AttemptResult.OK, 10)) == []


def test_a_load_report_without_load_is_ignored() -> None:
    router = make_router(policy_settings(gateway_count=200), endpoints(3))
    (send,) = forwards(receive_request(router, 0, 1))
    end_attempt(router, 10, send, AttemptResult.OK, report=LoadReport(queued=3.0))
    assert router.loads.report_count == 0


def test_the_last_entry_counts_if_a_list_contains_an_engine_twice() -> None:
    duplicates = (Endpoint(1, EndpointState.READY), Endpoint(1, EndpointState.DRAINING))
    router = make_router(
        policy_settings(), (*endpoints(1)[1:], *duplicates, Endpoint(2, EndpointState.READY))
    )
    assert {s.engine for n in range(6) for s in forwards(receive_request(router, 1, n))} == {2}


def test_a_class_outside_the_settings_raises() -> None:
    router = make_router(policy_settings(SHORT), endpoints(1))
    with pytest.raises(IndexError):
        receive_request(router, 0, 1, class_index=5)
