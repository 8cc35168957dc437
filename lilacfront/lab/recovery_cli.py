"""`lilacfront lab stores` and `lab killpoints`: what keeping costs, and what survives an end at any step."""

from __future__ import annotations

import logging
import multiprocessing
import tempfile
from pathlib import Path
from statistics import median

import click

from lilacfront.lab.killpoints import sweep
from lilacfront.lab.stores import WAYS, Cost, measure


def _measure(job: tuple[str, str, int, int, float]) -> Cost:
    way, folder, engines, per_s, seconds = job
    return measure(way, Path(folder), engines, per_s, seconds)


@click.command("stores")
@click.option("--engines", type=click.IntRange(1, 65_536), default=1024, show_default=True)
@click.option("--per-s", type=click.IntRange(1, 100_000), default=500, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=10.0, show_default=True)
@click.option("--plays", type=click.IntRange(1, 100), default=5, show_default=True)
@click.option("--directory", type=click.Path(exists=True, file_okay=False), help="On the disk to measure.")
def stores(engines: int, per_s: int, seconds: float, plays: int, directory: str | None) -> None:
    """Measure ways to keep changes of the list; a table in Markdown. Each play is another process."""
    click.echo(
        "| | part of a processor | longest turn, ms | 999th of 1,000, ms | KB written a s | files, KB |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for way in WAYS:
        found = []
        for _ in range(plays):
            with (
                tempfile.TemporaryDirectory(prefix="lilacfront-stores-", dir=directory) as folder,
                multiprocessing.get_context("spawn").Pool(1) as pool,
            ):
                found.append(pool.map(_measure, [(way, folder, engines, per_s, seconds)])[0])

        def spread(values: list[float], digits: int) -> str:
            return f"{median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"

        cells = [
            spread([one.cpu for one in found], 4),
            spread([one.longest_ms for one in found], 2),
            spread([one.p999_ms for one in found], 2),
            spread([one.written / 1024 / seconds for one in found], 0),
            spread([one.size / 1024 for one in found], 0),
        ]
        click.echo(f"| {way} | {' | '.join(cells)} |")


@click.command("killpoints")
def killpoints() -> None:
    """End a store at every step of its writes, by a kill or a loss of power, also in the next start."""
    logging.disable(logging.CRITICAL)  # files cut off are what is played here
    click.echo(
        "| the end | in the next start, too, at step | places | read back wrong | starts that failed |"
    )
    click.echo("| --- | --- | --- | --- | --- |")
    for power in (False, True):
        for twice in (0, *range(1, 21)):
            found = sweep(power, twice)
            end = "loss of power" if power else "kill"
            click.echo(f"| {end} | {twice or '-'} | {found.points} | {found.wrong} | {found.failed} |")
    broken = sweep(True, syncs=False)
    click.echo(f"| loss of power, a store that does not sync | - | {broken.points} | {broken.wrong} | 0 |")
