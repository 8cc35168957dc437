"""The incarnation number of this front end, and the sequence number of its messages. No I/O."""

from __future__ import annotations

import math

MAX_INCARNATION = 0xFFFFFFFF
MAX_FIRST_INCARNATION = MAX_INCARNATION >> 1  # the upper half of the range is left for refutations
MAX_SEQUENCE = 0xFFFFFFFF


class OwnIncarnation:
    """The incarnation of this front end and the sequence number of its messages within it.

    The first incarnation is the wall clock time of the start in whole seconds, which a process that was
    started earlier in the same second may have used, too. So another one begins with the next second: it is
    higher than all that an earlier process reached, unless that one has refuted more than once a second.

    Attributes:
        value: The incarnation.
        next_second_in_s: Time from the start until the next full second; 0 for a start at a full second.
        accused_incarnation: Highest incarnation in a received update that has to be refuted; 0 if none.
    """

    def __init__(self, wall_s: float) -> None:
        self.value = max(1, min(MAX_FIRST_INCARNATION, int(wall_s)))
        self.next_second_in_s = math.ceil(wall_s) - wall_s
        self.accused_incarnation = 0
        self._sequence = 0

    def advance_to(self, incarnation: int) -> None:
        """Set a new incarnation, and restart the sequence numbers."""
        self.value = incarnation
        self._sequence = 0

    def may_restore(self, minimum: int) -> bool:
        """Whether `minimum`, derived from an earlier process, is above this incarnation and in range."""
        return self.value < minimum < MAX_FIRST_INCARNATION

    def next_sequence(self) -> int:
        """The sequence number of the next message."""
        self._sequence += 1
        return self._sequence & MAX_SEQUENCE
