"""`lilacfront lab comeback`: compares strategies of recovery from a power loss in a table and a plot."""

from __future__ import annotations

import math
import multiprocessing
from multiprocessing.pool import Pool
from pathlib import Path
from statistics import mean, median

import click
import msgspec

from lilacfront.lab.recovery_scenario import PowerLoss, SimulationResult, Strategy
from lilacfront.lab.recovery_simulation import PowerLossSimulation

HEADER = (
    "| | 90% of the priority weight served after, s | first read served, s | fraction of weight lost | "
    "warehouse failures | rejections |\n| --- | --- | --- | --- | --- | --- |"
)
TRIMMED_DIVISOR = 20  # a spread omits the lowest and the highest 1/20 of the values
RECOVERED_FRACTION = 0.9
LOW_QUANTILE, HIGH_QUANTILE = 0.05, 0.95

Results = dict[Strategy, list[SimulationResult]]


def _simulate(job: tuple[PowerLoss, Strategy, int]) -> SimulationResult:
    loss, strategy, seed = job
    return PowerLossSimulation(loss, strategy, seed).run()


def _spread(values: list[float], digits: int) -> str:
    """The median and the range of the middle 90% of the values; NaN values are left out."""
    finite = sorted(value for value in values if not math.isnan(value))
    if not finite:
        return "never"
    trimmed = len(finite) // TRIMMED_DIVISOR
    low, high = finite[trimmed], finite[-1 - trimmed]
    return f"{median(finite):.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def row(strategy: Strategy, results: list[SimulationResult]) -> str:
    """The table row of a strategy."""
    never = sum(math.isnan(result.recovered_s) for result in results)
    cells = [
        _spread([result.recovered_s for result in results], 1) + (f"; {never} never" if never else ""),
        _spread([result.first_read_s for result in results], 2),
        _spread([result.lost_fraction for result in results], 3),
        f"{sum(result.warehouse_failures for result in results)}",
        f"{mean(result.rejections for result in results):.0f}",
    ]
    return f"| {strategy.value} | {' | '.join(cells)} |"


def plot(results: Results, title: str, out: Path) -> None:
    """Plot the weight served in each second: the median and the range of the middle 90% of the seeds."""
    import numpy as np
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8.0, 4.0))
    axes = figure.subplots()
    for strategy, outcomes in results.items():
        curves = np.array([result.curve for result in outcomes])
        seconds = np.arange(curves.shape[1])
        (line,) = axes.plot(seconds, np.median(curves, axis=0), label=strategy.value)
        low, high = np.quantile(curves, [LOW_QUANTILE, HIGH_QUANTILE], axis=0)
        axes.fill_between(seconds, low, high, color=line.get_color(), alpha=0.12)
    axes.axhline(RECOVERED_FRACTION, color="grey", linewidth=0.6)
    axes.set_xlabel("time since the power returned, s")
    axes.set_ylabel("priority weight served, fraction of normal")
    axes.set_title(title, fontsize=9)
    axes.legend(fontsize=7)
    out.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(out, bbox_inches="tight")


def _read(path: Path) -> PowerLoss:
    try:
        return msgspec.toml.decode(path.read_bytes(), type=PowerLoss)
    except (msgspec.MsgspecError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from error


def _compare(pool: Pool, loss: PowerLoss, seeds: int) -> Results:
    """Simulate a power loss with each strategy and print a table row for each."""
    results: Results = {}
    for strategy in Strategy:
        jobs = [(loss, strategy, seed) for seed in range(1, seeds + 1)]
        results[strategy] = pool.map(_simulate, jobs, chunksize=1)
        click.echo(row(strategy, results[strategy]))
    return results


@click.command("comeback")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option("--seeds", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option("--processes", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory for plots; no plots without it.",
)
def command(files: tuple[Path, ...], seeds: int, processes: int, out: Path | None) -> None:
    """Simulate the power losses in TOML files with each recovery strategy and print Markdown tables."""
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        for path in files:
            loss = _read(path)
            click.echo(f"\n{path.stem}: {msgspec.to_builtins(loss)}, {seeds} seeds\n\n{HEADER}")
            results = _compare(pool, loss, seeds)
            if out is not None:
                plot(results, f"{path.stem}, {seeds} seeds", out / f"comeback-{path.stem}.svg")
