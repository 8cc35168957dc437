"""`lilacfront lab run`: runs experiments described in TOML files."""

from __future__ import annotations

import math
from pathlib import Path

import click
import numpy as np
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from lilacfront.experiments.experiment_file import Experiment, ExperimentError, load
from lilacfront.experiments.findings import Findings
from lilacfront.experiments.simulation import SECONDS_PER_MINUTE, Simulation
from lilacfront.lab.cli import group

LONG_WAIT_S = 0.5  # longer waits are also shown separately, since most requests do not wait at all
PERCENTILES = (50, 90, 99)


@group.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
def run(files: tuple[Path, ...]) -> None:
    """Run experiments: teams and router against a model of engines, without sockets."""
    console = Console()
    for path in files:
        try:
            experiment = load(path)
        except ExperimentError as error:
            raise click.ClickException(str(error)) from error
        with Console(stderr=True).status(str(path)):
            findings = Simulation(experiment).run()
        console.print(f"[bold]{path}[/bold]: {findings.sent} requests; {outcomes(findings)}")
        console.print(latency_table(findings))
        console.print(budget_table(experiment, findings))
        console.print(wait_table(findings))


def outcomes(findings: Findings) -> str:
    """Returns the number of requests by outcome, on one line."""
    return ", ".join(f"{count} {name}" for name, count in sorted(findings.outcomes.items()))


def _table(title: str, text_columns: tuple[str, ...], figure_columns: tuple[str, ...]) -> Table:
    table = Table(title=title, box=SIMPLE_HEAD)
    for name in text_columns:
        table.add_column(name, justify="left")
    for name in figure_columns:
        table.add_column(name, justify="right")
    return table


def latency_table(findings: Findings) -> Table:
    """Returns a table of the latency by team and class."""
    percentiles = tuple(f"p{percentile}" for percentile in PERCENTILES)
    table = _table("seconds from arrival to answer", ("team", "class"), ("served", *percentiles))
    for (team, class_name), latencies in sorted(findings.latency.items()):
        figures = [f"{latency:.3f}" for latency in np.percentile(latencies, PERCENTILES)]
        table.add_row(team, class_name, str(len(latencies)), *figures)
    return table


def budget_table(experiment: Experiment, findings: Findings) -> Table:
    """Returns a table of the thread-seconds per second used in each minute, for teams with a budget."""
    table = _table("thread-seconds per second, by minute", ("team", "budget", "minutes"), ())
    for name, team in sorted(experiment.teams.teams.items()):
        if team.budget_rate is not None:
            minutes = sorted(findings.minutes[name].items())
            used = [f"{minute.thread_seconds / SECONDS_PER_MINUTE:.2f}" for _, minute in minutes]
            table.add_row(name, f"{team.budget_rate:g}", " ".join(used))
    return table


def wait_table(findings: Findings) -> Table:
    """Returns a table of the accuracy of the estimated waits, by team."""
    figure_columns = ("count", "within 25% or 20 ms", "within bounds")
    table = _table("estimated against actual queue waits", ("team", "waits"), figure_columns)
    for team in ("", *sorted({wait.team for wait in findings.waits})):
        for min_wait_s in (0.0, LONG_WAIT_S):
            accuracy = findings.accuracy(team, min_wait_s)
            if accuracy.count and not math.isnan(accuracy.accurate_fraction):
                wait_range = f"over {min_wait_s:g} s" if min_wait_s else "all"
                table.add_row(
                    team or "(all)",
                    wait_range,
                    str(accuracy.count),
                    f"{accuracy.accurate_fraction:.1%}",
                    f"{accuracy.within_bounds_fraction:.1%}",
                )
    return table
