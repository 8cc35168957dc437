"""Pool of the surplus budget of idle teams, from which their siblings may borrow."""

from __future__ import annotations

from lilacfront.teams.token_bucket import ROUNDING_TOLERANCE, TokenBucket

MAX_SURPLUS_S = 2.0  # most seconds of a contributor's rate that a pool keeps
MIN_SCALE = 1e-6  # below this, contributions are stored unscaled again to keep their precision


class SurplusPool:
    """The overflow of the buckets below one node, per contributor.

    A borrower can't borrow its own contribution. A loan is taken from all other contributors in proportion
    to their contributions. Contributions are stored divided by a common scale, so a loan only changes the
    scale and the borrower's entry instead of every entry.
    """

    __slots__ = ("_contributions", "_scale", "total")

    def __init__(self) -> None:
        self._contributions: dict[TokenBucket, float] = {}
        self._scale = 1.0
        self.total = 0.0

    def contribution(self, contributor: TokenBucket | None) -> float:
        """Returns the remaining thread-seconds that this bucket has contributed."""
        if contributor is None:
            return 0.0
        return self._contributions.get(contributor, 0.0) * self._scale

    def contribute(self, contributor: TokenBucket, amount: float) -> None:
        """Add a bucket's overflow; the part that exceeds the contributor's limit is discarded."""
        accepted = min(amount, MAX_SURPLUS_S * contributor.rate - self.contribution(contributor))
        if accepted > 0:
            scaled = accepted / self._scale
            self._contributions[contributor] = self._contributions.get(contributor, 0.0) + scaled
            self.total += accepted

    def available_to(self, borrower: TokenBucket | None) -> float:
        """Returns the thread-seconds that the borrower may borrow."""
        return max(0.0, self.total - self.contribution(borrower))

    def lend(self, cost: float, borrower: TokenBucket | None) -> float:
        """Lend `cost` and return the part that could not be lent; a negative cost returns part of a loan."""
        own_contribution = self.contribution(borrower)
        available = self.available_to(borrower)
        if available <= ROUNDING_TOLERANCE:
            return max(0.0, cost)
        uncovered = max(0.0, cost - available)
        factor = 1.0 - (cost - uncovered) / available
        self._rescale(factor)
        if borrower is not None and own_contribution:
            self._contributions[borrower] = own_contribution / self._scale
        self.total = own_contribution + available * factor
        return uncovered

    def _rescale(self, factor: float) -> None:
        """Multiply all contributions by `factor`."""
        if self._scale * factor >= MIN_SCALE:
            self._scale *= factor
            return
        self._contributions = {
            contributor: amount * self._scale * factor for contributor, amount in self._contributions.items()
        }
        self._scale = 1.0
