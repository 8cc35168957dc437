"""Reports the progress and the end of attempts to the router."""

from __future__ import annotations

from lilacfront.core import request_log
from lilacfront.core.action_executor import ActionExecutor
from lilacfront.core.attempt_results import attempt_result
from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import (
    AttemptEnding,
    AttemptOutcome,
    Completed,
    Failed,
    FinalAnswer,
    Notification,
    StatementFailed,
)
from lilacfront.decisions.events import AttemptEnded, AttemptNotification, ResponseStarted
from lilacfront.sched import Loop


class AttemptReporter:
    """Converts progress and outcomes of attempts into router events."""

    def __init__(self, loop: Loop, executor: ActionExecutor) -> None:
        self._loop = loop
        self._executor = executor

    def report_notification(self, in_flight: InFlightRequest, notification: Notification) -> None:
        """Report progress from the engine; ignored unless an attempt is under way."""
        assignment = in_flight.assignment
        if assignment is not None and in_flight.attempt_under_way:
            engine = assignment.engine.number
            self._executor.handle(
                AttemptNotification(
                    in_flight.number, assignment.attempt, engine, notification.kind, notification.value
                )
            )

    def report_response_started(self, in_flight: InFlightRequest) -> None:
        """Report the first response part sent to the client; ignored unless an attempt is under way."""
        assignment = in_flight.assignment
        if assignment is not None and in_flight.attempt_under_way:
            self._executor.handle(
                ResponseStarted(in_flight.number, assignment.attempt, assignment.engine.number)
            )

    def report_end(self, in_flight: InFlightRequest, outcome: AttemptOutcome, has_started: bool) -> None:
        """Report the end of an attempt, and set the final answer if the request can't be retried.

        A failed attempt ends the request once a part of the response was sent to the client (`has_started`).
        """
        assignment = in_flight.assignment
        assert assignment is not None
        in_flight.end_attempt(outcome.never_ran, outcome.detail, self._loop.now)
        was_decided = in_flight.decision is not None
        if not was_decided:
            in_flight.decision = _final_answer(outcome, has_started, in_flight.error_detail)
        request_log.attempt_ended(in_flight, assignment, outcome, self._loop.now)
        self._executor.handle(
            AttemptEnded(
                in_flight.number,
                assignment.attempt,
                assignment.engine.number,
                attempt_result(outcome),
                0,
                in_flight.decision is not None,
                report=outcome.load_report,
            )
        )


def _final_answer(outcome: AttemptOutcome, has_started: bool, error_detail: bytes) -> FinalAnswer | None:
    """Return the final answer if the request ends with this attempt; None if the router has to decide."""
    match outcome.ending:
        case AttemptEnding.COMPLETED:
            return Completed()
        case AttemptEnding.STATEMENT_ERROR:
            return StatementFailed()
        case _:
            return Failed(detail=error_detail) if has_started else None
