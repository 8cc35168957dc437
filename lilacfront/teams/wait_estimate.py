"""Calibrates estimates of queueing times with the actual waits of earlier requests.

For each team, a quantile sketch holds the ratios of actual to computed waits. The median ratio corrects the
computed wait, and the 5th and 95th percentiles give its lower and upper bound.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from lilacfront.teams.quantile_sketch import QuantileSketch

HALF_LIFE_S = 120.0  # half-life of the weight of a recorded ratio
MIN_SAMPLES = 20.0  # decayed sample count that a sketch needs before its ratios are used
MAX_TEAMS = 10_000  # teams with a sketch of their own; the oldest sketch is evicted
SLACK_S = 0.02  # added to both waits of a ratio; without it, 1 ms instead of 2 ms would count as half
MIN_RECORDED_S = 0.1  # ratios are not recorded if both the computed and the actual wait are shorter
UNCALIBRATED_BOUNDS = (0.5, 2.0)  # lower and upper bound as multiples of the computed wait
CALIBRATION_QUANTILES = (0.05, 0.5, 0.95)  # lower bound, median, upper bound
ACCURATE_FRACTION = 0.25  # an accurate estimate is off by at most this fraction of the wait, or by SLACK_S


@dataclass(slots=True, frozen=True)
class WaitEstimate:
    """An estimated wait.

    Attributes:
        likely: Most likely wait in seconds.
        low: Lower bound in seconds; nine in ten waits lie between the bounds.
        high: Upper bound in seconds.
    """

    likely: float
    low: float
    high: float


class WaitCalibration:
    """Ratios of actual to computed waits, for each team and for all teams together.

    Attributes:
        compared_count: Number of estimates that were compared with the actual wait.
        accurate_count: Number of compared estimates that were accurate.
    """

    def __init__(self, now: float) -> None:
        self._overall = QuantileSketch(HALF_LIFE_S, now)
        self._by_team: OrderedDict[str, QuantileSketch] = OrderedDict()
        self.compared_count = 0
        self.accurate_count = 0

    def calibrate(self, team: str, computed_s: float, now: float) -> WaitEstimate:
        """Returns the calibrated estimate for a computed wait of `computed_s`.

        The ratios of all teams are used if the team's own sketch has too few samples.
        """
        sketch = self._by_team.get(team)
        if sketch is None or sketch.weight(now) < MIN_SAMPLES:
            sketch = self._overall
        if computed_s < MIN_RECORDED_S or sketch.weight(now) < MIN_SAMPLES:
            low_factor, high_factor = UNCALIBRATED_BOUNDS
            return WaitEstimate(computed_s, low_factor * computed_s, high_factor * computed_s)
        low, median, high = (
            max(0.0, (computed_s + SLACK_S) * ratio - SLACK_S)
            for ratio in sketch.quantiles(CALIBRATION_QUANTILES)
        )
        return WaitEstimate(median, low, high)

    def record(
        self, team: str, computed_s: float, estimate: WaitEstimate, actual_s: float, now: float
    ) -> None:
        """Record the actual wait of a request with its computed and its estimated wait."""
        self.compared_count += 1
        self.accurate_count += abs(estimate.likely - actual_s) <= max(SLACK_S, ACCURATE_FRACTION * actual_s)
        if max(computed_s, actual_s) < MIN_RECORDED_S:
            return  # most requests barely wait and would outweigh the few that do
        ratio = (actual_s + SLACK_S) / (computed_s + SLACK_S)
        sketch = self._by_team.get(team)
        if sketch is None:
            sketch = QuantileSketch(HALF_LIFE_S, now)
            self._by_team[team] = sketch
            if len(self._by_team) > MAX_TEAMS:
                self._by_team.popitem(last=False)
        sketch.add(ratio, now)
        self._overall.add(ratio, now)
