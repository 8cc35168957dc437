"""Tests of exporting and importing measurements."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec
from helpers import LONG, end_attempt, endpoints, forwards, make_router, policy_settings, receive_request

from lilacfront.decisions.events import AttemptResult, EndpointList, ListScope
from lilacfront.decisions.router import RequestRouter
from lilacfront.operations.learned_state import MAX_CLASS_AGE_S, export_learned_state, import_learned_state
from lilacfront.operations.state_record import LearnedState, ProcessState, decode_state, encode_state

US_PER_S = 1_000_000
REQUEST_COUNT = 30
FLEET = endpoints(2)


def measured_router() -> RequestRouter:
    """Build a router with measurements of one class and of both engines."""
    router = make_router(policy_settings(LONG), FLEET)
    for number in range(REQUEST_COUNT):
        now = number * US_PER_S
        (attempt,) = forwards(
            receive_request(router, now, number, time_left_us=20 * US_PER_S, table_group=number)
        )
        end_attempt(router, now + 400_000, attempt, AttemptResult.OK)
    return router


def test_stale_measurements_are_not_imported() -> None:
    learned = export_learned_state(measured_router())
    new = make_router(policy_settings(LONG), FLEET)
    import_learned_state(new, learned, age_s=MAX_CLASS_AGE_S + 1)
    assert new.state.class_estimates[0].sample_count == 0
    assert all(engine.concurrency.latency_ratio < 0 for engine in new.state.engines.values())


def test_import_does_not_replace_own_measurements() -> None:
    old = measured_router()
    learned = export_learned_state(old)
    new = make_router(policy_settings(LONG), FLEET)
    restart = EndpointList(ListScope.DELTA, (replace(FLEET[0], started_us=REQUEST_COUNT * US_PER_S),))
    new.handle(REQUEST_COUNT * US_PER_S, restart)
    import_learned_state(new, learned, age_s=1.0)
    assert new.state.class_estimates[0].run_time_us == old.state.class_estimates[0].run_time_us
    assert new.state.class_estimates[0].sample_count == REQUEST_COUNT
    assert (
        new.state.engines[1].concurrency.latency_ratio < 0
    )  # the engine has restarted since the measurement
    assert (
        new.state.engines[2].concurrency.latency_ratio == old.state.engines[2].concurrency.latency_ratio >= 0
    )
    assert new.state.engines[2].concurrency.used == 0  # requests in flight are not imported
    assert not new.state.requests
    new.state.engines[2].concurrency.latency_ratio = 1.5
    import_learned_state(new, learned, age_s=1.0)
    assert new.state.engines[2].concurrency.latency_ratio == 1.5  # its own measurement is kept


def test_measurements_round_trip_through_state_file(make_state: Callable[..., ProcessState]) -> None:
    learned: LearnedState = export_learned_state(measured_router())
    data = encode_state(msgspec.structs.replace(make_state("a"), learned=learned))
    assert decode_state(data, "n0").learned == learned
