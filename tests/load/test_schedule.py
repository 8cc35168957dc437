"""Arrival schedules of a plan."""

from __future__ import annotations

from collections import Counter

import msgspec
import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from load_builders import SIMPLE_PLAN, plan

from lilacfront.load.phases import RatePoint
from lilacfront.load.plan import parse
from lilacfront.load.schedule import CumulativeRate, schedule

ARRIVALS_BY_PHASE = {
    'shape = "constant"\nrate = 0.0\nseconds = 5.0': 0,
    'shape = "constant"\nrate = 40.0\nseconds = 5.0': 200,
    'shape = "ramp"\nrate = 0.0\nto = 80.0\nseconds = 5.0': 200,
    'shape = "step"\nrate = 10.0\nto = 50.0\nsteps = 3\nseconds = 6.0': 180,
    'shape = "burst"\nrate = 10.0\nburst_rate = 100.0\nlength = 1.0\nperiod = 2.5\nseconds = 5.0': 230,
    'shape = "daily"\npoints = [["06:00", 10.0], ["18:00", 30.0]]\nseconds = 10.0': 200,
    'shape = "daily"\npoints = [["00:00", 0.0], ["24:00", 20.0]]\nseconds = 10.0': 100,
}


@pytest.mark.parametrize("phase", ARRIVALS_BY_PHASE)
def test_number_of_arrivals_in_each_phase_shape(phase: str) -> None:
    text = SIMPLE_PLAN.replace('shape = "constant"\nrate = 300.0\nseconds = 20.0', phase)
    even = list(schedule(parse(text.replace("seed = 11", 'arrivals = "even"').encode())))
    assert len(even) == ARRIVALS_BY_PHASE[phase]
    poisson_counts = [len(list(schedule(parse(text.replace("11", str(n)).encode())))) for n in range(30)]
    # Poisson arrivals: the mean of 30 schedules is within four standard errors of the expected count.
    assert (
        abs(np.mean(poisson_counts) - ARRIVALS_BY_PHASE[phase]) <= 4 * (ARRIVALS_BY_PHASE[phase] / 30) ** 0.5
    )


@given(
    st.lists(st.tuples(st.floats(0.01, 50), st.floats(0, 1000)), min_size=2, max_size=6),
    st.lists(st.floats(0, 0.999999), min_size=1, max_size=20),
)
def test_inverse_of_cumulative_rate(steps: list[tuple[float, float]], fractions: list[float]) -> None:
    start_s, points = 0.0, []
    for length, rate in steps:
        points.append(RatePoint(start_s, rate))
        start_s += length
    cumulative = CumulativeRate(tuple(points))
    areas = np.sort(np.array(fractions)) * cumulative.total
    times = cumulative.inverse(areas)
    assert (np.diff(times) >= -1e-9).all()
    assert (times >= 0).all()
    assert (times <= points[-1].at_s + 1e-9).all()
    for time_, area in zip(times, areas, strict=True):
        points_before = [point for point in points if point.at_s <= time_]
        next_point = next((point for point in points if point.at_s > time_), points[-1])
        last = points_before[-1]
        span_s = next_point.at_s - last.at_s
        fraction = (time_ - last.at_s) / span_s if next_point.at_s > last.at_s else 0.0
        end = RatePoint(time_, last.rate + (next_point.rate - last.rate) * fraction)
        assert CumulativeRate((*points_before, end)).total == pytest.approx(
            area, abs=1e-6 * max(1.0, cumulative.total)
        )


def test_schedule_of_a_seed_does_not_depend_on_the_number_of_workers() -> None:
    entry = {"statement": "SELECT {id} FROM s_{group}.t", "groups": {"exponent": 1.0, "count": 9}}
    entry["parameters"] = {"id": {"low": 1, "high": 10**6}}
    seeded_plan = plan(rate=900.0, mix=[msgspec.convert(entry, type(plan().mix[0]))])
    single = list(schedule(seeded_plan))
    for workers in (2, 3, 7):
        shared = [
            request
            for rank in range(workers)
            for request in schedule(seeded_plan, rank=rank, workers=workers)
        ]
        assert sorted(shared, key=lambda request: request.number) == single
    groups = Counter(request.statement.partition(b"s_")[2].partition(b".")[0] for request in single)
    assert groups[b"1"] / groups[b"4"] == pytest.approx(4.0, rel=0.35)
    assert single != list(schedule(msgspec.structs.replace(seeded_plan, seed=12)))
