"""Actions that the router requests from the caller. Times are integer microseconds on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Forward:
    """Send the next attempt of a request to an engine; a `deadline_us` of 0 means no deadline."""

    request: int
    engine: int
    deadline_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: the request was rejected, and the client may safely retry it.

    The client should wait for `retry_after_us` before a retry; 0 means that no wait is suggested.
    """

    request: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the request failed, and may have run."""

    request: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel a running attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetRequestTerms:
    """Set the memory and priority of a request's next attempts; 0 MB lets the engine choose the memory."""

    request: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send the event `TimerFired` with this token at the time `at_us`."""

    at_us: int
    token: int


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Check an engine's health."""

    engine: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an engine."""

    engine: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to one peer, or to all peers if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list, or unsubscribe if not `enabled`."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Poll the whole endpoint list once."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    Forward
    | Reject
    | Fail
    | CancelAttempt
    | SetRequestTerms
    | SetTimer
    | HealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | WatchEndpoints
    | PollEndpoints
    | LogMessage
)
