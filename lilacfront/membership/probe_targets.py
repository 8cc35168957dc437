"""Selection of the member to probe next. No I/O."""

from __future__ import annotations

from hashlib import blake2b

from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import MemberState
from lilacfront.membership.suspicion import SuspicionTable

MAX_STRIDE_TRIES = 4  # number of strides to try for a live target before one is selected at random
DEAD_PROBE_PERIOD = 4  # one in so many probes may go to a dead member
DEAD_PROBERS_PER_MEMBER = 30  # mean number of members that probe a dead member per DEAD_PROBE_PERIOD probes


class ProbeTargets:
    """Selects the targets of one front end's probes."""

    def __init__(self, node: LocalNode, suspicions: SuspicionTable) -> None:
        self._node = node
        self._suspicions = suspicions
        self._probes = 0

    def choose(self, step: int) -> int | None:
        """The target of the next probe; None if there is no member to probe.

        Args:
            step: Number of the probe interval by the wall clock, which is the same at all members.
        """
        self._probes += 1
        if self._probes_dead_member():
            return self._draw_dead_member()
        # During a mass failure suspects are not probed, because their timers decide soon.
        max_state = MemberState.ALIVE if self._suspicions.is_mass_failure else MemberState.SUSPECT
        target = self._target_by_stride(step, max_state)
        return self._draw_member(max_state) if target is None else target

    def _probes_dead_member(self) -> bool:
        """Whether to probe a dead member, so that the two sides of a partition merge when it heals.

        If all of a thousand members probed a single dead member, its acks would use up its rate limit and it
        could not refute. So the probability grows with the fraction of dead members, and is 1 if each half of
        the tier has declared the other half dead.
        """
        view = self._node.view
        dead = view.counts[MemberState.DEAD]
        is_drawn = self._node.random.random() * view.live_count < DEAD_PROBERS_PER_MEMBER * dead
        return self._probes % DEAD_PROBE_PERIOD == 0 and dead > 0 and is_drawn

    def _draw_dead_member(self) -> int:
        states = self._node.view.states
        dead = [member for member in range(self._node.member_count) if states[member] == MemberState.DEAD]
        return self._node.random.choice(dead)

    def _target_by_stride(self, step: int, max_state: MemberState) -> int | None:
        """The member at a pseudo-random stride from this one, which is the same at all members.

        All members derive the stride from the number of the interval, so each member is probed once per
        interval, by a different member each time. If clocks differ, targets are effectively random.
        """
        count = self._node.member_count
        for attempt in range(MAX_STRIDE_TRIES if count > 1 else 0):
            digest = blake2b(b"%d %d" % (step, attempt), digest_size=4).digest()
            stride = 1 + int.from_bytes(digest, "big") % (count - 1)
            member = (self._node.own_member + stride) % count
            if self._node.view.states[member] <= max_state:
                return member
        return None

    def _draw_member(self, max_state: MemberState) -> int | None:
        states = self._node.view.states
        members = range(self._node.member_count)
        own_member = self._node.own_member
        eligible = [member for member in members if member != own_member and states[member] <= max_state]
        return self._node.random.choice(eligible) if eligible else None
