"""State exchange: replicas of directives, newer ready lists, and robustness against invalid messages."""

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
    front_end, peer, other_peer = (InMemoryFrontEnd(number, fleet) for number in range(3))
    front_end.directives = {f"s-{n}": directive(f"s-{n}", n + 1) for n in range(40)}
    exchange_digests(fleet, loss=loss)
    assert peer.replicas[0] == other_peer.replicas[0] == front_end.directives
    assert not peer.directives


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_directives_lost_with_the_disk_are_restored_from_any_peer(fleet: Fleet, loss: float) -> None:
    front_end, peer, _ = (InMemoryFrontEnd(number, fleet) for number in range(3))
    front_end.directives = {f"s-{n}": directive(f"s-{n}", n + 1) for n in range(40)}
    exchange_digests(fleet, loss=loss)
    peer.directives["s-1"] = directive("s-1", 1, author="b")
    peer.replicas[0] = {}  # a peer without a replica must not prevent the restore
    front_end.directives = {}
    front_end.is_recovering = True
    exchange_digests(fleet, loss=loss)
    assert front_end.directives.keys() == {f"s-{n}" for n in range(40)}
    assert not front_end.exchange.disagreeing_peers


def test_revoked_directive_stays_revoked(fleet: Fleet) -> None:
    front_end, peer = InMemoryFrontEnd(0, fleet), InMemoryFrontEnd(1, fleet)
    front_end.directives = {"s-1": directive("s-1", 3)}
    exchange_digests(fleet, 5)
    front_end.directives = {"s-1": directive("s-1", 4, active=False)}
    exchange_digests(fleet, 5)
    assert not peer.replicas[0]["s-1"].active


def test_serving_front_end_ignores_replicas_of_its_directives(fleet: Fleet) -> None:
    front_end, _ = InMemoryFrontEnd(0, fleet), InMemoryFrontEnd(1, fleet)
    front_end.directives = {"s-1": directive("s-1", 3)}
    exchange_digests(fleet, 5)
    front_end.directives = {"s-1": directive("s-1", 4, active=False)}
    exchange_digests(fleet, 5)
    front_end.directives = {}  # without a power loss its own directives are authoritative
    exchange_digests(fleet, 5)
    assert front_end.directives == {}


def test_recovering_front_end_fetches_a_newer_ready_list_in_chunks(fleet: Fleet) -> None:
    front_end, peer = InMemoryFrontEnd(0, fleet, recovering=True), InMemoryFrontEnd(1, fleet)
    front_end.current_ready_list = ReadyList(5, ["s-1"])
    peer.current_ready_list = ReadyList(7, [f"s-{n}" for n in range(1024)])
    exchange_digests(fleet, 3)
    ((sender, seq, short_ids), *_) = front_end.ready_lists_received
    assert (sender, seq, len(short_ids)) == (1, 7, 1024)


def test_an_older_ready_list_is_not_fetched(fleet: Fleet) -> None:
    front_end, peer = InMemoryFrontEnd(0, fleet, recovering=True), InMemoryFrontEnd(1, fleet)
    front_end.current_ready_list = ReadyList(5, ["s-1"])
    peer.current_ready_list = ReadyList(7, [f"s-{n}" for n in range(1024)])
    exchange_digests(fleet, 3)
    assert not peer.ready_lists_received


@pytest.fixture
def flooded() -> InMemoryFrontEnd:
    """A recovering front end with many offers from peers that never send the offered state."""
    front_end = InMemoryFrontEnd(0, recovering=True)
    for peer in range(200):
        offers = ((StateKind.OPERATOR_DIRECTIVES, peer, 60_000), (77, 1, 1))
        list(front_end.exchange.receive(0.0, peer, StateDigest(9, peer, offers)))
    return front_end


def test_the_number_of_transfers_is_bounded(flooded: InMemoryFrontEnd) -> None:
    assert flooded.exchange.active_transfers <= 16


def test_invalid_chunks_and_requests_are_ignored(flooded: InMemoryFrontEnd) -> None:
    list(flooded.exchange.receive(0.0, 1, StateChunk(StateKind.OPERATOR_DIRECTIVES, 1, 0, b"\xff" * 180)))
    list(flooded.exchange.receive(0.0, 1, StateChunk(StateKind.OPERATOR_DIRECTIVES, 1, 9_000, b"x")))
    assert list(flooded.exchange.receive(0.0, 1, ChunkRequest(77, 1, 0))) == []
    assert not flooded.replicas


def test_stalled_transfers_are_dropped(flooded: InMemoryFrontEnd) -> None:
    list(flooded.exchange.receive(0.0, 1, StateChunk(StateKind.OPERATOR_DIRECTIVES, 1, 0, b"\xff" * 180)))
    assert flooded.exchange.collect_retries(100.0) == []
    assert flooded.exchange.active_transfers == 0


def test_undecodable_directives_with_a_valid_checksum_are_dropped() -> None:
    front_end = InMemoryFrontEnd(0, recovering=True)
    checksum = zlib.crc32(b"junk")
    list(front_end.exchange.receive(0.0, 1, StateDigest(4, 1, ((StateKind.REPLICA, checksum, 4),))))
    list(front_end.exchange.receive(0.0, 1, StateChunk(StateKind.REPLICA, checksum, 0, b"junk")))
    assert not front_end.directives
