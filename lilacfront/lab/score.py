"""Scores the members' views of which members are dead against the real states, at each observation."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass, field

# Whether two members are cut off from each other in both directions.
IsPartitioned = Callable[[int, int], bool]


@dataclass(slots=True)
class Outcome:
    """The result of a run; times are seconds.

    Attributes:
        detection_times: Time from a death until a live member detected it, for each death and member.
        undetected: Number of pairs of a death and a live member that never detected it.
        false_positive_times: How long a live member was seen as dead, for each viewer and occurrence.
        longest_false_positive_after_fault: Longest part of a false positive after both members were last
            started, resumed or reconnected.
        live_counts: For each observation, its time, the number of live members, and the minimum and maximum
            number of live members over all views.
        max_bytes_per_s: Send rate of the member that sent the most.
        mean_bytes_per_s: Mean send rate of all members.
        messages: Number of messages sent.
        convergence_time: Time from the last fault until all views became and stayed correct, or NaN.
    """

    detection_times: list[float] = field(default_factory=list)
    undetected: int = 0
    false_positive_times: list[float] = field(default_factory=list)
    longest_false_positive_after_fault: float = 0.0
    live_counts: list[tuple[float, int, int, int]] = field(default_factory=list)
    max_bytes_per_s: float = 0.0
    mean_bytes_per_s: float = 0.0
    messages: int = 0
    convergence_time: float = math.nan


@dataclass(slots=True, frozen=True)
class Detection:
    """The detection of a death by one viewer; times are seconds."""

    died_at: float
    detected_at: float


class Scorer:
    """Computes the outcome of a run from observations; times are seconds.

    Attributes:
        last_fault_at: When the last fault of the script occurs.
        deaths: When each dead member died, by member.
        reachable_since: When each member last started, resumed or was reconnected after a partition.
    """

    def __init__(self, members: int, last_fault_at: float) -> None:
        self.members = members
        self.last_fault_at = last_fault_at
        self.outcome = Outcome()
        self.deaths: dict[int, float] = {}
        self.reachable_since = [0.0] * members
        self._false_positives: dict[int, dict[int, float]] = {}  # viewer -> member -> start time
        self._detections: dict[tuple[int, int], Detection] = {}  # by viewer and member

    def record_death(self, member: int, now: float) -> None:
        """Record that a member died or left."""
        self.deaths[member] = now
        self._false_positives.pop(member, None)

    def record_start(self, member: int, now: float) -> None:
        """Record that a member was started, or resumed after a pause."""
        if member in self.deaths:
            self._count_detections(member, self.deaths.pop(member))
        self.reachable_since[member] = now

    def _count_detections(self, member: int, died_at: float) -> None:
        """Add the detection times of a death, except those of viewers that have died since."""
        for viewer in range(self.members):
            detection = self._detections.get((viewer, member))
            if detection is not None and detection.died_at == died_at and viewer not in self.deaths:
                self.outcome.detection_times.append(detection.detected_at - died_at)

    def record_heal(self, now: float) -> None:
        """Record that all partitions have ended."""
        self.reachable_since = [max(since, now) for since in self.reachable_since]

    def observe(
        self,
        now: float,
        views: Mapping[int, Set[int]],
        stopped: Set[int],
        is_partitioned: IsPartitioned,
        live: int,
    ) -> None:
        """Compare all views with the real states.

        Args:
            now: The time, in seconds.
            views: The members seen as dead by each running member.
            stopped: Members for which no new false positive is counted, such as paused ones.
            is_partitioned: Whether two members are cut off from each other.
            live: Number of members that are not dead.
        """
        # A list and not a generator: each view must be compared, also after one that differs.
        agreements = [
            self._compare(viewer, view, now, stopped, is_partitioned) for viewer, view in views.items()
        ]
        if views:
            counted = [self.members - len(view) for view in views.values()]
            self.outcome.live_counts.append((now, live, min(counted), max(counted)))
        if not all(agreements):
            self.outcome.convergence_time = math.nan
        elif now >= self.last_fault_at and math.isnan(self.outcome.convergence_time):
            self.outcome.convergence_time = now - self.last_fault_at

    def _compare(
        self, viewer: int, view: Set[int], now: float, stopped: Set[int], is_partitioned: IsPartitioned
    ) -> bool:
        """Score one view; returns whether it is correct."""
        agrees = True
        false_positives = self._false_positives.setdefault(viewer, {})
        for member in view | self.deaths.keys() | false_positives.keys():
            if member in self.deaths:
                agrees = agrees and member in view
                if member in view:
                    self._detect(viewer, member, now)
            elif member in view:
                agrees = False
                if member not in stopped and not is_partitioned(viewer, member):
                    false_positives.setdefault(member, now)
            elif member in false_positives:
                self._end_false_positive(viewer, member, now)
        return agrees

    def _detect(self, viewer: int, member: int, now: float) -> None:
        died_at = self.deaths[member]
        detection = self._detections.get((viewer, member))
        if detection is None or detection.died_at != died_at:
            self._detections[viewer, member] = Detection(died_at, now)

    def _end_false_positive(self, viewer: int, member: int, now: float) -> None:
        started_at = self._false_positives[viewer].pop(member)
        self.outcome.false_positive_times.append(now - started_at)
        time_after_fault = now - max(started_at, self.reachable_since[member], self.reachable_since[viewer])
        longest = max(self.outcome.longest_false_positive_after_fault, time_after_fault)
        self.outcome.longest_false_positive_after_fault = longest

    def finish(self, now: float, running: Set[int], rates: Mapping[int, float]) -> Outcome:
        """Finish the run and return its outcome.

        Args:
            now: The time, in seconds.
            running: Members whose views count at the end.
            rates: Send rate of each member, in bytes per second.
        """
        for viewer, false_positives in self._false_positives.items():
            for member in list(false_positives):
                self._end_false_positive(viewer, member, now)
        for member, died_at in self.deaths.items():
            self._count_detections(member, died_at)
            for viewer in running:
                detection = self._detections.get((viewer, member))
                self.outcome.undetected += detection is None or detection.died_at != died_at
        send_rates = list(rates.values()) or [0.0]
        self.outcome.max_bytes_per_s = max(send_rates)
        self.outcome.mean_bytes_per_s = sum(send_rates) / len(send_rates)
        return self.outcome
