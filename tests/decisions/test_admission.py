"""Admission: the queue of requests that wait for an engine."""

from __future__ import annotations

from helpers import (
    endpoints,
    final_answers,
    forwards,
    make_router,
    policy_settings,
    receive_request,
    serve_in_sequence,
)


def test_requests_that_can_wait_are_queued_and_not_rejected() -> None:
    router = make_router(policy_settings(), endpoints(2))
    now = serve_in_sequence(router, 0, 40, 50_000)
    answers = [a for n in range(90) for a in receive_request(router, now, n, table_group=n)]
    assert len(forwards(answers)) >= 48
    assert not final_answers(answers)
