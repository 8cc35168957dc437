"""When the clients' connections of a front end that sends them away have to end. Decisions without I/O.

A pause, a graceful shutdown and a handover to a new process differ in their times alone. New connections and
requests are served as they come, since the front may still send them; a connection that holds nothing is
closed in the moment it has nothing in hand, so its client goes elsewhere. Connections that never fall idle
are the hard case: late in the drain their new requests are turned away at once, and shortly before its end
what was asked on them too recently is given up. What has run for long may go on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    KEEP = "keep"
    CLOSE = "close"
    GIVE_UP = "give up"  # what is open gets its answer now, then the connection ends


@dataclass(slots=True, frozen=True)
class Times:
    """Seconds from the word on."""

    idle: float  # from here on an idle connection is closed
    first: float  # a new connection may be silent for so long
    refuse: float  # from here on new requests are turned away
    give_up: float  # from here on nothing asked within `young` is held, nor anything idle
    young: float


# The front asks every 0.1 s and sends for 0.2 s more: closed before, clients would come straight back. At 4 s
# no connection may be idle or have asked within 2 s; 0.3 s are kept for a busy processor.
PAUSE = Times(idle=0.4, first=1.0, refuse=3.0, give_up=3.7, young=2.3)


def shutdown(still_s: float, longest_s: float) -> Times:
    """After SIGTERM new connections and requests come for `still_s`; answers are due within `longest_s`.

    Guard: a client that never falls idle is refused from there on, so that nothing of it is left unanswered.
    """
    return Times(idle=still_s, first=0.0, refuse=longest_s, give_up=longest_s, young=math.inf)


def handover(longest_s: float, passed: bool) -> Times:
    """New connections go to the new process at once. SIGKILL comes `longest_s` after SIGTERM.

    `passed`: those held here are passed to it; what could not be after a second ends by itself.
    """
    return Times(
        idle=1.0 if passed else 0.0,
        first=2.0,
        refuse=longest_s - 0.9,
        give_up=longest_s - 0.3,
        young=math.inf,
    )


@dataclass(slots=True, frozen=True)
class Held:
    """A client's connection.

    `since`: held since then; `asked_at`: its last whole request came then, below 0: none has; `open`: it has
    one in hand; `partial`: a part of a message has come.
    """

    since: float
    asked_at: float
    open: bool
    partial: bool = False


class Drain:
    """One going away of clients."""

    def __init__(self, since: float, times: Times) -> None:
        self.since, self.times = since, times

    def verdict(self, now: float, held: Held) -> Verdict:
        spent = now - self.since
        if held.open:
            recent = now - held.asked_at < self.times.young
            return Verdict.GIVE_UP if spent >= self.times.give_up and recent else Verdict.KEEP
        if spent < self.times.idle:
            return Verdict.KEEP
        young = held.asked_at < 0 and now - held.since < self.times.first
        if spent < self.times.give_up and (young or held.partial):
            return Verdict.KEEP
        return Verdict.CLOSE

    def refuses(self, now: float, held_since: float) -> float | None:
        """Seconds after which a request turned away now finds its connection gone; None: it is taken.

        On connections made since they all have had to end, requests are served: the front still sends them.
        """
        spent, end = now - self.since, self.since + self.times.give_up
        if spent < self.times.refuse or held_since >= end:
            return None
        return max(0.0, end - now)
