"""`lilacfront lab stores` and `lab killpoints`: cost and crash consistency of the recovery store."""

from __future__ import annotations

import logging
import multiprocessing
import tempfile
from pathlib import Path
from statistics import median

import click

from lilacfront.lab.crash_points import sweep
from lilacfront.lab.store_costs import BACKENDS, Cost, measure

MAX_SECOND_CRASH_STEP = 20  # last step of the next start at which a second crash is tested
_KB = 1024


def _measure(job: tuple[str, str, int, int, float]) -> Cost:
    backend_name, directory, warehouses, changes_per_s, seconds = job
    return measure(backend_name, Path(directory), warehouses, changes_per_s, seconds)


def _measure_in_new_process(
    backend_name: str, parent: str | None, warehouses: int, changes_per_s: int, seconds: float
) -> Cost:
    with (
        tempfile.TemporaryDirectory(prefix="lilacfront-stores-", dir=parent) as directory,
        multiprocessing.get_context("spawn").Pool(1) as pool,
    ):
        return pool.map(_measure, [(backend_name, directory, warehouses, changes_per_s, seconds)])[0]


def _spread(values: list[float], digits: int) -> str:
    return f"{median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def _cells(costs: list[Cost], seconds: float) -> list[str]:
    return [
        _spread([cost.cpu for cost in costs], 4),
        _spread([cost.longest_ms for cost in costs], 2),
        _spread([cost.p999_ms for cost in costs], 2),
        _spread([cost.written_bytes / _KB / seconds for cost in costs], 0),
        _spread([cost.size_bytes / _KB for cost in costs], 0),
    ]


@click.command("stores")
@click.option("--engines", type=click.IntRange(1, 65_536), default=1024, show_default=True)
@click.option("--per-s", type=click.IntRange(1, 100_000), default=500, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=10.0, show_default=True)
@click.option("--plays", type=click.IntRange(1, 100), default=5, show_default=True)
@click.option(
    "--directory", type=click.Path(exists=True, file_okay=False), help="Directory on the disk to measure."
)
def stores(engines: int, per_s: int, seconds: float, plays: int, directory: str | None) -> None:
    """Measure storage backends for endpoint changes and print a Markdown table.

    Each backend is measured --plays times, each time in a new process.
    """
    click.echo("| | processors | longest turn, ms | 99.9th percentile turn, ms | written, KB/s | files, KB |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for backend_name in BACKENDS:
        costs = [
            _measure_in_new_process(backend_name, directory, engines, per_s, seconds) for _ in range(plays)
        ]
        click.echo(f"| {backend_name} | {' | '.join(_cells(costs, seconds))} |")


@click.command("killpoints")
def killpoints() -> None:
    """Crash a store at every step of its writes, by a kill or a power loss, and again in the next start."""
    logging.disable(logging.CRITICAL)  # truncated journals are expected here
    click.echo("| crash | second crash at step of the next start | runs | wrong restores | failed starts |")
    click.echo("| --- | --- | --- | --- | --- |")
    for power_loss in (False, True):
        for second_crash_at in range(MAX_SECOND_CRASH_STEP + 1):
            result = sweep(power_loss, second_crash_at)
            crash = "power loss" if power_loss else "kill"
            click.echo(
                f"| {crash} | {second_crash_at or '-'} | {result.runs} | {result.wrong_restores} "
                f"| {result.failed_starts} |"
            )
    unsynced = sweep(True, syncs=False)
    click.echo(f"| power loss, store without syncs | - | {unsynced.runs} | {unsynced.wrong_restores} | 0 |")
