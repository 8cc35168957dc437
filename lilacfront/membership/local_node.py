"""Shared state of a front end's failure detector: settings, clock and times of last contacts. No I/O."""

from __future__ import annotations

import math
import random
from array import array
from collections.abc import Callable

from lilacfront.membership.messages import MemberState
from lilacfront.membership.settings import MembershipSettings
from lilacfront.membership.view import MembershipView

MIN_ISOLATION_S = 2.0  # minimum time without contact after which a front end counts itself as isolated
ISOLATION_INTERVALS = 5  # the same in probe intervals; the longer of the two times applies
PAUSE_THRESHOLD_S = 1.0  # a longer time between two events means that this front end was paused
MIN_QUORUM_MEMBERS = 4  # minimum tier size for a quorum: among three, only one other can report on a member
MAX_PING_SEQUENCE = 0xFFFFFFFF
QUORUM = 2  # number of members that must report a state that the member concerned did not report itself


class LocalNode:
    """State that all components of one front end's failure detector share.

    Attributes:
        view: States and incarnations of all members.
        settings: Timeouts and limits.
        random: The single random number generator, so that a seeded run can be repeated.
        wall_s: Returns the wall clock time in seconds.
        own_member: Number of this member.
        member_count: Number of members.
        last_contact_at: Time of the last message from each member.
        last_received_at: Time of the last message from any member.
        last_ack_at: Time at which a probe of this front end was last acknowledged.
        was_paused: Whether this front end was paused and has received no message since.
        has_left: Whether this front end has left the tier, or another process has taken over as this member.
        clock: The latest observed time in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        settings: MembershipSettings,
        seed: int,
        now: float,
        wall_s: Callable[[], float],
    ) -> None:
        self.view = view
        self.settings = settings
        self.random = random.Random(seed)
        self.wall_s = wall_s
        self.own_member = view.own_member
        self.member_count = len(view)
        self.last_contact_at = array("d", [-math.inf]) * self.member_count
        self.last_received_at = now
        self.last_ack_at = now
        self.was_paused = False
        self.has_left = False
        self.clock = now
        self._ping_sequence = 0

    @property
    def quorum(self) -> int:
        """Number of members that must report a state that the member concerned did not report itself."""
        return QUORUM if self.member_count >= MIN_QUORUM_MEMBERS else 1

    def is_isolated(self, now: float) -> bool:
        """Whether this front end may be isolated from the others, or was just paused.

        Received messages are not enough to rule isolation out: a front end whose own messages are lost still
        receives those of others, and would declare all of them dead. So a recent ack is required as well.
        """
        max_silence_s = max(MIN_ISOLATION_S, ISOLATION_INTERVALS * self.settings.probe_interval_s)
        return self.was_paused or now - min(self.last_received_at, self.last_ack_at) > max_silence_s

    def advance_clock(self, now: float) -> float:
        """Set the clock; returns how long this front end was paused in seconds, 0.0 if it was not."""
        gap = now - self.clock
        self.clock = now
        return gap if gap > PAUSE_THRESHOLD_S else 0.0

    def is_dead_or_left(self, member: int) -> bool:
        """Whether the member is dead or has left."""
        return self.view.states[member] > MemberState.SUSPECT

    def next_ping_sequence(self) -> int:
        """A sequence number for a ping, which its ack repeats."""
        self._ping_sequence = (self._ping_sequence + 1) & MAX_PING_SEQUENCE
        return self._ping_sequence
