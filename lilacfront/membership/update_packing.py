"""Packs membership updates into messages (SWIM's infection-style dissemination by piggybacking). No I/O."""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterable, Iterator
from enum import Enum

from lilacfront.membership.codec import (
    BITMAP_BLOCK,
    COMPACT_UPDATE,
    ITEM_HEADER_BYTES,
    LOW_BITS_MASK,
    UPDATE,
    item_size,
)
from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import (
    BITMAP_BLOCK_MEMBERS,
    BitmapBlock,
    CompactUpdate,
    Item,
    MemberBitmap,
    MemberState,
    MemberUpdate,
)
from lilacfront.membership.piggyback import Piggyback

INCARNATION_SPREAD_S = 3.0  # time after which all live members have received an incarnation
MIN_BITMAP_MEMBERS = 4  # queue length from which suspect and dead members are sent as bitmaps
MAX_BITMAP_BLOCKS = 256
MAX_BITMAP_MEMBERS = MAX_BITMAP_BLOCKS * BITMAP_BLOCK_MEMBERS  # higher members are sent as compact updates
BLOCK_MASK = (1 << BITMAP_BLOCK_MEMBERS) - 1
PIGGYBACK_DIVISOR = 3  # piggybacked items get at most one third of the free bytes
BITMAP_STATES = (MemberState.SUSPECT, MemberState.DEAD)
FULL_SYNC_STATES = (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)


class Gossip(Enum):
    """How many membership updates a message carries; each level includes the ones before it."""

    ADDRESSEE_ONLY = 0  # the state of the addressee, unless it is alive
    QUEUED = 1  # also piggybacked items and queued updates
    FULL_SYNC = 2  # also all suspect, dead and left members, queued or not


class UpdatePacker:
    """Selects the membership updates and piggybacked items of a message.

    Attributes:
        piggyback: Source of the items of other components.
        incarnation_seen_at: Time at which the current incarnation of each member was first received.
        state_sent_at: Time at which each member was last sent its own state or a correction.
    """

    def __init__(self, node: LocalNode, queue: GossipQueue, now: float) -> None:
        self._node = node
        self._queue = queue
        self.piggyback: Piggyback | None = None
        self.incarnation_seen_at = array("d", [now]) * node.member_count
        self.state_sent_at = array("d", [-math.inf]) * node.member_count

    def pack(self, peer: int, max_bytes: int, now: float, gossip: Gossip) -> list[Item]:
        """Items for a message to `peer` that fit into `max_bytes`, by descending priority."""
        if max_bytes < UPDATE.size:
            return []
        items: list[Item] = []
        if self._node.view.states[peer] != MemberState.ALIVE:
            self.state_sent_at[peer] = now
            max_bytes -= UPDATE.size
            items.append(self._node.view.update_of(peer))
        if gossip is Gossip.ADDRESSEE_ONLY:
            return items
        for item in self._piggybacked(now, max_bytes // PIGGYBACK_DIVISOR):
            max_bytes -= item_size(item)
            items.append(item)
        if gossip is Gossip.FULL_SYNC:
            for bitmap in self._full_sync(max_bytes):
                max_bytes -= _bitmap_size(bitmap)
                items.append(bitmap)
        included: set[int] = {peer}
        for bitmap in self._queued_bitmaps(max_bytes, included):
            max_bytes -= _bitmap_size(bitmap)
            items.append(bitmap)
        for member in included - {peer}:
            self._queue.count_transmission(member)
        items += self._queued_updates(max_bytes, now, included)
        return items

    def _piggybacked(self, now: float, max_bytes: int) -> Iterable[Item]:
        return () if self.piggyback is None else self.piggyback.collect(now, max_bytes)

    def _full_sync(self, max_bytes: int) -> Iterator[MemberBitmap]:
        for state in FULL_SYNC_STATES:
            bitmap = self._bitmap(self._node.view.bitmaps[state], state, max_bytes)
            if bitmap is not None:
                max_bytes -= _bitmap_size(bitmap)
                yield bitmap

    def _queued_bitmaps(self, max_bytes: int, included: set[int]) -> Iterator[MemberBitmap]:
        """Bitmaps of queued members, if they are shorter than updates; adds their members to `included`."""
        if len(self._queue) < MIN_BITMAP_MEMBERS:
            return
        states = self._node.view.states
        for state in BITMAP_STATES:
            queued = [
                member
                for member in self._queue.members()
                if states[member] == state and member < MAX_BITMAP_MEMBERS
            ]
            bits = sum(1 << member for member in queued)
            bitmap = self._bitmap(bits, state, min(max_bytes, len(queued) * COMPACT_UPDATE.size))
            if bitmap is None:
                continue
            max_bytes -= _bitmap_size(bitmap)
            blocks = {block.index for block in bitmap.blocks}
            included.update(member for member in queued if member // BITMAP_BLOCK_MEMBERS in blocks)
            yield bitmap

    def _queued_updates(self, max_bytes: int, now: float, included: set[int]) -> Iterator[Item]:
        """Queued updates that fit, except those of members that the message includes already."""
        members = list(self._queue.members())
        if len(members) * COMPACT_UPDATE.size > max_bytes:
            members = self._queue.members_by_transmissions()
        for member in members:
            if member in included:
                continue
            item = self._shortest_update(member, now)
            max_bytes -= UPDATE.size if isinstance(item, MemberUpdate) else COMPACT_UPDATE.size
            if max_bytes < 0:
                return
            self._queue.count_transmission(member)
            yield item

    def _bitmap(self, bits: int, state: MemberState, max_bytes: int) -> MemberBitmap | None:
        """A bitmap of these members, or a random sample of its blocks if not all of them fit."""
        blocks: list[BitmapBlock] = []
        while bits and len(blocks) < MAX_BITMAP_BLOCKS:
            index = ((bits & -bits).bit_length() - 1) // BITMAP_BLOCK_MEMBERS
            first = BITMAP_BLOCK_MEMBERS * index
            block_bits = bits >> first & BLOCK_MASK
            bits &= ~(BLOCK_MASK << first)
            members = BitmapBlock(index, block_bits, 0).members()
            checksum = sum(self._node.view.incarnations[member] for member in members) & 0xFF
            blocks.append(BitmapBlock(index, block_bits, checksum))
        max_blocks = (max_bytes - ITEM_HEADER_BYTES - 1) // BITMAP_BLOCK.size
        if max_blocks < 1 or not blocks:
            return None
        if len(blocks) > max_blocks:
            blocks = self._node.random.sample(blocks, max_blocks)
        return MemberBitmap(state, tuple(blocks))

    def _shortest_update(self, member: int, now: float) -> MemberUpdate | CompactUpdate:
        """The update of a member; it is compact if all members have had time to learn the incarnation."""
        update = self._node.view.update_of(member)
        age = now - self.incarnation_seen_at[member]
        if update.state is MemberState.ALIVE or age < INCARNATION_SPREAD_S:
            return update
        return CompactUpdate(member, update.incarnation & LOW_BITS_MASK, update.state)


def _bitmap_size(bitmap: MemberBitmap) -> int:
    return ITEM_HEADER_BYTES + 1 + BITMAP_BLOCK.size * len(bitmap.blocks)
