"""Reads the settings of teams from TOML. Every error names the invalid key."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from lilacfront.teams.settings import (
    DEFAULT_MAX_WAIT_S,
    TeamRule,
    TeamSettings,
    TeamsSettings,
    TeamsSettingsError,
    ancestor_paths,
)

MAX_DEPTH = 6  # names in a team path
MAX_TEAMS = 10_000
MAX_RULES = 10_000
DEFAULT_BURST_S = 5  # the default burst is the budget of this many seconds
MAX_WAIT_LIMIT_S = 3600.0  # largest value of any setting in seconds
TEAM_PATH_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}(/[A-Za-z0-9][A-Za-z0-9._-]{0,63}){0,5}\Z")

Seconds = Annotated[float, Meta(ge=0, le=MAX_WAIT_LIMIT_S)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_WAIT_LIMIT_S)]


class TeamEntry(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={
        "budget_rate": "budget",
        "max_concurrency": "concurrency",
        "max_queued_requests": "queue_requests",
        "max_queued_kib": "queue_kb",
        "max_wait_s": "longest_wait_s",
        "borrowing_classes": "borrow",
    },
):
    """A [[team]] table: one node of the tree, named by its path. Its ancestors need not be listed."""

    name: str
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    budget_rate: Annotated[float, Meta(gt=0, le=1e6)] | None = None
    burst: Annotated[float, Meta(gt=0, le=1e9)] | None = None
    max_concurrency: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    max_queued_requests: Annotated[int, Meta(ge=0, le=1_000_000)] = 200
    max_queued_kib: Annotated[int, Meta(ge=0, le=1 << 20)] = 4096
    max_wait_s: PositiveSeconds = DEFAULT_MAX_WAIT_S
    borrowing_classes: list[str] | None = None
    patience_s: dict[str, Seconds] = {}


class RuleEntry(msgspec.Struct, forbid_unknown_fields=True, rename={"class_name": "class"}):
    """A [[rule]] table: the first rule that matches a request sets its team.

    A condition that is left out matches every request.
    """

    team: str
    user: str = ""
    header: str = ""  # "Name: value"; never matches requests of a protocol without headers
    class_name: str = ""
    pattern: str = ""  # regular expression that is searched for in the statement


class TeamsFile(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={
        "teams": "team",
        "rules": "rule",
        "max_queued_requests": "queue_requests",
        "max_queued_kib": "queue_kb",
        "min_retry_after_s": "pushback_least_s",
        "max_retry_after_s": "pushback_most_s",
        "threads_per_core": "fill",
    },
):
    """The whole file. Team queues are disabled if it has no [[team]] table."""

    teams: Annotated[list[TeamEntry], Meta(max_length=MAX_TEAMS)] = []
    rules: Annotated[list[RuleEntry], Meta(max_length=MAX_RULES)] = []
    default: str = ""
    max_queued_requests: Annotated[int, Meta(ge=1, le=1_000_000)] = 2000
    max_queued_kib: Annotated[int, Meta(ge=1, le=1 << 20)] = 16384
    min_retry_after_s: Seconds = 0.05
    max_retry_after_s: PositiveSeconds = 30.0
    threads_per_core: Annotated[float, Meta(gt=0, le=100)] = 1.0


def parse_teams(text: bytes, class_names: Sequence[str]) -> TeamsSettings | None:
    """Parse and check the contents of a teams file.

    Args:
        text: Contents of the file, as TOML.
        class_names: Names of the request classes in the order of their indices.

    Returns:
        The settings; None if the file lists no teams.

    Raises:
        TeamsSettingsError: The file is not valid TOML or a setting is invalid.
    """
    file = _decode(text)
    if not file.teams:
        if file.rules or file.default:
            raise TeamsSettingsError("team", "no [[team]] is listed, but a [[rule]] or a default is set")
        return None
    classes = _ClassIndices(class_names)
    teams = _build_teams(file.teams, classes)
    ancestors = {path for name in teams for path in ancestor_paths(name)}
    leaves = frozenset(teams) - ancestors
    _check_budgets(file.teams, teams)
    rules = tuple(
        _build_rule(entry, f"rule[{index}]", leaves, classes) for index, entry in enumerate(file.rules)
    )
    if file.default not in leaves:
        raise TeamsSettingsError("default", f"{file.default!r} is not a listed team without child teams")
    if file.min_retry_after_s > file.max_retry_after_s:
        raise TeamsSettingsError("pushback_least_s", "is more than pushback_most_s")
    return TeamsSettings(
        teams=teams,
        leaves=leaves,
        rules=rules,
        default=file.default,
        max_queued_requests=file.max_queued_requests,
        max_queued_bytes=file.max_queued_kib << 10,
        min_retry_after_s=file.min_retry_after_s,
        max_retry_after_s=file.max_retry_after_s,
        threads_per_core=file.threads_per_core,
    )


def _decode(text: bytes) -> TeamsFile:
    try:
        return msgspec.toml.decode(text, type=TeamsFile)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at `$")
        raise TeamsSettingsError(path.rstrip("`").lstrip("."), problem) from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise TeamsSettingsError("", f"invalid TOML: {error}") from None


class _ClassIndices:
    """Maps the names of request classes to their indices."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names
        self._indices = {name: index for index, name in enumerate(names)}

    def index(self, name: str, key: str) -> int:
        """Returns the index of the class that the setting `key` names; raises an error for other names."""
        if name not in self._indices:
            raise TeamsSettingsError(key, f"{name!r} is not one of the classes {', '.join(self._names)}")
        return self._indices[name]


