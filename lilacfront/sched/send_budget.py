"""Limits the bytes that are queued on many streams together."""

from __future__ import annotations

from typing import Protocol

# Above the limit times this factor, streams with final answers are closed, too: the process would be killed
# and lose them all.
HARD_LIMIT_FACTOR = 4


class Writer(Protocol):
    """A stream with queued bytes that the kernel has not accepted yet."""

    @property
    def queued_bytes(self) -> int:
        """The number of those bytes."""

    @property
    def holds_final_answer(self) -> bool:
        """Whether a final answer is queued that is not sent in full."""

    def close(self) -> None:
        """Close the connection immediately."""


class SendBudget:
    """Counts the bytes that are queued on some streams, so that their peers can't use up the memory.

    Each stream stays within a limit of its own, but many peers that do not read could reach the limits of
    their streams at once. Final answers are limited where they are made (`Stream.has_answer_capacity`), and
    no further requests are read from peers that lag behind (`Stream.is_backlogged`).

    Attributes:
        max_bytes: The limit. Above it, the unflushed stream with the longest queue and without a final answer
            is closed; above the limit times `HARD_LIMIT_FACTOR`, it may hold a final answer.
        queued_bytes: The number of bytes that are queued on all of the streams.
        unflushed_streams: The streams that wait until the kernel accepts more of their queued bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.queued_bytes = 0
        self.unflushed_streams: set[Writer] = set()

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are queued than the limit allows."""
        return self.queued_bytes > self.max_bytes

    @property
    def fair_share(self) -> int:
        """The limit divided by the number of unflushed streams, in bytes."""
        return self.max_bytes // max(1, len(self.unflushed_streams))

    def has_capacity(self, size: int) -> bool:
        """Whether this many bytes more stay within the limit."""
        return self.queued_bytes + size <= self.max_bytes

    def remove(self, size: int) -> None:
        """Subtract bytes that have left a queue."""
        self.queued_bytes -= size

    def add(self, size: int) -> None:
        """Add bytes that have been queued; this may close a stream."""
        self.queued_bytes += size
        if not self.is_exceeded:
            return
        is_last_resort = self.queued_bytes > HARD_LIMIT_FACTOR * self.max_bytes
        droppable = [
            stream for stream in self.unflushed_streams if is_last_resort or not stream.holds_final_answer
        ]
        if droppable:
            max(droppable, key=lambda stream: stream.queued_bytes).close()
