"""Token bucket whose tokens are thread-seconds: the budget of one team."""

from __future__ import annotations

ROUNDING_TOLERANCE = 1e-9  # tolerance in thread-seconds when costs are compared


class TokenBucket:
    """A bucket that fills at `rate` thread-seconds per second up to `burst`.

    `level` falls below 0 if a request costs more than the burst or more than was estimated.
    """

    __slots__ = ("burst", "level", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst

    def refill(self, seconds: float) -> float:
        """Add the tokens for `seconds`; returns the overflow."""
        self.level += self.rate * seconds
        overflow = self.level - self.burst
        if overflow <= 0:
            return 0.0
        self.level = self.burst
        return overflow

    def covers(self, cost: float) -> bool:
        """Whether a request of this cost may start.

        A full bucket covers any cost; otherwise a request that costs more than the burst could never start.
        """
        return self.level >= min(cost, self.burst) - ROUNDING_TOLERANCE

    def charge(self, cost: float) -> None:
        """Remove tokens for `cost`; a negative cost adds tokens."""
        self.level = min(self.burst, self.level - cost)

    def seconds_until_covered(self, cost: float, cost_ahead: float) -> float:
        """Returns the seconds until the bucket covers `cost` after `cost_ahead` is charged.

        The result is below 0 if the bucket holds more than that already.
        """
        return (cost_ahead + min(cost, self.burst) - self.level) / self.rate
