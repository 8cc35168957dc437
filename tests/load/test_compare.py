"""Comparison of runs."""

from __future__ import annotations

import numpy as np

from lilacfront.load.compare import compare_runs
from lilacfront.load.histogram import (
    encode_histogram,
    record_latency,
)
from lilacfront.load.measurements import Second


def test_significance_of_differences() -> None:
    random = np.random.default_rng(5)

    def run(factor: float) -> list[Second]:
        seconds = []
        for n in range(60):
            counts: dict[int, int] = {}
            for value in random.lognormal(-4, 0.5, 100) * factor * random.uniform(0.8, 1.25):
                record_latency(counts, value)
            seconds.append(Second(n, 100, {"served": 100}, encode_histogram(counts), 0.0))
        return seconds

    baseline, equal, slower = run(1.0), run(1.0), run(1.3)
    verdicts = {difference.name: difference.verdict for difference in compare_runs(baseline, equal)}
    assert verdicts["p50"] == verdicts["p99"] == "not significant"
    assert verdicts["served"] == "no difference"
    differences = {difference.name: difference for difference in compare_runs(baseline, slower)}
    assert differences["p50"].verdict == "significant"
    assert differences["p50"].change.low > 0
    assert "not compared" in compare_runs(baseline[:5], slower)[0].verdict
