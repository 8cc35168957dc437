"""Suspicions of SWIM: a failed member is suspect first, and dead if it doesn't refute in time. No I/O.

As in Lifeguard, the timeout decreases with the logarithm of the number of independent accusers, and is
multiplied by the local health multiplier.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.local_health import LocalHealth
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import MemberState, MemberUpdate

MAX_CONFIRMATIONS = 3  # number of accusers after the first at which the timeout reaches its minimum
FINAL_PING_LEAD_S = 0.4  # time between the final ping and the end of the suspicion, in seconds
MASS_FAILURE_MIN = 3  # failed probes or suspects from which indirect pings would use up the rate limit
MASS_FAILURE_DIVISOR = 10  # from 40 members on: a mass failure if one in 10 members is suspect


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member.

    Attributes:
        incarnation: The suspect incarnation; the member refutes with a higher one.
        began_at: Time at which the member became suspect, or of its last message if that is later.
        accusers: Members that reported it as suspect, at most MAX_CONFIRMATIONS + 1.
        final_ping_decided: Whether this front end has decided at random whether to send a final ping.
        death_reporters: Members that reported it as dead.
    """

    incarnation: int
    began_at: float
    accusers: set[int] = field(default_factory=set)
    final_ping_decided: bool = False
    death_reporters: set[int] = field(default_factory=set)


class SuspicionTable:
    """The suspicions at one front end.

    Attributes:
        active: The suspicions that have neither expired nor been refuted, by member.
    """

    def __init__(self, node: LocalNode, health: LocalHealth, queue: GossipQueue) -> None:
        self.active: dict[int, Suspicion] = {}
        self._node = node
        self._health = health
        self._queue = queue
        self._mass_failure_suspects = max(MASS_FAILURE_MIN, node.member_count // MASS_FAILURE_DIVISOR)

    @property
    def is_mass_failure(self) -> bool:
        """Whether many members fail at the same time."""
        failures = self._health.recent_failures
        return len(failures) >= MASS_FAILURE_MIN or len(self.active) >= self._mass_failure_suspects

    @property
    def any_failing(self) -> bool:
        """Whether a probe failed recently or a member is suspect."""
        return bool(self._health.recent_failures or self.active)

    def suspect(self, member: int, incarnation: int, accuser: int, now: float, reason: str) -> None:
        """Mark a member as suspect, or record one more accuser of a suspect."""
        update = MemberUpdate(member, incarnation, MemberState.SUSPECT)
        if self._node.view.apply(update, now, reason):
            self.active[member] = Suspicion(incarnation, now)
            self._queue.enqueue(member)
        suspicion = self.active.get(member)
        if suspicion is None or suspicion.incarnation != incarnation:
            return
        if len(suspicion.accusers) <= MAX_CONFIRMATIONS:
            suspicion.accusers.add(accuser)

    def declare_dead(self, member: int, incarnation: int, now: float, reason: str) -> None:
        """Mark a member as dead, and end its suspicion."""
        ended = self.active.pop(member, None)
        if ended is not None and self._node.own_member in ended.accusers:
            self._health.record_confirmed_accusation()
        update = MemberUpdate(member, incarnation, MemberState.DEAD)
        if self._node.view.apply(update, now, reason):
            self._queue.enqueue_dead(member)

    def end_refuted(self, member: int, state: MemberState, now: float) -> None:
        """End the suspicion of a member that has refuted it or has left."""
        ended = self.active.pop(member, None)
        if ended is None:
            return
        if state is MemberState.ALIVE:
            self._health.record_refutation(now)
        if self._node.own_member in ended.accusers:
            self._health.record_refuted_accusation()

    def expires_at(self, suspicion: Suspicion) -> float:
        """Time at which a suspicion expires."""
        min_timeout_s = self._node.settings.min_suspicion_s
        max_timeout_s = self._node.settings.max_suspicion_s
        confirmations = min(MAX_CONFIRMATIONS, len(suspicion.accusers) - 1)
        reduction = 0.0
        if confirmations > 0:
            reduction = math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1)
        multiplier = self._health.suspicion_multiplier
        timeout_s = max_timeout_s - (max_timeout_s - min_timeout_s) * reduction
        return suspicion.began_at + timeout_s * multiplier

    def next_deadline(self, deadline: float) -> float:
        """The earliest of `deadline` and the times of final pings and of the ends of suspicions."""
        for suspicion in self.active.values():
            lead_s = 0.0 if suspicion.final_ping_decided else FINAL_PING_LEAD_S
            deadline = min(deadline, self.expires_at(suspicion) - lead_s)
        return deadline

    def extend_after_pause(self, gap_s: float) -> None:
        """Extend all suspicions by the length of a pause, in which no refutation could be received."""
        for suspicion in self.active.values():
            suspicion.began_at += gap_s
