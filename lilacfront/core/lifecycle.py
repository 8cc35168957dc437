"""The life of a request: decisions and attempts in turn, never two attempts at once, one final answer."""

from __future__ import annotations

from lilacfront.core.facade import Facade, Ticket
from lilacfront.core.model import Attempts, Chosen, Ending, Final, Outcome, Reach, Sink


def carry(facade: Facade, ticket: Ticket, attempts: Attempts, sink: Sink) -> Final:
    """See a request through to its final answer."""
    while True:
        choice = facade.pick(ticket)
        if not isinstance(choice, Chosen):
            return choice
        if ticket.task.interrupted:  # taken back before it could begin
            outcome = Outcome(Ending.GIVEN_UP, Reach.UNWRITTEN)
        else:
            sink.clear()
            outcome = attempts.attempt(ticket.task, choice, ticket.request, sink, ticket)
        ticket.task.settle()
        facade.report(ticket, outcome, sink.begun)
