"""Rules for accepting the membership updates of other members. No I/O.

Plain SWIM accepts every update. Here a single faulty member can neither get a live member declared dead nor
raise the live member's incarnation so far that it couldn't refute: such updates have to come from the member
that they are about, or from a quorum of other members.
"""

from __future__ import annotations

from lilacfront.membership.codec import LOW_BITS_MASK
from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.incarnation import MAX_INCARNATION, OwnIncarnation
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import (
    BITMAP_BLOCK_MEMBERS,
    BitmapBlock,
    CompactUpdate,
    MemberBitmap,
    MemberState,
    MemberUpdate,
)
from lilacfront.membership.rejections import RejectionCounter
from lilacfront.membership.suspicion import SuspicionTable
from lilacfront.membership.update_packing import UpdatePacker

MAX_INCARNATION_JUMP = 64  # maximum raise of an incarnation by a suspect or dead update without a quorum
DIRECT_CONTACT_S = 2.0  # time after a member's last message in which suspecting it needs a quorum
MAX_FIRST_LEAD_S = 1 << 20  # maximum lead of a first incarnation over this front end's: 2^20 s are 12 days
CLAIMS_PER_MEMBER = 4  # maximum number of stored claims, per member of the tier
MEMBER_OUT_OF_RANGE = "a member beyond the settings"
FAILED_STATES = (MemberState.SUSPECT, MemberState.DEAD)

Claim = tuple[int, int, MemberState]  # (member, incarnation, state)


class ClaimTable:
    """Updates that have no quorum yet, with the members that sent them."""

    def __init__(self, node: LocalNode) -> None:
        self._claimants: dict[Claim, set[int]] = {}
        self._max_claims = CLAIMS_PER_MEMBER * node.member_count
        self._quorum = node.quorum

    def has_quorum(self, update: MemberUpdate, claimant: int) -> bool:
        """Record that a member sent this update; returns whether a quorum of members sent it.

        Suspect and dead updates count as the same claim.
        """
        state = MemberState.SUSPECT if update.state is MemberState.DEAD else update.state
        claim = (update.member, update.incarnation, state)
        if len(self._claimants) > self._max_claims and claim not in self._claimants:
            self._claimants.clear()  # a faulty member may send many incarnations
        claimants = self._claimants.setdefault(claim, set())
        claimants.add(claimant)
        return len(claimants) >= self._quorum

    def discard(self, member: int) -> None:
        """Drop all claims about a member."""
        for claim in [claim for claim in self._claimants if claim[0] == member]:
            del self._claimants[claim]


