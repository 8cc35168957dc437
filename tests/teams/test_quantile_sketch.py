"""Tests of the quantile sketch with exponential decay."""

from __future__ import annotations

import random

import pytest

from lilacfront.teams.quantile_sketch import QuantileSketch


@pytest.mark.parametrize("probability", [0.05, 0.5, 0.95])
def test_quantiles_are_accurate_and_old_values_decay(probability: float) -> None:
    rng = random.Random(4)
    sketch = QuantileSketch(60.0, 0.0)
    old_values = [rng.lognormvariate(3, 1) for _ in range(2000)]
    new_values = sorted(rng.lognormvariate(0, 0.5) for _ in range(2000))
    for value in old_values:
        sketch.add(value, 0.0)
    expected = sorted(old_values)[int(probability * 2000)]
    assert sketch.quantiles((probability,))[0] == pytest.approx(expected, rel=0.05)
    for value in new_values:
        sketch.add(value, 3600.0)
    assert sketch.quantiles((probability,))[0] == pytest.approx(new_values[int(probability * 2000)], rel=0.05)
    assert sketch.weight(3660.0) == pytest.approx(1000, rel=0.01)
    restored = QuantileSketch(60.0, 0.0)
    restored.restore(sketch.state(3600.0), 3600.0)
    assert restored.quantiles((probability,)) == sketch.quantiles((probability,))
