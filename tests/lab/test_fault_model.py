"""Validation of the behaviour files of stand-in servers."""

from __future__ import annotations

import pytest

from lilacfront.lab.fault_model import BehaviourError, parse_behaviour


@pytest.mark.parametrize(
    "text",
    [
        'delay = { shape = "uniform", low_ms = 9, high_ms = 1 }',
        "shares = { reset = 0.6, cut = 0.6 }",
        "stalls = [{ at_s = 1, seconds = 2 }, { at_s = 2, seconds = 2 }]",
        'delay = { shape = "schedule", points = [[5, 1], [1, 1]] }',
        "dealy = 1",  # a misspelled key
    ],
)
def test_invalid_behaviour_is_rejected(text: str) -> None:
    with pytest.raises(BehaviourError):
        parse_behaviour(text.encode())
