"""Maps the outcome of an attempt to the result that is reported to the router."""

from __future__ import annotations

from lilacfront.core.model import AttemptEnding, AttemptOutcome
from lilacfront.decisions.events import AttemptResult

_RESULTS_IF_MAY_HAVE_RUN = {
    AttemptEnding.COMPLETED: AttemptResult.OK,
    # The engine has answered as it should, so the error does not count against it.
    AttemptEnding.STATEMENT_ERROR: AttemptResult.OK,
    AttemptEnding.ERROR: AttemptResult.ERROR,
    AttemptEnding.CONNECTION_LOST: AttemptResult.RESET,
    AttemptEnding.TIMED_OUT: AttemptResult.TIMEOUT,
    AttemptEnding.CANCELLED: AttemptResult.CANCELLED,
}


def attempt_result(outcome: AttemptOutcome) -> AttemptResult:
    """Return the router's result for an outcome; a result means "not run" only if that is proven."""
    if outcome.ending is AttemptEnding.REJECTED:
        return AttemptResult.REJECTED
    if not outcome.stage.never_ran:
        return _RESULTS_IF_MAY_HAVE_RUN.get(outcome.ending, AttemptResult.RESET)
    if outcome.ending is AttemptEnding.CONNECT_FAILED:
        return AttemptResult.CONNECT_FAILED
    # A connection that closed before any byte was written doesn't count as a fault of the engine.
    return AttemptResult.NEVER_SENT
