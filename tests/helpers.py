"""Builders for the tests of the router: classes, settings, endpoints, routers and events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from lilacfront.decisions.actions import Action, Fail, Forward, Reject
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointState,
    ListScope,
    LoadReport,
    RequestReceived,
    TimerFired,
)
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings import Idempotency, PolicyLimits, PolicySettings, RequestClass, SafetyRules

SHORT = RequestClass(
    latency_objective_us=1_000_000,
    deadline_us=5_000_000,
    priority_weight=1.0,
    threads=1,
    idempotency=Idempotency.IDEMPOTENT,
)
LONG = RequestClass(
    latency_objective_us=3_000_000,
    deadline_us=20_000_000,
    priority_weight=4.0,
    threads=2,
    idempotency=Idempotency.IDEMPOTENT,
)
KEYED = replace(LONG, idempotency=Idempotency.IDEMPOTENT_BY_KEY, deduplication_window_us=5_000_000)
UNSAFE = replace(LONG, idempotency=Idempotency.NOT_IDEMPOTENT)
LIMITS = PolicyLimits(max_attempts=4, may_cancel=True)
RULES = SafetyRules(answer_slack_us=20_000, drain_deadline_us=1_000_000)
SECOND_US = 1_000_000
SLOW_START_RULES = replace(
    RULES,
    overload_factor=2.5,
    cold_capacity_fraction=0.3,
    overload_window_us=1_500_000,
    warm_up_us=14 * SECOND_US,
)

Endpoints = tuple[Endpoint, ...]


def policy_settings(*classes: RequestClass, **changes: Any) -> PolicySettings:
    """Settings with LIMITS and RULES, and with the class SHORT if no class is given."""
    settings = PolicySettings(
        classes=classes or (SHORT,),
        machine_type_cores=(8.0, 8.0),
        limits=LIMITS,
        rules=RULES,
        clock_tick_us=5_000,
    )
    return replace(settings, **changes)


def endpoints(count: int, **changes: Any) -> Endpoints:
    """Ready endpoints, numbered from 1."""
    return tuple(replace(Endpoint(number, EndpointState.READY), **changes) for number in range(1, count + 1))


def make_router(config: PolicySettings, fleet: Endpoints, now: int = 0) -> RequestRouter:
    """A router that has received the endpoint list."""
    router = RequestRouter(config, 7)
    router.handle(now, EndpointList(ListScope.SNAPSHOT, fleet))
    return router


def forwards(actions: list[Action]) -> list[Forward]:
    """The actions that forward an attempt."""
    return [action for action in actions if isinstance(action, Forward)]


def final_answers(actions: list[Action]) -> list[Reject | Fail]:
    """The actions that give a final answer."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def receive_request(router: RequestRouter, now: int, request: int, **changes: Any) -> list[Action]:
    """Pass a request of the first class, with 5 s until its deadline, to the router."""
    event = RequestReceived(request, 0, 5_000_000)
    return router.handle(now, replace(event, **changes))


def end_attempt(
    router: RequestRouter, now: int, send: Forward, result: AttemptResult, attempt: int = 0, **fields: Any
) -> list[Action]:
    """Report the end of a forwarded attempt; only OK ends the request."""
    is_final = result is AttemptResult.OK
    return router.handle(now, AttemptEnded(send.request, attempt, send.engine, result, 0, is_final, **fields))


def end_with_load(
    router: RequestRouter,
    now: int,
    send: Forward,
    in_flight: float,
    result: AttemptResult = AttemptResult.OK,
) -> None:
    """Report the end of a forwarded attempt, with the engine's number of requests in flight."""
    end_attempt(router, now, send, result, report=LoadReport(in_flight=in_flight))


def make_routers(count: int, fleet: Endpoints, *classes: RequestClass, **changes: Any) -> list[RequestRouter]:
    """One router per gateway of a deployment, each with its own gateway index."""
    return [
        make_router(
            policy_settings(*classes, gateway_count=count, gateway_index=index, **changes),
            fleet,
            100 * SECOND_US,
        )
        for index in range(count)
    ]


def serve_in_sequence(
    router: RequestRouter, now: int, count: int, duration_us: int, first_request: int = 1000
) -> int:
    """Serve `count` requests one after another, each in `duration_us`; return the time of the last end."""
    for number in range(count):
        (send,) = forwards(receive_request(router, now, first_request + number, table_group=number))
        now += duration_us
        end_attempt(router, now, send, AttemptResult.OK)
    return now


def fire_step_timer(router: RequestRouter, now: int) -> list[Action]:
    """Fire the step timer at its due time."""
    router.next_step_at_us = now
    return router.handle(now, TimerFired(0))
