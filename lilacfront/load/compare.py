"""Compares two runs with bootstrap confidence intervals. Performs no I/O.

Requests of the same second are correlated, so whole seconds are resampled instead of requests (block
bootstrap; Künsch 1989). No warm-up is excluded: the first seconds, when connections are opened, count too.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from lilacfront.load.histogram import US_PER_MS, merge_histograms
from lilacfront.load.measurements import Second
from lilacfront.load.retry_policy import Outcome

Floats = NDArray[np.float64]
BOOTSTRAP_RESAMPLES = 1000
CONFIDENCE_LEVEL = 0.95
MIN_SECONDS = 10  # the shortest run whose significance is reported
QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999}


@dataclass(slots=True, frozen=True)
class Interval:
    """A figure with its 95% confidence interval."""

    value: float
    low: float
    high: float


@dataclass(slots=True, frozen=True)
class Difference:
    """The difference between two runs in one figure; `change` is second minus first."""

    name: str  # a percentile in milliseconds ("p50", ...), or an outcome, as a fraction of all requests
    first: Interval
    second: Interval
    change: Interval
    verdict: str  # whether the change is significant, as text


class Sample:
    """The measurements of one run as arrays, a row per second: counts by histogram slot and by outcome."""

    def __init__(self, seconds: list[Second]) -> None:
        histograms: list[Any] = [
            merge_histograms([second.intended] if second.intended else []) for second in seconds
        ]
        counts = np.array([histogram.counts[:] for histogram in histograms], dtype=np.float64)
        if not len(seconds):
            counts = np.zeros((0, 1))
        used = np.flatnonzero(counts.sum(axis=0))
        self.slots: Floats = counts[:, used]
        empty = merge_histograms([])
        values_us = [empty.get_value_from_index(int(slot)) for slot in used]
        self.values_ms = np.array(values_us, dtype=np.float64) / US_PER_MS
        outcome_counts = [
            [second.outcomes.get(outcome.value, 0) for outcome in Outcome] for second in seconds
        ]
        self.outcomes = np.array(outcome_counts, dtype=np.float64).reshape(len(seconds), len(Outcome))

    def __len__(self) -> int:
        return len(self.slots)

    def figures(self, weights: Floats) -> dict[str, Floats]:
        """Returns percentiles (ms) and outcome fractions, one value for each row of `weights`.

        Args:
            weights: The number of times that each second (column) occurs in each resample (row).
        """
        figures: dict[str, Floats] = {}
        cumulative = np.cumsum(weights @ self.slots, axis=1)
        total = cumulative[:, -1:] if cumulative.shape[1] else np.zeros((len(weights), 1))
        for name, quantile in QUANTILES.items():
            if not len(self.values_ms):
                figures[name] = np.zeros(len(weights))
                continue
            slot = (cumulative < np.ceil(total * quantile)).sum(axis=1)
            figures[name] = self.values_ms[np.minimum(slot, len(self.values_ms) - 1)]
        counts = weights @ self.outcomes
        requests = np.maximum(counts.sum(axis=1, keepdims=True), 1.0)
        for n, outcome in enumerate(Outcome):
            figures[outcome.value] = counts[:, n] / requests[:, 0]
        return figures


def confidence_intervals(seconds: list[Second], seed: int = 0) -> dict[str, Interval]:
    """Returns the interval of each figure of a run; empty for a run without measurements."""
    sample = Sample(seconds)
    if not len(sample):
        return {}
    figures = sample.figures(_resample_weights(len(sample), np.random.default_rng(seed)))
    return {name: _interval(values) for name, values in figures.items()}


def compare_runs(first: list[Second], second: list[Second], seed: int = 0) -> list[Difference]:
    """Returns the difference in each figure; empty if one of the runs has no measurements."""
    first_sample = Sample(first)
    second_sample = Sample(second)
    shorter = min(len(first_sample), len(second_sample))
    if not shorter:
        return []
    rng = np.random.default_rng(seed)
    first_figures = first_sample.figures(_resample_weights(len(first_sample), rng))
    second_figures = second_sample.figures(_resample_weights(len(second_sample), rng))
    differences = []
    for name, first_values in first_figures.items():
        second_values = second_figures[name]
        change = _interval(second_values - first_values)
        verdict = _verdict(change, shorter)
        differences.append(
            Difference(name, _interval(first_values), _interval(second_values), change, verdict)
        )
    return differences


def _verdict(change: Interval, seconds: int) -> str:
    if seconds < MIN_SECONDS:
        return f"not compared: fewer than {MIN_SECONDS} seconds"
    if change.low == change.high == 0:
        return "no difference"
    if change.low > 0 or change.high < 0:
        return "significant"
    return "not significant"


def _resample_weights(count: int, rng: np.random.Generator) -> Floats:
    """Draws the weights of the resamples; the first row, all ones, is the original run."""
    drawn = rng.multinomial(count, np.full(count, 1 / count), size=BOOTSTRAP_RESAMPLES).astype(np.float64)
    return np.vstack([np.ones((1, count)), drawn])


def _interval(values: Floats) -> Interval:
    low, high = np.quantile(values[1:], [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return Interval(float(values[0]), float(low), float(high))
