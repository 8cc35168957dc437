"""Policy settings of a router. Times are integer microseconds.

A feature is off if its setting is None or False.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "safe"  # may run any number of times
    IDEMPOTENT_BY_KEY = "keyed"  # engines of one scope ignore repeats within a time window
    NOT_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """The group of engines that recognise repeats of keyed requests sent to any of them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MemoryShortage(Enum):
    """Behaviour of an engine whose memory grants exceed its memory."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    threads: int  # threads that a query of the class uses on its engine
    idempotency: Idempotency
    latency_objective_stretch: float = 0.0  # added to the objective, in run times on an idle engine
    late_weight: float = 0.0  # if 0, an answer after the latency objective is of no use
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    is_ordered: bool = False
    allowed_zones: tuple[int, ...] | None = None
    allowed_machine_types: tuple[int, ...] | None = None
    is_streamed: bool = False
    is_load: bool = False  # a data load, which locks its table group on its engine while it runs
    waits_for_loads: bool = False  # not sent to engines on which a data load locks its table group


@dataclass(slots=True, frozen=True)
class SafetyRules:
    """Parameters of the safety rules that every gateway follows."""

    answer_slack_us: int = 0
    drain_deadline_us: int = 0
    # Work per overload window that a warming engine can take, in multiples of its capacity at that time.
    overload_factor: float | None = None  # None: cold engines don't fail under load
    cold_capacity_fraction: float = 1.0  # fraction of its capacity that an engine has at its start
    overload_window_us: int = 0
    warm_up_us: int = 0  # time from an engine's start to its full capacity
    poll_deadline_us: int | None = None
    ordering_gap_us: int = 0  # pause of an ordering key after an attempt that may still run
    retry_budget_window_us: int | None = None  # None: retries are unlimited
    retry_budget_min: float = 0.0
    retry_budget_ratio: float = 0.0


@dataclass(slots=True, frozen=True)
class PolicyLimits:
    """Features and limits that the operator permits."""

    max_attempts: int
    may_cancel: bool = False
    may_health_check: bool = False
    may_gossip: bool = False
    may_hedge: bool = False
    may_send_retry_after: bool = False
    max_retry_after_us: int = 0
    max_in_flight: int | None = None


@dataclass(slots=True, frozen=True)
class TenantQuota:
    """Quota of one tenant, in requests per second over all gateways."""

    requests_per_s: float


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """All policy settings of a gateway."""

    classes: tuple[RequestClass, ...]
    machine_type_cores: tuple[float, ...]
    limits: PolicyLimits
    rules: SafetyRules = field(default_factory=SafetyRules)
    machine_type_memory_mb: tuple[float, ...] = ()
    tenants: tuple[TenantQuota, ...] = ()
    over_quota_weight: float = 1.0
    gateway_count: int = 1
    gateway_index: int = 0
    zone: int = 0
    polls_discovery: bool = False
    grants_memory: bool = False
    max_memory_grant: float = 1.0
    memory_shortage: MemoryShortage = MemoryShortage.WAIT
    sets_priorities: bool = False
    notification_interval_us: int = 0
    reports_cost: bool = False
    cross_zone_price: float = 0.0
    late_failure_price: float = 0.0
    wasted_work_price: float = 0.0
    gossip_price: float = 0.0  # price of a full message per request
    clock_tick_us: int = 0
