"""Estimate of the number of live front ends, by which each front end divides limits for its share. No I/O.

A dead front end can't be distinguished from one on the other side of a network partition. The sum of all
shares must not exceed the capacity of the engines in any partition, so two rules apply:

- A front end never counts fewer than MIN_COUNTED_FRACTION of the members that have not left.
- At most that fraction of a warming engine's budget is divided into shares (`slow_start.BUDGET_FRACTION`).

With N members in partitions of m1, m2, ... members, each of which counts all others as dead, the sum of the
shares is m1 / max(m1, N / 2) + m2 / max(m2, N / 2) + ... <= N / (N / 2) = 2, and 2 x 0.5 = 1 times the
capacity.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import accumulate

MIN_COUNTED_FRACTION = 0.5  # minimum fraction of members counted; must be >= slow_start.BUDGET_FRACTION
GROWTH_HALF_LIFE_S = 5.0  # half-life of the count when it falls: shares grow slowly, but shrink at once
MAX_FAULTY_FRACTION = 0.2  # fraction of the reported estimates, the highest ones, that is ignored
ROUNDING_TOLERANCE = 1e-9


class FleetSize:
    """The fleet size as front end `gateway_index` of `gateway_count` counts it; initially all are counted.

    Attributes:
        gateway_count: Number of front ends in the settings.
        gateway_index: Number of this front end, from 0.
        adjusts_turns: Whether shares and turns on warming engines use the count of live front ends.
        adjusts_thread_limit: Whether the limit on threads at all engines uses it.
        adjusts_quotas: Whether the quotas of tenants use it.
        smoothed_count: The count in use before it is rounded up.
        own_estimate: The estimate from this front end's own view, which is reported to other members.
    """

    def __init__(self, gateway_count: int, gateway_index: int) -> None:
        self.gateway_count = max(1, gateway_count)
        self.gateway_index = gateway_index
        self.adjusts_turns = False
        self.adjusts_thread_limit = False
        self.adjusts_quotas = False
        self.smoothed_count = float(self.gateway_count)
        self.own_estimate = self.gateway_count
        self._updated_at = -math.inf
        self._failed_before = [0] * (self.gateway_count + 1)  # index n: dead or left members below n

    @property
    def count(self) -> int:
        """The smoothed count, rounded up."""
        return math.ceil(self.smoothed_count - ROUNDING_TOLERANCE)

    @property
    def turn_divisor(self) -> int:
        """Divisor of shares and turns on warming engines."""
        return self.count if self.adjusts_turns else self.gateway_count

    @property
    def thread_limit_divisor(self) -> int:
        """Divisor of the limit on threads at all engines."""
        return self.count if self.adjusts_thread_limit else self.gateway_count

    @property
    def quota_divisor(self) -> int:
        """Divisor of the quotas of tenants."""
        return self.count if self.adjusts_quotas else self.gateway_count

    def update(
        self,
        now: float,
        failed: Iterable[bool],
        left: int,
        reported: Iterable[int] = (),
        is_connected: bool = True,
    ) -> None:
        """Update the count from the membership view and the estimates of other members.

        Args:
            now: Time in seconds.
            failed: Whether the member is dead or has left, for each member.
            left: Number of members that have left.
            reported: The estimates that other members reported.
            is_connected: False while this front end may be isolated itself.
        """
        self._count_failed(failed)
        remaining = max(1, self.gateway_count - min(left, self.gateway_count))
        self.own_estimate = self._estimate(remaining) if is_connected else remaining
        target = self._agreed_estimate(reported, remaining)
        decay = 0.5 ** (max(0.0, now - self._updated_at) / GROWTH_HALF_LIFE_S)
        if target >= self.smoothed_count:
            self.smoothed_count = float(target)
        else:
            self.smoothed_count = max(float(target), self.smoothed_count * decay)
        self._updated_at = now

    def _count_failed(self, failed: Iterable[bool]) -> None:
        counts = [0, *accumulate(int(is_failed) for is_failed in list(failed)[: self.gateway_count])]
        missing = self.gateway_count + 1 - len(counts)
        self._failed_before = counts + [counts[-1]] * missing

    def _estimate(self, remaining: int) -> int:
        live = self.gateway_count - self._failed_before[-1]
        return max(live, math.ceil(MIN_COUNTED_FRACTION * remaining), 1)

    def _agreed_estimate(self, reported: Iterable[int], remaining: int) -> int:
        """The maximum of the own and the reported estimates, without the highest reported ones.

        MAX_FAULTY_FRACTION of the reported estimates is ignored, so that a few faulty or outdated members
        can't keep the count high forever.
        """
        estimates = sorted(min(estimate, remaining) for estimate in reported)
        if not estimates:
            return self.own_estimate
        ignored = int(MAX_FAULTY_FRACTION * len(estimates))
        return max(self.own_estimate, estimates[len(estimates) - ignored - 1])

    def turn_of_gateway(self, start: int) -> int:
        """Position of this front end, from 0, in the order of turns.

        The first in the order is front end (-`start` mod `gateway_count`); ascending numbers follow.
        Failed front ends before this one are skipped, at most as many as the count in use leaves out. The
        position is at least MIN_COUNTED_FRACTION of the unadjusted one, so at most 2 * n front ends have one
        of the first n positions, whatever their views are.
        """
        position = (self.gateway_index + start) % self.gateway_count
        if not self.adjusts_turns or position == 0:
            return position
        first = (self.gateway_index - position) % self.gateway_count
        failed = self._failed_before[self.gateway_index] - self._failed_before[first]
        if first > self.gateway_index:
            failed += self._failed_before[-1]
        failed = min(failed, self.gateway_count - self.count)
        return max(position - failed, int(MIN_COUNTED_FRACTION * position))
