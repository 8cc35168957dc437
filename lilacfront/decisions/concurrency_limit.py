"""AM-C, an adaptive concurrency limit: adjusts the number of running threads to the observed latency."""

from __future__ import annotations

from dataclasses import dataclass

# AM-C's gamma of 0.1 (thesis, 7.3.1) times its ceiling of 8 s, since latency is a ratio here, not seconds.
UPDATE_GAIN = 0.8
MAX_SAMPLE_RATIO = 2.0  # cap, as a single slow query may be slow by itself
# A turn is a sequence of ended attempts whose threads add up to the limit.
RATIO_SMOOTHING = 0.5  # weight of the attempts of one turn in the smoothed ratio
MAX_STEP_PER_TURN = 1.25  # largest factor by which the limit changes in one turn
MIN_STEP_PER_TURN = 0.5  # smallest such factor; bounded because the ratio lags by about one turn
INITIAL_THREADS_PER_CORE = 3.0  # sum over all gateways
NO_RATIO = -1.0


@dataclass(slots=True, eq=False)
class ConcurrencyLimit:
    """A limit on this gateway's threads.

    Attributes:
        limit: Maximum number of threads that may run at once.
        latency_ratio: Smoothed ratio of observed to target latency; negative before the first sample.
        used: Number of running threads.
        was_full: Whether a request did not fit since the last update.
        peak_used: Maximum number of threads that ran at once since the last update.
    """

    limit: float
    latency_ratio: float = NO_RATIO
    used: int = 0
    was_full: bool = False
    peak_used: int = 0

    @property
    def has_ratio(self) -> bool:
        """Whether an attempt has been observed under this limit."""
        return self.latency_ratio >= 0

    def reset(self, limit: float) -> None:
        """Reset to the initial state with `limit`; running threads remain counted."""
        self.limit = limit
        self.latency_ratio = NO_RATIO
        self.was_full = False
        self.peak_used = 0

    def acquire(self, threads: int) -> None:
        """Count the threads of an attempt that starts."""
        self.used += threads
        self.peak_used = max(self.peak_used, self.used)

    def release(self, threads: int) -> None:
        """Stop counting the threads of an attempt that ended."""
        self.used -= threads

    def update(
        self,
        ratio: float,
        threads: int,
        *,
        initial_ratio: float,
        min_limit: float,
        min_turn_threads: float = 0.0,
    ) -> None:
        """Update the limit from one attempt: the new limit is N / (1 + gain (L - 1)) (thesis, eq. 6.1).

        L is the smoothed latency ratio. N is the current limit if it was full, else the peak use since the
        last update; for the pooled limit, N is always the current limit. The limit rises only if it was full.
        A step is spread over the attempts of one turn, because L reflects a change one turn later.

        Args:
            ratio: Ratio of observed to target latency of the attempt.
            threads: Number of threads of the attempt.
            initial_ratio: Initial value of the smoothed ratio.
            min_limit: Lower bound of the limit.
            min_turn_threads: Lower bound of the threads in a turn; nonzero only for the pooled limit.
        """
        weight = min(1.0, threads / max(min_turn_threads, self.limit))
        if self.latency_ratio < 0:
            self.latency_ratio = initial_ratio
        self.latency_ratio += RATIO_SMOOTHING * weight * (min(ratio, MAX_SAMPLE_RATIO) - self.latency_ratio)
        step = 1.0 / (1.0 + UPDATE_GAIN * (self.latency_ratio - 1.0))
        step = min(MAX_STEP_PER_TURN, max(MIN_STEP_PER_TURN, step)) ** weight
        if step >= 1.0 and not self.was_full:
            return
        base = self.limit
        if not self.was_full and not min_turn_threads:
            base = min(self.limit, max(self.peak_used, self.used + threads))
        self.limit = max(min_limit, base * step if step > 1.0 else min(self.limit, base * step))
        self.was_full = False
        self.peak_used = self.used
