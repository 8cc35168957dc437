"""Discrete-event simulation of failure detection among front ends, by a script and a seed.

The failure detector is the program's own or a baseline. The network is a model with loss, delay, duplicates
and partitions, also in one direction only. Members may pause, die, restart, leave or send false updates. The
members' views are scored against their actual states.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.lab.network_model import NetworkModel, falsify_datagram
from lilacfront.lab.score import Outcome, Scorer
from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.messages import MemberState
from lilacfront.membership.sender import OutgoingDatagram
from lilacfront.membership.view import MembershipView

WALL_CLOCK_START_S = 1_800_000_000.0  # wall clock time at the start of the simulation
OBSERVE_INTERVAL_S = 0.25
MIN_TICK_INTERVAL_S = 0.005
MAX_INBOX = 256  # capacity of the socket buffer of a paused member, in datagrams


class SimulatedMember(Protocol):
    """A member with a failure detector: the program's own or a baseline."""

    @property
    def sent_bytes(self) -> int:
        """Number of bytes of all sent datagrams, with IP and UDP headers."""
        ...

    def next_deadline(self) -> float:
        """The time at which `tick` must be called next."""
        ...

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Run expired timers and return the datagrams to send."""
        ...

    def receive(self, now: float, sender: int, data: bytes) -> list[OutgoingDatagram]:
        """Process a datagram of a member and return the datagrams to send."""
        ...

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Return the datagrams that announce the departure of this member."""
        ...

    def failed_members(self) -> set[int]:
        """The members that are dead or have left, in this member's view."""
        ...


class DetectorMember:
    """A member with the program's failure detector."""

    def __init__(
        self, number: int, script: FaultScript, seed: int, now: float, clock_offset_s: float
    ) -> None:
        """Start a member whose wall clock is off by `clock_offset_s`."""
        self.now = now
        self.view = MembershipView(script.members, number, now)
        self.detector = FailureDetector(
            self.view, script.membership, seed, now, lambda: WALL_CLOCK_START_S + self.now + clock_offset_s
        )

    @property
    def sent_bytes(self) -> int:
        """Number of bytes of all sent datagrams, with IP and UDP headers."""
        return self.detector.sent_bytes

    def next_deadline(self) -> float:
        """The time at which `tick` must be called next."""
        return self.detector.next_deadline()

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Run expired timers and return the datagrams to send."""
        self.now = now
        return self.detector.tick(now)

    def receive(self, now: float, sender: int, data: bytes) -> list[OutgoingDatagram]:
        """Process a datagram of a member and return the datagrams to send."""
        self.now = now
        return self.detector.receive(now, sender, data)

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Return the datagrams that announce the departure of this member."""
        return self.detector.leave(now)

    def failed_members(self) -> set[int]:
        """The members that are dead or have left, in this member's view."""
        if self.view.live_count == len(self.view):
            return set()
        return {member for member, state in enumerate(self.view.states) if state >= MemberState.DEAD}


MemberFactory = Callable[[int, FaultScript, int, float, float], SimulatedMember]


@dataclass(slots=True)
class Host:
    """The actual state of one front end.

    Attributes:
        number: The member number.
        member: The member with its detector; None while the front end is dead or has left.
        paused: Whether the process is paused.
        inbox: Senders and datagrams received during the pause.
        starts: Number of starts.
        lie: The false updates that it sends, see `FalseReport`; empty if it sends none.
    """

    number: int
    member: SimulatedMember | None = None
    paused: bool = False
    inbox: list[tuple[int, bytes]] = field(default_factory=list)
    starts: int = 0
    lie: str = ""


