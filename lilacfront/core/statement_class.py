"""Assigns request classes to the statements of ClickHouse clients."""

from __future__ import annotations

import re
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ClassRule:
    """Assigns a class to reads of one user whose statement matches a pattern.

    Attributes:
        class_index: The class that a matching statement gets.
        user: The user that the rule applies to; empty for any user.
        pattern: Pattern to search for in the statement; None matches any statement.
    """

    class_index: int
    user: bytes
    pattern: re.Pattern[bytes] | None

    def matches(self, statement: bytes, user: bytes) -> bool:
        """Whether the rule applies to this read of `user`."""
        if self.user and self.user != user:
            return False
        return self.pattern is None or self.pattern.search(statement) is not None


@dataclass(slots=True, frozen=True)
class StatementClassifier:
    """Chooses the class of a statement and provides the time limit of each class.

    Attributes:
        read_class: Class of statements that provably only read and that no rule matches.
        load_class: Class of statements that don't provably only read.
        rules: Rules for reads; the first rule that matches sets the class.
        deadlines_s: Seconds from a request's arrival to its deadline, by class index.
    """

    read_class: int
    load_class: int
    rules: tuple[ClassRule, ...]
    deadlines_s: tuple[float, ...]

    @property
    def longest_deadline_s(self) -> float:
        """The longest time that a client waits for an answer, in seconds."""
        return max(self.deadlines_s, default=0.0)

    def classify(self, statement: bytes, user: bytes, is_read: bool) -> int:
        """Return the index of the statement's class."""
        if not is_read:
            return self.load_class
        for rule in self.rules:
            if rule.matches(statement, user):
                return rule.class_index
        return self.read_class
