"""Bytes that are queued on a stream."""

from __future__ import annotations

from collections.abc import Callable

# Memory of a chunk beside its bytes: the objects, and its place in the queue.
CHUNK_OBJECT_BYTES = 192


class Chunk:
    """Bytes that are queued on a stream, and the number of them that have been sent.

    A chunk may have a permit: a function that is called right before the first byte is sent. If it returns
    False, the chunk is withdrawn and nothing of it is sent.

    Attributes:
        data: The queued bytes, including those that have been sent; empty once `release` was called.
        size: The number of the queued bytes.
        sent: The number of bytes that the kernel has accepted.
        withdrawn: Whether the chunk has been withdrawn. If so, none of its bytes has been or will be sent.
        permit: Returns whether the first byte may be sent now; None if no permit is needed.
        is_final: Whether the chunk completes a final answer, which must not be dropped to save memory.
    """

    __slots__ = ("data", "is_final", "permit", "sent", "size", "withdrawn")

    def __init__(self, data: bytes, permit: Callable[[], bool] | None = None, is_final: bool = False) -> None:
        self.data = data
        self.size = len(data)
        self.is_final = is_final
        self.sent = 0
        self.withdrawn = False
        self.permit = permit

    @property
    def memory_bytes(self) -> int:
        """The memory that the chunk takes while it is queued, in bytes."""
        return self.size + CHUNK_OBJECT_BYTES

    @property
    def is_fully_sent(self) -> bool:
        """Whether the kernel has accepted all of the bytes."""
        return self.sent == self.size

    def withdraw(self) -> bool:
        """Withdraw the chunk unless a part of it has been sent; returns whether it is withdrawn."""
        self.withdrawn = self.withdrawn or self.sent == 0
        if self.withdrawn:
            self.release()
        return self.withdrawn

    def release(self) -> None:
        """Free the bytes and the permit: whoever waits for the answer keeps the chunk for much longer."""
        self.data = b""
        self.permit = None

    @property
    def is_sendable(self) -> bool:
        """Whether the bytes may be sent now.

        This calls the permit if nothing has been sent yet, and withdraws the chunk if the permit returns
        False.
        """
        if not self.withdrawn and self.sent == 0 and self.permit is not None and not self.permit():
            self.withdraw()
        return not self.withdrawn
