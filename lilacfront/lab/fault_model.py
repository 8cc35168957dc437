"""Behaviour of a stand-in server: the action and delay of each request, drawn with a seed."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from enum import Enum
from typing import Annotated, Literal

import msgspec
import numpy as np
from msgspec import Meta

from lilacfront.errors import SettingsError

RANDOM_BLOCK_SIZE = 1024  # random numbers drawn at once
FRACTION_TOLERANCE = 1e-9
MS_PER_S = 1000
Ms = Annotated[float, Meta(ge=0, le=3_600_000)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class BehaviourError(SettingsError):
    """A behaviour file is invalid."""


class ResponseAction(Enum):
    """What the server does with a request; the values are written to the server's request record."""

    SERVE = "serve"
    REJECT = "refuse"  # at once, marked as never run, with a Retry-After time
    ERROR = "error"  # after the delay, an error
    RESET = "reset"  # after the delay, the connection is reset
    TRUNCATE = "cut"  # after the delay, half an answer, then the connection is closed
    NO_RESPONSE = "silent"


class Fixed(msgspec.Struct, tag="fixed", tag_field="shape", forbid_unknown_fields=True):
    """The same delay for each request, in milliseconds."""

    ms: Ms

    def sample_ms(self, random: np.random.Generator, at: float) -> float:  # noqa: ARG002 - all delays' signature
        """The delay, in milliseconds."""
        return self.ms


class Uniform(msgspec.Struct, tag="uniform", tag_field="shape", forbid_unknown_fields=True):
    """Uniformly distributed delays."""

    low_ms: Ms
    high_ms: Ms

    def sample_ms(self, random: np.random.Generator, at: float) -> float:  # noqa: ARG002 - all delays' signature
        """Draw a delay, in milliseconds."""
        return float(random.uniform(self.low_ms, self.high_ms))


class LogNormal(msgspec.Struct, tag="lognormal", tag_field="shape", forbid_unknown_fields=True):
    """Log-normally distributed delays.

    Attributes:
        median_ms: The median.
        sigma: Standard deviation of the delay's natural logarithm.
        max_ms: Upper limit of the delay.
    """

    median_ms: Annotated[float, Meta(gt=0, le=3_600_000)]
    sigma: Annotated[float, Meta(ge=0, le=5)]
    max_ms: Ms = msgspec.field(default=60_000.0, name="most_ms")

    def sample_ms(self, random: np.random.Generator, at: float) -> float:  # noqa: ARG002 - all delays' signature
        """Draw a delay, in milliseconds."""
        return min(self.max_ms, self.median_ms * float(np.exp(self.sigma * random.standard_normal())))


class Scheduled(msgspec.Struct, tag="schedule", tag_field="shape", forbid_unknown_fields=True):
    """Delays that change over time.

    Attributes:
        points: Pairs of a time in seconds after the start and the delay in milliseconds that applies until
            the next point, ordered by time. The first delay also applies before its time.
    """

    points: Annotated[list[tuple[float, Ms]], Meta(min_length=1, max_length=10_000)]

    def sample_ms(self, random: np.random.Generator, at: float) -> float:  # noqa: ARG002 - all delays' signature
        """The delay at a time in seconds after the start, in milliseconds."""
        index = bisect.bisect_right(self.points, (at, float("inf"))) - 1
        return self.points[max(0, index)][1]


Delay = Fixed | Uniform | LogNormal | Scheduled


class Stall(msgspec.Struct, forbid_unknown_fields=True):
    """A period in which the server reads, starts and answers nothing; times are seconds after the start."""

    at_s: Annotated[float, Meta(ge=0)]
    duration_s: Annotated[float, Meta(gt=0, le=3600)] = msgspec.field(name="seconds")

    @property
    def end_s(self) -> float:
        """The end of the stall."""
        return self.at_s + self.duration_s


