"""The arrival schedule of a plan: when each request is due, and what it is.

Arrivals are open-loop. They are drawn by time change (Lewis and Shedler, 1979): points of a unit-rate process
are carried through the inverse of the phase's cumulative rate. `even` takes the points k + 1/2, `poisson`
sums of exponentials. One seed gives one schedule for any number of workers: every phase has random generators
of its own (numpy's SeedSequence), draws are made in blocks of a fixed size, and each worker makes all of them
and keeps every n-th request.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import numpy as np
from numpy.typing import NDArray

from lilacfront.core.statement import is_read
from lilacfront.load.phases import Phase, RateProfile, TracePhase
from lilacfront.load.plan import GROUP_PLACEHOLDER, PLACEHOLDER, IntegerRange, MixEntry, Plan, ZipfGroups
from lilacfront.load.trace import RecordedRequest, read_trace

BLOCK_REQUESTS = 2048  # requests drawn at once; changing it changes the schedule of every seed
Floats = NDArray[np.float64]


@dataclass(slots=True, frozen=True)
class RequestProfile:
    """What all requests of one mix entry, or of one class and user of a trace, have in common."""

    class_name: str
    user: str
    timeout_s: float
    idempotent: bool
    expected_result: bytes | None = None
    password_env: str = ""


@dataclass(slots=True)
class ScheduledRequest:
    """One request of the schedule.

    Attributes:
        number: Its place in the whole plan, from 0.
        due_s: When it is to be sent, in seconds after the start of the run.
        profile: What it shares with others of its type.
        statement: The statement with all placeholders replaced.
    """

    number: int
    due_s: float
    profile: RequestProfile
    statement: bytes


class CumulativeRate:
    """The integral of a piecewise linear rate, and its inverse."""

    def __init__(self, rate: RateProfile) -> None:
        self._times = np.array([point.at_s for point in rate], dtype=np.float64)
        self._rates = np.array([point.rate for point in rate], dtype=np.float64)
        areas = np.diff(self._times) * (self._rates[1:] + self._rates[:-1]) / 2
        self._sums = np.concatenate(([0.0], np.cumsum(areas)))

    @property
    def total(self) -> float:
        """The number of requests expected in the whole phase."""
        return float(self._sums[-1])

    def inverse(self, points: Floats) -> Floats:
        """Returns the times at which the integral reaches `points`, all of them below `total`."""
        segment = np.clip(np.searchsorted(self._sums, points, side="right") - 1, 0, len(self._times) - 2)
        area = points - self._sums[segment]
        rate = self._rates[segment]
        span = self._times[segment + 1] - self._times[segment]
        slope = np.divide(self._rates[segment + 1] - rate, span, out=np.zeros_like(span), where=span > 0)
        # Solves rate*x + slope*x²/2 = area, in the form without cancellation where the slope is small.
        root = np.sqrt(np.maximum(rate * rate + 2 * slope * area, 0.0))
        offset = np.divide(2 * area, rate + root, out=np.zeros_like(area), where=rate + root > 0)
        times: Floats = self._times[segment] + np.minimum(offset, span)
        return times


class RequestMix:
    """Draws requests from the mix entries of a plan."""

    def __init__(self, plan: Plan) -> None:
        self._entries = plan.mix
        weights = np.array([entry.weight for entry in plan.mix], dtype=np.float64)
        self._probabilities = weights / weights.sum()
        self._profiles = [request_profile(entry, plan.client.timeout_s) for entry in plan.mix]
        self._zipf_distributions = [
            _zipf_distribution(entry.groups) if isinstance(entry.groups, ZipfGroups) else None
            for entry in plan.mix
        ]

    def draw(self, size: int, rng: np.random.Generator) -> list[tuple[RequestProfile, bytes]]:
        """Draws `size` requests, each as its profile and its statement."""
        picked = rng.choice(len(self._entries), size=size, p=self._probabilities)
        drawn: list[tuple[RequestProfile, bytes]] = [(self._profiles[0], b"")] * size
        for n, entry in enumerate(self._entries):
            places = np.flatnonzero(picked == n)
            statements = self._statements(n, entry, len(places), rng)
            for place, statement in zip(places, statements, strict=True):
                drawn[place] = (self._profiles[n], statement)
        return drawn

    def _statements(self, n: int, entry: MixEntry, size: int, rng: np.random.Generator) -> list[bytes]:
        columns: dict[str, list[str]] = {}
        if GROUP_PLACEHOLDER in PLACEHOLDER.findall(entry.statement):
            columns[GROUP_PLACEHOLDER] = self._groups(n, entry, size, rng)
        for name, values in sorted(entry.parameters.items()):
            if isinstance(values, IntegerRange):
                numbers = rng.integers(values.low, values.high + 1, size=size)
                columns[name] = [str(number) for number in numbers]
            else:
                columns[name] = [values[index] for index in rng.integers(len(values), size=size)]
        if not columns:
            return [entry.statement.encode()] * size
        parts = PLACEHOLDER.split(entry.statement)  # text, name, text, name, ... text
        statements = []
        for row in range(size):
            filled = [columns[part][row] if index % 2 else part for index, part in enumerate(parts)]
            statements.append("".join(filled).encode())
        return statements

    def _groups(self, n: int, entry: MixEntry, size: int, rng: np.random.Generator) -> list[str]:
        distribution = self._zipf_distributions[n]
        if distribution is not None:
            groups = 1 + np.searchsorted(distribution, rng.random(size), side="right")
        else:
            assert isinstance(entry.groups, list)
            groups = np.array(entry.groups)[rng.integers(len(entry.groups), size=size)]
        return [str(group) for group in groups]


def request_profile(entry: MixEntry, default_timeout_s: float) -> RequestProfile:
    """Returns what all requests of a mix entry have in common."""
    return RequestProfile(
        class_name=entry.class_name,
        user=entry.user,
        timeout_s=entry.timeout_s or default_timeout_s,
        idempotent=entry.is_idempotent,
        expected_result=entry.expected_result.encode() if entry.expected_result is not None else None,
        password_env=entry.password_env,
    )


def arrival_times(rate: RateProfile, even: bool, rng: np.random.Generator) -> Iterator[Floats]:
    """Yields the arrival times of a phase in blocks, in seconds from the start of the phase."""
    cumulative = CumulativeRate(rate)
    reached = 0.0
    while reached < cumulative.total:
        if even:
            points = reached + np.arange(BLOCK_REQUESTS, dtype=np.float64) + 0.5
            reached += BLOCK_REQUESTS
        else:
            points = reached + np.cumsum(rng.exponential(size=BLOCK_REQUESTS))
            reached = float(points[-1])
        yield cumulative.inverse(points[points < cumulative.total])


def schedule(
    plan: Plan, folder: Path = Path("."), rank: int = 0, workers: int = 1
) -> Iterator[ScheduledRequest]:
    """Yields the requests of worker `rank` of `workers` by due time.

    Holds one block in memory, however long the plan is.

    Raises:
        TraceError: A trace that the plan replays can't be used.
    """
    return _Scheduler(plan, folder, rank, workers).requests()


def planned_duration_s(plan: Plan, folder: Path = Path(".")) -> float:
    """Returns the duration of all phases; a trace without `seconds` is read for it."""
    total = 0.0
    for phase in plan.phases:
        if phase.seconds is not None:
            total += phase.seconds
        elif isinstance(phase, TracePhase):
            last_s = 0.0
            for request in read_trace(folder / phase.file):
                last_s = request.at_s
            total += last_s / phase.speed
    return total


class _Scheduler:
    """Walks the phases of a plan; `_phase_start` and `_number` advance over all of them."""

    def __init__(self, plan: Plan, folder: Path, rank: int, workers: int) -> None:
        self._plan = plan
        self._folder = folder
        self._rank = rank
        self._workers = workers
        self._mix = RequestMix(plan) if any(entry.weight for entry in plan.mix) else None
        self._phase_start = 0.0
        self._number = 0

    def requests(self) -> Iterator[ScheduledRequest]:
        for place, phase in enumerate(self._plan.phases):
            if isinstance(phase, TracePhase):
                yield from self._replay(phase)
            else:
                yield from self._draw(place, phase)

    def _replay(self, phase: TracePhase) -> Iterator[ScheduledRequest]:
        limit_s = phase.seconds or math.inf
        last_s = 0.0
        profiles: dict[tuple[str, str, bool], RequestProfile] = {}
        for recorded in read_trace(self._folder / phase.file):
            at_s = recorded.at_s / phase.speed
            if at_s >= limit_s:
                break
            if self._number % self._workers == self._rank:
                statement = recorded.statement.encode()
                profile = self._recorded_profile(recorded, phase, is_read(statement), profiles)
                yield ScheduledRequest(self._number, self._phase_start + at_s, profile, statement)
            self._number += 1
            last_s = at_s
        self._phase_start += phase.seconds or last_s

    def _recorded_profile(
        self,
        recorded: RecordedRequest,
        phase: TracePhase,
        idempotent: bool,
        profiles: dict[tuple[str, str, bool], RequestProfile],
    ) -> RequestProfile:
        key = (recorded.class_name or phase.class_name, recorded.user, idempotent)
        profile = profiles.get(key)
        if profile is None:
            if len(profiles) > BLOCK_REQUESTS:
                profiles.clear()  # bounds the memory for a trace with ever new users
            profile = RequestProfile(key[0], key[1], self._plan.client.timeout_s, idempotent)
            profiles[key] = profile
        return profile

    def _draw(self, place: int, phase: Phase) -> Iterator[ScheduledRequest]:
        assert self._mix is not None
        assert not isinstance(phase, TracePhase)
        seeds = np.random.SeedSequence([self._plan.seed, place]).spawn(2)
        arrival_rng, mix_rng = (np.random.default_rng(seed) for seed in seeds)
        even = (phase.arrivals or self._plan.arrivals) == "even"
        for times in arrival_times(phase.profile(), even, arrival_rng):
            # Always whole blocks, so that the number of arrivals does not shift later draws.
            drawn = self._mix.draw(BLOCK_REQUESTS, mix_rng)
            first = (self._rank - self._number) % self._workers
            for n in range(first, len(times), self._workers):
                profile, statement = drawn[n]
                due_s = self._phase_start + float(times[n])
                yield ScheduledRequest(self._number + n, due_s, profile, statement)
            self._number += len(times)
        self._phase_start += phase.seconds


def _zipf_distribution(groups: ZipfGroups) -> Floats:
    weights = np.arange(1, groups.count + 1, dtype=np.float64) ** -groups.exponent
    cumulative: Floats = np.cumsum(weights / weights.sum())
    cumulative[-1] = 1.0
    return cumulative
