"""Corrections of the restored endpoint list by newer lists of peers and by start times."""

import pytest
from recovery_helpers import endpoint_entry

from lilacfront.recovery.durable_state import DurableState, replay
from lilacfront.recovery.records import EndpointListRecord
from lilacfront.recovery.restored_endpoints import RestoredEndpoints
from lilacfront.recovery.state_encoding import short_id


@pytest.fixture
def state() -> DurableState:
    return replay([EndpointListRecord(5, True, (endpoint_entry(1), endpoint_entry(2)))])


def lifecycles(endpoints: RestoredEndpoints, state: DurableState) -> dict[str, str]:
    return {endpoint.instance_id: endpoint.lifecycle for endpoint in endpoints.update(state).endpoints}


def test_engines_missing_from_a_newer_peer_list_are_draining(state: DurableState) -> None:
    endpoints = RestoredEndpoints()
    assert endpoints.restrict(state, 6, {short_id("s-1")})
    assert endpoints.restricted
    assert lifecycles(endpoints, state) == {"s-1": "ready", "s-2": "draining"}


def test_peer_list_that_is_not_newer_is_ignored(state: DurableState) -> None:
    endpoints = RestoredEndpoints()
    assert not endpoints.restrict(state, 5, set())
    assert lifecycles(endpoints, state) == {"s-1": "ready", "s-2": "ready"}


def test_newer_of_two_peer_lists_is_used(state: DurableState) -> None:
    endpoints = RestoredEndpoints()
    endpoints.restrict(state, 7, {short_id("s-2")})
    assert not endpoints.restrict(state, 6, {short_id("s-1")})
    assert lifecycles(endpoints, state) == {"s-1": "draining", "s-2": "ready"}


def test_lifting_the_restriction_restores_all_engines(state: DurableState) -> None:
    endpoints = RestoredEndpoints()
    endpoints.restrict(state, 6, set())
    endpoints.lift_restriction()
    assert not endpoints.restricted
    assert lifecycles(endpoints, state) == {"s-1": "ready", "s-2": "ready"}


def test_mark_restarted_raises_start_times(state: DurableState) -> None:
    endpoints = RestoredEndpoints()
    endpoints.mark_restarted(2.0)
    assert {endpoint.started_at_ms for endpoint in endpoints.update(state).endpoints} == {2000.0}
