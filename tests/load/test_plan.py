"""Validation of load plans."""

from __future__ import annotations

import pytest
from load_builders import SIMPLE_PLAN

from lilacfront.load.phases import PlanError
from lilacfront.load.plan import parse


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("seed = 11", "seed = -1", "seed: "),
        ("rate = 300.0", 'rate = "many"', "phases[0].rate: "),
        ("rate = 300.0", "rate = 3e9", "phases[0].rate: "),
        ("rate = 300.0", "", "phases[0].rate: "),
        ('"constant"', '"square"', "phases[0].shape: "),
        ("seconds = 20.0", "seconds = 20.0\nlength = 1.0", "phases[0].length: "),
        ("seconds = 20.0", "seconds = 0", "phases[0].seconds: "),
        ("127.0.0.1:8123", "nowhere", "target.addresses[0]: "),
        ('"clickhouse"', '"http"', "target.protocol: "),
        ('"clickhouse"', '"platform"', "mix[0].class: "),
        ("SELECT 1", "SELECT {id}", "mix[0].parameters.id: missing"),
        ("SELECT 1", "SELECT {group}", "mix[0].groups: missing"),
        ("weight = 1.0", "weight = 0", "mix: no entry"),
        ("weight = 1.0", "parameters = {x = ['1']}", "mix[0].parameters.x: "),
        ("weight = 1.0", "weigth = 1.0", "mix[0].weigth: "),
        ('shape = "constant"', 'shape = "daily"\npoints = [["25:00", 1]]', "phases[0].rate: "),
        ("workers = 1", "workers =", "not TOML: "),
    ],
)
def test_error_in_a_plan_names_the_key(old: str, new: str, message: str) -> None:
    assert parse(SIMPLE_PLAN.encode()).mix[0].statement == "SELECT 1"
    with pytest.raises(PlanError) as error:
        parse(SIMPLE_PLAN.replace(old, new).encode())
    assert str(error.value).startswith(message), f"the message is {error.value}"
