"""Failure detector for front ends: the SWIM protocol with Lifeguard's local health multiplier. No I/O.

See Das, Gupta and Motivala, "SWIM" (2002), and Dadgar, Phillips and Currey, "Lifeguard" (2017). This
implementation differs in four points:

- A report of a single other member is not enough to declare a member dead.
- A front end that receives no messages declares no member dead, because it may be isolated itself.
- Dead members are still probed at a low rate, so that the two sides of a partition merge when it heals.
- All sent messages are limited to a rate in bytes per second.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable

from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.incarnation import OwnIncarnation
from lilacfront.membership.local_health import LocalHealth
from lilacfront.membership.local_node import PAUSE_THRESHOLD_S, LocalNode
from lilacfront.membership.member_selection import MemberSelector
from lilacfront.membership.messages import Item, MemberState, MemberUpdate
from lilacfront.membership.piggyback import Piggyback
from lilacfront.membership.probing import Prober
from lilacfront.membership.reception import ItemDispatcher, MessageChecker
from lilacfront.membership.refutation import REFUTE_FANOUT, Refuter
from lilacfront.membership.rejections import RejectionCounter
from lilacfront.membership.sender import DatagramSender, OutgoingDatagram
from lilacfront.membership.settings import MembershipSettings
from lilacfront.membership.suspicion import SuspicionTable
from lilacfront.membership.update_packing import UpdatePacker
from lilacfront.membership.update_rules import UpdateRules
from lilacfront.membership.view import MembershipView

MIN_TICK_INTERVAL_S = 0.01
GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 2  # number of members that receive gossip per interval
LEAVE_FANOUT = 8  # number of members that are notified directly when this front end leaves


class FailureDetector:
    """The failure detector of one front end.

    `tick`, `receive` and other methods return datagrams, which the caller has to send. All times are seconds
    of a monotonic clock.
    """

    def __init__(
        self,
        view: MembershipView,
        settings: MembershipSettings,
        seed: int,
        now: float,
        wall_s: Callable[[], float],
        keys: dict[int, bytes] | None = None,
    ) -> None:
        self.view = view
        self._node = LocalNode(view, settings, seed, now, wall_s)
        self._incarnation = OwnIncarnation(wall_s())
        self._queue = GossipQueue(self._node.member_count)
        self._health = LocalHealth(now)
        self._suspicions = SuspicionTable(self._node, self._health, self._queue)
        self._selector = MemberSelector(self._node, self._suspicions)
        self._packer = UpdatePacker(self._node, self._queue, now)
        self._sender = DatagramSender(self._node, self._incarnation, self._queue, self._packer, now)
        self._sender.set_keys(keys or {})
        self.prober = Prober(self._node, self._health, self._suspicions, self._selector, self._sender, now)
        self._rejections = RejectionCounter()
        self.update_rules = UpdateRules(
            self._node, self._incarnation, self._suspicions, self._queue, self._packer, self._rejections
        )
        self._refuter = Refuter(self._node, self._incarnation, self._queue, self._selector, self._sender)
        self._checker = MessageChecker(self._node, self._rejections)
        self._dispatcher = ItemDispatcher(
            self._node, self._queue, self._packer, self._sender, self.prober, self.update_rules
        )
        self._next_gossip_at = now
        self._last_tick_at = now
        next_second_in_s = self._incarnation.next_second_in_s
        self._second_incarnation_at = now + next_second_in_s if next_second_in_s else math.inf
        self._refuter.begin(self._incarnation.value, now, "started")

    # ---- state -------------------------------------------------------------------------------
    @property
    def member_count(self) -> int:
        """Number of members, including this one."""
        return self._node.member_count

    @property
    def incarnation(self) -> int:
        """Incarnation of this front end."""
        return self._incarnation.value

    @property
    def last_contact_at(self) -> array[float]:
        """Time of the last message from each member."""
        return self._node.last_contact_at

    @property
    def was_paused(self) -> bool:
        """Whether this front end was paused and has received no message since."""
        return self._node.was_paused

    @property
    def has_left(self) -> bool:
        """Whether this front end has left, or another process acts as this member."""
        return self._node.has_left

    @property
    def rejected(self) -> dict[str, int]:
        """Number of rejected messages by reason."""
        return self._rejections.counts

    @property
    def sent_bytes(self) -> int:
        """Total size of all sent datagrams in bytes, including IP and UDP headers."""
        return self._sender.sent_bytes

    def is_isolated(self, now: float) -> bool:
        """Whether this front end may be isolated from the others, or was just paused."""
        return self._node.is_isolated(now)

    # ---- settings ----------------------------------------------------------------------------
    def set_keys(self, keys: dict[int, bytes]) -> None:
        """Set the keys: messages are tagged with the first one and accepted with a tag of any of them."""
        self._sender.set_keys(keys)

    def set_piggyback(self, piggyback: Piggyback) -> None:
        """Set the piggyback, which supplies items for sent messages and receives the items of others."""
        self._packer.piggyback = piggyback

    def raise_incarnation(self, minimum: int) -> None:
        """Raise the incarnation of this front end to at least `minimum`.

        The caller passes a number above the incarnations of all earlier processes. After a step back of the
        wall clock, the incarnation of a new process would be lower, and other members would ignore its
        messages.
        """
        if self._incarnation.may_restore(minimum):
            self._refuter.begin(minimum, self._node.clock, "restored")

    # ---- time --------------------------------------------------------------------------------
    def next_deadline(self) -> float:
        """When `tick` has to be called next; earlier calls are allowed.

        It is at most half of PAUSE_THRESHOLD_S after the last tick, so that an idle front end doesn't count
        as paused.
        """
        deadline = self.prober.next_deadline(self._last_tick_at + PAUSE_THRESHOLD_S / 2)
        if len(self._queue):
            deadline = min(deadline, self._next_gossip_at)
        deadline = min(self._suspicions.next_deadline(deadline), self._second_incarnation_at)
        return max(deadline, self._last_tick_at + MIN_TICK_INTERVAL_S)

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Run expired timers: time out probes and suspicions, send the next probe, send gossip."""
        self._last_tick_at = now
        sends = self._observe_time(now)
        if now >= self._second_incarnation_at:
            self._begin_second_incarnation(now)
        if self._node.has_left:
            return sends
        sends += self.prober.check_timeouts(now)
        sends += self.prober.check_suspicions(now)
        sends += self.prober.probe_if_due(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_S
            sends += self._gossip(now)
        return sends

    def _observe_time(self, now: float) -> list[OutgoingDatagram]:
        """Advance the clock, and recover if this front end was paused.

        Timeouts that expired during a pause are no sign of a failed member. So pending probes are dropped and
        suspicions are extended, and no member is declared dead until a message is received. Other members may
        have marked this front end as suspect or dead, so it refutes at once, before it receives such an
        update. `receive` calls this, too: a message that arrived during the pause may be read before the
        first tick.
        """
        gap_s = self._node.advance_clock(now)
        if not gap_s:
            return []
        self._node.was_paused = True
        self.prober.clear_pending()
        self._suspicions.extend_after_pause(gap_s)
        self._sender.bucket.skip(now)
        self._node.last_ack_at = now
        if self._node.has_left:
            return []
        return self._refuter.refute(now, self._incarnation.value, "paused")

    def _begin_second_incarnation(self, now: float) -> None:
        """Begin an incarnation that no process has used that was started earlier in the same second."""
        self._second_incarnation_at = math.inf
        if self._node.has_left:
            return
        self._refuter.begin(self._incarnation.value + 1, now, "started")
        self._queue.enqueue(self._node.own_member)

    def _gossip(self, now: float) -> list[OutgoingDatagram]:
        sends: list[OutgoingDatagram] = []
        if len(self._queue):
            for peer in self._selector.draw_live(GOSSIP_FANOUT):
                sends += self._sender.send(now, peer, low_priority=True)
        return sends

    # ---- messages ----------------------------------------------------------------------------
    def receive(self, now: float, source: int, data: bytes) -> list[OutgoingDatagram]:
        """Handle a datagram from the address of member `source`."""
        message = self._checker.check(source, data, self._sender.keys)
        if message is None:
            return []
        sends = self._observe_time(now)
        self._node.last_received_at = now
        self._node.last_contact_at[source] = now
        self._node.was_paused = False
        self._dispatcher.record_sender(now, message)
        sends += self._dispatcher.dispatch(now, message)
        sends += self._refuter.refute_if_accused(now, source)
        sends += self._dispatcher.send_correction(now, source)
        return sends

    def send_item(self, now: float, peer: int, item: Item) -> list[OutgoingDatagram]:
        """Send one item of the piggyback to a member, unless the rate limit is nearly reached."""
        return self._dispatcher.send_item(now, peer, item)

    # ---- leaving -----------------------------------------------------------------------------
    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Notify LEAVE_FANOUT members that this front end leaves; gossip reaches the others.

        After that `tick` sends no probes and no gossip.
        """
        own_member = self._node.own_member
        update = MemberUpdate(own_member, self._incarnation.value, MemberState.LEFT)
        self.view.apply(update, now, "leaving")
        self._queue.enqueue(own_member)
        sends: list[OutgoingDatagram] = []
        for peer in self._selector.draw_live(LEAVE_FANOUT):
            sends += self._sender.send(now, peer)
        self._node.has_left = True
        return sends

    def stop(self) -> None:
        """Stop probes and gossip, because another process takes over as this member."""
        self._node.has_left = True

    def rejoin(self, now: float) -> list[OutgoingDatagram]:
        """Become a member again, with a new incarnation."""
        self._node.has_left = False
        self._refuter.begin(self._incarnation.value + 1, now, "rejoined")
        self._queue.enqueue(self._node.own_member)
        self._node.last_received_at = now
        self._node.last_ack_at = now
        sends: list[OutgoingDatagram] = []
        for peer in self._selector.draw_live(REFUTE_FANOUT):
            sends += self._sender.send(now, peer)
        return sends
