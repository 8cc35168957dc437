"""The phases of a load plan; each describes the arrival rate over its duration.

Every shape except a replayed trace is converted to a `RateProfile`, a piecewise linear rate from which
`schedule.py` derives the arrivals. `field(name=...)` maps settings whose name differs from the attribute.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta, field

from lilacfront.errors import SettingsError

MAX_RATE_PER_S = 1_000_000.0
MAX_PHASE_S = 7 * 86400.0
HOURS_PER_DAY = 24
MINUTES_PER_HOUR = 60
TIME_OF_DAY = re.compile(r"([01]?\d|2[0-4]):([0-5]\d)\Z")

PositiveFloat = Annotated[float, Meta(gt=0)]
RatePerSecond = Annotated[float, Meta(ge=0, le=MAX_RATE_PER_S)]
PhaseSeconds = Annotated[float, Meta(gt=0, le=MAX_PHASE_S)]


class PlanError(SettingsError):
    """An invalid load plan; the message begins with the key of the invalid setting."""


class RatePoint(NamedTuple):
    """The rate reaches `rate` (requests per second) `at_s` seconds after the start of the phase."""

    at_s: float
    rate: float


# Points ordered by time. The rate is linear between two points; two points at the same time are a step.
RateProfile = tuple[RatePoint, ...]


class _Phase(msgspec.Struct, forbid_unknown_fields=True, tag_field="shape", kw_only=True):
    arrivals: Literal["poisson", "even"] | None = None  # None: as in the plan


class ConstantPhase(_Phase, tag="constant"):
    """A constant rate."""

    rate: RatePerSecond
    seconds: PhaseSeconds

    def profile(self) -> RateProfile:
        """Returns the rate over the duration of the phase."""
        return RatePoint(0, self.rate), RatePoint(self.seconds, self.rate)


class StepPhase(_Phase, tag="step"):
    """`steps` constant rates of equal duration, evenly spaced from `rate` to `final_rate`."""

    rate: RatePerSecond
    final_rate: RatePerSecond = field(name="to")
    seconds: PhaseSeconds
    steps: Annotated[int, Meta(ge=2, le=1000)] = 5

    def profile(self) -> RateProfile:
        """Returns the rate over the duration of the phase."""
        step_s = self.seconds / self.steps
        rates = [self.rate + (self.final_rate - self.rate) * n / (self.steps - 1) for n in range(self.steps)]
        return tuple(RatePoint(edge * step_s, rate) for n, rate in enumerate(rates) for edge in (n, n + 1))


class RampPhase(_Phase, tag="ramp"):
    """A linear change from `rate` to `final_rate`."""

    rate: RatePerSecond
    final_rate: RatePerSecond = field(name="to")
    seconds: PhaseSeconds

    def profile(self) -> RateProfile:
        """Returns the rate over the duration of the phase."""
        return RatePoint(0, self.rate), RatePoint(self.seconds, self.final_rate)


class BurstPhase(_Phase, tag="burst"):
    """Bursts at `burst_rate` in the first `burst_s` seconds of each `period_s`; `rate` otherwise."""

    rate: RatePerSecond
    burst_rate: RatePerSecond
    burst_s: PositiveFloat = field(name="length")
    period_s: PositiveFloat = field(name="period")
    seconds: PhaseSeconds

    def profile(self) -> RateProfile:
        """Returns the rate over the duration of the phase."""
        points: list[RatePoint] = []
        period_start = 0.0
        periods = 0
        while period_start < self.seconds:
            burst_end = min(period_start + self.burst_s, self.seconds)
            periods += 1
            period_end = min(periods * self.period_s, self.seconds)
            points += [RatePoint(period_start, self.burst_rate), RatePoint(burst_end, self.burst_rate)]
            points += [RatePoint(burst_end, self.rate), RatePoint(period_end, self.rate)]
            period_start = period_end
        return tuple(points)


class DailyPhase(_Phase, tag="daily"):
    """A daily rate curve, given as `points` of (time of day, rate) and compressed into `seconds`.

    The curve is periodic: the rate at midnight is interpolated between the last and the first point.
    """

    points: Annotated[list[tuple[str, RatePerSecond]], Meta(min_length=1, max_length=1440)]
    seconds: PhaseSeconds

    def hourly_rates(self) -> list[tuple[float, float]]:
        """Returns the points as (hour of the day, rate).

        Raises:
            PlanError: A point has no valid time of day, or is not later than the previous point.
        """
        rates: list[tuple[float, float]] = []
        for n, (text, rate) in enumerate(self.points):
            hour = _hour_of_day(text, f"points[{n}]")
            if rates and hour <= rates[-1][0]:
                raise PlanError(f"points[{n}]", f"{text!r} is not later than the previous point")
            rates.append((hour, rate))
        return rates

    def profile(self) -> RateProfile:
        """Returns the rate over the duration of the phase."""
        rates = self.hourly_rates()
        first_hour, first_rate = rates[0]
        last_hour, last_rate = rates[-1]
        gap_hours = first_hour + HOURS_PER_DAY - last_hour
        if gap_hours > 0:
            midnight_rate = last_rate + (first_rate - last_rate) * (HOURS_PER_DAY - last_hour) / gap_hours
            inner_points = [point for point in rates if 0 < point[0] < HOURS_PER_DAY]
            rates = [(0.0, midnight_rate), *inner_points, (float(HOURS_PER_DAY), midnight_rate)]
        return tuple(RatePoint(hour / HOURS_PER_DAY * self.seconds, rate) for hour, rate in rates)


class TracePhase(_Phase, tag="trace"):
    """A recorded trace, replayed with its times divided by `speed`, for at most `seconds`."""

    file: str  # relative to the directory of the plan
    speed: PositiveFloat = 1.0
    seconds: PhaseSeconds | None = None
    class_name: str = field(default="", name="class")  # for requests that have no class in the trace


Phase = ConstantPhase | StepPhase | RampPhase | BurstPhase | DailyPhase | TracePhase


def _hour_of_day(text: str, key: str) -> float:
    match = TIME_OF_DAY.match(text)
    hour = int(match[1]) + int(match[2]) / MINUTES_PER_HOUR if match is not None else None
    if hour is None or hour > HOURS_PER_DAY:
        raise PlanError(key, f"{text!r} is not a time of day such as '09:30'")
    return hour
