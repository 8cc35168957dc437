"""Random selection of live members for gossip, indirect pings and refutations. No I/O."""

from __future__ import annotations

from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import MemberState
from lilacfront.membership.suspicion import SuspicionTable

DRAWS_PER_MEMBER = 6  # number of random draws per requested member
NO_MEMBER = -1


class MemberSelector:
    """Selects live members at random."""

    def __init__(self, node: LocalNode, suspicions: SuspicionTable) -> None:
        self._node = node
        self._suspicions = suspicions

    def draw_live(self, count: int, exclude: int = NO_MEMBER) -> list[int]:
        """Up to `count` live members other than this one and `exclude`.

        While members fail, alive members are preferred to suspect ones, and then those with the latest
        messages: the others are more likely to have died.
        """
        node = self._node
        states = node.view.states
        drawn: set[int] = set()
        for _ in range(DRAWS_PER_MEMBER * count):
            member = node.random.randrange(node.member_count)
            if member not in (node.own_member, exclude) and states[member] <= MemberState.SUSPECT:
                drawn.add(member)
        if len(drawn) > count and self._suspicions.any_failing:
            last_contact_at = node.last_contact_at
            return sorted(drawn, key=lambda member: (states[member], -last_contact_at[member]))[:count]
        return list(drawn)[:count]