def _build_teams(entries: Sequence[TeamEntry], classes: _ClassIndices) -> dict[str, TeamSettings]:
    """Returns the listed teams in file order, followed by their ancestors that are not listed."""
    teams: dict[str, TeamSettings] = {}
    for index, entry in enumerate(entries):
        key = f"team[{index}]"
        if entry.name in teams:
            raise TeamsSettingsError(f"{key}.name", f"{entry.name!r} is listed twice")
        teams[entry.name] = _build_team(entry, key, classes)
    for name in list(teams):
        for path in ancestor_paths(name):
            teams.setdefault(path, _build_unlisted_team(path))
    return teams


def _build_team(entry: TeamEntry, key: str, classes: _ClassIndices) -> TeamSettings:
    if TEAM_PATH_PATTERN.match(entry.name) is None:
        raise TeamsSettingsError(
            f"{key}.name", f"{entry.name!r} is not a path of up to {MAX_DEPTH} valid names"
        )
    if entry.burst is not None and entry.budget_rate is None:
        raise TeamsSettingsError(f"{key}.burst", "is set, but the team has no budget")
    borrowing_classes = None
    if entry.borrowing_classes is not None:
        borrowing_classes = frozenset(
            classes.index(name, f"{key}.borrow") for name in entry.borrowing_classes
        )
    patience_s = {
        classes.index(name, f"{key}.patience_s.{name}"): seconds for name, seconds in entry.patience_s.items()
    }
    return TeamSettings(
        name=entry.name,
        weight=entry.weight,
        budget_rate=entry.budget_rate,
        burst=entry.burst or DEFAULT_BURST_S * (entry.budget_rate or 0.0),
        max_concurrency=entry.max_concurrency,
        max_queued_requests=entry.max_queued_requests,
        max_queued_bytes=entry.max_queued_kib << 10,
        max_wait_s=entry.max_wait_s,
        borrowing_classes=borrowing_classes,
        patience_s=patience_s,
    )


def _build_unlisted_team(path: str) -> TeamSettings:
    """Returns the default settings of a node that only groups its child teams."""
    return TeamSettings(
        name=path,
        weight=1.0,
        budget_rate=None,
        burst=0.0,
        max_concurrency=None,
        max_queued_requests=0,
        max_queued_bytes=0,
        max_wait_s=MAX_WAIT_LIMIT_S,
        borrowing_classes=None,
        patience_s={},
    )


def _check_budgets(entries: Sequence[TeamEntry], teams: Mapping[str, TeamSettings]) -> None:
    """Raise an error for a budget that exceeds an ancestor's, as it could never be fully used."""
    for index, entry in enumerate(entries):
        if entry.budget_rate is None:
            continue
        for path in ancestor_paths(entry.name):
            limit = teams[path].budget_rate
            if limit is not None and entry.budget_rate > limit:
                problem = f"{entry.budget_rate:g} is more than the budget {limit:g} of {path!r}"
                raise TeamsSettingsError(f"team[{index}].budget", problem)


def _build_rule(entry: RuleEntry, key: str, leaves: frozenset[str], classes: _ClassIndices) -> TeamRule:
    if entry.team not in leaves:
        raise TeamsSettingsError(f"{key}.team", f"{entry.team!r} is not a listed team without child teams")
    header = _parse_header(entry.header, f"{key}.header") if entry.header else None
    pattern = _parse_pattern(entry.pattern, f"{key}.pattern") if entry.pattern else None
    class_index = classes.index(entry.class_name, f"{key}.class") if entry.class_name else None
    return TeamRule(entry.team, entry.user.encode(), header, class_index, pattern)


def _parse_header(text: str, key: str) -> tuple[bytes, bytes]:
    name, colon, value = text.partition(":")
    if not colon:
        raise TeamsSettingsError(key, f"{text!r} does not have the form 'Name: value'")
    return name.strip().lower().encode(), value.strip().encode()


def _parse_pattern(text: str, key: str) -> re.Pattern[bytes]:
    try:
        return re.compile(text.encode(), re.IGNORECASE | re.DOTALL)
    except re.error as error:
        raise TeamsSettingsError(key, error) from None
