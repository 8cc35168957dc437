"""The exchange of state: replicas of directives, newer lists, and resistance to hostile messages."""

import zlib

import pytest
from recovery_helpers import InMemoryFrontEnd, directive, exchange_digests

from lilacfront.membership.messages import ChunkRequest, StateChunk, StateDigest, StateKind
from lilacfront.recovery.state_encoding import ReadyList

Fleet = dict[int, InMemoryFrontEnd]


@pytest.fixture
def fleet() -> Fleet:
    return {}


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_peers_replicate_directives(fleet: Fleet, loss: float) -> None:
    a, b, c = (InMemoryFrontEnd(number, fleet) for number in range(3))
    a.own = {f"s-{n}": directive(f"s-{n}", n + 1) for n in range(40)}
    exchange_digests(fleet, loss=loss)
    assert b.replicas[0] == c.replicas[0] == a.own
    assert not b.own


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_front_end_that_lost_its_disk_gets_its_directives_back_from_any_peer(
    fleet: Fleet, loss: float
) -> None:
    a, b, _ = (InMemoryFrontEnd(number, fleet) for number in range(3))
    a.own = {f"s-{n}": directive(f"s-{n}", n + 1) for n in range(40)}
    exchange_digests(fleet, loss=loss)
    b.own["s-1"] = directive("s-1", 1, by="b")
    b.replicas[0] = {}  # a peer without a replica is no vote against the directives
    a.own = {}
    a.is_recovering = True
    exchange_digests(fleet, loss=loss)
    assert a.own.keys() == {f"s-{n}" for n in range(40)}
    assert not a.exchange.disagreeing_peers


def test_a_directive_that_was_revoked_stays_revoked(fleet: Fleet) -> None:
    a, b = InMemoryFrontEnd(0, fleet), InMemoryFrontEnd(1, fleet)
    a.own = {"s-1": directive("s-1", 3)}
    exchange_digests(fleet, 5)
    a.own = {"s-1": directive("s-1", 4, on=False)}
    exchange_digests(fleet, 5)
    assert not b.replicas[0]["s-1"].active


def test_a_front_end_that_serves_takes_over_no_directives(fleet: Fleet) -> None:
    a, _ = InMemoryFrontEnd(0, fleet), InMemoryFrontEnd(1, fleet)
    a.own = {"s-1": directive("s-1", 3)}
    exchange_digests(fleet, 5)
    a.own = {"s-1": directive("s-1", 4, on=False)}
    exchange_digests(fleet, 5)
    a.own = {}  # without a power loss the front end itself knows best
    exchange_digests(fleet, 5)
    assert a.own == {}


def test_a_recovering_front_end_fetches_a_newer_ready_list_in_parts(fleet: Fleet) -> None:
    a, b = InMemoryFrontEnd(0, fleet, recovering=True), InMemoryFrontEnd(1, fleet)
    a.listed = ReadyList(5, ["s-1"])
    b.listed = ReadyList(7, [f"s-{n}" for n in range(1024)])
    exchange_digests(fleet, 3)
    ((peer, seq, short_ids), *_) = a.ready_lists_received
    assert (peer, seq, len(short_ids)) == (1, 7, 1024)


def test_an_older_ready_list_is_not_fetched(fleet: Fleet) -> None:
    a, b = InMemoryFrontEnd(0, fleet, recovering=True), InMemoryFrontEnd(1, fleet)
    a.listed = ReadyList(5, ["s-1"])
    b.listed = ReadyList(7, [f"s-{n}" for n in range(1024)])
    exchange_digests(fleet, 3)
    assert not b.ready_lists_received


@pytest.fixture
def flooded() -> InMemoryFrontEnd:
    """A recovering front end to which many peers offered state that they never send."""
    front_end = InMemoryFrontEnd(0, recovering=True)
    for peer in range(200):
        offers = ((StateKind.OPERATOR_DIRECTIVES, peer, 60_000), (77, 1, 1))
        list(front_end.exchange.receive(0.0, peer, StateDigest(9, peer, offers)))
    return front_end


def test_the_number_of_transfers_is_bounded(flooded: InMemoryFrontEnd) -> None:
    assert flooded.exchange.transfers_under_way <= 16


def test_hostile_parts_and_requests_change_nothing(flooded: InMemoryFrontEnd) -> None:
    list(flooded.exchange.receive(0.0, 1, StateChunk(StateKind.OPERATOR_DIRECTIVES, 1, 0, b"\xff" * 180)))
    list(flooded.exchange.receive(0.0, 1, StateChunk(StateKind.OPERATOR_DIRECTIVES, 1, 9_000, b"x")))
    assert list(flooded.exchange.receive(0.0, 1, ChunkRequest(77, 1, 0))) == []
    assert not flooded.replicas


def test_stalled_transfers_are_given_up(flooded: InMemoryFrontEnd) -> None:
    list(flooded.exchange.receive(0.0, 1, StateChunk(StateKind.OPERATOR_DIRECTIVES, 1, 0, b"\xff" * 180)))
    assert flooded.exchange.retries_due(100.0) == []
    assert flooded.exchange.transfers_under_way == 0


def test_bytes_that_are_no_directives_are_dropped_even_if_their_checksum_fits() -> None:
    front_end = InMemoryFrontEnd(0, recovering=True)
    checksum = zlib.crc32(b"junk")
    list(front_end.exchange.receive(0.0, 1, StateDigest(4, 1, ((StateKind.REPLICA, checksum, 4),))))
    list(front_end.exchange.receive(0.0, 1, StateChunk(StateKind.REPLICA, checksum, 0, b"junk")))
    assert not front_end.own
