"""Durable state: replay is idempotent, checkpoints are complete, and loads and estimates expire."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from recovery_helpers import checkpoint_of, directive, endpoint_entry

from lilacfront.operations.state_record import LearnedClass
from lilacfront.recovery.durable_state import (
    LOAD_TTL_S,
    MAX_LOADS,
    MAX_PEER_DIRECTIVES,
    DurableState,
    replay,
)
from lilacfront.recovery.records import (
    AnyRecord,
    ChangeLogResetRecord,
    ClassEstimatesRecord,
    DirectiveRecord,
    EndpointListRecord,
    IncarnationRecord,
    LoadFinishedRecord,
    LoadStartedRecord,
    PeerDirectiveRecord,
    decode_record,
    encode_record,
)

DIRECTIVES = st.builds(
    directive, st.sampled_from(["", "s-1", "s-2"]), st.integers(1, 5), st.booleans(), st.sampled_from("ab")
)
RECORDS = st.one_of(
    DIRECTIVES.map(DirectiveRecord),
    st.builds(PeerDirectiveRecord, st.integers(0, 2), DIRECTIVES),
    st.builds(
        EndpointListRecord,
        st.integers(1, 6),
        st.booleans(),
        st.lists(st.builds(endpoint_entry, st.integers(1, 3)), max_size=2).map(tuple),
    ),
    st.builds(IncarnationRecord, st.integers(0, 9)),
)


@given(st.lists(RECORDS, max_size=12), st.data())
@settings(max_examples=150)
def test_replay_is_idempotent_from_any_earlier_point(records: list[AnyRecord], data: st.DataObject) -> None:
    start = data.draw(st.integers(0, len(records)))
    without_lists = [record for record in records if not isinstance(record, EndpointListRecord)]
    assert checkpoint_of(replay([*without_lists, *without_lists[start:]])) == checkpoint_of(
        replay(without_lists)
    )


@given(st.lists(RECORDS, max_size=12))
@settings(max_examples=150)
def test_a_checkpoint_rebuilds_the_state(records: list[AnyRecord]) -> None:
    state = replay(records)
    assert checkpoint_of(replay(state.checkpoint())) == checkpoint_of(state)


@given(st.lists(RECORDS, max_size=12))
@settings(max_examples=150)
def test_records_are_decoded_as_they_were_encoded(records: list[AnyRecord]) -> None:
    assert [decode_record(encode_record(record)) for record in records] == records


@pytest.mark.parametrize(
    ("now", "may_have_run"),
    [
        pytest.param(101.0, True, id="sent just now"),
        pytest.param(3.0, True, id="the clock was set back"),
        pytest.param(100.0 + LOAD_TTL_S, False, id="sent long ago"),
    ],
)
def test_unanswered_load_may_have_run_until_its_ttl(now: float, may_have_run: bool) -> None:
    state = replay([LoadStartedRecord(b"a", 100.0)])
    assert state.may_have_run(b"a", now) is may_have_run


def test_answered_load_is_removed() -> None:
    state = replay([LoadStartedRecord(b"b", 100.0), LoadFinishedRecord(b"b")])
    assert not state.may_have_run(b"b", 101.0)


@pytest.mark.parametrize(
    ("now", "known"),
    [
        pytest.param(130.0, True, id="recent"),
        pytest.param(200.0, False, id="too old"),
        pytest.param(99.0, False, id="from the future"),
    ],
)
def test_estimates_are_used_while_they_are_recent(now: float, known: bool) -> None:
    state = replay([ClassEstimatesRecord(100.0, (LearnedClass(1, 1.0, 1.0, 1.0),))])
    assert (state.recent_estimates(now) is not None) is known


def test_started_loads_are_bounded() -> None:
    state = DurableState()
    for number in range(MAX_LOADS + 10):
        state.apply(LoadStartedRecord(b"%d" % number, 200.0))
    assert len(state.started_loads) == MAX_LOADS


def test_replicas_of_peers_directives_are_bounded() -> None:
    state = DurableState()
    for number in range(MAX_PEER_DIRECTIVES + 10):
        state.apply(PeerDirectiveRecord(1, directive(f"x-{number}", 1)))
    assert sum(map(len, state.peer_directives.values())) == MAX_PEER_DIRECTIVES


def test_an_empty_state_gives_an_empty_snapshot_of_endpoints() -> None:
    state = DurableState()
    assert state.endpoint_update(50.0).endpoints == []
    assert state.endpoint_update().is_snapshot


@pytest.fixture
def populated_state() -> DurableState:
    """A state with three engines as of event 6, one of them draining."""
    return replay(
        [
            EndpointListRecord(5, True, (endpoint_entry(1), endpoint_entry(2))),
            EndpointListRecord(6, False, (endpoint_entry(2, "draining"), endpoint_entry(3))),
        ]
    )


def test_an_older_list_changes_nothing(populated_state: DurableState) -> None:
    populated_state.apply(EndpointListRecord(4, True, ()))
    lifecycles = {entry.instance_id: entry.lifecycle for entry in populated_state.endpoints.values()}
    assert lifecycles == {"s-1": "ready", "s-2": "draining", "s-3": "ready"}


def test_change_log_reset_accepts_lower_numbers_and_keeps_entries(populated_state: DurableState) -> None:
    populated_state.apply(EndpointListRecord(4, True, ()))
    populated_state.apply(ChangeLogResetRecord())
    populated_state.apply(EndpointListRecord(1, False, (endpoint_entry(3, "gone"),)))
    assert populated_state.list_seq == 1
    assert "s-3" not in populated_state.endpoints
    assert populated_state.endpoints["s-2"].lifecycle == "draining"
