"""Interface for items of other components that the failure detector's messages carry."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lilacfront.membership.messages import Item, PiggybackItem


class Piggyback(Protocol):
    """A source and receiver of items in the failure detector's messages."""

    def collect(self, now: float, max_bytes: int) -> Iterable[Item]:
        """Items for one message, of at most `max_bytes` in total including their headers."""
        ...

    def receive(self, now: float, sender: int, item: PiggybackItem) -> Iterable[Item]:
        """Handle an item of another member; returns the items to answer with."""
        ...
