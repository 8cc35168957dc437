"""Learns the cost of requests in thread-seconds, by class and statement fingerprint."""

from __future__ import annotations

import hashlib
import re
from collections import OrderedDict
from collections.abc import Sequence

from lilacfront.teams.quantile_sketch import QuantileSketch

MAX_FINGERPRINTS = 4096  # fingerprints with a mean; the least recently recorded one is evicted
MAX_FINGERPRINTED_BYTES = 8 << 10  # only these first bytes of a statement determine its fingerprint
SMOOTHING_FACTOR = 0.2  # weight of a new value in the moving average of a fingerprint
CLASS_SMOOTHING_FACTOR = SMOOTHING_FACTOR / 4  # weight of a new value in the moving average of a class
DEFAULT_EXECUTION_S = 0.2  # expected execution time of a class without recorded requests
HALF_LIFE_S = 300.0  # half-life of the weight of an execution time in the quantiles
FAST_QUANTILE = 0.1  # probability of the quantile that `fast_quantile_seconds` returns
_LITERAL = re.compile(rb"'(?:[^'\\]|\\.|'')*'|\b\d[\w.]*\b|(?<=_)\d+")
_LIST = re.compile(rb"\?(?:\s*,\s*\?)+")


def statement_fingerprint(statement: bytes) -> bytes:
    """Returns a digest of a statement that ignores literals, digits in names, case and white space."""
    text = b" ".join(_LITERAL.sub(b"?", statement[:MAX_FINGERPRINTED_BYTES]).split())
    return hashlib.blake2b(_LIST.sub(b"?", text).lower(), digest_size=8).digest()


class CostModel:
    """Predicts a request's execution time; its cost is this time multiplied by the threads of its class.

    Exponential moving averages give the mean execution time for each pair of class and statement
    fingerprint, and for each class.

    Attributes:
        threads: Threads that a request uses while it runs, by class index.
    """

    def __init__(self, threads: Sequence[int], now: float) -> None:
        self.threads = tuple(threads)
        self._mean_seconds: OrderedDict[tuple[int, bytes], float] = OrderedDict()
        self._class_mean_seconds: list[float | None] = [None] * len(threads)
        self._execution_times = [QuantileSketch(HALF_LIFE_S, now) for _ in threads]

    def expected_seconds(self, class_index: int, fingerprint: bytes) -> float:
        """Returns the expected execution time: the fingerprint's mean, or the class's if there is none."""
        mean = self._mean_seconds.get((class_index, fingerprint))
        if mean is None:
            mean = self._class_mean_seconds[class_index]
        return DEFAULT_EXECUTION_S if mean is None else mean

    def expected_cost(self, class_index: int, fingerprint: bytes) -> float:
        """Returns the expected cost in thread-seconds."""
        return self.threads[class_index] * self.expected_seconds(class_index, fingerprint)

    def fast_quantile_seconds(self, class_index: int) -> float:
        """Returns the 10th percentile of the class's execution times in seconds.

        A request with less time left until its deadline is not worth starting.
        """
        return self._execution_times[class_index].quantiles((FAST_QUANTILE,))[0]

    def record(self, class_index: int, fingerprint: bytes, seconds: float, now: float) -> None:
        """Record the execution time of a request."""
        key = (class_index, fingerprint)
        mean = self._mean_seconds.pop(key, None)
        self._mean_seconds[key] = _smoothed(mean, seconds, SMOOTHING_FACTOR)
        if len(self._mean_seconds) > MAX_FINGERPRINTS:
            # Bounds the memory used if all statements are different.
            self._mean_seconds.popitem(last=False)
        class_mean = self._class_mean_seconds[class_index]
        self._class_mean_seconds[class_index] = _smoothed(class_mean, seconds, CLASS_SMOOTHING_FACTOR)
        self._execution_times[class_index].add(seconds, now)


def _smoothed(mean: float | None, value: float, factor: float) -> float:
    return value if mean is None else mean + factor * (value - mean)
