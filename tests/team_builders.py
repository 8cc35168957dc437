"""Helpers for the tests of teams: build settings and a scheduler, and summarise its decisions."""

from __future__ import annotations

from lilacfront.teams.cost_model import CostModel, statement_fingerprint
from lilacfront.teams.queued_request import AdmitRequest, RejectRequest, TeamDecision
from lilacfront.teams.scheduler import TeamScheduler
from lilacfront.teams.settings import TeamsSettings
from lilacfront.teams.settings_file import parse_teams

CLASSES = ("lookup", "report", "load")
LOOKUP, REPORT, LOAD = range(3)
THREADS = (1, 4, 2)
KNOWN_STATEMENT = b"known"  # the scheduler has learned its execution time
NO_DEADLINE = 1e9  # seconds; later than any time in the tests
TEAMS_FILE = """
default = "others"
[[team]]
name = "support/trends"
weight = 1.0
budget = 4.0
burst = 8.0
borrow = ["report"]
[[team]]
name = "customers/acme"
weight = 3.0
patience_s = { lookup = 0.2, report = 5.0 }
[[team]]
name = "others"
[[rule]]
team = "support/trends"
user = "support"
class = "report"
[[rule]]
team = "customers/acme"
header = "X-Customer: acme"
[[rule]]
team = "customers/acme"
pattern = "acme_\\\\d+"
"""


def teams_settings(text: str = TEAMS_FILE) -> TeamsSettings:
    """Returns the settings of a file, which must list teams."""
    settings = parse_teams(text.encode(), CLASSES)
    assert settings is not None
    return settings


def team_scheduler(text: str = TEAMS_FILE, cores: float = 8.0, known_s: float = 1.0) -> TeamScheduler:
    """Returns a scheduler at time 0 that expects `known_s` seconds of each request with `KNOWN_STATEMENT`."""
    cost_model = CostModel(THREADS, 0.0)
    for class_index in range(len(CLASSES)):
        cost_model.record(class_index, statement_fingerprint(KNOWN_STATEMENT), known_s, 0.0)
    scheduler = TeamScheduler(teams_settings(text), cost_model, 0.0)
    scheduler.set_capacity(0.0, cores)
    return scheduler


def admitted(decisions: list[TeamDecision]) -> list[int]:
    """Returns the numbers of the admitted requests, in order."""
    return [decision.number for decision in decisions if isinstance(decision, AdmitRequest)]


def rejected(decisions: list[TeamDecision]) -> dict[int, str]:
    """Returns the reasons of the rejected requests, by request number."""
    return {decision.number: decision.reason for decision in decisions if isinstance(decision, RejectRequest)}
