"""`lilacfront lab members`: compares failure detectors on fault scripts over many seeds, in a table."""

from __future__ import annotations

import math
import multiprocessing
from pathlib import Path
from statistics import median

import click

from lilacfront.lab.baseline_detectors import DETECTORS
from lilacfront.lab.fault_script import ScriptError, parse_script
from lilacfront.lab.members import TierSimulation
from lilacfront.lab.score import Outcome

HEADER = (
    "| | detection time: median, 99th percentile, max, s | undetected | false positives: count, longest, "
    "longest after its pause or cut, s | agreement after the last fault: median, max, s | "
    "bytes/s, mean of members |\n"
    "| --- | --- | --- | --- | --- | --- |"
)
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def _run(job: tuple[bytes, str, int]) -> Outcome:
    """Run a script with a detector and a seed. This is the job of a process in the pool."""
    text, name, seed = job
    return TierSimulation(parse_script(text), seed, DETECTORS[name]).run()


def _spread(values: list[float]) -> str:
    """The median and the range of the middle 90% of the values."""
    if not values:
        return "-"
    values = sorted(values)
    trimmed = len(values) // 20
    return f"{median(values):.2f} ({values[trimmed]:.2f} to {values[-1 - trimmed]:.2f})"


def row(name: str, outcomes: list[Outcome]) -> str:
    """The table row of a detector, over all its runs."""
    undetected = sum(outcome.undetected for outcome in outcomes)
    rate = _spread([outcome.mean_bytes_per_s for outcome in outcomes])
    cells = (
        name,
        _detections(outcomes),
        str(undetected),
        _false_positives(outcomes),
        _agreements(outcomes),
        rate,
    )
    return f"| {' | '.join(cells)} |"


def _detections(outcomes: list[Outcome]) -> str:
    times = sorted(time for outcome in outcomes for time in outcome.detection_times)
    if not times:
        return "-"
    p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
    return f"{median(times):.2f}, {p99:.2f}, {times[-1]:.2f}"


def _false_positives(outcomes: list[Outcome]) -> str:
    times = [time for outcome in outcomes for time in outcome.false_positive_times]
    after = max(outcome.longest_false_positive_after_fault for outcome in outcomes)
    return f"{len(times)}, {max(times, default=0.0):.2f}, {after:.2f}"


def _agreements(outcomes: list[Outcome]) -> str:
    times = sorted(
        outcome.convergence_time for outcome in outcomes if not math.isnan(outcome.convergence_time)
    )
    text = f"{median(times):.2f}, {times[-1]:.2f}" if times else "-"
    never = len(outcomes) - len(times)
    return f"{text}; {never} not" if never else text


@click.command("members")
@click.argument("scripts", nargs=-1, required=True, type=FILE)
@click.option("--seeds", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option(
    "--detector",
    "names",
    multiple=True,
    type=click.Choice(list(DETECTORS)),
    help="Detector to run; may be repeated. Default: all.",
)
@click.option("--processes", type=click.IntRange(1, 64), default=4, show_default=True)
def command(scripts: tuple[Path, ...], seeds: int, names: tuple[str, ...], processes: int) -> None:
    """Simulate failure detection with each script, detector and seed and print Markdown tables."""
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        for path in scripts:
            text = path.read_bytes()
            try:
                script = parse_script(text)
            except ScriptError as error:
                raise click.ClickException(f"{path}: {error}") from error
            click.echo(f"\n{path.stem}: {script.members} members, {script.duration_s:g} s, {seeds} seeds\n")
            click.echo(HEADER)
            for name in names or tuple(DETECTORS):
                jobs = [(text, name, seed) for seed in range(1, seeds + 1)]
                click.echo(row(name, pool.map(_run, jobs)))
