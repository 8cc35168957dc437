"""Limits the memory that the incomplete messages of all clients use together."""

from __future__ import annotations

from lilacfront.frontends.listener import ClientSlot
from lilacfront.logs import Log

log = Log(__name__)


class PartialMessageBudget:
    """Counts the received bytes of messages that are incomplete or not yet handled.

    Attributes:
        max_bytes: Limit for all connections together; beyond it the connection with the most bytes discards
            them and is closed after the answers to its requests.
    """

    def __init__(self, max_bytes: int) -> None:
        self._bytes_by_slot: dict[ClientSlot, int] = {}
        self._total_bytes = 0
        self.max_bytes = max_bytes

    @property
    def used_bytes(self) -> int:
        """The bytes counted for all connections."""
        return self._total_bytes

    def accounted_bytes(self, slot: ClientSlot) -> int:
        """Return the bytes counted for a connection."""
        return self._bytes_by_slot.get(slot, 0)

    def account(self, slot: ClientSlot, size: int) -> None:
        """Set the bytes of a connection; beyond the limit, the one with the most bytes discards them."""
        self._total_bytes += size - self._bytes_by_slot.pop(slot, 0)
        slot.has_partial_message = size > 0
        if not size:
            return
        self._bytes_by_slot[slot] = size
        if self._total_bytes > self.max_bytes:
            self._discard_largest()

    def _discard_largest(self) -> None:
        """Make the open connection with the most bytes discard them.

        The bytes of a closed connection are freed when its task runs the next time.
        """
        log.warning("partial messages exceed memory limit", bytes=self._total_bytes)
        open_slots = [slot for slot in self._bytes_by_slot if slot.owner is not None]
        largest = max(open_slots, key=lambda slot: self._bytes_by_slot[slot], default=None)
        if largest is not None and largest.owner is not None:
            largest.owner.discard_partial_message()
