"""Runs a fault script on a fleet of real processes and scores the membership views of the front ends."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

from lilacfront.lab.fault_injection import FaultInjector
from lilacfront.lab.fault_script import Fault
from lilacfront.lab.fleet import DEAD_STATES, Fleet, View
from lilacfront.lab.request_client import RequestClient
from lilacfront.lab.score import Outcome, Scorer
from lilacfront.lab.test_bed import WAIT_TIMEOUT_S

OBSERVE_INTERVAL_S = 0.25


@dataclass(slots=True, frozen=True)
class ViewSample:
    """The views of all members at one time.

    Attributes:
        at_s: Seconds since the start of the run.
        views: The view of each member that answered, by member.
        truth: The real state of each dead or stopped member; all others are alive.
    """

    at_s: float
    views: dict[int, View]
    truth: dict[int, str]


@dataclass(slots=True)
class FleetResult:
    """The results of a run.

    Attributes:
        outcome: The score of the views.
        samples: The views over time.
        request_endings: Number of requests by result.
    """

    outcome: Outcome
    samples: list[ViewSample]
    request_endings: Counter[str] = field(default_factory=Counter)


class FleetRun:
    """A run of a fleet's fault script."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._script = fleet.script
        self._injector = FaultInjector(fleet)
        self._faults = fleet.script.fault_timeline()
        last_fault_at = max((fault.at_s for fault in self._faults), default=0.0)
        self._scorer = Scorer(self._script.members, last_fault_at)
        self._samples: list[ViewSample] = []
        self._started_at = 0.0

    def play(self) -> FleetResult:
        """Run the script in real time."""
        clients = self._start_clients()
        try:
            self._fleet.save_recovery_directories()
            bytes_before = Counter(self._fleet.relays.sent_bytes)
            self._started_at = time.monotonic()
            self._inject_and_observe()
            outcome = self._finish(bytes_before)
        finally:
            for client in clients:
                client.stop()
        result = FleetResult(outcome, self._samples)
        for client in clients:
            client.join(WAIT_TIMEOUT_S)
            result.request_endings += client.endings
        return result

    def _start_clients(self) -> list[RequestClient]:
        rate = self._script.requests_per_s
        if rate <= 0:
            return []
        clients = [RequestClient(n, bed.address, rate) for n, bed in enumerate(self._fleet.test_beds)]
        for client in clients:
            client.start()
        return clients

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at

    def _inject_and_observe(self) -> None:
        turn = 0
        while (now := self._elapsed_s()) < self._script.duration_s:
            while self._faults and self._faults[0].at_s <= now:
                self._inject(self._faults.pop(0))
            self._observe()
            turn += 1
            next_at = min([OBSERVE_INTERVAL_S * turn, *(fault.at_s for fault in self._faults[:1])])
            time.sleep(max(0.0, next_at - self._elapsed_s()))

    def _inject(self, fault: Fault) -> None:
        now = self._elapsed_s()
        targets = self._injector.inject(fault)
        if fault.action == "heal":
            self._scorer.record_heal(now)
        for member in targets:
            # Deaths in a blackout are not scored, as no member is left to detect them.
            if fault.action in ("kill", "leave"):
                self._scorer.record_death(member, now)
            elif fault.action == "continue":
                self._scorer.record_start(member, now)

    def _observe(self) -> None:
        fleet = self._fleet
        views = {member: view for member in fleet.viewers() if (view := fleet.view(member)) is not None}
        now = self._elapsed_s()
        for member in fleet.starting & set(views):
            self._scorer.record_start(member, now)
            fleet.starting.discard(member)
        failed = {
            viewer: {member for member, state in enumerate(view) if state in DEAD_STATES}
            for viewer, view in views.items()
        }
        unscored = fleet.paused | fleet.starting | set(self._script.legacy_members)
        live = self._script.members - len(fleet.ended)
        self._scorer.observe(now, failed, unscored, fleet.relays.network.is_partitioned, live)
        truth = dict.fromkeys(fleet.ended, "dead") | dict.fromkeys(fleet.paused, "stopped")
        self._samples.append(ViewSample(now, views, truth))

    def _finish(self, bytes_before: Counter[int]) -> Outcome:
        fleet = self._fleet
        seconds = self._elapsed_s()
        rates = {
            member: (fleet.relays.sent_bytes[member] - bytes_before[member]) / seconds
            for member in set(range(self._script.members)) - fleet.ended
        }
        return self._scorer.finish(seconds, set(fleet.viewers()), rates)
