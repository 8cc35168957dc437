"""`lilacfront lab`: stand-in servers, experiments and log summaries."""

from __future__ import annotations

from pathlib import Path

import click

from lilacfront.lab.blackout_cli import command as blackout
from lilacfront.lab.explore_cli import command as explore
from lilacfront.lab.fault_model import BehaviourError, parse_behaviour
from lilacfront.lab.fleet_cli import command as fleet
from lilacfront.lab.log_summary import count
from lilacfront.lab.members_cli import command as members
from lilacfront.lab.process import serve
from lilacfront.lab.recovery_cli import killpoints, stores
from lilacfront.lab.recovery_simulation_cli import command as comeback

MAX_PORT = 65535


@click.group("lab")
def group() -> None:
    """Stand-in servers, experiments and log summaries."""


group.add_command(count)
group.add_command(comeback)
group.add_command(blackout)
group.add_command(explore)
group.add_command(fleet)
group.add_command(members)
group.add_command(stores)
group.add_command(killpoints)


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise click.BadParameter(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _print_address(address: tuple[str, int]) -> None:
    host, port = address
    click.echo(f"listens at {host}:{port}")


@group.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT")
@click.option(
    "--behaviour",
    "behaviour_path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="TOML file with the server's behaviour (docs/load.md); by default it serves each request at once.",
)
@click.option(
    "--truth",
    "record_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File for a record of each request.",
)
def standin(listen: str, behaviour_path: Path | None, record_path: Path | None) -> None:
    """Run a stand-in server with scripted behaviour as a load target until interrupted."""
    address = _parse_address(listen)
    try:
        behaviour = parse_behaviour(behaviour_path.read_bytes() if behaviour_path is not None else b"")
        serve(behaviour, address, record_path, _print_address)
    except (BehaviourError, OSError) as error:
        raise click.ClickException(str(error)) from error
