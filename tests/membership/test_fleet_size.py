"""The estimated number of front ends, and the turns on warming engines."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lilacfront.decisions.slow_start import BUDGET_FRACTION
from lilacfront.membership.fleet_size import GROWTH_HALF_LIFE_S, FleetSize


def adjusting_fleet_size(members: int, index: int = 0) -> FleetSize:
    fleet_size = FleetSize(members, index)
    fleet_size.adjusts_turns = fleet_size.adjusts_thread_limit = fleet_size.adjusts_quotas = True
    return fleet_size


def failed_flags(live: int, dead: int) -> list[bool]:
    return [False] * live + [True] * dead


@given(st.integers(2, 40), st.integers(0, 4), st.randoms(use_true_random=False))
def test_shares_do_not_exceed_the_capacity_in_any_partition(
    members: int, left: int, rng: random.Random
) -> None:
    left = min(left, members - 1)
    partition = [rng.randrange(1 + rng.randrange(5)) for _ in range(members)]
    remaining = members - left  # members from this number on have left
    sizes = [adjusting_fleet_size(members, member) for member in range(members)]
    for round_number in range(40):  # enough rounds for all counts to fall to their minimum
        for member in range(remaining):
            failed = [partition[other] != partition[member] or other >= remaining for other in range(members)]
            reported = [
                sizes[other].own_estimate
                for other in range(remaining)
                if not failed[other] and other != member
            ]
            sizes[member].update(5.0 * round_number, failed, left, reported)
    assert BUDGET_FRACTION * sum(1.0 / size.turn_divisor for size in sizes[:remaining]) <= 1.0 + 1e-9
    # At most 2 * n front ends have one of the first n turns, whatever the order.
    for turns in range(1, members):
        start = rng.randrange(members)
        senders = sum(size.turn_of_gateway(start) < turns for size in sizes[:remaining])
        assert senders <= 2 * turns


def test_count_falls_slowly_and_rises_at_once() -> None:
    size = adjusting_fleet_size(100)
    size.update(0.0, failed_flags(100, 0), 0)
    size.update(GROWTH_HALF_LIFE_S, failed_flags(30, 70), 0, [100] * 29)
    assert size.count == 100  # the other members still report 100
    size.update(2 * GROWTH_HALF_LIFE_S, failed_flags(30, 70), 0, [30] * 25 + [100] * 4)
    assert size.count == 50  # a fifth of the reports is ignored; at least half are counted
    size.update(2 * GROWTH_HALF_LIFE_S + 0.1, failed_flags(40, 60), 0, [50] * 29)
    assert size.count == 50
    size.update(2 * GROWTH_HALF_LIFE_S + 0.2, failed_flags(90, 10), 0, [50] * 29)
    assert size.count == 90
    size.update(2 * GROWTH_HALF_LIFE_S + 0.3, failed_flags(30, 70), 0, [30] * 29, is_connected=False)
    assert size.count == 100  # it may be isolated itself


def test_counts_fall_although_members_report_to_each_other() -> None:
    sizes = [adjusting_fleet_size(4, member) for member in range(2)]
    for round_number in range(9):
        for size in sizes:
            reported = [sizes[0].own_estimate, sizes[1].own_estimate]
            size.update(round_number * GROWTH_HALF_LIFE_S, failed_flags(2, 2), 0, reported)
    assert [size.count for size in sizes] == [2, 2]


def test_members_that_have_left_are_not_counted() -> None:
    size = adjusting_fleet_size(100)
    size.update(9 * GROWTH_HALF_LIFE_S, failed_flags(40, 60), 60, [40] * 39)
    assert size.count == 40


MEMBERS, DEAD = 10, {0, 4, 8}


def updated(sizes: list[FleetSize]) -> list[FleetSize]:
    failed = [member in DEAD for member in range(MEMBERS)]
    for round_number in range(20):
        for size in sizes:
            size.update(GROWTH_HALF_LIFE_S * round_number, failed, 0, [7] * 6)
    return sizes


def test_turns_skip_dead_members() -> None:
    sizes = updated([adjusting_fleet_size(MEMBERS, member) for member in range(MEMBERS)])
    for start in range(MEMBERS):
        turns = sorted(
            sizes[member].turn_of_gateway(start) for member in range(MEMBERS) if member not in DEAD
        )
        assert turns == list(range(7))
    assert {size.turn_divisor for size in sizes} == {7}


def test_without_adjustment_all_members_are_counted() -> None:
    sizes = updated([FleetSize(MEMBERS, member) for member in range(MEMBERS)])
    for start in range(MEMBERS):
        turns = [size.turn_of_gateway(start) for size in sizes]
        assert turns == [(member + start) % MEMBERS for member in range(MEMBERS)]
    assert {size.turn_divisor for size in sizes} == {MEMBERS}
