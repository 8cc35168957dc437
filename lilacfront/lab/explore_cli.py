"""`lilacfront lab explore`: runs every schedule of two faults among three members."""

from __future__ import annotations

import multiprocessing
import sys
from functools import partial
from typing import NamedTuple

import click

from lilacfront.lab.explore import Violation, all_schedules, find_violations
from lilacfront.lab.injected_defects import DEFECTS

SCHEDULES_PER_JOB = 50
MAX_PRINTED_VIOLATIONS = 10


class ExplorationResult(NamedTuple):
    """The number of schedules that were run, and their violations."""

    schedules: int
    violations: list[Violation]


def explore_all(defect: str, processes: int) -> ExplorationResult:
    """Run all schedules with one of `DEFECTS` injected, in parallel processes."""
    schedules = list(all_schedules())
    jobs = [
        schedules[start : start + SCHEDULES_PER_JOB] for start in range(0, len(schedules), SCHEDULES_PER_JOB)
    ]
    violations: list[Violation] = []
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        for found in pool.imap(partial(find_violations, defect=defect), jobs):
            violations += found
    return ExplorationResult(len(schedules), violations)


@click.command("explore")
@click.option(
    "--spoil",
    "defect",
    type=click.Choice(list(DEFECTS)),
    default="none",
    help="Defect to inject into the failure detector.",
)
@click.option("--processes", type=click.IntRange(1, 64), default=4, show_default=True)
def command(defect: str, processes: int) -> None:
    """Run every schedule of two faults among three members; exits with 1 if an invariant is violated."""
    result = explore_all(defect, processes)
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"{violation.problem}\n    {violation.schedule}")
    click.echo(f"{result.schedules} schedules, {len(result.violations)} violate an invariant")
    sys.exit(1 if result.violations else 0)
