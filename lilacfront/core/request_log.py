"""Debug log lines for each step of a request; `lilacfront lab count` reads them."""

from __future__ import annotations

from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import Assignment, AttemptOutcome, FinalAnswer
from lilacfront.logs import Log

log = Log(__name__)


def received(in_flight: InFlightRequest, now: float) -> None:
    """Log that a frontend has submitted a request."""
    request = in_flight.request
    log.debug(
        "request received",
        request=in_flight.number,
        call_id=request.call_id,
        class_index=request.class_index,
        at=now,
        deadline=request.deadline,
    )


def attempt_ended(
    in_flight: InFlightRequest, assignment: Assignment, outcome: AttemptOutcome, now: float
) -> None:
    """Log that an attempt has ended."""
    log.debug(
        "attempt ended",
        request=in_flight.number,
        attempt=assignment.attempt,
        class_index=in_flight.request.class_index,
        table_group=in_flight.request.table_group,
        engine=assignment.engine.address,
        started_at=in_flight.attempt_started_at,
        ended_at=now,
        ending=outcome.ending.value,
        stage=int(outcome.stage),
        load_report=outcome.load_report,
    )


def answered(in_flight: InFlightRequest, answer: FinalAnswer, now: float) -> None:
    """Log that a request has its final answer."""
    log.debug(
        "request answered",
        request=in_flight.number,
        class_index=in_flight.request.class_index,
        at=now,
        answer=answer,
    )
