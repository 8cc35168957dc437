"""What the views of front ends were worth, set against the truth at every look."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass, field

Apart = Callable[[int, int], bool]  # whether nothing passes between two, in either direction


@dataclass
class Outcome:
    """Times in seconds."""

    found: list[float] = field(default_factory=list)  # from a death to each living member's knowing
    missed: int = 0  # pairs of a death and a member that never knew
    wrong: list[float] = field(default_factory=list)  # how long a running member was held dead, each time
    wrong_after: float = 0.0  # the longest that one was held dead beyond its own pause's or cut's end
    counts: list[tuple[float, int, int, int]] = field(
        default_factory=list
    )  # time, truth, least, most counted
    bytes_per_s: float = 0.0  # of the member that sent most
    mean_bytes_per_s: float = 0.0
    messages: int = 0
    agreed_at: float = math.nan  # after the last fault all views of the living are the truth from then on


class Scorer:
    """`last`: when the last fault comes."""

    def __init__(self, members: int, last: float) -> None:
        self.members, self.last, self.outcome = members, last, Outcome()
        self.deaths: dict[int, float] = {}  # of those that are dead now
        self.since = [0.0] * members  # when each began to run, or was last freed from a cut
        self._known: dict[int, dict[int, float]] = {}  # viewer -> member -> since when held dead, wrongly
        self._found: dict[tuple[int, int], tuple[float, float]] = {}  # (viewer, member) -> died, known

    def died(self, member: int, now: float) -> None:
        self.deaths[member] = now
        self._known.pop(member, None)

    def ran(self, member: int, now: float) -> None:
        """It was started, or goes on."""
        if member in self.deaths:
            self._count(member, self.deaths.pop(member))
        self.since[member] = now

    def _count(self, member: int, died: float) -> None:
        """Who knew of this death; of those that died since it does not count."""
        for viewer in range(self.members):
            told = self._found.get((viewer, member))
            if told is not None and told[0] == died and viewer not in self.deaths:
                self.outcome.found.append(told[1] - died)

    def healed(self, now: float) -> None:
        self.since = [max(one, now) for one in self.since]

    def look(
        self, now: float, views: Mapping[int, Set[int]], stopped: Set[int], apart: Apart, truth: int
    ) -> None:
        """`views`: of each that runs, whom it holds dead. `truth`: how many are not dead."""
        agreed = True
        for viewer, view in views.items():
            known = self._known.setdefault(viewer, {})
            for member in view | self.deaths.keys() | known.keys():
                held = member in view
                if member in self.deaths:
                    agreed = agreed and held
                    died = self.deaths[member]
                    if held and self._found.get((viewer, member), (math.nan, 0.0))[0] != died:
                        self._found[viewer, member] = (died, now)
                elif held:
                    agreed = False
                    if member not in stopped and not apart(viewer, member):
                        known.setdefault(member, now)
                elif member in known:
                    self._wrongly(viewer, member, now)
        if views:
            counted = [self.members - len(view) for view in views.values()]
            self.outcome.counts.append((now, truth, min(counted), max(counted)))
        if not agreed:
            self.outcome.agreed_at = math.nan
        elif now >= self.last and math.isnan(self.outcome.agreed_at):
            self.outcome.agreed_at = now - self.last

    def _wrongly(self, viewer: int, member: int, now: float) -> None:
        began = self._known[viewer].pop(member)
        self.outcome.wrong.append(now - began)
        after = now - max(began, self.since[member], self.since[viewer])
        self.outcome.wrong_after = max(self.outcome.wrong_after, after)

    def close(self, now: float, running: Set[int], sent: Mapping[int, float]) -> Outcome:
        """`running`: whose views count at the end; `sent`: bytes a second of each."""
        for viewer, known in self._known.items():
            for member in list(known):
                self._wrongly(viewer, member, now)
        for gone, died in self.deaths.items():
            self._count(gone, died)
            for one in running:
                told = self._found.get((one, gone))
                self.outcome.missed += told is None or told[0] != died
        rates = list(sent.values()) or [0.0]
        self.outcome.bytes_per_s, self.outcome.mean_bytes_per_s = max(rates), sum(rates) / len(rates)
        return self.outcome
