"""The interface of client codecs, which encode requests and parse answers without I/O.

A `ClientCodec` belongs to one connection and tracks its open requests. An answer that matches no open request
is reported with a `StrayAnswer`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from lilacfront.errors import LilacfrontError
from lilacfront.load.retry_policy import AttemptEnd, AttemptResult
from lilacfront.load.schedule import RequestProfile

SERVED = AttemptResult(AttemptEnd.SERVED)
WRONG = AttemptResult(AttemptEnd.WRONG)
MAX_REMEMBERED_REQUESTS = 4096  # ended requests per connection, to tell late answers from unknown ones


class ClientProtocolError(LilacfrontError, ValueError):
    """The peer violated the protocol; the connection can't be used any more."""


class StrayAnswer(Enum):
    """Why an answer matches no open request."""

    LATE = auto()  # the request had timed out
    DUPLICATE = auto()  # the request was already answered
    UNKNOWN = auto()  # no such request is known


@dataclass(slots=True)
class Answer:
    """A complete answer.

    Attributes:
        number: The number of the request; None for a stray answer.
        result: The result of the attempt.
        stray: Why the answer matches no open request; None if it matches one.
    """

    number: int | None
    result: AttemptResult
    stray: StrayAnswer | None = None


class ClientCodec(Protocol):
    """The client side of the protocol on one connection.

    Attributes:
        open_requests: The requests without an answer, by number.
    """

    open_requests: dict[int, RequestProfile]

    @property
    def capacity(self) -> int:
        """The number of further requests that may be sent now."""
        ...

    @property
    def closing(self) -> bool:
        """Whether the connection is closed once the open requests have ended."""
        ...

    def request(self, number: int, profile: RequestProfile, statement: bytes, ttl_s: float) -> bytes:
        """Opens a request and returns its bytes; `ttl_s` is the time left until its deadline."""
        ...

    def cancel(self, number: int) -> bytes | None:
        """Cancels an open request.

        Returns:
            The message to send to the peer; None if a cancellation requires closing the connection.
        """
        ...

    def feed(self, data: bytes) -> list[Answer]:
        """Parses received bytes.

        Raises:
            ClientProtocolError: The bytes violate the protocol.
        """
        ...

    def eof(self) -> list[Answer]:
        """Handles the end of the connection, which may complete an answer."""
        ...
