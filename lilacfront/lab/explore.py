"""Exhaustive exploration of all schedules of two faults among three members, with the invariants checked.

There are two families of schedules. The first has all pairs of faults at all pairs of times, after which
partitions heal, paused members resume and the views have time to converge. The second has each single fault
with all pairs of lost datagrams among the first `LOSS_CANDIDATES` sent from the fault on. The network has a
constant delay and no other faults, so a schedule determines its run. The invariants are:

    incarnations   no view lowers an incarnation
    accuracy       at the end, no view shows a live member as dead
    completeness   at the end, every live member has detected every dead one, if two or more members live
    agreement      at the end, the views of all live members show the same members as dead
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import combinations, combinations_with_replacement

import msgspec

from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.lab.injected_defects import DEFECTS, DefectInjector, inject_nothing
from lilacfront.lab.members import DetectorMember, Host, TierSimulation
from lilacfront.lab.network_model import NetworkModel

MEMBERS = 3
FAULT_TIMES_S = (1.0, 1.7, 2.4, 3.1)  # before, during and after a probe failure, and during a suspicion
RESTART_DELAY_S = 0.01
HEAL_AT_S = 5.0
DURATION_S = 17.0
NETWORK_DELAY_S = 0.005
LOSS_START_S = 1.2  # time of the fault in the second family
LOSS_CANDIDATES = 26  # number of datagrams from that time on of which two are lost
SEED = 1


@dataclass(slots=True, frozen=True)
class FaultSchedule:
    """The faults of one run of the exploration.

    Attributes:
        faults: The faults, ordered by time.
        lost_datagrams: Numbers of the lost datagrams, counted from 0 at `LOSS_START_S`.
    """

    faults: tuple[Fault, ...]
    lost_datagrams: tuple[int, ...] = ()

    def __str__(self) -> str:
        text = "; ".join(msgspec.json.encode(fault).decode() for fault in self.faults)
        return f"{text}; lost datagrams {self.lost_datagrams}" if self.lost_datagrams else text


@dataclass(slots=True, frozen=True)
class Violation:
    """A schedule and the invariant that it violates, as printable text."""

    schedule: str
    problem: str


def single_faults(at_s: float, targets: Iterable[int]) -> Iterator[tuple[Fault, ...]]:
    """Generate all faults of a single member among `targets` at a time; a restart counts as one fault."""
    for target in targets:
        yield (Fault(at_s=at_s, action="kill", targets=[target]),)
        yield (
            Fault(at_s=at_s, action="kill", targets=[target]),
            Fault(at_s=at_s + RESTART_DELAY_S, action="start", targets=[target]),
        )
        yield (Fault(at_s=at_s, action="stop", targets=[target]),)
        yield (Fault(at_s=at_s, action="leave", targets=[target]),)
        yield (Fault(at_s=at_s, action="cut", targets=[target]),)
        for other in range(MEMBERS):
            if other != target:
                yield (
                    Fault(
                        at_s=at_s, action="cut", targets=[target], destinations=[other], bidirectional=False
                    ),
                )


def all_schedules() -> Iterator[FaultSchedule]:
    """Generate both families. The first fault affects member 0 alone, as the members are interchangeable."""
    for first_at_s, second_at_s in combinations_with_replacement(FAULT_TIMES_S, 2):
        for first in single_faults(first_at_s, [0]):
            for second in single_faults(second_at_s, range(MEMBERS)):
                yield FaultSchedule((*first, *second))
    for first in single_faults(LOSS_START_S, [0]):
        for lost_datagrams in combinations(range(LOSS_CANDIDATES), 2):
            yield FaultSchedule(first, lost_datagrams)


class LossyNetwork(NetworkModel):
    """Drops the datagrams with the given numbers, counted from 0 at `LOSS_START_S`."""

    def __init__(
        self, script: FaultScript, rng: random.Random, lost: Iterable[int], now: Callable[[], float]
    ) -> None:
        super().__init__(script, rng)
        self._lost = set(lost)
        self._now = now
        self._next_number = 0

    def delivery_delays(self, sender: int, receiver: int) -> list[float]:
        """The delay in seconds of each delivery of a datagram; empty if it is lost."""
        delays = super().delivery_delays(sender, receiver)
        if self._now() < LOSS_START_S:
            return delays
        number = self._next_number
        self._next_number += 1
        return [] if number in self._lost else delays


class ScheduleSimulation(TierSimulation):
    """Runs one schedule.

    Attributes:
        violation: Description of the first violation of an invariant; empty if there was none.
    """

    def __init__(self, schedule: FaultSchedule, inject_defect: DefectInjector = inject_nothing) -> None:
        def make_member(
            number: int, script: FaultScript, seed: int, now: float, clock_offset_s: float
        ) -> DetectorMember:
            member = DetectorMember(number, script, seed, now, clock_offset_s)
            inject_defect(member.detector)
            return member

        script = _to_script(schedule)
        super().__init__(script, SEED, make_member)
        self._network = LossyNetwork(script, self._random, schedule.lost_datagrams, lambda: self.now)
        self._incarnations: dict[tuple[int, int], list[int]] = {}
        self.violation = ""

    def find_violation(self) -> str:
        """Run the schedule and return a description of the first violation; empty if there is none."""
        self.run()
        if not self.violation:
            self.violation = self._final_violation()
        return self.violation

    def _observe(self) -> None:
        super()._observe()
        for host in self._scored_hosts():
            self._check_incarnations(host)

    def _check_incarnations(self, host: Host) -> None:
        assert isinstance(host.member, DetectorMember)
        current = list(host.member.view.incarnations)
        previous = self._incarnations.get((host.number, host.starts), current)
        if any(new < old for new, old in zip(current, previous, strict=True)):
            problem = f"view of member {host.number} went from {previous} to {current}"
            self.violation = self.violation or f"incarnations: {problem}"
        self._incarnations[host.number, host.starts] = current

    def _final_violation(self) -> str:
        dead = {host.number for host in self.hosts if host.member is None}
        views = {}
        for host in self._scored_hosts():
            assert isinstance(host.member, DetectorMember)
            views[host.number] = host.member.failed_members()
        for viewer, failed in views.items():
            if failed - dead:
                return f"accuracy: member {viewer} considers live members {sorted(failed - dead)} dead"
            if len(views) > 1 and dead - failed:
                return f"completeness: member {viewer} has not detected the death of {sorted(dead - failed)}"
        if len({frozenset(failed) for failed in views.values()}) > 1:
            return f"agreement: members considered dead, by viewer: {views}"
        return ""


def _to_script(schedule: FaultSchedule) -> FaultScript:
    """Convert a schedule to a script that ends with the repair of all partitions and pauses."""
    paused = sorted({fault.targets[0] for fault in schedule.faults if fault.action == "stop"})
    recovery = [
        Fault(at_s=HEAL_AT_S, action="heal"),
        *(Fault(at_s=HEAL_AT_S, action="continue", targets=[member]) for member in paused),
    ]
    return FaultScript(
        members=MEMBERS,
        duration_s=DURATION_S,
        delay_range_s=(NETWORK_DELAY_S, NETWORK_DELAY_S),
        faults=[*schedule.faults, *recovery],
    )


def find_violations(schedules: Iterable[FaultSchedule], defect: str) -> list[Violation]:
    """Run schedules with one of `DEFECTS` injected and return their violations."""
    inject_defect = DEFECTS[defect]
    violations = []
    for schedule in schedules:
        problem = ScheduleSimulation(schedule, inject_defect).find_violation()
        if problem:
            violations.append(Violation(str(schedule), problem))
    return violations
