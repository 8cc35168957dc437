"""Model of a faulty network between members: packet loss, delay, duplicates, partitions and false updates."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.membership.codec import CodecError, decode, encode
from lilacfront.membership.messages import Ack, MemberState, MemberUpdate, Ping, PingRequest

MAX_FALSE_UPDATES = 26  # per datagram of a lying member
MAX_FALSE_INCARNATION_STEP = 3


class NetworkModel:
    """Draws the loss, duplication and delay of each datagram between two members.

    Attributes:
        script: The script with the fractions and delays.
        rng: The random number generator of this network.
        blocked_links: Pairs of a sender and a receiver between which nothing is delivered.
    """

    def __init__(self, script: FaultScript, rng: random.Random) -> None:
        self.script = script
        self.rng = rng
        self.blocked_links: set[tuple[int, int]] = set()

    def delivery_delays(self, sender: int, receiver: int) -> list[float]:
        """The delay in seconds of each delivery of a datagram.

        The list is empty if the datagram is lost and has two entries if it is duplicated.
        """
        copies = 2 if self.rng.random() < self.script.duplicate_fraction else 1
        delays = []
        for _ in range(copies):
            if (sender, receiver) in self.blocked_links or self.rng.random() < self.script.loss_fraction:
                continue
            delays.append(self._draw_delay())
        return delays

    def _draw_delay(self) -> float:
        if self.rng.random() < self.script.late_fraction:
            return self.rng.uniform(0.0, self.script.max_late_delay_s)
        return self.rng.uniform(*self.script.delay_range_s)

    def partition(self, fault: Fault, targets: Iterable[int]) -> None:
        """Block the links from the targets of a `cut`, and the links back to them if it is bidirectional."""
        senders = list(targets)
        others = [member for member in range(self.script.members) if member not in senders]
        for sender in senders:
            for receiver in fault.destinations or others:
                self.blocked_links.add((sender, receiver))
                if fault.bidirectional:
                    self.blocked_links.add((receiver, sender))

    def sample_members(self, running: list[int], fraction: float) -> list[int]:
        """Draw a random sample of this fraction of the running members."""
        return self.rng.sample(running, round(fraction * len(running)))

    def is_partitioned(self, first: int, second: int) -> bool:
        """Whether neither of two members can reach the other directly."""
        return (first, second) in self.blocked_links and (second, first) in self.blocked_links


def falsify_datagram(
    data: bytes,
    lie: str,
    sender: int,
    dead: set[int],
    known_incarnation: Callable[[int], int],
    rng: random.Random,
    members: int,
) -> bytes:
    """Replace the updates in a datagram of a lying member by false ones; probes and acks remain.

    Args:
        data: The datagram; returned unchanged if it can't be decoded.
        lie: One of `FalseReport`.
        sender: The lying member.
        dead: The members that are actually dead.
        known_incarnation: Returns the incarnation of a member in the sender's view.
        rng: The random number generator for the updates.
        members: Number of members.
    """
    updates = []
    for member in rng.sample(range(members), min(MAX_FALSE_UPDATES, members)):
        if lie == "all dead" and member != sender:
            updates.append(MemberUpdate(member, known_incarnation(member), MemberState.DEAD))
        elif lie == "dead live" and member in dead:
            incarnation = known_incarnation(member) + 1 + rng.randrange(MAX_FALSE_INCARNATION_STEP)
            updates.append(MemberUpdate(member, incarnation, MemberState.ALIVE))
    try:
        message = decode(data)
    except CodecError:
        return data
    probes = tuple(item for item in message.items if isinstance(item, Ping | Ack | PingRequest))
    return encode(replace(message, items=(*probes, *updates)))
