"""Parsing of teams files, and assignment of requests to teams."""

from __future__ import annotations

import pytest
from team_builders import CLASSES, TEAMS_FILE, teams_settings

from lilacfront.errors import SettingsError
from lilacfront.teams.settings import TeamsSettingsError
from lilacfront.teams.settings_file import parse_teams


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('default = "others"', "", "default: "),
        ('default = "others"', 'default = "support"', "default: "),
        ('name = "others"', 'name = "customers/acme"', "team[2].name: 'customers/acme' is listed twice"),
        ('name = "others"', 'name = "a//b"', "team[2].name: "),
        ("weight = 3.0", "weight = 0", "team[1].weight: "),
        ("weight = 3.0", "burst = 3.0", "team[1].burst: "),
        ("budget = 4.0", 'budget = "4"', "team[0].budget: "),
        (
            'borrow = ["report"]',
            'borrow = ["rep"]',
            "team[0].borrow: 'rep' is not one of the classes lookup, report, load",
        ),
        ("lookup = 0.2", "look = 0.2", "team[1].patience_s.look: "),
        ('class = "report"', 'class = "reports"', "rule[0].class: "),
        ('team = "support/trends"', 'team = "support"', "rule[0].team: "),
        ("X-Customer: acme", "X-Customer", "rule[1].header: "),
        ("acme_\\\\d+", "acme_(", "rule[2].pattern: "),
        ("weight = 3.0", "wieght = 3.0", "team[1]: "),
        ("[[rule]]", "[[rule]", "invalid TOML: "),
        (TEAMS_FILE, 'default = "others"', "team: no [[team]] is listed"),
        (
            'name = "others"',
            'name = "support"\nbudget = 1.0',
            "team[0].budget: 4 is more than the budget 1 of 'support'",
        ),
    ],
)
def test_error_names_the_invalid_key(old: str, new: str, message: str) -> None:
    teams_settings()
    with pytest.raises(TeamsSettingsError) as caught:
        parse_teams(TEAMS_FILE.replace(old, new, 1).encode(), CLASSES)
    assert str(caught.value).startswith(message), caught.value


def test_error_is_a_settings_error_with_the_key() -> None:
    with pytest.raises(SettingsError) as caught:
        parse_teams(TEAMS_FILE.replace("weight = 3.0", "weight = 0").encode(), CLASSES)
    assert caught.value.key == "team[1].weight"


def test_file_without_teams_has_no_settings() -> None:
    assert parse_teams(b"# all comments\n", CLASSES) is None


@pytest.mark.parametrize(
    ("user", "headers", "class_index", "statement", "team"),
    [
        (b"support", [], 1, b"select 1", "support/trends"),
        (b"support", [], 0, b"select 1", "others"),
        (b"who", [(b"x-CUSTOMER", b"acme")], 0, b"select 1", "customers/acme"),
        (b"who", [(b"X-Customer", b"Acme")], 0, b"select 1", "others"),
        (b"", [], 0, b"select * from ACME_17.t", "customers/acme"),
        (b"customers/acme", [], 0, b"select 1", "others"),
    ],
)
def test_first_matching_rule_determines_the_team(
    user: bytes, headers: list[tuple[bytes, bytes]], class_index: int, statement: bytes, team: str
) -> None:
    assert teams_settings().team_of(user, headers, class_index, statement) == team
