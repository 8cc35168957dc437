"""Counts of rejected messages by reason, which the admin command PEERS shows."""

from __future__ import annotations

MAX_REASONS = 32
NUMBERED_REASONS = ("version", "no key")  # counted by the number at their end: "version 1" as "1"


class RejectionCounter:
    """Number of rejected messages by reason.

    Attributes:
        counts: The numbers by reason, for at most MAX_REASONS reasons.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, reason: str) -> None:
        """Count a rejected message; new reasons beyond MAX_REASONS are not counted."""
        if reason.startswith(NUMBERED_REASONS):
            reason = reason.split(" ")[-1]
        if reason in self.counts or len(self.counts) < MAX_REASONS:
            self.counts[reason] = self.counts.get(reason, 0) + 1
