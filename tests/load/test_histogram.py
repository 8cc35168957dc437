"""Latency histograms."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lilacfront.load.histogram import (
    encode_histogram,
    merge_histograms,
    new_histogram,
    record_latency,
)


@given(st.lists(st.integers(1, 3_600_000_000), max_size=50))
def test_slots_are_those_of_hdr_histogram(values: list[int]) -> None:
    expected, counts = new_histogram(), dict[int, int]()
    for value in values:
        expected.record_value(value)
        record_latency(counts, value / 1e6)
    recorded = merge_histograms([encode_histogram(counts)])
    assert recorded.get_total_count() == len(values)
    for percent in (0, 50, 90, 99.9, 100):
        assert recorded.get_value_at_percentile(percent) == expected.get_value_at_percentile(percent)
