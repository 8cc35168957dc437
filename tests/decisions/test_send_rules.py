"""Rules for every forwarded attempt."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
    LIMITS,
    SHORT,
    end_attempt,
    endpoints,
    final_answers,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import Reject
from lilacfront.decisions.events import AttemptResult, Endpoint, EndpointState


def test_allowed_zones_and_machine_types_apply_to_every_attempt() -> None:
    fleet = (*endpoints(1, zone=0), Endpoint(2, EndpointState.READY, zone=1, machine_type=1))
    router = make_router(policy_settings(replace(SHORT, allowed_zones=(1,))), fleet)
    (send,) = forwards(receive_request(router, 0, 1))
    assert send.engine == 2
    assert all(s.engine == 2 for s in forwards(end_attempt(router, 1, send, AttemptResult.CONNECT_FAILED)))
    other = make_router(policy_settings(replace(SHORT, allowed_machine_types=(0,))), fleet)
    assert {s.engine for n in range(9) for s in forwards(receive_request(other, 2, n))} == {1}


def test_attempts_never_overlap_and_never_exceed_the_maximum() -> None:
    router = make_router(policy_settings(limits=replace(LIMITS, max_attempts=2)), endpoints(6))
    (send,) = forwards(receive_request(router, 0, 1))
    (retry,) = forwards(end_attempt(router, 1000, send, AttemptResult.REJECTED))
    actions = end_attempt(router, 2000, retry, AttemptResult.REJECTED, 1)
    assert not forwards(actions)
    assert final_answers(actions) == [Reject(1, 0)]
