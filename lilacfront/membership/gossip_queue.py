"""Queue of members whose updates are gossiped, with the number of transmissions of each. No I/O.

As in memberlist's transmit-limited queue, the number of transmissions of an update grows with the logarithm
of the number of members, and the updates with the fewest transmissions are sent first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

RETRANSMIT_MULTIPLIER = 1.5  # an update is sent about this many times log2 of the number of members
FIRST_SEEN_TRANSMISSIONS = 3  # number of transmissions of the first update of a member
DEAD_TRANSMISSIONS = 3  # number of transmissions after a suspicion has expired


class GossipQueue:
    """Members whose updates are to be gossiped.

    Attributes:
        transmit_limit: Number of transmissions after which an update leaves the queue.
    """

    def __init__(self, member_count: int) -> None:
        self.transmit_limit = int(RETRANSMIT_MULTIPLIER * math.log2(member_count + 1)) + 1
        self._transmissions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def enqueue(self, member: int) -> None:
        """Queue the current update of a member for the full number of transmissions."""
        self._transmissions[member] = 0

    def enqueue_first_seen(self, member: int) -> None:
        """Queue the first update of a member, for fewer transmissions.

        After the start of a tier the updates of all members are first updates, and the full number of
        transmissions would use up the rate limit.
        """
        self._transmissions[member] = max(0, self.transmit_limit - FIRST_SEEN_TRANSMISSIONS)

    def enqueue_dead(self, member: int) -> None:
        """Queue the update of a member whose suspicion has expired, for at least a few transmissions.

        Members that know of the suspicion declare the member dead by their own timers, so these transmissions
        are only for the others.
        """
        transmissions = self._transmissions.get(member, self.transmit_limit)
        self._transmissions[member] = min(transmissions, max(0, self.transmit_limit - DEAD_TRANSMISSIONS))

    def count_transmission(self, member: int) -> None:
        """Count one transmission of a member's update, and drop it at the transmit limit."""
        self._transmissions[member] += 1
        if self._transmissions[member] >= self.transmit_limit:
            del self._transmissions[member]

    def members(self) -> Iterable[int]:
        """The queued members in the order in which they were first queued."""
        return self._transmissions

    def members_by_transmissions(self) -> list[int]:
        """The queued members, those with the fewest transmissions first."""
        return sorted(self._transmissions, key=self._transmissions.__getitem__)
