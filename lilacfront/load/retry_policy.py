"""The retry policy of a client: the outcome of an attempt, and whether and when to retry. Performs no I/O.

The clients apply the same rules as the front ends that they test: an attempt that may have been executed is
retried only if the request is idempotent, and never while another attempt of the request is in flight.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from lilacfront.load.plan import ClientSettings


class Outcome(Enum):
    """The final outcome of a request. The values are names in results."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"  # an error, a broken connection, or an incomplete or wrong answer
    LOST = "lost"  # no answer within the timeout


class AttemptEnd(Enum):
    """How one attempt ended."""

    SERVED = "served"
    REJECTED = "refused"  # the answer says that the request was not executed
    ERROR = "error"  # the answer says that the request failed
    WRONG = "wrong"  # a complete answer that belongs to another request or differs from the expected result
    BROKEN = "broken"  # the connection was closed or its data can't be parsed; may have been executed
    UNSENT = "unsent"  # the connect failed, or the connection was closed before a byte was sent
    TIMED_OUT = "late"  # no answer within the timeout


OUTCOMES = {
    AttemptEnd.SERVED: Outcome.SERVED,
    AttemptEnd.REJECTED: Outcome.REJECTED,
    AttemptEnd.TIMED_OUT: Outcome.LOST,
}
NOT_EXECUTED = frozenset((AttemptEnd.REJECTED, AttemptEnd.UNSENT))
ANSWERED = frozenset((AttemptEnd.SERVED, AttemptEnd.REJECTED, AttemptEnd.ERROR, AttemptEnd.WRONG))


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        end: How the attempt ended.
        retry_after_s: The Retry-After time of the answer; None if the answer has none.
    """

    end: AttemptEnd
    retry_after_s: float | None = None

    @property
    def outcome(self) -> Outcome:
        """The outcome of the request if this attempt was its last."""
        return OUTCOMES.get(self.end, Outcome.FAILED)


def next_attempt_at(
    client: ClientSettings,
    result: AttemptResult,
    attempts: int,
    idempotent: bool,
    now: float,
    deadline: float,
    rng: random.Random,
) -> float | None:
    """Decides when to retry a request that has had `attempts` attempts.

    A result is final at once if the retry would be after the request's deadline.

    Returns:
        The time of the next attempt, on the clock of `now`; None if there is no retry.
    """
    if result.end in (AttemptEnd.SERVED, AttemptEnd.TIMED_OUT) or client.retry == "never":
        return None
    if attempts >= client.max_attempts:
        return None
    if result.end not in NOT_EXECUTED and not idempotent:
        return None
    retry_at = now
    if client.retry == "told":
        delay_s = client.default_retry_after_s if result.retry_after_s is None else result.retry_after_s
        # Jitter only adds to the delay: a client must not retry before the Retry-After time.
        retry_at = now + delay_s * (1 + client.jitter * rng.random())
    return retry_at if retry_at < deadline else None