class TierSimulation:
    """Runs a script with simulated members."""

    def __init__(self, script: FaultScript, seed: int, make_member: MemberFactory | None = None) -> None:
        """Prepare a run; `make_member` creates a member, by default one with the program's detector."""
        self.script = script
        self.seed = seed
        self.now = 0.0
        self.hosts = [Host(number) for number in range(script.members)]
        last_fault_at = max((fault.at_s for fault in script.fault_timeline()), default=0.0)
        self.score = Scorer(script.members, last_fault_at)
        self._make_member: MemberFactory = DetectorMember if make_member is None else make_member
        self._random = random.Random(seed)
        self._network = NetworkModel(script, self._random)
        self._sequence = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._tick_times: dict[int, float] = {}  # time of the next tick, by member
        self._message_count = 0
        self._sent_bytes: dict[int, int] = {}

    # ---- the run ------------------------------------------------------------------------------
    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call; calls at the same time run in the order of scheduling."""
        heapq.heappush(self._events, (when, next(self._sequence), call))

    def run(self) -> Outcome:
        """Run the whole script and return its outcome."""
        for host in self.hosts:
            self._start(host, 0.0)
        for fault in self.script.fault_timeline():
            self.schedule(fault.at_s, lambda fault=fault: self._apply(fault))  # type: ignore[misc]
        self.schedule(OBSERVE_INTERVAL_S, self._observe)
        while self._events and self._events[0][0] <= self.script.duration_s:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self._finish()

    def _start(self, host: Host, clock_offset_s: float) -> None:
        host.starts += 1
        host.paused = False
        seed = self.seed * 7919 + host.number * 31 + host.starts
        host.member = self._make_member(host.number, self.script, seed, self.now, clock_offset_s)
        host.inbox.clear()
        self.score.record_start(host.number, self.now)
        self._schedule_tick(host, self.now)

    def _schedule_tick(self, host: Host, when: float) -> None:
        """Schedule a tick of a member unless an earlier one is scheduled; it replaces a later one."""
        if when < self._tick_times.get(host.number, math.inf):
            self._tick_times[host.number] = when
            self.schedule(when, lambda: self._tick(host, when))

    def _tick(self, host: Host, when: float) -> None:
        if self._tick_times.get(host.number) != when:
            return
        del self._tick_times[host.number]
        if host.member is None or host.paused:
            return
        self._send(host, host.member.tick(self.now))
        self._schedule_tick(host, max(host.member.next_deadline(), self.now + MIN_TICK_INTERVAL_S))

    def _send(self, host: Host, datagrams: list[OutgoingDatagram]) -> None:
        for peer, data in datagrams:
            self._message_count += 1
            payload = self._falsify(host, data) if host.lie else data
            for delay in self._network.delivery_delays(host.number, peer):
                self.schedule(
                    self.now + delay,
                    lambda peer=peer, payload=payload: self._deliver(peer, host.number, payload),  # type: ignore[misc]
                )

    def _deliver(self, peer: int, sender: int, data: bytes) -> None:
        host = self.hosts[peer]
        if host.member is None:
            return
        if host.paused:
            if len(host.inbox) < MAX_INBOX:
                host.inbox.append((sender, data))
            return
        self._send(host, host.member.receive(self.now, sender, data))
        self._schedule_tick(host, max(host.member.next_deadline(), self.now + MIN_TICK_INTERVAL_S))

    def _falsify(self, host: Host, data: bytes) -> bytes:
        assert isinstance(host.member, DetectorMember)
        known_incarnation = host.member.detector.view.incarnations.__getitem__
        dead = {other.number for other in self.hosts if other.member is None}
        return falsify_datagram(
            data, host.lie, host.number, dead, known_incarnation, self._random, len(self.hosts)
        )

    # ---- faults -------------------------------------------------------------------------------
    def _affected(self, fault: Fault) -> list[Host]:
        if fault.target_fraction:
            numbers = self._network.sample_members(
                [host.number for host in self._unpaused()], fault.target_fraction
            )
            return [self.hosts[number] for number in numbers]
        return [self.hosts[number] for number in fault.targets]

    def _apply(self, fault: Fault) -> None:
        hosts = self._affected(fault)
        match fault.action:
            case "cut":
                self._network.partition(fault, [host.number for host in hosts])
            case "heal":
                self._network.blocked_links.clear()
                self.score.record_heal(self.now)
        for host in hosts:
            self._apply_to(host, fault)

    def _apply_to(self, host: Host, fault: Fault) -> None:
        match fault.action:
            case "kill":
                self._end(host)
            case "leave" if host.member is not None:
                self._send(host, host.member.leave(self.now))
                self._end(host)
            case "start" if host.member is None:
                self._start(host, fault.clock_offset_s)
            case "stop":
                host.paused = True
            case "continue" if host.paused:
                self._resume(host)
            case "lie":
                host.lie = fault.lie

    def _resume(self, host: Host) -> None:
        host.paused = False
        self.score.record_start(host.number, self.now)
        self._tick_times.pop(host.number, None)
        self._schedule_tick(host, self.now)
        received = host.inbox
        host.inbox = []
        for sender, data in received:
            self._deliver(host.number, sender, data)

    def _end(self, host: Host) -> None:
        self._count_sent_bytes(host)
        host.member = None
        self.score.record_death(host.number, self.now)

    def _count_sent_bytes(self, host: Host) -> None:
        if host.member is not None:
            before = self._sent_bytes.get(host.number, 0)
            self._sent_bytes[host.number] = before + host.member.sent_bytes

    # ---- the score ----------------------------------------------------------------------------
    def _unpaused(self) -> list[Host]:
        return [host for host in self.hosts if host.member is not None and not host.paused]

    def _scored_hosts(self) -> list[Host]:
        """The running hosts whose views are scored: all that do not send false updates."""
        return [host for host in self._unpaused() if not host.lie]

    def _observe(self) -> None:
        self.schedule(self.now + OBSERVE_INTERVAL_S, self._observe)
        views = {}
        for host in self._scored_hosts():
            assert host.member is not None
            views[host.number] = host.member.failed_members()
        paused = {host.number for host in self.hosts if host.paused}
        live_count = sum(host.member is not None for host in self.hosts)
        self.score.observe(self.now, views, paused, self._network.is_partitioned, live_count)

    def _finish(self) -> Outcome:
        running = {host.number for host in self._scored_hosts()}
        for host in self.hosts:
            self._count_sent_bytes(host)
        rates = {member: sent / self.script.duration_s for member, sent in self._sent_bytes.items()}
        outcome = self.score.finish(self.now, running, rates)
        outcome.messages = self._message_count
        return outcome
