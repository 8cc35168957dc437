"""Endpoint lists and the engines known from them."""

from __future__ import annotations

from dataclasses import replace

from helpers import SECOND_US, end_attempt, endpoints, forwards, make_router, policy_settings, receive_request

from lilacfront.decisions.actions import SetTimer, WatchEndpoints
from lilacfront.decisions.events import (
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointState,
    ListScope,
    TimerFired,
)


def test_nothing_is_forwarded_to_draining_or_unlisted_engines() -> None:
    router = make_router(policy_settings(), endpoints(2))
    router.handle(1, EndpointList(ListScope.DELTA, (Endpoint(1, EndpointState.DRAINING),)))
    assert {s.engine for n in range(9) for s in forwards(receive_request(router, 2, n))} == {2}
    router.handle(3, EndpointList(ListScope.SNAPSHOT, (Endpoint(1, EndpointState.READY),)))
    assert {s.engine for n in range(10, 14) for s in forwards(receive_request(router, 4, n))} == {1}


def test_discovery_is_polled_only_if_the_settings_say_so() -> None:
    router = make_router(policy_settings(), ())
    polling = make_router(policy_settings(polls_discovery=True), ())
    cached = EndpointList(ListScope.CACHED, endpoints(1))
    assert WatchEndpoints(True) not in router.handle(0, cached)
    assert WatchEndpoints(True) in polling.handle(0, cached)
    (timer,) = [a for a in polling.handle(1, EndpointList(ListScope.FAILED)) if isinstance(a, SetTimer)]
    assert polling.handle(timer.at_us, TimerFired(timer.token)) == [WatchEndpoints(True)]


def test_removed_engines_are_deleted_once_no_attempt_runs_there() -> None:
    router = make_router(policy_settings(), endpoints(2))
    (send,) = forwards(receive_request(router, 0, 1))
    removed = tuple(replace(e, state=EndpointState.REMOVED) for e in endpoints(2))
    router.handle(SECOND_US, EndpointList(ListScope.DELTA, removed))
    assert list(router.state.engines) == [send.engine]
    end_attempt(router, 2 * SECOND_US, send, AttemptResult.RESET)
    router.handle(3 * SECOND_US, EndpointList(ListScope.DELTA, ()))
    assert not router.state.engines
    assert not router.loads.report_count
