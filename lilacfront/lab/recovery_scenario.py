"""Scenarios of a power loss for the simulation of recovery: faults, client load and recovery strategies."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

import msgspec

from lilacfront.decisions.settings import (
    Idempotency,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
)

CORES: Final = 8.0  # of each warehouse
COLD_CAPACITY_FRACTION: Final = 0.25
WARM_UP_S: Final = 10.0
OVERLOAD_FACTOR: Final = 4.0
OVERLOAD_WINDOW_S: Final = 2.0
MAX_RETRY_AFTER_S: Final = 8.0
_US_PER_S: Final = 1e6
_OBJECTIVE_FACTOR: Final = 16e6  # microseconds of latency objective per second of execution
_DEADLINE_FACTOR: Final = 64e6  # microseconds of deadline per second of execution
_MIN_DEADLINE_US: Final = 1_000_000


class Strategy(Enum):
    """How front ends restore service; the values are the names in printed tables."""

    UNCHANGED = "as today"
    JITTERED = "all at once, jittered"
    STAGED = "in order"
    STAGED_ALONE = "in order, without membership"

    @property
    def staged(self) -> bool:
        """Whether front ends start in the stages of `StartupStages`."""
        return self in (Strategy.STAGED, Strategy.STAGED_ALONE)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests; `execution_s` is its execution time on an idle warehouse."""

    name: str
    threads: int
    execution_s: float
    priority_weight: float
    fraction: float  # of all requests

    @property
    def thread_seconds(self) -> float:
        """The work of one request, in thread-seconds."""
        return self.threads * self.execution_s


KINDS: Final = (
    RequestKind("lookup", 1, 0.05, 1.0, 0.75),
    RequestKind("report", 4, 0.25, 6.0, 0.2),
    RequestKind("load", 2, 0.6, 5.0, 0.05),
)
THREAD_SECONDS_PER_REQUEST: Final = sum(kind.thread_seconds * kind.fraction for kind in KINDS)
WEIGHT_PER_REQUEST: Final = sum(kind.priority_weight * kind.fraction for kind in KINDS)


class PowerLoss(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A power loss and the recovery from it, as read from TOML. Times are seconds since the power returned.

    Attributes:
        front_ends: Number of front ends.
        warehouses: Number of warehouses.
        utilization: Fraction of all cores that the normal request rate uses.
        backlog_s: Requests queued during the outage, as seconds of the normal rate; all of them arrive
            within the first second.
        warehouses_back_s: Time by which all warehouses have started; each starts at a random time before.
        front_ends_back_s: Time by which all front ends have started, except for the missing ones.
        missing_fraction: Fraction of the front ends that do not restart.
        obedient_fraction: Fraction of the clients that obey Retry-After. Half of the others retry at short
            intervals, half give up.
        seconds: Duration of the simulation.
        short_reads_stage_s: Duration of the stage that admits short reads.
        idempotent_stage_s: Duration of the stage that admits idempotent requests.
    """

    front_ends: int = 5
    warehouses: int = 8
    utilization: float = msgspec.field(default=0.5, name="busy")
    backlog_s: float = 3.0
    warehouses_back_s: float = 6.0
    front_ends_back_s: float = 2.0
    missing_fraction: float = msgspec.field(default=0.0, name="missing")
    obedient_fraction: float = msgspec.field(default=0.6, name="obey")
    seconds: float = 40.0
    short_reads_stage_s: float = msgspec.field(default=3.0, name="reads_s")
    idempotent_stage_s: float = msgspec.field(default=3.0, name="reports_s")

    @property
    def requests_per_s(self) -> float:
        """The normal request rate."""
        return self.utilization * self.warehouses * CORES / THREAD_SECONDS_PER_REQUEST

    @property
    def weight_per_s(self) -> float:
        """Sum of the priority weights of the requests in a second of the normal rate."""
        return self.requests_per_s * WEIGHT_PER_REQUEST


@dataclass
class SimulationResult:
    """The result of a simulation.

    Attributes:
        recovered_s: Start of the first 3 s window in which on average 90% of the normal weight per second is
            served again; NaN: never.
        first_read_s: Time when the first lookup is served; NaN: never.
        lost_fraction: Weight of the requests that failed or were given up, as a fraction of the weight of
            all requests.
        warehouse_failures: Number of failures of overloaded warehouses.
        rejections: Number of rejections; a retried request may be rejected several times.
        curve: Weight served in each second, as a fraction of the normal weight per second.
    """

    recovered_s: float = math.nan
    first_read_s: float = math.nan
    lost_fraction: float = 0.0
    warehouse_failures: int = 0
    rejections: int = 0
    curve: list[float] = field(default_factory=list)


def policy_settings(loss: PowerLoss, gateway_index: int) -> PolicySettings:
    """Settings of the request router of one front end."""
    classes = tuple(
        RequestClass(
            latency_objective_us=int(kind.execution_s * _OBJECTIVE_FACTOR),
            deadline_us=int(kind.execution_s * _DEADLINE_FACTOR) + _MIN_DEADLINE_US,
            priority_weight=kind.priority_weight,
            threads=kind.threads,
            idempotency=Idempotency.NOT_IDEMPOTENT if kind.name == "load" else Idempotency.IDEMPOTENT,
        )
        for kind in KINDS
    )
    rules = SafetyRules(
        overload_factor=OVERLOAD_FACTOR,
        cold_capacity_fraction=COLD_CAPACITY_FRACTION,
        overload_window_us=int(OVERLOAD_WINDOW_S * _US_PER_S),
        warm_up_us=int(WARM_UP_S * _US_PER_S),
    )
    limits = PolicyLimits(
        max_attempts=5,
        may_cancel=True,
        may_send_retry_after=True,
        max_retry_after_us=int(MAX_RETRY_AFTER_S * _US_PER_S),
    )
    return PolicySettings(
        classes, (CORES,), limits, rules, gateway_count=loss.front_ends, gateway_index=gateway_index
    )
