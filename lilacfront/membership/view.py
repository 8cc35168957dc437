"""The membership view of one front end: state and incarnation of each member. No I/O.

For each member the view keeps the highest accepted pair (incarnation, state), with the states ordered alive,
suspect, dead, left. Applying updates is therefore commutative, associative and idempotent, and incarnations
never decrease.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import Protocol

from lilacfront.membership.messages import STATES, MemberState, MemberUpdate


class StateListener(Protocol):
    """Is notified when a member changes its state."""

    def on_state_change(self, update: MemberUpdate, reason: str) -> None:
        """Called when the state of a member has changed."""
        ...


class MembershipView:
    """States and incarnations of the members, which are numbered from 0. All members are initially alive.

    Attributes:
        own_member: Number of the member whose view it is.
        incarnations: Incarnation of each member; 0 if none was received.
        states: Number of the MemberState of each member.
        state_since: Time in seconds at which each member entered its state.
        counts: Number of members in each state.
        bitmaps: Bit mask for each state, in which bit n is set if member n is in the state.
    """

    def __init__(
        self, member_count: int, own_member: int, now: float, listener: StateListener | None = None
    ) -> None:
        self.own_member = own_member
        self._listener = listener
        self.incarnations = array("L", [0]) * member_count
        self.states = bytearray(member_count)
        self.state_since = array("d", [now]) * member_count
        self.counts = [member_count, 0, 0, 0]
        self.bitmaps = [(1 << member_count) - 1, 0, 0, 0]

    def __len__(self) -> int:
        return len(self.states)

    def __iter__(self) -> Iterator[MemberUpdate]:
        return (self.update_of(member) for member in range(len(self)))

    def state(self, member: int) -> MemberState:
        """State of a member."""
        return STATES[self.states[member]]

    def update_of(self, member: int) -> MemberUpdate:
        """The state and incarnation of a member, as an update for other members."""
        return MemberUpdate(member, self.incarnations[member], STATES[self.states[member]])

    @property
    def live_count(self) -> int:
        """Number of members that are alive or suspect; a suspect counts until it is declared dead."""
        return self.counts[MemberState.ALIVE] + self.counts[MemberState.SUSPECT]

    def supersedes(self, update: MemberUpdate) -> bool:
        """Whether an update is newer than the view; False if there is no such member."""
        if not 0 <= update.member < len(self):
            return False
        current = (self.incarnations[update.member], self.states[update.member])
        return (update.incarnation, update.state) > current

    def apply(self, update: MemberUpdate, now: float, reason: str) -> bool:
        """Apply an update; returns False if it is not newer than the view."""
        if not self.supersedes(update):
            return False
        self.incarnations[update.member] = update.incarnation
        if self.states[update.member] != update.state:
            self._change_state(update, now)
            if self._listener is not None:
                self._listener.on_state_change(update, reason)
        return True

    def _change_state(self, update: MemberUpdate, now: float) -> None:
        member, state, previous_state = update.member, update.state, self.states[update.member]
        self.states[member] = state
        self.state_since[member] = now
        self.counts[previous_state] -= 1
        self.counts[state] += 1
        self.bitmaps[previous_state] &= ~(1 << member)
        self.bitmaps[state] |= 1 << member

    def same_as(self, other: MembershipView) -> bool:
        """Whether the view of another front end has the same states and incarnations."""
        return self.states == other.states and self.incarnations == other.incarnations
