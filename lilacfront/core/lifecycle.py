"""The life of a request: decisions and attempts in turn, never two attempts at once, one final answer."""

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
    """Make the attempts that the decisions ask for; called by the front ends in the request's own task.

    Args:
        dispatcher: Decides on the request, which was submitted to it.
        in_flight: The request.
        upstream: Carries attempts to engines.
        sink: Takes the answer of the attempt that succeeds.

    Returns:
        The final answer; with `Completed` the sink has the whole result.
    """
    while True:
        decision = dispatcher.next_decision(in_flight)
        if not isinstance(decision, Assignment):
            return decision
        if in_flight.task.interrupted:  # cancelled before it could begin
            outcome = AttemptOutcome(AttemptEnding.CANCELLED, DeliveryStage.CONNECTED)
        else:
            sink.clear()
            outcome = upstream.attempt(in_flight.task, decision, in_flight.request, sink, in_flight)
        in_flight.task.clear_interruption()
        dispatcher.attempt_ended(in_flight, outcome, sink.has_started)
