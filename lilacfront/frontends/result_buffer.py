"""Collects a complete result before any of it goes to the client."""

from __future__ import annotations

MAX_RESULT_BYTES = 48_000


class ResultBuffer:
    """A `ResponseSink` for protocols that have no streamed results.

    Attributes:
        body: The result so far.
    """

    has_started = False

    def __init__(self) -> None:
        self.body = b""

    def clear(self) -> None:
        """Forget the result of an attempt that has failed."""
        self.body = b""

    def start(self, head: object) -> None:
        """The head of a response means nothing here."""

    def write(self, data: bytes) -> bool:
        """Append a part; False if the result is too large."""
        self.body += data
        return len(self.body) <= MAX_RESULT_BYTES
