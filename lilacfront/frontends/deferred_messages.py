"""Exponential backoff after bad messages of a client, and the queue of messages deferred meanwhile."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from lilacfront.protocols import thrift
from lilacfront.sched import Loop

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
MAX_DEFERRED_BYTES = thrift.MAX_FRAME_BYTES


@dataclass(slots=True, frozen=True)
class DeferredMessage:
    """A message that was received during a backoff.

    Attributes:
        seqid: Sequence number of a request; None for any other message. A request is always answered.
        frame: The encoded message.
        received_at: Time at which the message was complete, on the loop's clock.
    """

    seqid: int | None
    frame: bytes
    received_at: float


class DeferredMessages:
    """The backoff of one connection and its deferred messages, in the order in which they were received.

    Attributes:
        backoff_s: Length of the latest backoff, in seconds; 0 if the client has sent no bad message.
        resume_at: Time at which the backoff ends, on the loop's clock.
        size_bytes: Total size of the deferred messages.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._messages: deque[DeferredMessage] = deque()
        self.backoff_s = 0.0
        self.resume_at = 0.0
        self.size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._messages)

    def __iter__(self) -> Iterator[DeferredMessage]:
        return iter(self._messages)

    @property
    def is_paused(self) -> bool:
        """Whether a message received now has to be deferred."""
        return bool(self._messages) or self.resume_at > self._loop.now

    @property
    def can_resume(self) -> bool:
        """Whether messages are deferred and the backoff has ended."""
        return bool(self._messages) and self.resume_at <= self._loop.now

    def back_off(self) -> None:
        """Start a backoff after a bad message; its length doubles each time, up to `MAX_BACKOFF_S`."""
        self.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self.backoff_s))
        self.resume_at = self._loop.now + self.backoff_s

    def append(self, message: DeferredMessage) -> None:
        """Defer a message.

        Raises:
            thrift.ThriftError: The deferred messages exceed `MAX_DEFERRED_BYTES`.
        """
        self._messages.append(message)
        self.size_bytes += len(message.frame)
        if self.size_bytes > MAX_DEFERRED_BYTES:
            raise thrift.ThriftError(f"more than {MAX_DEFERRED_BYTES} bytes of deferred messages")

    def remove_request(self, seqid: int) -> None:
        """Drop the deferred requests with this sequence number."""
        for message in [message for message in self._messages if message.seqid == seqid]:
            self._messages.remove(message)
            self.size_bytes -= len(message.frame)

    def pop_all(self) -> list[DeferredMessage]:
        """Remove all messages and return them."""
        messages = list(self._messages)
        self.clear()
        return messages

    def clear(self) -> None:
        """Remove all messages."""
        self._messages.clear()
        self.size_bytes = 0
