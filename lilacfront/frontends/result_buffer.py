"""Buffers a result until it is complete; nothing is sent to the client before that."""

from __future__ import annotations

from lilacfront.core.result_rows import are_rows

MAX_RESULT_BYTES = 48_000


class ResultBuffer:
    """A `ResponseSink` for protocols without streamed results.

    Attributes:
        body: The part of the result received so far.
    """

    has_started = False

    def __init__(self) -> None:
        self.body = b""

    def clear(self) -> None:
        """Discard the result of a failed attempt."""
        self.body = b""

    def start(self, head: object) -> None:
        """Ignore the head of a response."""

    def write(self, data: bytes) -> bool:
        """Append a part; return False if the result exceeds `MAX_RESULT_BYTES`."""
        self.body += data
        return len(self.body) <= MAX_RESULT_BYTES

    def is_valid_result(self) -> bool:
        """Whether the result consists of complete rows; an engine's error text in its place does not."""
        return are_rows(self.body)
