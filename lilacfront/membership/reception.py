"""Validates received datagrams and dispatches their items. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacfront.membership.codec import CodecError, decode
from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import (
    Ack,
    ChunkRequest,
    CompactUpdate,
    FleetSizeReport,
    Item,
    MemberBitmap,
    MemberState,
    MemberUpdate,
    Message,
    OutlierReport,
    PiggybackItem,
    Ping,
    PingRequest,
    StateChunk,
    StateDigest,
)
from lilacfront.membership.probing import Prober
from lilacfront.membership.rejections import RejectionCounter
from lilacfront.membership.replay_window import ReplayWindow
from lilacfront.membership.sender import DatagramSender, OutgoingDatagram
from lilacfront.membership.update_packing import Gossip, UpdatePacker
from lilacfront.membership.update_rules import UpdateRules

MAX_MESSAGE_AGE_S = 30  # maximum difference of a tagged message's timestamp from the wall clock
MAX_CORRECTIONS = 16  # maximum number of updates that answer an outdated bitmap
MIN_CORRECTION_INTERVAL_S = 0.2  # minimum time between two corrections to the same member

Handler = Callable[[float, int, Any], list[OutgoingDatagram]]  # (time, sender, item)


class MessageChecker:
    """Decodes and validates datagrams: source address, age and replay."""

    def __init__(self, node: LocalNode, rejections: RejectionCounter) -> None:
        self._node = node
        self._rejections = rejections
        self._replay_windows: dict[int, ReplayWindow] = {}

    def check(self, source: int, data: bytes, keys: dict[int, bytes]) -> Message | None:
        """Decode a datagram from the address of member `source`; None if it is rejected."""
        try:
            message = decode(data, keys)
        except CodecError as problem:
            self._rejections.count(str(problem))
            return None
        reason = self._rejection_reason(source, message, has_keys=bool(keys))
        if reason is None:
            return message
        self._rejections.count(reason)
        return None

    def _rejection_reason(self, source: int, message: Message, has_keys: bool) -> str | None:
        if message.sender != source or source == self._node.own_member or source >= self._node.member_count:
            return "another member's address"
        if has_keys and abs(self._node.wall_s() - message.sent_at_s) > MAX_MESSAGE_AGE_S:
            return "timestamp out of range"
        window = self._replay_windows.get(source)
        if window is None:
            window = self._replay_windows[source] = ReplayWindow()
        if not window.accept(message.incarnation, message.sequence):
            return "came before"
        return None


class ItemDispatcher:
    """Calls the handler for each item of a message."""

    def __init__(
        self,
        node: LocalNode,
        queue: GossipQueue,
        packer: UpdatePacker,
        sender: DatagramSender,
        prober: Prober,
        rules: UpdateRules,
    ) -> None:
        self._node = node
        self._queue = queue
        self._packer = packer
        self._sender = sender
        self._rules = rules
        self._handlers: dict[type, Handler] = {
            Ping: prober.on_ping,
            Ack: prober.on_ack,
            PingRequest: prober.on_ping_request,
            MemberUpdate: self._on_update,
            CompactUpdate: self._on_compact_update,
            MemberBitmap: self._on_bitmap,
            FleetSizeReport: self._on_piggyback,
            OutlierReport: self._on_piggyback,
            StateDigest: self._on_piggyback,
            ChunkRequest: self._on_piggyback,
            StateChunk: self._on_piggyback,
        }

    def record_sender(self, now: float, message: Message) -> None:
        """Mark the sender of a message as alive in the incarnation of the message's header."""
        member = message.sender
        previous_state = self._node.view.states[member]
        self._rules.accept(MemberUpdate(member, message.incarnation, MemberState.ALIVE), member, now)
        if previous_state > MemberState.SUSPECT and not self._node.is_dead_or_left(member):
            self._requeue_dead()

    def _requeue_dead(self) -> None:
        """Send gossip of all dead members again, so that the live ones among them can refute.

        A message of a dead or left member may be the first after a partition, whose other side was declared
        dead as a whole.
        """
        for member in range(self._node.member_count):
            if self._node.view.states[member] == MemberState.DEAD:
                self._queue.enqueue(member)

    def dispatch(self, now: float, message: Message) -> list[OutgoingDatagram]:
        """Handle all items of a message; returns the datagrams that answer them."""
        sends: list[OutgoingDatagram] = []
        for item in message.items:
            # Most updates are known already; skipping them here saves the call of the handler.
            if type(item) is MemberUpdate and self._is_known_alive(item):
                continue
            handler = self._handlers.get(type(item))
            if handler is not None:
                sends += handler(now, message.sender, item)
        return sends

    def send_correction(self, now: float, member: int) -> list[OutgoingDatagram]:
        """Send a member its suspect, dead or left state after it sent a message, so that it can refute."""
        if self._node.view.states[member] == MemberState.ALIVE or not self._may_correct(now, member):
            return []
        return self._sender.send(now, member)

    def send_item(self, now: float, peer: int, item: Item) -> list[OutgoingDatagram]:
        """Send one item of the piggyback to a member, unless the rate limit is nearly reached."""
        if self._node.has_left or peer == self._node.own_member:
            return []
        return self._sender.send(now, peer, item, gossip=Gossip.ADDRESSEE_ONLY, low_priority=True)

    def _is_known_alive(self, update: MemberUpdate) -> bool:
        member = update.member
        if update.state is not MemberState.ALIVE or member >= self._node.member_count:
            return False
        return update.incarnation <= self._node.view.incarnations[member] and member != self._node.own_member

    def _may_correct(self, now: float, member: int) -> bool:
        return now - self._packer.state_sent_at[member] >= MIN_CORRECTION_INTERVAL_S

    def _on_update(self, now: float, sender: int, update: MemberUpdate) -> list[OutgoingDatagram]:
        self._rules.accept(update, sender, now)
        return []

    def _on_compact_update(self, now: float, sender: int, item: CompactUpdate) -> list[OutgoingDatagram]:
        self._rules.accept_compact(item, sender, now)
        return []

    def _on_bitmap(self, now: float, sender: int, bitmap: MemberBitmap) -> list[OutgoingDatagram]:
        """Apply a bitmap, and send current updates for its outdated blocks to its sender."""
        if bitmap.state is MemberState.ALIVE:
            return []
        outdated = self._rules.accept_bitmap(bitmap, sender, now)[:MAX_CORRECTIONS]
        if not outdated or not self._may_correct(now, sender):
            return []
        self._packer.state_sent_at[sender] = now
        updates = [self._node.view.update_of(member) for member in outdated]
        return self._sender.send(now, sender, *updates, gossip=Gossip.ADDRESSEE_ONLY)

    def _on_piggyback(self, now: float, sender: int, item: PiggybackItem) -> list[OutgoingDatagram]:
        sends: list[OutgoingDatagram] = []
        if self._packer.piggyback is not None:
            for answer in self._packer.piggyback.receive(now, sender, item):
                sends += self.send_item(now, sender, answer)
        return sends