class FaultFractions(msgspec.Struct, forbid_unknown_fields=True):
    """Fractions of the requests that are not served. `ActionSequence` relies on the field order."""

    reject: Fraction = msgspec.field(default=0.0, name="refuse")
    error: Fraction = 0.0
    reset: Fraction = 0.0
    truncate: Fraction = msgspec.field(default=0.0, name="cut")
    no_response: Fraction = msgspec.field(default=0.0, name="silent")


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How a stand-in server behaves.

    Attributes:
        protocol: ClickHouse's HTTP interface, or the platform's Thrift protocol.
        seed: Seed of actions and delays.
        delay: Distribution of the delay of a request.
        stalls: Periods without any activity, ordered by time and not overlapping.
        fault_fractions: Fractions of the requests that are not served, by action.
        retry_after_s: The Retry-After time of rejected requests.
        result: The result of a request that is served.
    """

    protocol: Literal["clickhouse", "platform"] = "clickhouse"
    seed: Annotated[int, Meta(ge=0)] = 0
    delay: Delay = msgspec.field(default_factory=lambda: Fixed(0.0))
    stalls: list[Stall] = []
    fault_fractions: FaultFractions = msgspec.field(default_factory=FaultFractions, name="shares")
    retry_after_s: Annotated[int, Meta(ge=0, le=86_400)] = 1
    result: str = "1\tone\ttrue\n"


def parse_behaviour(text: bytes) -> Behaviour:
    """Decode and check a behaviour in TOML.

    Raises:
        BehaviourError: The text is not a valid behaviour.
    """
    try:
        behaviour = msgspec.toml.decode(text, type=Behaviour)
    except (msgspec.MsgspecError, ValueError) as error:
        raise BehaviourError("", error) from None
    _check_behaviour(behaviour)
    return behaviour


def _check_behaviour(behaviour: Behaviour) -> None:
    if sum(msgspec.structs.astuple(behaviour.fault_fractions)) > 1 + FRACTION_TOLERANCE:
        raise BehaviourError("shares", "the fractions add up to more than 1")
    end_s = 0.0
    for index, stall in enumerate(behaviour.stalls):
        if stall.at_s < end_s:
            problem = f"{stall.at_s} is before the end of the previous stall at {end_s}"
            raise BehaviourError(f"stalls[{index}].at_s", problem)
        end_s = stall.end_s
    delay = behaviour.delay
    if isinstance(delay, Scheduled) and delay.points != sorted(delay.points):
        raise BehaviourError("delay.points", "the points are not ordered by time")
    if isinstance(delay, Uniform) and delay.low_ms > delay.high_ms:
        raise BehaviourError("delay.low_ms", "above high_ms")


class ActionSequence:
    """Draws an action and a delay for each request in turn. Times are seconds after the server's start."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        action_seed, delay_seed = np.random.SeedSequence(behaviour.seed).spawn(2)
        self._actions = self._draw_actions(np.random.default_rng(action_seed))
        self._delay_rng = np.random.default_rng(delay_seed)

    def _draw_actions(self, rng: np.random.Generator) -> Iterator[ResponseAction]:
        actions = [
            ResponseAction.REJECT,
            ResponseAction.ERROR,
            ResponseAction.RESET,
            ResponseAction.TRUNCATE,
            ResponseAction.NO_RESPONSE,
            ResponseAction.SERVE,
        ]
        bounds = np.cumsum(msgspec.structs.astuple(self.behaviour.fault_fractions))
        while True:
            for index in np.searchsorted(bounds, rng.random(RANDOM_BLOCK_SIZE), side="right"):
                yield actions[index]

    def next_action(self, at: float) -> tuple[ResponseAction, float]:
        """The action for a request that was completely read at `at`, and the time of the action."""
        started_at = self.next_responsive_at(at)
        action = next(self._actions)
        if action is ResponseAction.REJECT:
            return action, started_at
        delay = self.behaviour.delay.sample_ms(self._delay_rng, started_at) / MS_PER_S
        return action, self.next_responsive_at(started_at + delay)

    def next_responsive_at(self, at: float) -> float:
        """The earliest time from `at` on that is outside every stall."""
        for stall in self.behaviour.stalls:
            if stall.at_s <= at < stall.end_s:
                at = stall.end_s
        return at
