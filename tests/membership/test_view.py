"""Applying updates to the view is commutative and idempotent."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lilacfront.membership.messages import MemberState, MemberUpdate
from lilacfront.membership.view import MembershipView

UPDATES = st.builds(MemberUpdate, st.integers(0, 5), st.integers(1, 4), st.sampled_from(MemberState))


@given(st.lists(UPDATES, max_size=12), st.randoms(use_true_random=False))
def test_order_and_repetition_of_updates_do_not_change_the_view(
    updates: list[MemberUpdate], rng: random.Random
) -> None:
    views = []
    for _ in range(2):
        view = MembershipView(5, 0, 0.0)
        for update in updates + rng.sample(updates, len(updates) // 2):
            previous_incarnation = view.incarnations[update.member] if update.member < 5 else 0
            view.apply(update, 1.0, "reported")
            assert update.member == 5 or view.incarnations[update.member] >= previous_incarnation
        assert sum(view.counts) == 5
        assert view.counts[0] == list(view.states).count(0)
        views.append(view)
        rng.shuffle(updates)
    assert views[0].same_as(views[1])


def test_view_of_the_largest_tier_is_below_64_kib() -> None:
    view = MembershipView(1024, 0, 0.0)
    assert len(view.states) + 8 * (len(view.incarnations) + len(view.state_since)) < 64 << 10
