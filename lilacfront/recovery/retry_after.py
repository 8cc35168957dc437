"""Retry-After times for requests that are rejected during a recovery. No I/O; times are in seconds.

Each rejection reserves the cost of the request in the first time slot with enough free capacity. Retries
thus follow the capacity of the engines as they warm up, without coordination between front ends. The class
of the highest priority may use the whole capacity of a slot, other classes only a part. A request that is
rejected again at its retry time may also use the whole capacity.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

from lilacfront.recovery.capacity_slots import SLOT_S, CapacitySlots, slot_number

EARLY_TOLERANCE_S: Final = 0.1  # allows for differences of clocks and network latencies
LATE_TOLERANCE_S: Final = 2.0  # a retry up to this much after its time needs no free capacity
SEARCH_RESET_S: Final = 0.5  # period after which the search for a slot starts from the first slot again
MAX_RETRY_TIMES: Final = 65_536  # by call id; the oldest are dropped
MIN_RETRY_AFTER_S: Final = 0.001  # 0 would mean no Retry-After time
OVERFLOW_SPREAD: Final = (0.5, 1.0)  # range as fractions of the longest wait, used when no slot is free


class RetryAfterScheduler:
    """Chooses retry times and admits requests that are retried at these times.

    Attributes:
        max_retry_after_s: Longest Retry-After time; 0 disables Retry-After.
    """

    def __init__(
        self,
        capacity_at: Callable[[float], float],
        top_priority_class: int,
        max_retry_after_s: float,
        seed: int,
    ) -> None:
        """Create a scheduler; `capacity_at` returns the usable thread-seconds per second at a given time."""
        self.max_retry_after_s = max_retry_after_s
        self._slots = CapacitySlots(capacity_at)
        self._top_priority_class = top_priority_class
        self._random = random.Random(seed)
        self._retry_at: dict[bytes, float] = {}  # retry time by call id
        # First slot to search by class and precedence; the slots before it are full.
        self._search_from: dict[tuple[int, bool], int] = {}
        self._search_reset_at = -math.inf

    @property
    def compliance(self) -> float:
        """Fraction of the recently reserved cost that was claimed by retries."""
        return self._slots.compliance

    def admit(self, now: float, call_id: bytes, class_index: int, cost: float) -> bool:
        """Whether a request whose class is served may run now; if so, takes its cost from the capacity."""
        self._slots.expire_slots(now)
        slot = slot_number(now)
        retry_at = self._retry_at.get(call_id)
        if retry_at is not None:
            if retry_at - EARLY_TOLERANCE_S > now:
                return False  # too early; `schedule` returns the same retry time again
            del self._retry_at[call_id]
            if now <= retry_at + LATE_TOLERANCE_S:
                self._slots.claim_reservation(slot_number(retry_at), cost)
                self._slots.admit(slot, cost)
                return True
        if not self._slots.has_capacity(slot, class_index == self._top_priority_class, cost):
            return False
        self._slots.admit(slot, cost)
        return True

    def schedule(self, now: float, call_id: bytes, class_index: int, cost: float, earliest: float) -> float:
        """Seconds until a rejected request should be retried, at the time `earliest` or later."""
        if self.max_retry_after_s <= 0:
            return 0.0
        self._slots.expire_slots(now)
        retry_at = self._retry_at.get(call_id)
        if retry_at is not None and retry_at - EARLY_TOLERANCE_S > now:
            return retry_at - now
        precedence = retry_at is not None or class_index == self._top_priority_class
        slot = self._reserve(now, class_index, precedence, cost, earliest)
        retry_at = (slot + self._random.random()) * SLOT_S
        self._store_retry_time(call_id, retry_at)
        return max(MIN_RETRY_AFTER_S, min(retry_at - now, self.max_retry_after_s))

    def _reserve(self, now: float, class_index: int, precedence: bool, cost: float, earliest: float) -> int:
        """Reserve the first slot with free capacity; if there is none, choose one at random, unreserved."""
        slot = self._find_slot(now, class_index, precedence, cost, earliest)
        if slot is None:
            return slot_number(now + self._random.uniform(*OVERFLOW_SPREAD) * self.max_retry_after_s)
        self._slots.reserve(slot, cost)
        return slot

    def _find_slot(
        self, now: float, class_index: int, precedence: bool, cost: float, earliest: float
    ) -> int | None:
        if now - self._search_reset_at >= SEARCH_RESET_S:
            # The capacity changes with the set of ready engines.
            self._search_from.clear()
            self._search_reset_at = now
        key = (class_index, precedence)
        first = slot_number(max(now, earliest)) + 1
        end = slot_number(now + self.max_retry_after_s)
        slot = max(first, self._search_from.get(key, first))
        while slot < end and not self._slots.has_capacity(slot, precedence, cost):
            slot += 1
        self._search_from[key] = slot
        return slot if slot < end else None

    def _store_retry_time(self, call_id: bytes, retry_at: float) -> None:
        self._retry_at.pop(call_id, None)
        self._retry_at[call_id] = retry_at
        while len(self._retry_at) > MAX_RETRY_TIMES:
            del self._retry_at[next(iter(self._retry_at))]


def warm_up_curve(cold_fraction: float, warm_up_s: float, started_at: float) -> Callable[[float], float]:
    """Fraction of their capacity that engines have over time if all started cold at `started_at`."""

    def fraction(at: float) -> float:
        elapsed = at - started_at
        if elapsed < 0:
            return 0.0
        progress = min(1.0, elapsed / max(1e-6, warm_up_s))
        # The request router assumes the same curve.
        return cold_fraction + (1.0 - cold_fraction) * progress * progress

    return fraction