class UpdateRules:
    """Applies the updates that other members send."""

    def __init__(
        self,
        node: LocalNode,
        incarnation: OwnIncarnation,
        suspicions: SuspicionTable,
        queue: GossipQueue,
        packer: UpdatePacker,
        rejections: RejectionCounter,
    ) -> None:
        self._node = node
        self._view = node.view
        self._incarnation = incarnation
        self._suspicions = suspicions
        self._queue = queue
        self._packer = packer
        self._rejections = rejections
        self._claims = ClaimTable(node)

    def accept(self, update: MemberUpdate, sender: int, now: float) -> None:
        """Apply an update if the rules allow it."""
        member = update.member
        if member == self._node.own_member:
            self.accept_about_self(update)
            return
        if not 0 <= member < self._node.member_count:
            self._rejections.count(MEMBER_OUT_OF_RANGE)
            return
        known_incarnation = self._view.incarnations[member]
        if update.state in FAILED_STATES:
            self._accept_failure(update, sender, now, known_incarnation)
        else:
            self._accept_alive_or_left(update, sender, now)
        if self._view.incarnations[member] != known_incarnation:
            self._packer.incarnation_seen_at[member] = now

    def accept_about_self(self, update: MemberUpdate) -> None:
        """Record that an update about this front end has to be refuted, unless it is outdated or true."""
        if self._node.has_left or update.incarnation < self._incarnation.value:
            return
        if update.state is MemberState.ALIVE and update.incarnation == self._incarnation.value:
            return
        if update.incarnation >= MAX_INCARNATION - 1:
            self._rejections.count("incarnation has reached its maximum")
            return
        self._incarnation.accused_incarnation = max(self._incarnation.accused_incarnation, update.incarnation)

    def accept_compact(self, update: CompactUpdate, sender: int, now: float) -> None:
        """Apply a compact update if its bits match the known incarnation of the member."""
        if update.member >= self._node.member_count:
            return
        incarnation = self._view.incarnations[update.member]
        if incarnation & LOW_BITS_MASK == update.low_bits and update.state is not MemberState.ALIVE:
            self.accept(MemberUpdate(update.member, incarnation, update.state), sender, now)

    def accept_bitmap(self, bitmap: MemberBitmap, sender: int, now: float) -> list[int]:
        """Apply a bitmap as one update per member.

        Returns:
            Members about which the sender is outdated: those of blocks with a wrong checksum that are alive
            in this view.
        """
        known = self._view.bitmaps[MemberState.LEFT]
        if bitmap.state is not MemberState.LEFT:
            known |= self._view.bitmaps[MemberState.DEAD]
        outdated: list[int] = []
        for block in bitmap.blocks:
            first = BITMAP_BLOCK_MEMBERS * block.index
            if block.bits >> max(0, self._node.member_count - first):
                self._rejections.count(MEMBER_OUT_OF_RANGE)
                return []
            if block.bits & ~(known >> first):
                outdated += self._accept_block(block, bitmap.state, known, sender, now)
        return outdated

    def _accept_block(
        self, block: BitmapBlock, state: MemberState, known: int, sender: int, now: float
    ) -> list[int]:
        """Apply a block if its checksum matches the known incarnations.

        Otherwise members may have refuted in incarnations that the sender doesn't know; those that are alive
        here are returned.
        """
        members = list(block.members())
        incarnations = self._view.incarnations
        if sum(incarnations[member] for member in members) & 0xFF != block.checksum:
            return [member for member in members if self._view.states[member] == MemberState.ALIVE]
        for member in members:
            if not known >> member & 1:
                self.accept(MemberUpdate(member, incarnations[member], state), sender, now)
        return []

    def _accept_failure(self, update: MemberUpdate, sender: int, now: float, known_incarnation: int) -> None:
        member, incarnation = update.member, update.incarnation
        is_far_ahead = (
            incarnation > known_incarnation + MAX_INCARNATION_JUMP and not self._is_plausible_first(update)
        )
        if incarnation < known_incarnation or (is_far_ahead and not self._claims.has_quorum(update, sender)):
            return
        if self._node.is_dead_or_left(member) and incarnation <= known_incarnation:
            return
        has_recent_contact = now - self._node.last_contact_at[member] < DIRECT_CONTACT_S
        if has_recent_contact and not self._claims.has_quorum(update, sender):
            return
        self._suspicions.suspect(member, incarnation, sender, now, f"reported by member {sender}")
        if update.state is MemberState.DEAD:
            self._confirm_dead(update, sender, now)

    def _confirm_dead(self, update: MemberUpdate, sender: int, now: float) -> None:
        """Declare a suspect dead without waiting for the timeout if a quorum reports it as dead."""
        suspicion = self._suspicions.active.get(update.member)
        if suspicion is None or suspicion.incarnation != update.incarnation:
            return
        suspicion.death_reporters.add(sender)
        confirmations = len(suspicion.death_reporters)
        if confirmations >= self._node.quorum and not self._node.is_isolated(now):
            reason = f"reported dead by {confirmations} members"
            self._suspicions.declare_dead(update.member, update.incarnation, now, reason)

    def _accept_alive_or_left(self, update: MemberUpdate, sender: int, now: float) -> None:
        member = update.member
        if not self._view.supersedes(update):
            return
        is_trusted = sender == member or self._is_plausible_first(update)
        if not is_trusted and not self._claims.has_quorum(update, sender):
            return
        was_known = self._view.incarnations[member] > 0
        reason = "refuted or restarted" if update.state is MemberState.ALIVE else "announced by the member"
        self._view.apply(update, now, reason)
        self._suspicions.end_refuted(member, update.state, now)
        if was_known:
            self._queue.enqueue(member)
        else:
            self._queue.enqueue_first_seen(member)
        self._claims.discard(member)

    def _is_plausible_first(self, update: MemberUpdate) -> bool:
        """Whether this is the first update about a member, which is accepted from any single sender.

        An incarnation more than MAX_FIRST_LEAD_S ahead of this front end's is not accepted, because the
        member could hardly refute it.
        """
        is_first = self._view.incarnations[update.member] == 0
        return is_first and update.incarnation <= self._incarnation.value + MAX_FIRST_LEAD_S
