"""Requests in the queues of teams, and the scheduler's decisions on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from lilacfront.teams.wait_estimate import WaitEstimate

if TYPE_CHECKING:
    from lilacfront.teams.team_tree import TeamQueue

Urgency = tuple[float, int]  # sort key; the most urgent request sorts last


class RejectReason(StrEnum):
    """Why a request is rejected."""

    DEADLINE_UNREACHABLE = "late"  # rejected on arrival because it can't be served in time
    WAITED_TOO_LONG = "waited"  # rejected because its latest start has passed
    QUEUE_FULL = "full"  # rejected because the queues are full
    DISPLACED = "displaced"  # removed from a full queue to make it possible to add another request


@dataclass(slots=True, frozen=True)
class AdmitRequest:
    """Decision to pass a request to the router now."""

    number: int


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Decision to reject a request now; it has not run.

    Attributes:
        number: The request's number.
        reason: Why the request is rejected.
        retry_after_s: Seconds after which the client may retry.
        retry_wait: Estimated wait of a retry.
    """

    number: int
    reason: RejectReason
    retry_after_s: float
    retry_wait: WaitEstimate


TeamDecision = AdmitRequest | RejectRequest


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request from its arrival to its end. Times are on the caller's clock, in seconds.

    Attributes:
        number: The caller's number for the request.
        queue: The queue of the request's team.
        class_index: Index of the request class.
        fingerprint: Fingerprint of the statement.
        cost: Expected cost in thread-seconds, as of arrival.
        threads: Number of threads that the request uses while it runs.
        size_bytes: Size of the statement in bytes.
        arrived_at: Arrival time.
        patience_ends_at: Arrival time plus the patience of the class; the queue is ordered by it.
        latest_start: Latest time at which starting the request is still useful.
        computed_wait_s: Wait that was computed on arrival, before calibration.
        wait_estimate: Calibrated estimate of the wait.
        admitted_at: Admission time; None while the request is queued.
        lending_level: Index of the budget level that lent; None if the team's own budgets pay.
    """

    number: int
    queue: TeamQueue
    class_index: int
    fingerprint: bytes
    cost: float
    threads: int
    size_bytes: int
    arrived_at: float
    patience_ends_at: float
    latest_start: float
    computed_wait_s: float
    wait_estimate: WaitEstimate
    admitted_at: float | None = None
    lending_level: int | None = None

    @property
    def urgency(self) -> Urgency:
        """Sort key in the queue: the request with the earliest end of its patience sorts last."""
        return (-self.patience_ends_at, -self.number)
