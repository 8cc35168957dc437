"""Builders for the tests of the load generator."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from lilacfront.load.phases import ConstantPhase
from lilacfront.load.plan import Plan, parse
from lilacfront.load.result import Result, merge_results
from lilacfront.load.simulated_run import SimulatedRun

SIMPLE_PLAN = """
seed = 11
workers = 1
[target]
protocol = "clickhouse"
addresses = ["127.0.0.1:8123"]
[[phases]]
shape = "constant"
rate = 300.0
seconds = 20.0
[[mix]]
weight = 1.0
statement = "SELECT 1"
"""


def plan(rate: float = 500.0, seconds: float = 4.0, protocol: str = "clickhouse", **changes: Any) -> Plan:
    """Returns a plan with one constant phase; `changes` replace fields of the plan."""
    base = parse(SIMPLE_PLAN.encode())
    target = msgspec.structs.replace(base.target, protocol=protocol)
    mix = [msgspec.structs.replace(base.mix[0], class_name="lookup")]
    defaults = {
        "target": target,
        "mix": mix,
        "phases": [ConstantPhase(rate=rate, seconds=seconds)],
        "connections": 1000,
    }
    return msgspec.structs.replace(base, **{**defaults, **changes})


def outcomes(run: SimulatedRun) -> dict[str, int]:
    """Returns the number of requests by outcome."""
    return {group.outcome: group.count for group in run.measured.groups}


def result_of(run: SimulatedRun, run_plan: Plan) -> Result:
    """Returns the result of a simulated run, with the checks for a void run."""
    return merge_results(
        run_plan, [run.measured], started_at="", planned_seconds=0.0, partial=False, worker_failures=[]
    )


EACH_PROTOCOL = pytest.mark.parametrize("protocol", ["clickhouse", "platform"])
