"""The `lilacfront teams` commands, which check a teams file."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import click
import msgspec

from lilacfront.teams.settings import TeamSettings, TeamsSettings, TeamsSettingsError
from lilacfront.teams.settings_file import parse_teams

DEFAULT_CLASSES = ("lookup", "report", "load")


@click.group("teams")
def group() -> None:
    """Queues with budgets for teams."""


def class_names(config: Path | None) -> tuple[str, ...]:
    """Returns the class names of a configuration file; the default names if `config` is None."""
    if config is None:
        return DEFAULT_CLASSES
    try:
        raw = msgspec.json.decode(config.read_bytes())
        return tuple(entry["name"] for entry in raw["settings"]["classes"])
    except (OSError, msgspec.MsgspecError, KeyError, TypeError) as error:
        raise click.ClickException(f"{config}: settings.classes: {error!r}") from error


@group.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--config",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Configuration file that defines the request classes (default: lookup, report and load).",
)
def check(file: Path, config: Path | None) -> None:
    """Check FILE and print its team tree.

    If FILE is invalid, prints the invalid key and exits with status 1.
    """
    try:
        settings = parse_teams(file.read_bytes(), class_names(config))
    except (TeamsSettingsError, OSError) as error:
        raise click.ClickException(f"{file}: {error}") from error
    if settings is None:
        click.echo(f"{file}: no teams are listed; team queues are disabled")
        return
    for line in describe(settings):
        click.echo(line)


def describe(settings: TeamsSettings) -> Iterator[str]:
    """Yields one indented line for each node of the tree, and a summary line."""
    for name in sorted(settings.teams):
        yield _describe_team(settings.teams[name], is_default=name == settings.default)
    yield f"{len(settings.leaves)} teams, {len(settings.rules)} rules"


def _describe_team(team: TeamSettings, is_default: bool) -> str:
    indent = "  " * team.name.count("/")
    last_name = team.name.rpartition("/")[2]
    budget = ""
    if team.budget_rate is not None:
        budget = f", budget {team.budget_rate:g}, burst {team.burst:g}"
    limit = "" if team.max_concurrency is None else f", max. concurrency {team.max_concurrency}"
    default = " (default)" if is_default else ""
    return f"{indent}{last_name}: weight {team.weight:g}{budget}{limit}{default}"
