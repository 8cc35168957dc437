"""`lilacfront lab blackout`: runs scripts with power losses on real front ends and prints their recovery."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import click

from lilacfront.lab.fault_script import ScriptError, parse_script
from lilacfront.lab.fleet import Fleet
from lilacfront.lab.fleet_cli import describe_endings
from lilacfront.lab.fleet_run import FleetRun
from lilacfront.lab.test_bed import FrontEndProcess

HEADER = (
    "| front end, start | restored from disk: directives, list, loads | directives from peers | "
    "stages, s after listening | journals ignored or truncated |\n| --- | --- | --- | --- | --- |"
)


def recovery_cells(process: FrontEndProcess) -> list[str]:
    """The table cells of one process, taken from its log of the recovery."""
    listening = process.logged("listening")
    listening_at = float(listening[0]["ts"]) if listening else 0.0

    def last(event: str) -> dict[str, Any]:
        lines = process.logged(event)
        return lines[-1] if lines else {}

    restored = last("recovery state restored")
    from_disk = ", ".join(str(restored.get(key, "-")) for key in ("directives", "seq", "loads"))
    from_peers = last("directives restored from peer").get("directives", "-")
    stages = ", ".join(
        f"{line['stage']} {float(line['ts']) - listening_at:.2f}{' stale' if line['endpoints_stale'] else ''}"
        for line in process.logged("recovery stage entered")
    )
    damaged = [*process.logged("recovery journal ignored"), *process.logged("recovery journal truncated")]
    errors = "; ".join(str(line["error"]) for line in damaged) or "-"
    return [from_disk, str(from_peers), stages, errors]


@click.command("blackout")
@click.argument(
    "scripts", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def command(scripts: tuple[Path, ...], seed: int) -> None:
    """Run scripts with power losses on real front ends. The format is that of `lab fleet`."""
    for path in scripts:
        try:
            script = parse_script(path.read_bytes())
        except ScriptError as error:
            raise click.ClickException(f"{path}: {error}") from error
        if not script.recovery.enabled:
            raise click.ClickException(f"{path}: recovery.directory is not set, so no state would be stored")
        click.echo(f"\n{path.stem}\n\n{HEADER}")
        with tempfile.TemporaryDirectory(prefix="lilacfront-blackout-") as folder:
            fleet = Fleet(Path(folder), script, seed)
            try:
                result = FleetRun(fleet.wait_until_ready()).play()
                for index, test_bed in enumerate(fleet.test_beds):
                    for start, process in enumerate(test_bed.processes):
                        click.echo(f"| {index}, {start} | {' | '.join(recovery_cells(process))} |")
            finally:
                fleet.close()
        click.echo(f"requests: {describe_endings(result.request_endings)}")
