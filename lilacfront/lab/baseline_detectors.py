"""Baseline failure detectors to compare with the program's own on the same scripts.

Unlike the program's detector, the detector classes of this module do not limit their sending rate.
The size of each message is that on the wire: a header and the entries, at most 256 bytes.
"""

from __future__ import annotations

import math
import random
import struct
from collections import deque

import msgspec

from lilacfront.lab.fault_script import FaultScript
from lilacfront.lab.members import DetectorMember, MemberFactory, SimulatedMember
from lilacfront.membership.codec import HEADER, MAX_DATAGRAM_BYTES
from lilacfront.membership.sender import IP_UDP_HEADER_BYTES, OutgoingDatagram

ENTRY = struct.Struct(">HI")  # member, counter
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - HEADER.size) // ENTRY.size
COUNTERS_PER_S = 10  # counters follow the time, so a restart begins above the previous counters
MIN_PROBABILITY = 1e-300  # avoids the logarithm of 0


class HeartbeatDetector:
    """Sends a heartbeat to every member in each interval; a member silent for `TIMEOUT_S` is dead."""

    INTERVAL_S = 1.0
    TIMEOUT_S = 3.5

    def __init__(
        self, number: int, script: FaultScript, seed: int, now: float, _clock_offset_s: float
    ) -> None:
        self.number = number
        self.members = script.members
        self.now = now
        self.last_contact_at = [now] * script.members
        self.sent_bytes = 0
        self._random = random.Random(seed)
        self._next_at = now + self._random.random() * self.INTERVAL_S

    def next_deadline(self) -> float:
        """The time at which `tick` must be called next."""
        return self._next_at

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Return the heartbeats to send, if the interval has elapsed."""
        self.now = now
        if now < self._next_at:
            return []
        self._next_at = now + self.INTERVAL_S
        return self._heartbeats()

    def _heartbeats(self) -> list[OutgoingDatagram]:
        peers = (peer for peer in range(self.members) if peer != self.number)
        return [OutgoingDatagram(peer, self._message()) for peer in peers]

    def _message(self, entries: bytes = b"") -> bytes:
        data = bytes(HEADER.size) + entries
        self.sent_bytes += len(data) + IP_UDP_HEADER_BYTES
        return data

    def receive(self, now: float, sender: int, _data: bytes) -> list[OutgoingDatagram]:
        """Record the time of a heartbeat of a member."""
        self.now = now
        self.last_contact_at[sender] = now
        return []

    def leave(self, _now: float) -> list[OutgoingDatagram]:
        """Leave without an announcement; peers detect it as a failure."""
        return []

    def failed_members(self) -> set[int]:
        """The members that are dead in this member's view."""
        return {member for member in range(self.members) if member != self.number and self._is_silent(member)}

    def _is_silent(self, member: int) -> bool:
        return self.now - self.last_contact_at[member] > self.TIMEOUT_S


class AccrualDetector(HeartbeatDetector):
    """Phi accrual failure detector on the same heartbeats.

    A member is dead once its silence is improbable under a normal distribution fitted to its last `WINDOW`
    heartbeat intervals: phi, the negative decimal logarithm of the probability, exceeds `MAX_PHI`.
    Hayashibara et al., "The phi accrual failure detector" (2004).
    """

    MAX_PHI = 8.0
    WINDOW = 100  # heartbeat intervals
    MIN_DEVIATION_S = 0.1

    def __init__(
        self, number: int, script: FaultScript, seed: int, now: float, clock_offset_s: float
    ) -> None:
        super().__init__(number, script, seed, now, clock_offset_s)
        initial = [self.INTERVAL_S] * 2
        self._intervals = [deque(initial, maxlen=self.WINDOW) for _ in range(self.members)]

    def receive(self, now: float, sender: int, data: bytes) -> list[OutgoingDatagram]:
        """Record a heartbeat of a member and the interval before it."""
        self._intervals[sender].append(now - self.last_contact_at[sender])
        return super().receive(now, sender, data)

    def _is_silent(self, member: int) -> bool:
        intervals = self._intervals[member]
        mean = sum(intervals) / len(intervals)
        variance = sum((interval - mean) ** 2 for interval in intervals) / len(intervals)
        deviation = max(self.MIN_DEVIATION_S, math.sqrt(variance))
        silence = self.now - self.last_contact_at[member]
        probability = 0.5 * math.erfc((silence - mean) / deviation / math.sqrt(2.0))
        return -math.log10(max(probability, MIN_PROBABILITY)) > self.MAX_PHI


class GossipCounterDetector(HeartbeatDetector):
    """Gossip-style failure detector with heartbeat counters.

    In each interval a member increases its own counter and sends it to `FANOUT` random members, each time
    with the counters of a random sample of the live members. A member is dead if its counter has not risen
    for `TIMEOUT_S`.
    Van Renesse, Minsky and Hayden, "A gossip-style failure detection service" (1998).
    """

    INTERVAL_S = 0.4
    TIMEOUT_S = 5.0
    FANOUT = 2

    def __init__(
        self, number: int, script: FaultScript, seed: int, now: float, clock_offset_s: float
    ) -> None:
        super().__init__(number, script, seed, now, clock_offset_s)
        self._counters = [0] * self.members
        self._own_counter = int(now * COUNTERS_PER_S)

    def _heartbeats(self) -> list[OutgoingDatagram]:
        self._own_counter = max(self._own_counter + 1, int(self.now * COUNTERS_PER_S))
        self._counters[self.number] = self._own_counter
        self.last_contact_at[self.number] = self.now
        datagrams = []
        for _ in range(self.FANOUT):
            peer = self._random.randrange(self.members - 1)
            skip_own_number = peer >= self.number
            datagrams.append(OutgoingDatagram(peer + skip_own_number, self._message(self._entries())))
        return datagrams

    def _entries(self) -> bytes:
        live = [member for member in range(self.members) if not self._has_timed_out(member)]
        sampled = self._random.sample(live, min(MAX_ENTRIES - 1, len(live)))
        members = {self.number, *sampled}
        return b"".join(ENTRY.pack(member, self._counters[member]) for member in members)

    def _has_timed_out(self, member: int) -> bool:
        return self.now - self.last_contact_at[member] >= self.TIMEOUT_S

    def receive(self, now: float, _sender: int, data: bytes) -> list[OutgoingDatagram]:
        """Store each counter that has risen, and the time."""
        self.now = now
        for member, counter in ENTRY.iter_unpack(data[HEADER.size :]):
            if counter > self._counters[member]:
                self._counters[member] = counter
                self.last_contact_at[member] = now
        return []


def _with_suspicion(min_suspicion_s: float, max_suspicion_s: float) -> MemberFactory:
    """Return a factory of members with the program's detector and these suspicion timeouts."""

    def make_member(
        number: int, script: FaultScript, seed: int, now: float, clock_offset_s: float
    ) -> SimulatedMember:
        changed = msgspec.structs.replace(
            script.membership, min_suspicion_s=min_suspicion_s, max_suspicion_s=max_suspicion_s
        )
        return DetectorMember(
            number, msgspec.structs.replace(script, membership=changed), seed, now, clock_offset_s
        )

    return make_member


DETECTORS: dict[str, MemberFactory] = {
    "heartbeats to all": HeartbeatDetector,
    "accrual": AccrualDetector,
    "counters by gossip": GossipCounterDetector,
    "SWIM without suspicion": _with_suspicion(0.1, 0.1),
    "SWIM, fixed suspicion": _with_suspicion(3.0, 3.0),
    "the program's": _with_suspicion(2.0, 3.0),
}
