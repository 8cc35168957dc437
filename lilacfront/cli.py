"""The command line."""

from __future__ import annotations

import logging
import signal
import sys
from functools import partial
from importlib import metadata
from pathlib import Path

import click

from lilacfront import config as configuration
from lilacfront.server import Server


class Sparing(logging.Filter):
    """Lets through so many lines a period: a peer must not be able to fill the log."""

    def __init__(self, most: int = 30, period_s: float = 10.0) -> None:
        super().__init__()
        self.most, self.period_s, self.count, self.until, self.dropped = most, period_s, 0, 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if record.created >= self.until:
            if self.dropped:
                record.msg = f"({self.dropped} lines left out) {record.msg}"
            self.until, self.count, self.dropped = record.created + self.period_s, 0, 0
        self.count += 1
        self.dropped += self.count > self.most
        return self.count <= self.most


@click.group()
def main() -> None:
    """lilacfront: a front end that places queries on engines."""


gateway_option = click.option(
    "--gateway",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("deploy/clickhouse.toml"),
    show_default=True,
    help="The file that turns on the ClickHouse front, HTTP warehouses and etcd.",
)


def _load(gateway: Path) -> configuration.Config:
    try:
        return configuration.load(gateway)
    except configuration.ConfigError as problem:
        raise click.ClickException(str(problem)) from problem


@main.command()
@gateway_option
@click.option("--verbose", is_flag=True, help="Log more than starts, ends and faults.")
def serve(gateway: Path, verbose: bool) -> None:
    """Serve until SIGTERM; PROXY_CONFIG names the configuration, which SIGHUP has read again."""
    # Guard: until there is something to do on it, SIGHUP must not end the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    level = logging.INFO if verbose else logging.WARNING
    handler = logging.StreamHandler(sys.stderr)
    if not verbose:
        handler.addFilter(Sparing())
    logging.basicConfig(handlers=[handler], level=level, format="%(levelname)s %(name)s: %(message)s")
    Server(_load(gateway), read_again=partial(configuration.load, gateway)).run()


@main.command()
@gateway_option
def check_config(gateway: Path) -> None:
    """Check the configuration and tell what is wrong with it."""
    config = _load(gateway)
    click.echo(
        f"{config.name or 'lilacfront'}: {len(config.class_names)} classes, listens at {config.listen}"
    )


@main.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("lilacfront"))
    except metadata.PackageNotFoundError:
        from lilacfront import __version__

        click.echo(__version__)
