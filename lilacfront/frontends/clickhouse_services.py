"""Services that all connections of the ClickHouse HTTP interface share."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.model import Upstream
from lilacfront.core.statement_class import StatementClassifier
from lilacfront.frontends.process_state import HealthSource
from lilacfront.sched import Loop

CALL_NUMBER_BYTES = 8
MAX_CALL_NUMBER = (1 << 8 * CALL_NUMBER_BYTES) - 1


def _call_numbers() -> Iterator[int]:
    return count(int.from_bytes(os.urandom(CALL_NUMBER_BYTES)))


@dataclass(slots=True)
class BodyBudget:
    """Limits the memory for request bodies.

    Attributes:
        max_body_bytes: Limit for one body.
        available_bytes: Unused part of the limit for all bodies; negative once the limit is exceeded.
    """

    max_body_bytes: int
    available_bytes: int


@dataclass(slots=True, frozen=True)
class ClickHouseServices:
    """Services of the process that a connection uses.

    Attributes:
        loop: The event loop that runs the tasks of the connections.
        dispatcher: Decides which engine serves a request.
        upstream: Sends attempts to engines.
        classifier: Determines the request class of a statement.
        bodies: Limits the memory for request bodies.
        health: Health that `/ping` reports; connections are not kept alive while it is bad.
    """

    loop: Loop
    dispatcher: RequestDispatcher
    upstream: Upstream
    classifier: StatementClassifier
    bodies: BodyBudget
    health: HealthSource
    _call_numbers: Iterator[int] = field(default_factory=_call_numbers)

    def next_call_id(self) -> bytes:
        """Return a new request id.

        Ids are consecutive from a random number on, so that neither another front end nor an earlier process
        of this one has used them: engines and the recovery journal identify requests by their ids.
        """
        return b"%016x" % (next(self._call_numbers) & MAX_CALL_NUMBER)
