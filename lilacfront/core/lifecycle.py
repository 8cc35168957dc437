"""The lifecycle of a request: one attempt at a time, each decided by the router, until the final answer."""

from __future__ import annotations

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import (
    Assignment,
    AttemptEnding,
    AttemptOutcome,
    DeliveryStage,
    FinalAnswer,
    ResponseSink,
    Upstream,
)


def run_request(
    dispatcher: RequestDispatcher, in_flight: InFlightRequest, upstream: Upstream, sink: ResponseSink
) -> FinalAnswer:
    """Make attempts until the router gives the final answer; called by a frontend in the request's task.

    Args:
        dispatcher: The dispatcher that the request was submitted to.
        in_flight: The submitted request.
        upstream: Sends attempts to engines.
        sink: Receives the response of each attempt.

    Returns:
        The final answer; if it is `Completed`, the sink has received the whole result, and if it is
        `StatementFailed`, the engine's error response.
    """
    while True:
        decision = dispatcher.next_decision(in_flight)
        if not isinstance(decision, Assignment):
            return decision
        if in_flight.task.interrupted:  # the attempt was cancelled before it began
            outcome = AttemptOutcome(AttemptEnding.CANCELLED, DeliveryStage.CONNECTED)
        else:
            sink.clear()
            outcome = upstream.attempt(in_flight.task, decision, in_flight.request, sink, in_flight)
        in_flight.task.clear_interruption()
        dispatcher.attempt_ended(in_flight, outcome, sink.has_started)
