"""Settings of teams, as the scheduler uses them; `settings_file` reads them from TOML."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lilacfront.errors import SettingsError

DEFAULT_PATIENCE_S = 1.0
DEFAULT_MAX_WAIT_S = 10.0


class TeamsSettingsError(SettingsError):
    """Invalid settings of teams; `key` is the name of the invalid setting in the file."""


def ancestor_paths(path: str) -> list[str]:
    """Returns the paths of all ancestors of a team except the root, the nearest first."""
    parts = path.split("/")
    return ["/".join(parts[:length]) for length in range(len(parts) - 1, 0, -1)]


def parent_path(path: str) -> str:
    """Returns the path of a team's parent node; empty if the parent is the root."""
    return path.rpartition("/")[0]


@dataclass(slots=True, frozen=True)
class TeamSettings:
    """One node of the tree.

    Attributes:
        name: The node's path, such as `customers/acme`.
        weight: The node's share of service relative to its siblings.
        budget_rate: Budget in thread-seconds per second; None for no budget.
        burst: Most unused budget that the node can accumulate, in thread-seconds.
        max_concurrency: Most requests that may run at once; None for no limit.
        max_queued_requests: Most requests in the queue.
        max_queued_bytes: Most bytes of statements in the queue.
        max_wait_s: Longest wait of a request in seconds.
        borrowing_classes: Indices of the classes that may borrow budget of other teams; None for all.
        patience_s: Seconds, by class index, that are added to a request's arrival time to order the queue;
            `DEFAULT_PATIENCE_S` for a class that is not listed.
    """

    name: str
    weight: float
    budget_rate: float | None
    burst: float
    max_concurrency: int | None
    max_queued_requests: int
    max_queued_bytes: int
    max_wait_s: float
    borrowing_classes: frozenset[int] | None
    patience_s: Mapping[int, float]

    def may_borrow(self, class_index: int) -> bool:
        """Whether requests of this class may borrow budget of other teams."""
        return self.borrowing_classes is None or class_index in self.borrowing_classes


@dataclass(slots=True, frozen=True)
class TeamRule:
    """Assigns requests that match all conditions to a team; None or an empty value matches any request."""

    team: str
    user: bytes
    header: tuple[bytes, bytes] | None  # name in lower case and value
    class_index: int | None
    pattern: re.Pattern[bytes] | None

    def matches(
        self, user: bytes, headers: Sequence[tuple[bytes, bytes]], class_index: int, statement: bytes
    ) -> bool:
        """Whether a request matches all conditions of the rule."""
        if self.user and self.user != user:
            return False
        if self.class_index is not None and self.class_index != class_index:
            return False
        if self.header is not None and not _has_header(headers, self.header):
            return False
        return self.pattern is None or self.pattern.search(statement) is not None


def _has_header(headers: Sequence[tuple[bytes, bytes]], wanted: tuple[bytes, bytes]) -> bool:
    wanted_name, wanted_value = wanted
    return any(name.lower() == wanted_name and value == wanted_value for name, value in headers)


@dataclass(slots=True, frozen=True)
class TeamsSettings:
    """All settings of teams.

    Attributes:
        teams: The settings of each node by path, including all ancestors of each team.
        leaves: Paths of the nodes without children; only these have queues.
        rules: Rules in order; the first one that matches a request determines its team.
        default: Path of the team for requests that match no rule.
        max_queued_requests: Most requests in all queues together.
        max_queued_bytes: Most bytes of statements in all queues together.
        min_retry_after_s: Shortest Retry-After in seconds.
        max_retry_after_s: Longest Retry-After in seconds.
        threads_per_core: Threads that may be in use per core of the ready engines.
    """

    teams: Mapping[str, TeamSettings]
    leaves: frozenset[str]
    rules: tuple[TeamRule, ...]
    default: str
    max_queued_requests: int
    max_queued_bytes: int
    min_retry_after_s: float
    max_retry_after_s: float
    threads_per_core: float

    def team_of(
        self, user: bytes, headers: Sequence[tuple[bytes, bytes]], class_index: int, statement: bytes
    ) -> str:
        """Returns the path of a request's team, which is one of `leaves` whatever the client sends."""
        for rule in self.rules:
            if rule.matches(user, headers, class_index, statement):
                return rule.team
        return self.default
