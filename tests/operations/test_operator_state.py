"""Tests of merging and expiring operator directives."""

from __future__ import annotations

import random

import pytest

from lilacfront.operations.operator_state import OperatorState
from lilacfront.operations.state_record import PAUSE_TARGET, OperatorDirective, merge_directives


class Clock:
    """A simulated clock."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


def random_directives(rng: random.Random) -> list[OperatorDirective]:
    """Generate directives of three processes with unique pairs of revision and author."""
    targets = ["s-1", "s-2", PAUSE_TARGET]
    timestamps = rng.sample([(revision, author) for revision in range(6) for author in "abc"], 12)
    return [
        OperatorDirective(rng.choice(targets), revision, author, rng.random() < 0.5, 1.0, float(revision))
        for revision, author in timestamps
    ]


def merged_in_random_order(
    rng: random.Random, directives: list[OperatorDirective]
) -> dict[str, OperatorDirective]:
    """Merge all directives in random order and in two batches, some of them twice."""
    current: dict[str, OperatorDirective] = {}
    repeated = directives + rng.sample(directives, 5)
    rng.shuffle(repeated)
    split = rng.randrange(len(repeated))
    merge_directives(current, repeated[:split])
    merge_directives(current, repeated[split:])
    assert merge_directives(current, directives) == []
    return current


def test_merge_is_independent_of_order_and_repetition() -> None:
    rng = random.Random(5)
    for _ in range(200):
        directives = random_directives(rng)
        merged = [merged_in_random_order(rng, directives) for _ in range(3)]
        assert merged[0] == merged[1] == merged[2]


def test_latest_directive_wins_at_both_processes(clock: Clock) -> None:
    old = OperatorState("a", clock)
    new = OperatorState("b", clock)
    old.set_active("s-1", True)
    assert new.merge(old.directives.values())
    assert new.suspended == ["s-1"]
    clock.now += 1
    new.set_active("s-1", False)
    assert not new.merge(old.directives.values())  # older than its own
    assert old.merge(new.directives.values())
    assert old.suspended == []


def test_restoration_expires_only_without_other_copies(clock: Clock) -> None:
    state = OperatorState("b", clock)
    state.set_active("s-1", True)
    clock.now += 1
    state.set_active("s-1", False)
    clock.now += 1000
    assert state.forget_expired(is_only_copy=False, max_age_s=100) == []
    assert state.forget_expired(is_only_copy=True, max_age_s=100) == ["s-1"]
