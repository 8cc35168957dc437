"""Graceful draining of client connections: decides when each connection is closed. No I/O.

A pause, a shutdown and a hand-over to a new process differ only in their deadlines. The steps of a drain:

1. At first, all connections and requests are served, since the platform may still route them here.
2. From `idle_s` on, a connection is closed once no request is in flight on it. Its client then reconnects to
   another process or front end.
3. From `reject_s` on, new requests are rejected. This makes connections idle that would not be so otherwise.
4. From `abort_s` on, recent requests are failed. Older requests may finish.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class DrainAction(Enum):
    """Action to take on a connection."""

    KEEP = "keep"
    CLOSE = "close"
    FAIL_PENDING = "fail pending"  # answer requests in flight with an error, then close the connection


@dataclass(slots=True, frozen=True)
class DrainDeadlines:
    """Deadlines of a drain, in seconds.

    Attributes:
        idle_s: Time from the start of the drain after which idle connections are closed.
        first_request_s: Time from accepting a connection within which its first request is awaited.
        reject_s: Time from the start of the drain after which new requests are rejected.
        abort_s: Time from the start of the drain after which all idle connections are closed, even those
            with a partial message, and recent requests are failed.
        recent_request_s: Age below which a request is recent.
    """

    idle_s: float
    first_request_s: float
    reject_s: float
    abort_s: float
    recent_request_s: float


# The platform polls every 0.1 s and keeps routing here for another 0.2 s. A client whose connection is closed
# sooner would reconnect here. After 4 s no connection may be idle or have a request younger than 2 s; the
# deadlines leave a margin of 0.3 s for a busy machine.
PAUSE_DEADLINES = DrainDeadlines(
    idle_s=0.4, first_request_s=1.0, reject_s=3.0, abort_s=3.7, recent_request_s=2.3
)
TRANSFER_TIMEOUT_S = 1.0  # an idle connection is closed if it could not be transferred within this time
FIRST_REQUEST_TIMEOUT_S = 2.0  # time for the first request on a connection accepted before a hand-over
REJECT_MARGIN_S = 0.9  # new requests are rejected this many seconds before SIGKILL
ABORT_MARGIN_S = 0.3  # requests in flight are failed this many seconds before SIGKILL


def shutdown_deadlines(grace_s: float, last_answer_s: float) -> DrainDeadlines:
    """Return the deadlines of a shutdown without a successor.

    New requests on connections that are never idle are rejected at the end, so that every request gets an
    answer.

    Args:
        grace_s: Seconds from SIGTERM during which new connections and requests may still arrive.
        last_answer_s: Seconds from SIGTERM within which all requests have to be answered.
    """
    return DrainDeadlines(
        idle_s=grace_s,
        first_request_s=0.0,
        reject_s=last_answer_s,
        abort_s=last_answer_s,
        recent_request_s=math.inf,
    )


def handover_deadlines(kill_after_s: float, transferred: bool) -> DrainDeadlines:
    """Return the deadlines of a shutdown with a successor, which accepts all new connections.

    Args:
        kill_after_s: Seconds from SIGTERM to SIGKILL.
        transferred: Whether the client connections are transferred to the successor.
    """
    return DrainDeadlines(
        idle_s=TRANSFER_TIMEOUT_S if transferred else 0.0,
        first_request_s=FIRST_REQUEST_TIMEOUT_S,
        reject_s=kill_after_s - REJECT_MARGIN_S,
        abort_s=kill_after_s - ABORT_MARGIN_S,
        recent_request_s=math.inf,
    )


@dataclass(slots=True, frozen=True)
class ConnectionStatus:
    """State of a client connection that a drain depends on; times are seconds on the loop's clock.

    Attributes:
        connected_at: Time at which the connection was accepted.
        last_request_at: Time at which the last complete request arrived; negative if there was none.
        busy: Whether a request is in flight on the connection.
        partial_message: Whether only a part of the next message has arrived.
    """

    connected_at: float
    last_request_at: float
    busy: bool
    partial_message: bool = False


@dataclass(slots=True, frozen=True)
class Drain:
    """One drain.

    Attributes:
        started_at: Start of the drain, in seconds on the loop's clock.
        deadlines: Deadlines relative to the start.
    """

    started_at: float
    deadlines: DrainDeadlines

    def decide(self, now: float, connection: ConnectionStatus) -> DrainAction:
        """Return the action to take on a connection."""
        elapsed = now - self.started_at
        if connection.busy:
            recent = now - connection.last_request_at < self.deadlines.recent_request_s
            must_fail = elapsed >= self.deadlines.abort_s and recent
            return DrainAction.FAIL_PENDING if must_fail else DrainAction.KEEP
        if elapsed < self.deadlines.idle_s:
            return DrainAction.KEEP
        if elapsed < self.deadlines.abort_s and self._expects_request(now, connection):
            return DrainAction.KEEP
        return DrainAction.CLOSE

    def _expects_request(self, now: float, connection: ConnectionStatus) -> bool:
        """Return whether a request is likely to arrive soon on an idle connection."""
        had_no_request = connection.last_request_at < 0
        awaits_first = had_no_request and now - connection.connected_at < self.deadlines.first_request_s
        return awaits_first or connection.partial_message

    def retry_after_s(self, now: float, connected_at: float) -> float | None:
        """Return the Retry-After delay for a request that arrives now.

        The delay ends when the connection is closed, so that the client retries on a new one.

        Returns:
            Delay in seconds; None if the request is to be served. Requests are always served on connections
            accepted after the end of the drain, which the platform still routes here.
        """
        ends_at = self.started_at + self.deadlines.abort_s
        elapsed = now - self.started_at
        if elapsed < self.deadlines.reject_s or connected_at >= ends_at:
            return None
        return max(0.0, ends_at - now)
