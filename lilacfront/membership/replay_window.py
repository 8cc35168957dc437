"""Anti-replay window for the messages of one sender, by their sequence numbers. No I/O."""

from __future__ import annotations

WINDOW_SIZE = 64  # messages this far or farther behind the highest sequence number are rejected
WINDOW_MASK = (1 << WINDOW_SIZE) - 1


class ReplayWindow:
    """Sliding window of the received sequence numbers, to distinguish late messages from replayed ones."""

    __slots__ = ("_highest", "_incarnation", "_received")

    def __init__(self) -> None:
        self._incarnation = -1
        self._highest = -1
        self._received = 0  # bit n: sequence number _highest - n was received

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Record a message; returns False if it is a replay or too late to tell."""
        if incarnation < self._incarnation:
            return False
        if incarnation > self._incarnation:
            self._incarnation = incarnation
            self._highest = sequence
            self._received = 1
            return True
        ahead = sequence - self._highest
        if ahead > 0:
            self._received = (self._received << min(ahead, WINDOW_SIZE) | 1) & WINDOW_MASK
            self._highest = sequence
            return True
        if ahead <= -WINDOW_SIZE or self._received >> -ahead & 1:
            return False
        self._received |= 1 << -ahead
        return True
