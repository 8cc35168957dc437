"""Messages between front ends, and the kinds of items in them. No I/O.

Members are numbered from 0 in the order of the configuration. `codec` defines the wire format.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

BITMAP_BLOCK_MEMBERS = 16  # number of members that one block of a bitmap covers


class MemberState(IntEnum):
    """State of a member. Within an incarnation, a state with a higher number supersedes a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


STATES = tuple(MemberState)  # indexed by number, which is faster than MemberState(number)


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """State and incarnation of `member` according to the sender."""

    member: int
    incarnation: int
    state: MemberState


@dataclass(slots=True, frozen=True)
class CompactUpdate:
    """An update of a suspect, dead or left member in three bytes.

    Attributes:
        member: Number of the member.
        low_bits: The lowest six bits of the member's incarnation.
        state: State of the member according to the sender.
    """

    member: int
    low_bits: int
    state: MemberState


@dataclass(slots=True, frozen=True)
class BitmapBlock:
    """The members of one state among sixteen consecutive members.

    Attributes:
        index: Number of the block, whose first member is 16 * `index`.
        bits: Bit n is set if the n-th member of the block is in the state.
        checksum: Sum of the incarnations of the members whose bits are set, modulo 256.
    """

    index: int
    bits: int
    checksum: int

    def members(self) -> Iterator[int]:
        """Numbers of the members whose bits are set."""
        first, bits = BITMAP_BLOCK_MEMBERS * self.index, self.bits
        while bits:
            yield first + (bits & -bits).bit_length() - 1
            bits &= bits - 1


@dataclass(slots=True, frozen=True)
class MemberBitmap:
    """The members in one state according to the sender, in blocks of four bytes for sixteen members."""

    state: MemberState
    blocks: tuple[BitmapBlock, ...]


@dataclass(slots=True, frozen=True)
class Ping:
    """A ping, which the receiver answers with an Ack.

    Attributes:
        sequence: Sequence number, which the ack repeats.
        requester: The member whose probe it is: the sender, or the member that sent it a PingRequest.
    """

    sequence: int
    requester: int


@dataclass(slots=True, frozen=True)
class Ack:
    """Acknowledges a ping.

    Attributes:
        sequence: Sequence number of the ping.
        responder: The member that was pinged, also if another member forwards the ack.
    """

    sequence: int
    responder: int


@dataclass(slots=True, frozen=True)
class PingRequest:
    """SWIM's ping-req: asks the receiver to ping `target`, which did not acknowledge the sender's ping.

    Attributes:
        sequence: Sequence number of the sender's ping, which the forwarded ack repeats.
        target: The member to ping.
    """

    sequence: int
    target: int


@dataclass(slots=True, frozen=True)
class LoadReports:
    """Load reports of engines, in the format of `load_gossip` without its first byte."""

    data: bytes


@dataclass(slots=True, frozen=True)
class OutlierReport:
    """Engines and zones that the sender can't use.

    Attributes:
        entries: For each engine or zone the last 32 bits of its number, the reason, and the age of the
            failure in units of 0.1 s.
    """

    entries: tuple[tuple[int, int, int], ...]


@dataclass(slots=True, frozen=True)
class FleetSizeReport:
    """Number of front ends that share the engines, as the sender estimates it from its own view."""

    count: int


class StateKind(IntEnum):
    """Kind of recovery state that is transferred in chunks."""

    OPERATOR_DIRECTIVES = 1  # the directives of operators to the sender
    REPLICA = 2  # the sender's copy of the receiver's directives
    ENDPOINT_LIST = 3  # the sequence number of the sender's endpoint list, and the ready engines in it


@dataclass(slots=True, frozen=True)
class StateDigest:
    """Summary of the sender's recovery state, which members compare to find differences.

    Attributes:
        stage: The sender's stage of recovery.
        seq: Sequence number of the sender's endpoint list.
        offers: Kind, CRC-32 and length in bytes of each state that the sender offers.
    """

    stage: int
    seq: int
    offers: tuple[tuple[int, int, int], ...]


@dataclass(slots=True, frozen=True)
class ChunkRequest:
    """Requests a chunk of a state.

    Attributes:
        kind: Kind of the state.
        checksum: CRC-32 of the whole state.
        offset: Position of the first requested byte.
    """

    kind: int
    checksum: int
    offset: int


@dataclass(slots=True, frozen=True)
class StateChunk:
    """A chunk of a state.

    Attributes:
        kind: Kind of the state.
        checksum: CRC-32 of the whole state.
        offset: Position of the first byte of the chunk.
        data: The bytes of the chunk.
    """

    kind: int
    checksum: int
    offset: int
    data: bytes


Probe = Ping | Ack | PingRequest
PiggybackItem = FleetSizeReport | OutlierReport | StateDigest | ChunkRequest | StateChunk
Item = MemberUpdate | CompactUpdate | MemberBitmap | Probe | LoadReports | PiggybackItem


@dataclass(slots=True, frozen=True)
class Message:
    """A message, which is sent as one datagram.

    Attributes:
        sender: Number of the sending member.
        incarnation: Incarnation of the sender, initially its start time in seconds.
        sequence: Sequence number of the message within the incarnation.
        sent_at_s: Wall clock time of the sender in seconds; with `sequence` it prevents replays.
        items: The items of the message.
        key_id: Number of the key that the tag was verified with; None without keys.
    """

    sender: int
    incarnation: int
    sequence: int
    sent_at_s: int
    items: tuple[Item, ...]
    key_id: int | None = None
