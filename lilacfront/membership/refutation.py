"""Refutation of suspicions about this front end, by a new incarnation that is sent at once. No I/O."""

from __future__ import annotations

import math

from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.incarnation import OwnIncarnation
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.member_selection import NO_MEMBER, MemberSelector
from lilacfront.membership.messages import MemberState, MemberUpdate
from lilacfront.membership.sender import DatagramSender, OutgoingDatagram
from lilacfront.membership.update_packing import Gossip

REFUTE_FANOUT = 24  # number of members that receive a refutation directly, in messages without gossip
MIN_REFUTE_INTERVAL_S = 1.0  # minimum time between two such fanouts


class Refuter:
    """Starts new incarnations of this front end and sends them to other members."""

    def __init__(
        self,
        node: LocalNode,
        incarnation: OwnIncarnation,
        queue: GossipQueue,
        selector: MemberSelector,
        sender: DatagramSender,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._queue = queue
        self._selector = selector
        self._sender = sender
        self._last_fanout_at = -math.inf

    def begin(self, incarnation: int, now: float, reason: str) -> None:
        """Start an incarnation, in which this front end is alive."""
        self._incarnation.advance_to(incarnation)
        update = MemberUpdate(self._node.own_member, incarnation, MemberState.ALIVE)
        self._node.view.apply(update, now, reason)

    def refute(
        self, now: float, incarnation: int, reason: str, accuser: int = NO_MEMBER
    ) -> list[OutgoingDatagram]:
        """Start incarnation `incarnation` + 1, and send it to the accuser and to REFUTE_FANOUT members.

        The header of a message carries the incarnation, so these messages are short and fit when the rate
        limit is nearly reached. False accusations by a faulty member could still use up the rate limit, so
        there is a minimum interval between two fanouts; in between only the accuser receives the refutation.
        """
        self.begin(incarnation + 1, now, reason)
        self._queue.enqueue(self._node.own_member)
        peers = [accuser] if accuser != NO_MEMBER else []
        if now - self._last_fanout_at >= MIN_REFUTE_INTERVAL_S:
            self._last_fanout_at = now
            drawn = self._selector.draw_live(REFUTE_FANOUT, accuser)
            peers += [peer for peer in drawn if peer != accuser]
        sends: list[OutgoingDatagram] = []
        for peer in peers:
            sends += self._sender.send(now, peer, gossip=Gossip.ADDRESSEE_ONLY)
        return sends

    def refute_if_accused(self, now: float, accuser: int) -> list[OutgoingDatagram]:
        """Refute if the message that was just read accuses this front end."""
        accused_incarnation = self._incarnation.accused_incarnation
        if not accused_incarnation:
            return []
        sends = self.refute(now, accused_incarnation, "refuted", accuser)
        self._incarnation.accused_incarnation = 0
        return sends
