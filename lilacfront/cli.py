"""The command line."""

from __future__ import annotations

import importlib
import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from importlib import metadata
from pathlib import Path
from typing import Any, TypeVar

import click

from lilacfront import logs
from lilacfront.config import Config, ConfigError, load
from lilacfront.config.loader import ConfigPaths
from lilacfront.server import Server, StartError
from lilacfront.server.body_limits import fit_body_limits
from lilacfront.server.memory import configure_allocator

Command = TypeVar("Command", bound=Callable[..., Any])


@dataclass(slots=True, frozen=True)
class LazyCommand:
    """A command whose module is imported only when the command is used, to keep it out of the serving path.

    Attributes:
        module: Name of the module that defines the command.
        attribute: Name of the command in the module.
        help: One-line help, shown without importing the module.
    """

    module: str
    attribute: str
    help: str


LAZY_COMMANDS = {
    "demo": LazyCommand("lilacfront.demo", "demo", "Run stand-in warehouses, the gateway and a load on it."),
    "lab": LazyCommand("lilacfront.experiments.cli", "group", "Run stand-in warehouses and experiments."),
    "teams": LazyCommand("lilacfront.teams.cli", "group", "Work with team queues and their budgets."),
    "ops": LazyCommand(
        "lilacfront.operations.cli",
        "group",
        "Send a command to a running front end: status, suspend, pause, …",
    ),
    "peers": LazyCommand(
        "lilacfront.operations.peers_cli",
        "command",
        "Show which front ends are alive, as seen by one of them.",
    ),
    "load": LazyCommand(
        "lilacfront.load.cli", "group", "Generate open-loop load; latencies count from the due time."
    ),
}


class CommandGroup(click.Group):
    """A command group that also contains `LAZY_COMMANDS`, imported on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command; import its module first if it is a lazy command.

        Raises:
            click.ClickException: The module needs a library that is not installed.
        """
        lazy = LAZY_COMMANDS.get(cmd_name)
        if lazy is None:
            return super().get_command(ctx, cmd_name)
        try:
            module = importlib.import_module(lazy.module)
        except ModuleNotFoundError as missing:
            if missing.name is None or missing.name.startswith("lilacfront"):
                raise
            raise click.ClickException(
                f"`{cmd_name}` needs the library {missing.name}; install the packages in requirements-lab.txt"
            ) from missing
        command = getattr(module, lazy.attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands as click does, but don't import the modules of lazy commands."""
        del ctx  # unused, but part of click's signature
        eager = [(name, command.get_short_help_str(90)) for name, command in sorted(self.commands.items())]
        lazy = [(name, command.help) for name, command in LAZY_COMMANDS.items()]
        with formatter.section("Commands"):
            formatter.write_dl(sorted([*eager, *lazy]))


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--log-format",
    type=click.Choice(["console", "json"]),
    default="console",
    show_default=True,
    help="Write log lines as text for the console, or as one JSON object per line.",
)
@click.option(
    "--log-level",
    type=click.Choice(logs.LEVELS),
    default="warning",
    show_default=True,
    help="The lowest level that is logged; at warning and error, the rate of lines is limited.",
)
def main(log_format: logs.LogFormat, log_level: str) -> None:
    """lilacfront: a front end that distributes database queries to engines."""
    logs.configure(log_format, log_level)


def _file_option(name: str, default: str, help_text: str) -> Callable[[Command], Command]:
    return click.option(
        name,
        type=click.Path(dir_okay=False, path_type=Path),
        default=Path(default),
        show_default=True,
        help=help_text,
    )


def config_options(command: Command) -> Command:
    """Add the options for the paths of the optional configuration files."""
    options = (
        _file_option(
            "--gateway",
            "deploy/clickhouse.toml",
            "File that turns on the ClickHouse frontend, HTTP warehouses and etcd.",
        ),
        _file_option(
            "--teams", "deploy/teams.toml", "File that configures the team queues and their budgets."
        ),
        _file_option(
            "--peers",
            "deploy/peers.toml",
            "File that turns on membership, which tracks the front ends that are alive.",
        ),
        _file_option(
            "--recovery",
            "deploy/recovery.toml",
            "File that turns on recovery, which stores the state needed after a power loss.",
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


class StartFailed(click.ClickException):
    """The program can't start with this configuration; prints the reason on one line, with exit code 2."""

    exit_code = 2


def _load_config(paths: ConfigPaths) -> Config:
    try:
        return load(paths)
    except ConfigError as error:
        raise StartFailed(str(error)) from error


@main.command()
@config_options
@click.option(
    "--verbose", is_flag=True, help="Log at level info; the same as --log-level info before `serve`."
)
@click.pass_context
def serve(ctx: click.Context, gateway: Path, teams: Path, peers: Path, recovery: Path, verbose: bool) -> None:
    """Serve until SIGTERM; SIGHUP reloads the configuration file that PROXY_CONFIG names."""
    # SIGHUP must not end the program before its handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_allocator()
    if verbose:
        main_options: dict[str, Any] = ctx.parent.params if ctx.parent is not None else {}
        logs.configure(main_options.get("log_format", "console"), "info")
    paths = ConfigPaths(gateway, teams, peers, recovery)
    config = fit_body_limits(_load_config(paths))
    try:
        server = Server(config, read_config=partial(load, paths))
    except StartError as error:
        raise StartFailed(str(error)) from error
    server.run()


@main.command()
@config_options
def check_config(gateway: Path, teams: Path, peers: Path, recovery: Path) -> None:
    """Check the configuration and print the first error."""
    config = fit_body_limits(_load_config(ConfigPaths(gateway, teams, peers, recovery)))
    name = config.name or "lilacfront"
    click.echo(f"{name}: {len(config.class_names)} classes, listens at {config.listen_address}")


@main.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("lilacfront"))
    except metadata.PackageNotFoundError:
        from lilacfront import __version__

        click.echo(__version__)
