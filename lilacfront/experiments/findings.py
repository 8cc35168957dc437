"""The results of a simulated experiment."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from lilacfront.teams.wait_estimate import ACCURATE_FRACTION, SLACK_S, WaitEstimate


@dataclass(slots=True)
class MinuteFigures:
    """The figures of one team in one minute.

    An admitted request counts in the minute of its admission, any other in the minute of its arrival.

    Attributes:
        thread_seconds: The actual thread-seconds of the requests admitted in this minute.
        served: The number of requests that were answered.
        rejected: The number of requests that were rejected or failed.
    """

    thread_seconds: float = 0.0
    served: int = 0
    rejected: int = 0


@dataclass(slots=True, frozen=True)
class ObservedWait:
    """The wait of an admitted request in its team's queue: estimated on arrival, and actual."""

    arrived_at: float
    team: str
    estimate: WaitEstimate
    actual_s: float

    @property
    def is_accurate(self) -> bool:
        """Whether the estimate is within 25% of the actual wait, or within 20 ms."""
        return abs(self.estimate.likely - self.actual_s) <= max(SLACK_S, ACCURATE_FRACTION * self.actual_s)

    @property
    def is_within_bounds(self) -> bool:
        """Whether the actual wait is within the estimated bounds, with a tolerance of 20 ms."""
        return self.estimate.low - SLACK_S <= self.actual_s <= self.estimate.high + SLACK_S


@dataclass(slots=True, frozen=True)
class EstimateAccuracy:
    """The fractions of estimates that were accurate and within bounds, and the number of estimates."""

    accurate_fraction: float
    within_bounds_fraction: float
    count: int


@dataclass(slots=True)
class Findings:
    """All figures of one run.

    Attributes:
        minutes: The figures by team and minute.
        latency: Latencies in seconds from arrival to answer, by team and class.
        waits: The queue waits of all admitted requests.
        outcomes: The number of requests by outcome.
        sent: The number of all requests.
    """

    minutes: dict[str, dict[int, MinuteFigures]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(MinuteFigures))
    )
    latency: dict[tuple[str, str], list[float]] = field(default_factory=lambda: defaultdict(list))
    waits: list[ObservedWait] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    sent: int = 0

    def accuracy(self, team: str = "", min_wait_s: float = 0.0) -> EstimateAccuracy:
        """Returns the accuracy of the estimates for waits of at least `min_wait_s`.

        Args:
            team: The team; empty for all teams.
            min_wait_s: Shorter actual waits are ignored.
        """
        waits = [wait for wait in self.waits if team in ("", wait.team) and wait.actual_s >= min_wait_s]
        divisor = max(1, len(waits))
        return EstimateAccuracy(
            accurate_fraction=sum(wait.is_accurate for wait in waits) / divisor,
            within_bounds_fraction=sum(wait.is_within_bounds for wait in waits) / divisor,
            count=len(waits),
        )
