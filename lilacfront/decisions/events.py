"""Events that the caller passes to the router. Times are integer microseconds on the caller's clock.

The caller assigns each engine a number, which stays the same when the engine restarts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """State of an engine according to discovery."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListScope(Enum):
    """What an endpoint list covers."""

    CACHED = "cached"  # the whole list from this gateway's cache, possibly stale
    SNAPSHOT = "full"
    DELTA = "delta"
    FAILED = "failed"  # a call failed or the subscription ended; the previous list stays in use


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"  # may have run
    REJECTED = "turned away"  # never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NEVER_SENT = "never sent"  # never ran


class NotificationKind(Enum):
    """Subject of a notification about a running attempt."""

    PROGRESS = "progress"  # value: approximate fraction done
    SPILLING = "spills"  # value: missing memory in MB
    WAITING_FOR_MEMORY = "waits for memory"
    WAITING_FOR_LOAD = "waits for a load"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list; a `started_us` of 0 means that the engine is not warming up."""

    engine: int
    state: EndpointState
    started_us: int = 0
    cell: int = 0
    machine_type: int = 0
    zone: int = 0
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class LoadReport:
    """An engine's load report; values that it does not report are None.

    Attributes:
        cpu_utilization: Fraction of the engine's cores that are busy.
        in_flight: Number of running queries.
        queued: Number of queued queries.
    """

    cpu_utilization: float | None = None
    in_flight: float | None = None
    queued: float | None = None


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An endpoint list, a change of the list, or a failed call."""

    scope: ListScope
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request, which gets exactly one answer within `time_left_us`.

    `tenant` is an index in the settings; None stands for a client that names no tenant.
    """

    request: int
    class_index: int
    time_left_us: int
    table_group: int = 0
    ordering_key: int = 0
    tenant: int | None = 0
    is_client_retry: bool = False
    estimated_work_us: int | None = None  # total time of all threads
    estimated_memory_mb: float | None = None


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The response of an attempt has started to reach the client."""

    request: int
    attempt: int
    engine: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The end of an attempt. `is_final` means that this attempt or an earlier event answered the request."""

    request: int
    attempt: int
    engine: int
    result: AttemptResult
    duration_us: int
    is_final: bool = False
    work_us: int | None = None
    memory_mb: float | None = None
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class AttemptNotification:
    """An engine's notification about a running attempt."""

    request: int
    attempt: int
    engine: int
    kind: NotificationKind
    value: float


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """The result of a health check."""

    engine: int
    result: AttemptResult
    duration_us: int
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` fired."""

    token: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client disconnected or got its answer elsewhere; the request needs no answer any more."""

    request: int


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A message from another gateway."""

    sender: int
    data: bytes


Event = (
    EndpointList
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | AttemptNotification
    | HealthCheckResult
    | TimerFired
    | ClientDisconnected
    | PeerMessageReceived
)
