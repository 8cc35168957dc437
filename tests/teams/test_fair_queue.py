"""Tests of start-time fair queueing."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lilacfront.teams.fair_queue import FairQueue


@given(
    st.lists(st.floats(0.1, 10), min_size=2, max_size=6),
    st.lists(st.tuples(st.integers(0, 5), st.floats(0.01, 5)), min_size=20, max_size=120),
)
def test_active_leaves_stay_within_the_fairness_bound(
    weights: list[float], costs: list[tuple[int, float]]
) -> None:
    """Checks the fairness bound of SFQ (Goyal et al., theorem 1).

    While two leaves f and m are active, |W_f/w_f - W_m/w_m| <= c_f/w_f + c_m/w_m, where W is the work served,
    w the weight and c the largest cost of a request.
    """
    queue = FairQueue()
    leaves = [queue.add(queue.root, weight) for weight in weights]
    for leaf in leaves:
        leaf.activate()
    work = [0.0] * len(leaves)
    largest_cost = 0.0
    for _, cost in costs:
        served = queue.next_leaf()
        assert served is not None
        served.charge(cost)
        work[leaves.index(served)] += cost
        largest_cost = max(largest_cost, cost)
    work_per_weight = [done / weight for done, weight in zip(work, weights, strict=True)]
    bound = sum(sorted((largest_cost / weight for weight in weights), reverse=True)[:2])
    assert max(work_per_weight) - min(work_per_weight) <= bound + 1e-6
