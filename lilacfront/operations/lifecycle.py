"""Lifecycle stages of a process, and its readiness to serve requests. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from lilacfront.sched import Loop

# Seconds after the start during which the change log has to reach the event that another process has applied.
CATCH_UP_TIMEOUT_S = 2.0


class LifecycleStage(Enum):
    """Lifecycle stage of a process; the values appear in the admin protocol and in state files."""

    STARTING = "starting"  # recovering, or the change log has not caught up yet
    READY = "ready"
    PAUSED = "paused"
    SHUTTING_DOWN = "leaving"  # SIGTERM has been received


class ReadinessSource(Protocol):
    """Provides the conditions on which readiness depends."""

    def is_recovering(self) -> bool:
        """Return whether recovery from a power loss still blocks all requests."""

    def is_endpoint_list_current(self) -> bool:
        """Return whether the endpoint list is up to date with its source."""

    def change_log_seq(self) -> int:
        """Return the number of the last change log event applied; 0 if there was none."""


class Readiness:
    """Determines whether this process has the data that it needs to serve requests."""

    def __init__(self, loop: Loop, source: ReadinessSource) -> None:
        self._loop = loop
        self._source = source
        self._started_at = loop.now
        self._required_seq = 0
        self._has_caught_up = False

    def require_seq(self, seq: int) -> None:
        """Require the change log to reach an event that another process had applied."""
        self._required_seq = max(self._required_seq, seq)

    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return not self._source.is_recovering() and self._is_caught_up()

    def _is_caught_up(self) -> bool:
        """Return whether the endpoint list is current and the change log has reached the required event.

        The event is required only once, and only until `CATCH_UP_TIMEOUT_S` after the start, because it never
        arrives if the change log has been renumbered.
        """
        if not self._has_caught_up:
            has_required_seq = self._source.change_log_seq() >= self._required_seq
            timed_out = self._loop.now >= self._started_at + CATCH_UP_TIMEOUT_S
            self._has_caught_up = self._source.is_endpoint_list_current() and (has_required_seq or timed_out)
        return self._source.is_endpoint_list_current() and self._has_caught_up
