"""Latency histograms: HdrHistogram in microseconds with three significant digits, up to one hour."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 3_600_000_000
US_PER_MS = 1000
SIGNIFICANT_DIGITS = 3
BUCKET_BITS = 11  # HdrHistogram uses buckets of 2,048 slots for three digits
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}

BucketCounts = dict[int, int]  # counts by the lowest value of a histogram slot, in microseconds


def new_histogram() -> Any:
    """Returns an empty histogram."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record_latency(counts: BucketCounts, seconds: float) -> None:
    """Counts a latency in the same slot as HdrHistogram's `record_value`, in half the time.

    The buckets of a histogram double in width and have 2,048 slots each, so the lowest value of a slot is
    the value with all bits but the first eleven cleared. Values outside the range are clamped to it.
    """
    value = min(MAX_LATENCY_US, max(1, round(seconds * 1e6)))
    if (dropped_bits := value.bit_length() - BUCKET_BITS) > 0:
        value = value >> dropped_bits << dropped_bits
    counts[value] = counts.get(value, 0) + 1


def encode_histogram(counts: BucketCounts) -> str:
    """Encodes the counts as a histogram, in HdrHistogram's V2 encoding and base64."""
    histogram = new_histogram()
    for value, count in counts.items():
        histogram.record_value(value, count)
    return str(histogram.encode().decode())


def merge_histograms(encoded: Iterable[str]) -> Any:
    """Returns the sum of encoded histograms."""
    total = new_histogram()
    for text in encoded:
        total.decode_and_add(text.encode())
    return total


def percentiles_ms(histogram: Any) -> dict[str, float | None]:
    """Returns `p50`, `p90`, `p99`, `p999` and `max` in milliseconds; all None for an empty histogram."""
    if not histogram.get_total_count():
        return {**dict.fromkeys(PERCENTILES), "max": None}
    figures: dict[str, float | None] = {
        name: round(histogram.get_value_at_percentile(percent) / US_PER_MS, 3)
        for name, percent in PERCENTILES.items()
    }
    figures["max"] = round(histogram.get_max_value() / US_PER_MS, 3)
    return figures
