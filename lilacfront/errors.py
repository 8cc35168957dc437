"""Base classes of exceptions; every exception raised across packages derives from `LilacfrontError`."""

from __future__ import annotations


class LilacfrontError(Exception):
    """Base class of all exceptions that this program defines."""


class SettingsError(LilacfrontError, ValueError):
    """A setting is invalid.

    Attributes:
        key: Full name of the setting, such as `membership.period_s`; empty if the whole file is invalid.
        problem: Description of what is wrong, without the key.
    """

    def __init__(self, key: str, problem: object) -> None:
        self.key = key
        self.problem = str(problem)
        super().__init__(f"{key}: {problem}" if key else str(problem))
