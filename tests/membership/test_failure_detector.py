"""A single failure detector whose ticks and messages the tests supply."""

import pytest

from lilacfront.membership import codec
from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.messages import BitmapBlock, MemberBitmap, MemberState, MemberUpdate, Message
from lilacfront.membership.settings import MembershipSettings
from lilacfront.membership.view import MembershipView

WALL_S = 1_800_000_000
KEYS = {3: b"k" * 32, 4: b"l" * 32}


def make_detector(
    own_member: int, member_count: int, seed: int = 1, keys: dict[int, bytes] | None = None
) -> FailureDetector:
    view = MembershipView(member_count, own_member, 0.0)
    return FailureDetector(view, MembershipSettings(enabled=True), seed, 0.0, lambda: float(WALL_S), keys)


# ---- a pause of the process -------------------------------------------------------------------
@pytest.mark.parametrize("first_event", ["tick", "message"])
def test_refutes_at_once_after_a_pause(first_event: str) -> None:
    detector, other = (make_detector(member, 4, seed=member) for member in (0, 1))
    assert [detector.tick(now / 2) for now in range(1, 5)]
    message = next(data for peer, data in other.leave(1.0) if peer == 0)
    if first_event == "tick":
        sends = detector.tick(9.0)
    else:
        sends = detector.receive(9.0, 1, message) + detector.tick(9.0)
    assert sends
    assert detector.is_isolated(9.0) is (first_event == "tick")
    assert detector.incarnation == WALL_S + 1


# ---- bitmaps ----------------------------------------------------------------------------------
KNOWN_UPDATES = tuple(MemberUpdate(member, WALL_S + member, MemberState.ALIVE) for member in range(1, 40))
CURRENT_BLOCK = BitmapBlock(1, 0b110, (WALL_S + 17 + WALL_S + 18) & 0xFF)
OUTDATED_BLOCK = BitmapBlock(2, 0b1, (WALL_S + 31) & 0xFF)  # member 32 with a lower incarnation


@pytest.fixture
def informed_detector() -> FailureDetector:
    """The detector of member 0 of 40, which knows the incarnations of all others."""
    detector = make_detector(0, 40)
    detector.receive(0.1, 1, codec.encode(Message(1, WALL_S + 1, 1, 0, KNOWN_UPDATES[:30])))
    detector.receive(0.1, 1, codec.encode(Message(1, WALL_S + 1, 2, 0, KNOWN_UPDATES[30:])))
    return detector


def test_outdated_block_of_a_bitmap_is_answered_with_corrections(informed_detector: FailureDetector) -> None:
    bitmap = MemberBitmap(MemberState.SUSPECT, (CURRENT_BLOCK, OUTDATED_BLOCK))
    sends = informed_detector.receive(9.0, 2, codec.encode(Message(2, WALL_S + 2, 1, 0, (bitmap,))))
    states = [informed_detector.view.state(member) for member in (17, 18, 32)]
    assert states == [MemberState.SUSPECT, MemberState.SUSPECT, MemberState.ALIVE]
    answer_items = [item for peer, data in sends if peer == 2 for item in codec.decode(data).items]
    assert KNOWN_UPDATES[31] in answer_items


def test_bitmap_with_a_nonexistent_member_is_counted_as_rejected(informed_detector: FailureDetector) -> None:
    before = dict(informed_detector.rejected)
    bitmap = MemberBitmap(MemberState.DEAD, (BitmapBlock(2, 1 << 9, 0),))  # member 41 of 40
    informed_detector.receive(9.1, 2, codec.encode(Message(2, WALL_S + 2, 2, 0, (bitmap,))))
    assert informed_detector.rejected != before


# ---- probes -----------------------------------------------------------------------------------
def count_dead_targets(dead_members: int) -> int:
    """The number of probes to dead members among 4,000 probes of one of 1,024 members."""
    detector = make_detector(0, 1024, seed=5)
    for member in range(1, 1 + dead_members):
        detector.view.apply(MemberUpdate(member, 1, MemberState.DEAD), 0.0, "test")
    targets = [detector.prober.targets.choose(step) for step in range(4000)]
    return sum(target is not None and 1 <= target <= dead_members for target in targets)


def test_single_dead_member_is_rarely_probed() -> None:
    """The acks of probes by all members would use up its rate limit, and it could not refute."""
    assert count_dead_targets(1) <= 60


def test_dead_half_of_the_members_is_probed() -> None:
    assert 110 < count_dead_targets(512) <= 1100


# ---- rejected messages ------------------------------------------------------------------------
@pytest.fixture
def keyed_detector() -> FailureDetector:
    return make_detector(0, 4, keys=KEYS)


@pytest.fixture
def tagged_message() -> bytes:
    """A message of member 1 to member 0, tagged with the second of member 0's keys."""
    sender = make_detector(1, 4, keys=dict(reversed(KEYS.items())))
    sent = [data for now in (1.0, 2.0, 3.0) for peer, data in sender.tick(now) if peer == 0]
    sent = sent or [data for peer, data in sender.leave(3.0) if peer == 0]
    assert sent
    return sent[0]


def test_forged_and_malformed_messages_are_counted_and_ignored(
    keyed_detector: FailureDetector, tagged_message: bytes
) -> None:
    accusation = MemberUpdate(1, 1 << 31, MemberState.DEAD)
    forged = codec.encode(Message(2, 5, 1, WALL_S, (accusation,)), (3, b"guess" * 5))
    states = bytes(keyed_detector.view.states)
    for source, data in (
        (2, forged),
        (3, tagged_message),
        (9, tagged_message),
        (0, tagged_message),
        (1, b"\2"),
        (1, b"x" * 300),
    ):
        assert keyed_detector.receive(4.0, source, data) == []
    assert bytes(keyed_detector.view.states) == states
    assert sum(keyed_detector.rejected.values()) == 6
    keyed_detector.receive(4.0, 1, tagged_message)
    assert keyed_detector.last_contact_at[1] == 4.0


def test_replayed_message_is_rejected(keyed_detector: FailureDetector, tagged_message: bytes) -> None:
    keyed_detector.receive(4.0, 1, tagged_message)
    assert keyed_detector.last_contact_at[1] == 4.0
    assert keyed_detector.receive(5.0, 1, tagged_message) == []
    assert keyed_detector.rejected["came before"] == 1
