"""The budget that applies to a team's requests: hierarchical token buckets (HTB) that lend their surplus.

A bucket's overflow goes to the pool of the parent node, from which siblings may borrow. Only overflow is
lent, so an idle team's own bucket is full by the time that its budget is lent. The team can use its budget
again immediately, without interrupting running requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lilacfront.teams.surplus_pool import SurplusPool
from lilacfront.teams.token_bucket import ROUNDING_TOLERANCE, TokenBucket


@dataclass(slots=True, frozen=True)
class BudgetLevel:
    """One node on the path from a team to the root.

    Attributes:
        bucket: The node's own budget; None if it has none.
        pool: The surplus budget of the child nodes.
        contributor: The bucket of the child node on the path, which contributes to this pool; None if the
            child has none, and at the team's own level.
    """

    bucket: TokenBucket | None
    pool: SurplusPool
    contributor: TokenBucket | None


class TeamBudget:
    """The buckets and pools from one team to the root, the team's own first.

    A request within budget is charged to all buckets on the path. A borrowing request is charged to the pool
    of one level, the lending level, and to the buckets from that level up. So a loan stays within the budgets
    above the team that lends, and no thread-second is lent twice.
    """

    __slots__ = ("_buckets", "levels")

    def __init__(self, path: Iterable[tuple[TokenBucket | None, SurplusPool]]) -> None:
        levels: list[BudgetLevel] = []
        contributor: TokenBucket | None = None
        for bucket, pool in path:
            levels.append(BudgetLevel(bucket, pool, contributor))
            contributor = bucket
        self.levels = tuple(levels)
        self._buckets = tuple(level.bucket for level in levels if level.bucket is not None)

    def covers(self, cost: float) -> bool:
        """Whether a request of this cost may start without borrowing."""
        for bucket in self._buckets:  # noqa: SIM110 - on the path of every request, faster than a generator
            if not bucket.covers(cost):
                return False
        return True

    def find_lending_level(self, cost: float) -> int | None:
        """Returns the index of the nearest level that can lend the whole cost; None if there is none."""
        for index, level in enumerate(self.levels):
            available = level.pool.available_to(level.contributor)
            if 0 < cost <= available + ROUNDING_TOLERANCE and self._covered_from(index, cost):
                return index
        return None

    def _covered_from(self, index: int, cost: float) -> bool:
        return all(level.bucket is None or level.bucket.covers(cost) for level in self.levels[index:])

    def charge(self, cost: float, lending_level: int | None = None) -> None:
        """Charge the buckets and the pool that pay for a request; a negative cost is refunded to them.

        The part of a loan that the pool can't cover, because the request cost more than was estimated, is
        charged to the borrower's own buckets.
        """
        uncovered = 0.0
        if lending_level is not None:
            level = self.levels[lending_level]
            uncovered = level.pool.lend(cost, level.contributor)
        for index, level in enumerate(self.levels):
            if level.bucket is not None:
                pays_all = lending_level is None or index >= lending_level
                level.bucket.charge(cost if pays_all else uncovered)

    def seconds_until_covered(self, cost: float, cost_ahead: float = 0.0) -> float:
        """Returns the seconds until the budget covers `cost` after `cost_ahead` has been charged."""
        longest_s = 0.0
        for bucket in self._buckets:
            longest_s = max(longest_s, bucket.seconds_until_covered(cost, cost_ahead))
        return longest_s

    def max_loan(self) -> float:
        """Returns the most thread-seconds that a single level can lend now."""
        return max(level.pool.available_to(level.contributor) for level in self.levels)
