"""A quantile sketch with exponential decay: a histogram with logarithmic buckets and decaying counts.

It uses the buckets of DDSketch (Masson, Rim and Lee, 2019) with forward decay (Cormode et al., 2009): new
counts are scaled up instead of scaling old counts down, and all are rescaled before they get too large.
"""

from __future__ import annotations

import math

BUCKET_RATIO = 1.04  # ratio of the bounds of neighbouring buckets; the error of a quantile is at most 2%
MIN_VALUE = 1e-6  # smaller values are counted as this value
MAX_VALUE = 1e6  # larger values are counted as this value
MAX_SCALE = 1e12  # counts are rescaled when the weight of a new value exceeds this
MIN_KEPT_COUNT = 1e-9  # rescaling drops buckets with a decayed count up to this
MIN_SAVED_COUNT = 1e-6  # `state` leaves out buckets with a decayed count up to this
MAX_CACHE_AGE = 16  # cached quantiles are recomputed after this many added values
_LOG_RATIO = math.log(BUCKET_RATIO)


class QuantileSketch:
    """Quantiles of positive values; the weight of a value halves every `half_life_s` seconds."""

    __slots__ = ("_added_since_cached", "_buckets", "_cache", "_decay_rate", "_scaled_at", "total")

    def __init__(self, half_life_s: float, now: float) -> None:
        self._decay_rate = math.log(2) / half_life_s
        self._scaled_at = now
        self._buckets: dict[int, float] = {}
        self._added_since_cached = 0
        self._cache: dict[tuple[float, ...], list[float]] = {}
        self.total = 0.0  # weight of all values; a value added at the last rescaling has weight 1

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        scale = self._scale(now)
        if scale > MAX_SCALE:
            self._rescale(scale, now)
            scale = 1.0
        clamped = min(MAX_VALUE, max(MIN_VALUE, value))
        bucket = math.ceil(math.log(clamped) / _LOG_RATIO)
        self._buckets[bucket] = self._buckets.get(bucket, 0.0) + scale
        self.total += scale
        self._added_since_cached += 1

    def weight(self, now: float) -> float:
        """Returns the decayed number of values."""
        return self.total * math.exp(-self._decay_rate * (now - self._scaled_at))

    def quantiles(self, probabilities: tuple[float, ...]) -> list[float]:
        """Returns the quantile for each probability; 0 if no value was added.

        Probabilities must be ascending. The result may not include the last `MAX_CACHE_AGE` values.
        """
        if self._added_since_cached >= MAX_CACHE_AGE or len(self._buckets) < MAX_CACHE_AGE:
            self._cache.clear()
            self._added_since_cached = 0
        cached = self._cache.get(probabilities)
        if cached is None:
            cached = self._compute(probabilities)
            self._cache[probabilities] = cached
        return cached

    def _compute(self, probabilities: tuple[float, ...]) -> list[float]:
        if not self._buckets:
            return [0.0 for _ in probabilities]
        values: list[float] = []
        buckets = sorted(self._buckets)
        index = 0
        weight_below = 0.0  # weight of the buckets below buckets[index]
        for probability in probabilities:
            target = probability * self.total
            while index < len(buckets) - 1 and weight_below + self._buckets[buckets[index]] < target:
                weight_below += self._buckets[buckets[index]]
                index += 1
            values.append(2 * BUCKET_RATIO ** buckets[index] / (1 + BUCKET_RATIO))
        return values

    def _scale(self, now: float) -> float:
        """Returns the weight of a value added now."""
        return math.exp(self._decay_rate * (now - self._scaled_at))

    def _rescale(self, scale: float, now: float) -> None:
        self._buckets = self._scaled_down(scale, MIN_KEPT_COUNT)
        self.total = sum(self._buckets.values())
        self._scaled_at = now

    def _scaled_down(self, scale: float, min_count: float) -> dict[int, float]:
        scaled = ((bucket, weight / scale) for bucket, weight in self._buckets.items())
        return {bucket: count for bucket, count in scaled if count > min_count}

    # ---- to and from a snapshot -----------------------------------------------------------------
    def state(self, now: float) -> dict[int, float]:
        """Returns the decayed count of each bucket, for `restore`."""
        return self._scaled_down(self._scale(now), MIN_SAVED_COUNT)

    def restore(self, state: dict[int, float], now: float) -> None:
        """Replace all counts with those of `state`."""
        self._buckets = dict(state)
        self._scaled_at = now
        self._added_since_cached = MAX_CACHE_AGE
        self.total = sum(state.values())
