"""SWIM's probes: direct pings, indirect pings through other members, and acks. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lilacfront.membership.local_health import LocalHealth
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.member_selection import MemberSelector
from lilacfront.membership.messages import Ack, Ping, PingRequest
from lilacfront.membership.probe_targets import ProbeTargets
from lilacfront.membership.sender import DatagramSender, OutgoingDatagram
from lilacfront.membership.suspicion import FINAL_PING_LEAD_S, MASS_FAILURE_MIN, Suspicion, SuspicionTable
from lilacfront.membership.update_packing import Gossip

FAST_PROBE_FACTOR = 3  # factor on the probe rate while some probes fail and others are acknowledged
EXTRA_DIRECT_PINGS = 1  # number of additional direct pings if no other member is asked
PROBE_ACK_TIMEOUTS = 4  # number of ack timeouts until a probe with indirect pings has failed
DIRECT_PROBE_ACK_TIMEOUTS = 2  # number of ack timeouts until a probe without indirect pings has failed
MAX_RELAYED_PINGS = 256  # maximum number of pending pings on behalf of other members
RELAY_INTERVALS = 2  # number of probe intervals after which a relayed ping expires
MEAN_FINAL_PINGERS = 16  # mean number of members that send a final ping; gossip spreads the refutation


@dataclass(slots=True)
class PendingProbe:
    """A probe that is not acknowledged yet.

    Attributes:
        target: The probed member.
        direct_until: Time at which the direct ping times out and the indirect pings are sent.
        fails_at: Time at which the probe fails.
        is_indirect: Whether the indirect pings were sent.
    """

    target: int
    direct_until: float
    fails_at: float
    is_indirect: bool = False


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """A ping on behalf of another member.

    Attributes:
        requester: The member whose probe it is.
        sequence: Sequence number of the requester's probe.
        expires_at: Time from which an ack is ignored.
    """

    requester: int
    sequence: int
    expires_at: float


class Prober:
    """Probes members, and pings members on behalf of others."""

    def __init__(
        self,
        node: LocalNode,
        health: LocalHealth,
        suspicions: SuspicionTable,
        selector: MemberSelector,
        sender: DatagramSender,
        now: float,
    ) -> None:
        self._node = node
        self._health = health
        self._suspicions = suspicions
        self._selector = selector
        self._sender = sender
        self.targets = ProbeTargets(node, suspicions)
        self._pending: dict[int, PendingProbe] = {}  # sequence number of the ping -> probe
        self._relayed: dict[int, RelayedPing] = {}  # sequence number of this member's ping -> request
        self._next_probe_at = now + node.random.random() * node.settings.probe_interval_s
        # In a larger tier it is more likely that random loss drops all messages of some probe.
        self._extra_pings = int(math.log2(node.member_count) / 3)

    # ---- timers -------------------------------------------------------------------------------
    def next_deadline(self, deadline: float) -> float:
        """The earliest of `deadline`, the time of the next probe and the timeouts of pending probes."""
        deadline = min(deadline, self._next_probe_at)
        for probe in self._pending.values():
            deadline = min(deadline, probe.fails_at if probe.is_indirect else probe.direct_until)
        return deadline

    def check_timeouts(self, now: float) -> list[OutgoingDatagram]:
        """Send indirect pings for timed out direct pings, and suspect the targets of failed probes."""
        sends: list[OutgoingDatagram] = []
        for sequence, probe in list(self._pending.items()):
            if now >= probe.fails_at:
                del self._pending[sequence]
                self.on_probe_failed(now, probe)
            elif now >= probe.direct_until and not probe.is_indirect:
                probe.is_indirect = True
                sends += self._probe_indirectly(now, sequence, probe.target)
        expired = [sequence for sequence, relayed in self._relayed.items() if now >= relayed.expires_at]
        for sequence in expired:
            del self._relayed[sequence]
        return sends

    def clear_pending(self) -> None:
        """Drop all pending probes after a pause, during which no ack could be received in time."""
        self._pending.clear()
        self._relayed.clear()

    def on_probe_failed(self, now: float, probe: PendingProbe) -> None:
        """Suspect the target of a failed probe, unless this front end itself may be isolated."""
        if self._node.is_isolated(now) or self._node.is_dead_or_left(probe.target):
            return
        self._health.record_probe_failure(now)
        incarnation = self._node.view.incarnations[probe.target]
        self._suspicions.suspect(probe.target, incarnation, self._node.own_member, now, "probe failed")

    # ---- probes -------------------------------------------------------------------------------
    def probe_if_due(self, now: float) -> list[OutgoingDatagram]:
        """Ping the next target if a probe interval has passed since the last probe."""
        if now < self._next_probe_at:
            return []
        settings = self._node.settings
        self._health.drop_old_failures(now, settings.probe_interval_s)
        interval = settings.probe_interval_s
        if self._probes_fast(now):
            interval = settings.probe_interval_s / FAST_PROBE_FACTOR
        self._next_probe_at = now + interval
        target = self.targets.choose(int(self._node.wall_s() / interval))
        if target is None:
            return []
        is_mass_failure = self._suspicions.is_mass_failure
        sequence = self._node.next_ping_sequence()
        timeouts = DIRECT_PROBE_ACK_TIMEOUTS if is_mass_failure else PROBE_ACK_TIMEOUTS
        multiplier = self._health.probe_multiplier
        self._pending[sequence] = PendingProbe(
            target,
            direct_until=now + settings.ack_timeout_s * multiplier,
            fails_at=now + timeouts * settings.ack_timeout_s * multiplier,
        )
        # During a mass failure the target is likely dead, too, and gossip to it would waste the rate limit.
        gossip = Gossip.ADDRESSEE_ONLY if is_mass_failure else Gossip.FULL_SYNC
        return self._sender.send(now, target, Ping(sequence, self._node.own_member), gossip=gossip)

    def _probes_fast(self, now: float) -> bool:
        failing = bool(self._health.recent_failures) or self._suspicions.is_mass_failure
        if not failing or self._node.is_isolated(now):
            return False
        return not self._health.is_network_unstable(now)

    def _probe_indirectly(self, now: float, sequence: int, target: int) -> list[OutgoingDatagram]:
        """Repeat the direct ping, and ask other members to ping the target.

        If there are too few other members, as in a tier of three, more direct pings replace their pings. No
        other member is asked during a mass failure, because the requests would use up the rate limit.
        """
        indirect_probes = self._node.settings.indirect_probes
        relays = []
        if not self._suspicions.is_mass_failure:
            relays = self._selector.draw_live(indirect_probes, target)
        extra = 0 if self._health.is_network_unstable(now) else self._extra_pings
        pings = 1 + EXTRA_DIRECT_PINGS
        if relays:
            pings = 1 + extra + indirect_probes - len(relays)
        sends: list[OutgoingDatagram] = []
        for _ in range(pings):
            sends += self._ping(now, target, sequence)
        for relay in relays:
            sends += self._sender.send(now, relay, PingRequest(sequence, target))
        return sends

    def _ping(self, now: float, target: int, sequence: int) -> list[OutgoingDatagram]:
        ping = Ping(sequence, self._node.own_member)
        return self._sender.send(now, target, ping, gossip=Gossip.ADDRESSEE_ONLY)

    def ping_suspect(self, now: float, member: int, suspicion: Suspicion) -> list[OutgoingDatagram]:
        """Send a final ping to a suspect before the suspicion expires, as its refutation may have been lost.

        Only about MEAN_FINAL_PINGERS members do so, chosen at random: the acks of a thousand pings would use
        up the rate limit of the suspect, and it could neither refute nor probe. If MASS_FAILURE_MIN members
        or more are suspect, none is sent.
        """
        suspicion.final_ping_decided = True
        is_drawn = self._node.random.random() * self._node.member_count < MEAN_FINAL_PINGERS
        if not is_drawn or len(self._suspicions.active) >= MASS_FAILURE_MIN:
            return []
        return self._ping(now, member, self._node.next_ping_sequence())

    def check_suspicions(self, now: float) -> list[OutgoingDatagram]:
        """Declare members dead whose suspicions have expired; send final pings shortly before that."""
        if self._node.is_isolated(now):
            return []
        sends: list[OutgoingDatagram] = []
        for member, suspicion in list(self._suspicions.active.items()):
            # A member that sends messages is alive, even if it acknowledges no probe.
            suspicion.began_at = max(suspicion.began_at, self._node.last_contact_at[member])
            expires_at = self._suspicions.expires_at(suspicion)
            if now >= expires_at:
                reason = "suspicion timed out"
                self._suspicions.declare_dead(member, suspicion.incarnation, now, reason)
            elif now >= expires_at - FINAL_PING_LEAD_S and not suspicion.final_ping_decided:
                sends += self.ping_suspect(now, member, suspicion)
        return sends

    # ---- messages -----------------------------------------------------------------------------
    def on_ping(self, now: float, sender: int, ping: Ping) -> list[OutgoingDatagram]:
        """Acknowledge a ping."""
        return self._sender.send(now, sender, Ack(ping.sequence, self._node.own_member))

    def on_ack(self, now: float, sender: int, ack: Ack) -> list[OutgoingDatagram]:
        """End the acknowledged probe, or forward the ack to the member that requested the ping."""
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            return self._sender.send(now, relayed.requester, Ack(relayed.sequence, sender))
        probe = self._pending.get(ack.sequence)
        if probe is None or probe.target != ack.responder:
            return []
        if sender == ack.responder or probe.is_indirect:
            del self._pending[ack.sequence]
            self._node.last_ack_at = now
            self._health.record_ack()
        return []

    def on_ping_request(self, now: float, sender: int, request: PingRequest) -> list[OutgoingDatagram]:
        """Ping a member on behalf of the sender of the request."""
        target = request.target
        if not 0 <= target < self._node.member_count or target == self._node.own_member:
            return []
        if len(self._relayed) >= MAX_RELAYED_PINGS:
            return []
        sequence = self._node.next_ping_sequence()
        expires_at = now + RELAY_INTERVALS * self._node.settings.probe_interval_s
        self._relayed[sequence] = RelayedPing(sender, request.sequence, expires_at)
        return self._sender.send(now, target, Ping(sequence, sender))
