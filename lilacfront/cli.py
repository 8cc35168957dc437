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

Command = TypeVar("Command", bound=Callable[..., Any])


@dataclass(slots=True, frozen=True)
class LazyCommand:
    """A command whose module is imported when it is called: the serving path must not load it.

    Attributes:
        module: Where the command is defined.
        attribute: Its name there.
        help: One line, shown without importing the module.
    """

    module: str
    attribute: str
    help: str


LAZY_COMMANDS = {
    "demo": LazyCommand("lilacfront.demo", "demo", "Stand-in warehouses, the gateway, and a load on it."),
    "lab": LazyCommand("lilacfront.experiments.cli", "group", "Stand-ins and experiments."),
    "teams": LazyCommand("lilacfront.teams.cli", "group", "Queues with budgets for teams."),
    "ops": LazyCommand(
        "lilacfront.operations.cli", "group", "Calls to a running front end: status, suspend, pause, …"
    ),
    "peers": LazyCommand(
        "lilacfront.operations.peers_cli", "command", "Which front ends are alive, as one of them sees it."
    ),
    "load": LazyCommand("lilacfront.load.cli", "group", "Open-loop load with latencies from the due time."),
}


class CommandGroup(click.Group):
    """The commands of the serving path, and the lazy ones when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all names, sorted."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, importing its module where it is a lazy one.

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
                f"`{cmd_name}` needs the library {missing.name}; install what requirements-lab.txt names"
            ) from missing
        command = getattr(module, lazy.attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands as click does, without importing the lazy ones."""
        del ctx  # click's signature
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
    help="Log lines for a person, or one JSON object each.",
)
@click.option(
    "--log-level",
    type=click.Choice(logs.LEVELS),
    default="warning",
    show_default=True,
    help="The least severe level that is logged; repeated lines are limited from warning up.",
)
def main(log_format: logs.LogFormat, log_level: str) -> None:
    """lilacfront: a front end that places queries on engines."""
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
    """Add the options that name the configuration files besides the platform's."""
    options = (
        _file_option(
            "--gateway",
            "deploy/clickhouse.toml",
            "The file that turns on the ClickHouse frontend, HTTP warehouses and etcd.",
        ),
        _file_option("--teams", "deploy/teams.toml", "The file that sets queues with budgets for teams."),
        _file_option(
            "--peers", "deploy/peers.toml", "The file that has front ends follow which of them are alive."
        ),
        _file_option(
            "--recovery",
            "deploy/recovery.toml",
            "The file that has a front end store what it needs after a power loss.",
        ),
    )
    for option in reversed(options):
        command = option(command)
    return command


class StartRefused(click.ClickException):
    """The program can't start with this configuration: one line that says why, and exit code 2."""

    exit_code = 2


def _load_config(paths: ConfigPaths) -> Config:
    try:
        return load(paths)
    except ConfigError as error:
        raise StartRefused(str(error)) from error


@main.command()
@config_options
@click.option("--verbose", is_flag=True, help="The same as --log-level info before `serve`.")
@click.pass_context
def serve(ctx: click.Context, gateway: Path, teams: Path, peers: Path, recovery: Path, verbose: bool) -> None:
    """Serve until SIGTERM; PROXY_CONFIG names the configuration, which SIGHUP has read again."""
    # Until there is a handler for it, SIGHUP must not end the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if verbose:
        main_options: dict[str, Any] = ctx.parent.params if ctx.parent is not None else {}
        logs.configure(main_options.get("log_format", "console"), "info")
    paths = ConfigPaths(gateway, teams, peers, recovery)
    config = _load_config(paths)
    try:
        server = Server(config, read_config=partial(load, paths))
    except StartError as error:
        raise StartRefused(str(error)) from error
    server.run()


@main.command()
@config_options
def check_config(gateway: Path, teams: Path, peers: Path, recovery: Path) -> None:
    """Check the configuration and tell what is wrong with it."""
    config = _load_config(ConfigPaths(gateway, teams, peers, recovery))
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
