"""A request between its submission and its final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lilacfront.core.model import Assignment, Notification, Request, RoutingDecision
from lilacfront.sched import Task


class AttemptHandler(Protocol):
    """Handles the calls that an attempt makes on its `AttemptContext`; implemented by the dispatcher."""

    def may_begin(self, in_flight: InFlightRequest) -> bool:
        """Whether the request's attempt may still begin."""
        ...

    def attempt_notified(self, in_flight: InFlightRequest, notification: Notification) -> None:
        """Called when the engine has reported progress of the request's attempt."""
        ...


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """State of one request in flight; the request's attempts use it as their `AttemptContext`.

    Only the task that serves the request waits for decisions on it.

    Attributes:
        attempt_handler: Handles the calls of the request's attempts.
        number: Request number, unique in this process.
        request: The request as received from the client.
        task: The task that serves the request.
        decision: The next decision; None once the task has picked it up.
        assignment: Engine and deadline of the latest attempt.
        attempt_under_way: Whether the latest attempt has not ended yet.
        is_waiting: Whether the task is blocked until a decision arrives.
        in_team_queue: Whether the request is in its team's queue and not yet routed.
        answered_at_admission: Whether the admission policy answered it; it is never queued or routed then.
        is_completed: Whether the result was received and its client had not left.
        may_have_run: Whether the engine may have run any attempt that has ended.
        attempt_started_at: Start of the latest attempt, in seconds of the loop's clock.
        execution_s: Total duration of the ended attempts that may have run, in seconds.
        priority: Priority sent to the engine; None if no priority is set.
        error_detail: The latest error text received from an engine.
    """

    attempt_handler: AttemptHandler
    number: int
    request: Request
    task: Task
    decision: RoutingDecision | None = None
    assignment: Assignment | None = None
    attempt_under_way: bool = False
    is_waiting: bool = False
    in_team_queue: bool = False
    answered_at_admission: bool = False
    is_completed: bool = False
    may_have_run: bool = False
    attempt_started_at: float = 0.0
    execution_s: float = 0.0
    priority: int | None = None
    error_detail: bytes = b""
    _on_priority_change: Callable[[int], None] | None = None

    def may_begin(self) -> bool:
        """Whether the attempt may still begin; see `AttemptContext.may_begin`."""
        return self.attempt_handler.may_begin(self)

    def notify(self, notification: Notification) -> None:
        """Report progress of the attempt under way."""
        self.attempt_handler.attempt_notified(self, notification)

    def subscribe_priority(self, callback: Callable[[int], None]) -> None:
        """Call `callback` whenever the priority of the attempt under way changes."""
        self._on_priority_change = callback

    def set_priority(self, priority: int) -> None:
        """Set the priority of the attempt under way and of later attempts."""
        changed = priority != self.priority
        self.priority = priority
        if changed and self.attempt_under_way and self._on_priority_change is not None:
            self._on_priority_change(priority)

    def start_attempt(self, assignment: Assignment, now: float) -> None:
        """Record the start of an attempt."""
        self.assignment = assignment
        self.attempt_under_way = True
        self.attempt_started_at = now

    def end_attempt(self, never_ran: bool, error_detail: bytes, now: float) -> None:
        """Record the end of the attempt."""
        self.attempt_under_way = False
        self._on_priority_change = None  # it refers to the attempt, which refers to this request
        self.error_detail = error_detail or self.error_detail
        if not never_ran:
            self.may_have_run = True
            self.execution_s += now - self.attempt_started_at
