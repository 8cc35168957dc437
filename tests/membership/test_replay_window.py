"""The anti-replay window accepts late messages and rejects replayed ones."""

import random

from lilacfront.membership.replay_window import ReplayWindow


def shuffled_window() -> ReplayWindow:
    """A window that has accepted 40 messages of incarnation 5, in a random order."""
    window = ReplayWindow()
    order = list(range(40))
    random.Random(3).shuffle(order)
    assert all(window.accept(5, sequence) for sequence in order)
    return window


def test_reordered_messages_are_accepted_once() -> None:
    window = shuffled_window()
    assert not any(window.accept(5, sequence) for sequence in range(40))


def test_messages_of_earlier_incarnations_are_rejected() -> None:
    window = shuffled_window()
    assert not window.accept(4, 100)
    assert window.accept(6, 0)
    assert not window.accept(5, 41)
