"""The command line."""

from __future__ import annotations

import logging
import sys
from importlib import metadata

import click

from lilacfront import config as configuration
from lilacfront.server import Server


@click.group()
def main() -> None:
    """lilacfront: a front end that places queries on engines."""


def _load() -> configuration.Config:
    try:
        return configuration.load()
    except configuration.ConfigError as problem:
        raise click.ClickException(str(problem)) from problem


@main.command()
@click.option("--verbose", is_flag=True, help="Log more than starts, ends and faults.")
def serve(verbose: bool) -> None:
    """Serve until SIGTERM; PROXY_CONFIG names the configuration."""
    level = logging.INFO if verbose else logging.WARNING
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s: %(message)s")
    Server(_load()).run()


@main.command()
def check_config() -> None:
    """Check the configuration and tell what is wrong with it."""
    config = _load()
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
