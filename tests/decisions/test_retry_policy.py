"""Retries by idempotency, and the retry budget."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import (
    KEYED,
    RULES,
    SECOND_US,
    UNSAFE,
    end_attempt,
    endpoints,
    final_answers,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import Fail
from lilacfront.decisions.events import AttemptResult, Endpoint, EndpointState
from lilacfront.decisions.settings import DeduplicationScope


@pytest.mark.parametrize(
    ("result", "is_retried"),
    [(AttemptResult.CONNECT_FAILED, True), (AttemptResult.REJECTED, True), (AttemptResult.RESET, False)],
)
def test_a_non_idempotent_request_is_retried_only_if_it_never_ran(
    result: AttemptResult, is_retried: bool
) -> None:
    router = make_router(policy_settings(UNSAFE), endpoints(3))
    (send,) = forwards(receive_request(router, 0, 1, time_left_us=20 * SECOND_US))
    actions = end_attempt(router, 1000, send, result)
    assert bool(forwards(actions)) is is_retried
    assert final_answers(actions) == ([] if is_retried else [Fail(1)])


def test_a_keyed_request_is_retried_only_in_its_deduplication_scope_and_window() -> None:
    fleet = (
        *endpoints(2, zone=0),
        Endpoint(8, EndpointState.READY, zone=1),
        Endpoint(9, EndpointState.READY, zone=1),
    )
    spec = replace(KEYED, deduplication_scope=DeduplicationScope.ZONE)
    router = make_router(policy_settings(spec), fleet)
    (send,) = forwards(receive_request(router, 0, 1, time_left_us=20 * SECOND_US))
    (retry,) = forwards(end_attempt(router, SECOND_US, send, AttemptResult.ERROR))
    assert (retry.engine < 8) == (send.engine < 8)
    assert final_answers(end_attempt(router, 6 * SECOND_US, retry, AttemptResult.ERROR, 1)) == [Fail(1)]


def test_retries_stay_within_the_retry_budget() -> None:
    rules = replace(RULES, retry_budget_window_us=5 * SECOND_US, retry_budget_min=1.0, retry_budget_ratio=0.5)
    router = make_router(policy_settings(rules=rules), endpoints(6))
    first_attempts = [forwards(receive_request(router, n, n))[0] for n in range(4)]
    is_retried = [
        bool(forwards(end_attempt(router, 1000 + n, attempt, AttemptResult.REJECTED)))
        for n, attempt in enumerate(first_attempts)
    ]
    assert is_retried == [True, True, True, False]
