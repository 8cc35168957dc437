"""`lilacfront lab explore`: every schedule of two faults among three members."""

from __future__ import annotations

import multiprocessing
import sys

import click

from lilacfront.lab.explore import SPOILT, explore, schedules

CHUNK = 50
SHOWN = 10


def all_broken(spoil: str, processes: int, first: bool = False) -> tuple[int, list[tuple[str, str]]]:
    """How many schedules were played, and those that broke something. `first`: no more after one that did."""
    every = list(schedules())
    jobs = [(every[n : n + CHUNK], spoil) for n in range(0, len(every), CHUNK)]
    played, found = 0, list[tuple[str, str]]()
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        for job, broken in zip(jobs, pool.imap(explore, jobs), strict=True):
            played += len(job[0])
            found += broken
            if found and first:
                break
    return played, found


@click.command("explore")
@click.option("--spoil", type=click.Choice(list(SPOILT)), default="none", help="Break a property on purpose.")
@click.option("--processes", type=click.IntRange(1, 64), default=4, show_default=True)
def command(spoil: str, processes: int) -> None:
    """Play every schedule of two faults among three members; ends with 1 if a property breaks."""
    played, found = all_broken(spoil, processes)
    for schedule, broken in found[:SHOWN]:
        click.echo(f"{broken}\n    {schedule}")
    click.echo(f"{played} schedules, {len(found)} break a property")
    sys.exit(1 if found else 0)
