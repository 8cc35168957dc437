"""`lilacfront lab fleet`: runs fault scripts on real processes; prints scores and plots membership views."""

from __future__ import annotations

import json
import tempfile
from collections import Counter
from pathlib import Path

import click

from lilacfront.lab.fault_script import FaultScript, ScriptError, parse_script
from lilacfront.lab.fleet import Fleet
from lilacfront.lab.fleet_run import FleetResult, FleetRun, ViewSample
from lilacfront.lab.members_cli import HEADER, row

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
MAX_PROCESSES = 16


@click.command("fleet")
@click.argument("scripts", nargs=-1, required=True, type=FILE)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Directory for the plots and views."
)
def command(scripts: tuple[Path, ...], seed: int, out: Path | None) -> None:
    """Run fault scripts on 3 to 16 real front ends with relays between them, and print a Markdown table.

    The files are those of `lab members`. They may also contain `warehouses`, `requests_per_s`, faults of
    warehouses, and `old`: the members that run without membership.
    """
    click.echo(HEADER)
    for path in scripts:
        script = _read_script(path)
        result, longest_datagram_bytes = _play(script, seed)
        click.echo(row(path.stem, [result.outcome]))
        click.echo(f"  longest message {longest_datagram_bytes} bytes", err=True)
        if result.request_endings:
            click.echo(f"  requests: {describe_endings(result.request_endings)}", err=True)
        if out is not None:
            _write_views(result.samples, script.members, f"{path.stem}, seed {seed}", out / path.stem)


def describe_endings(endings: Counter[str]) -> str:
    """Format the number of requests by result."""
    return ", ".join(f"{count} {ending}" for ending, count in sorted(endings.items()))


def _read_script(path: Path) -> FaultScript:
    try:
        script = parse_script(path.read_bytes())
    except ScriptError as error:
        raise click.ClickException(f"{path}: {error}") from error
    if script.members > MAX_PROCESSES:
        raise click.ClickException(
            f"{path}: members: {script.members} exceeds the maximum of {MAX_PROCESSES} processes"
        )
    return script


def _play(script: FaultScript, seed: int) -> tuple[FleetResult, int]:
    """Run a script; returns the result and the length of the longest datagram in bytes."""
    with tempfile.TemporaryDirectory(prefix="lilacfront-fleet-") as folder:
        fleet = Fleet(Path(folder), script, seed)
        try:
            result = FleetRun(fleet.wait_until_ready()).play()
            return result, fleet.relays.longest_datagram_bytes
        finally:
            fleet.close()


def _write_views(samples: list[ViewSample], members: int, title: str, stem: Path) -> None:
    """Write the plot to an SVG file, and the views to a file with one JSON line per sample."""
    from lilacfront.lab.fleet_plot import plot_views  # matplotlib is optional, and slow to import

    plot_views(samples, members, title, stem.with_name(f"{stem.name}.svg"))
    lines = [
        json.dumps({"at": sample.at_s, "views": sample.views, "truth": sample.truth}) for sample in samples
    ]
    stem.with_name(f"{stem.name}.jsonl").write_text("\n".join(lines) + "\n")
