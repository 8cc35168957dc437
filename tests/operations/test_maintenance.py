"""Tests of the overlay of suspensions on the endpoint list."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import LONG, end_attempt, endpoints, forwards, make_router, policy_settings, receive_request

from lilacfront.decisions.events import AttemptResult, Endpoint, EndpointList, EndpointState, ListScope
from lilacfront.operations.maintenance import Maintenance

US_PER_S = 1_000_000
READY = Endpoint(1, EndpointState.READY)


def delta(endpoint: Endpoint) -> EndpointList:
    return EndpointList(ListScope.DELTA, (endpoint,))


@pytest.fixture
def maintenance() -> Maintenance:
    """A list of two engines, of which the first was suspended at 100 s."""
    with_suspension = Maintenance()
    with_suspension.apply(EndpointList(ListScope.SNAPSHOT, (READY, replace(READY, engine=2))))
    update = with_suspension.suspend(1, 100 * US_PER_S)
    assert update is not None
    assert update.endpoints[0].state is EndpointState.DRAINING
    return with_suspension


@pytest.mark.parametrize("scope", ListScope)
@pytest.mark.parametrize(
    "endpoint",
    [READY, replace(READY, started_us=105 * US_PER_S), replace(READY, state=EndpointState.DRAINING)],
)
def test_suspended_engine_stays_draining_after_list_updates(
    maintenance: Maintenance, scope: ListScope, endpoint: Endpoint
) -> None:
    overlaid = maintenance.apply(EndpointList(scope, (endpoint,))).endpoints[0]
    assert overlaid.state is EndpointState.DRAINING


def test_restored_engine_has_restoration_as_start_time(maintenance: Maintenance) -> None:
    removed = delta(replace(READY, state=EndpointState.REMOVED))
    assert maintenance.apply(removed).endpoints[0].state is EndpointState.REMOVED
    assert maintenance.restore(1, 100 * US_PER_S, 110 * US_PER_S) is None  # it is not in the list
    restarted = replace(READY, started_us=108 * US_PER_S)
    assert maintenance.apply(delta(restarted)).endpoints[0] == restarted  # the list reports the restart
    restored = replace(READY, started_us=110 * US_PER_S)
    assert maintenance.apply(delta(READY)).endpoints[0] == restored


def test_suspended_engine_gets_no_new_requests_and_finishes_running_ones() -> None:
    maintenance = Maintenance()
    fleet = endpoints(2)
    router = make_router(policy_settings(replace(LONG, deadline_us=60 * US_PER_S)), fleet)
    maintenance.apply(EndpointList(ListScope.SNAPSHOT, fleet))
    first = forwards(receive_request(router, 0, 1, time_left_us=60 * US_PER_S))[0]
    update = maintenance.suspend(first.engine, 0)
    assert update is not None
    assert router.handle(1000, update) == []  # the attempt is not cancelled
    for number in range(2, 20):
        attempts = forwards(receive_request(router, number * 1000, number, time_left_us=60 * US_PER_S))
        assert all(attempt.engine != first.engine for attempt in attempts)
    end_attempt(router, US_PER_S, first, AttemptResult.OK)
    assert not router.state.engines[first.engine].error_rate  # the engine is not treated as faulty
    assert not router.state.ejected_engines
