"""Time slots of near-future capacity, with reservations for retries and admitted requests. No I/O.

Costs are in thread-seconds. Outstanding reservations are weighted by the fraction of recent reservations
that were claimed. Otherwise clients that retry too often and use a new id for each retry would reserve all
slots and never be admitted.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

SLOT_S: Final = 0.05  # seconds covered by one slot
SHARED_FRACTION: Final = 0.7  # part of a slot's capacity that requests without precedence may use
MAX_SPREAD_SLOTS: Final = 40  # slots over which one cost is spread before the rest goes into the next slot
RESERVATION_GRACE_S: Final = 0.2  # seconds after a slot before its reservations count as claimed or unclaimed
DECAY_PER_SLOT: Final = 0.9  # factor applied to the reserved and claimed sums for each past slot
COMPLIANCE_PRIOR: Final = 0.05  # thread-seconds added to both sums, so that compliance starts at 1
ROUNDING_TOLERANCE: Final = 1e-9  # thread-seconds


def slot_number(at: float) -> int:
    """Number of the slot that contains the time `at`."""
    return int(at / SLOT_S)


class CapacitySlots:
    """Slots of `SLOT_S` seconds, each with a capacity in thread-seconds."""

    def __init__(self, capacity_at: Callable[[float], float]) -> None:
        """Create empty slots; `capacity_at` returns the usable thread-seconds per second at a given time."""
        self._capacity_at = capacity_at
        self._reserved: dict[int, float] = {}
        self._claimed: dict[int, float] = {}  # reserved cost whose request was retried
        self._admitted: dict[int, float] = {}
        self._past_reserved = 0.0  # decaying sum of the cost reserved in past slots
        self._past_claimed = 0.0  # decaying sum of the cost claimed in past slots
        self._first_open_slot = 0

    @property
    def compliance(self) -> float:
        """Fraction of the cost reserved in recent past slots that was claimed; 1 at the start."""
        return min(1.0, (self._past_claimed + COMPLIANCE_PRIOR) / (self._past_reserved + COMPLIANCE_PRIOR))

    def has_capacity(self, slot: int, precedence: bool, cost: float) -> bool:
        """Whether a request fits into a slot; with precedence it may use the whole capacity."""
        fraction = 1.0 if precedence else SHARED_FRACTION
        capacity = self._capacity_at(slot * SLOT_S) * SLOT_S * fraction
        outstanding = max(0.0, self._reserved.get(slot, 0.0) - self._claimed.get(slot, 0.0))
        free = capacity - self._admitted.get(slot, 0.0) - self.compliance * outstanding
        return 0.0 < min(cost, capacity) <= free + ROUNDING_TOLERANCE

    def reserve(self, slot: int, cost: float) -> None:
        """Reserve capacity, starting at a slot, for a request that should be retried then."""
        self._add_cost(self._reserved, slot, cost)

    def claim_reservation(self, slot: int, cost: float) -> None:
        """Record that a request with a reservation in this slot was retried."""
        self._claimed[slot] = self._claimed.get(slot, 0.0) + cost

    def admit(self, slot: int, cost: float) -> None:
        """Use capacity, starting at a slot, for an admitted request."""
        self._add_cost(self._admitted, slot, cost)

    def expire_slots(self, now: float) -> None:
        """Drop past slots and add their reserved and claimed costs to the decaying sums."""
        until = int((now - RESERVATION_GRACE_S) / SLOT_S)
        if until <= self._first_open_slot:
            return
        for slot in sorted(slot for slot in self._reserved if slot < until):
            self._past_reserved = DECAY_PER_SLOT * self._past_reserved + self._reserved.pop(slot)
            self._past_claimed = DECAY_PER_SLOT * self._past_claimed + self._claimed.pop(slot, 0.0)
        for slot in [slot for slot in self._admitted if slot < until]:
            del self._admitted[slot]
        self._first_open_slot = until

    def _add_cost(self, slots: dict[int, float], slot: int, cost: float) -> None:
        """Add a cost to a slot; a cost beyond the slot's free capacity is spread over the next slots."""
        for _ in range(MAX_SPREAD_SLOTS):
            free = self._capacity_at(slot * SLOT_S) * SLOT_S - slots.get(slot, 0.0)
            part = max(0.0, min(cost, free))
            slots[slot] = slots.get(slot, 0.0) + part
            cost -= part
            if cost <= ROUNDING_TOLERANCE:
                return
            slot += 1
        slots[slot] = slots.get(slot, 0.0) + cost
