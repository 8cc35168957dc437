"""Lifeguard's local health multiplier: longer timeouts if this front end's probes are unreliable. No I/O."""

from __future__ import annotations

from collections import deque

MAX_HEALTH_SCORE = 8.0  # worst score; 0 is healthy
ACK_CREDIT = 0.02  # decrease of the score per acknowledged probe
UNSTABLE_REFUTATIONS = 4.0  # decayed number of refutations from which the network counts as unstable
REFUTATION_HALF_LIFE_S = 5.0  # half-life of the decayed number of refutations
MAX_INSTABILITY_INCREASE = 2.0  # maximum increase of the suspicion multiplier in an unstable network
RECENT_FAILURE_INTERVALS = 2  # number of probe intervals for which a failed probe counts as recent


class LocalHealth:
    """The health score and the multipliers for timeouts.

    Attributes:
        score: Increases when an accusation by this front end is refuted, and decreases when a probe is
            acknowledged or an accused member dies; 0 is healthy.
        recent_failures: Times at which probes failed recently.
    """

    def __init__(self, now: float) -> None:
        self.score = 0.0
        self.recent_failures: deque[float] = deque()
        self._refutations = 0.0  # exponentially decayed number, of all members
        self._refutations_at = now

    @property
    def probe_multiplier(self) -> float:
        """Multiplier for the timeouts of probes."""
        return 1.0 + self.score / 2

    @property
    def suspicion_multiplier(self) -> float:
        """Multiplier for the timeouts of suspicions; it also increases in an unstable network."""
        instability = max(0.0, self._refutations / UNSTABLE_REFUTATIONS - 1.0)
        return 1.0 + self.score / 4 + min(MAX_INSTABILITY_INCREASE, instability)

    def is_network_unstable(self, now: float) -> bool:
        """Whether live members are suspected repeatedly; more probes would cause more false suspicions."""
        return self._decay_refutations(now) >= UNSTABLE_REFUTATIONS

    def record_refutation(self, now: float) -> None:
        """Record that a suspect member has refuted."""
        self._refutations = self._decay_refutations(now) + 1.0

    def record_ack(self) -> None:
        """Record that a probe of this front end was acknowledged."""
        self.score = max(0.0, self.score - ACK_CREDIT)

    def record_confirmed_accusation(self) -> None:
        """Record that a member that this front end accused was declared dead."""
        self.score = max(0.0, self.score - 1.0)

    def record_refuted_accusation(self) -> None:
        """Record that a member that this front end accused has refuted."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1.0)

    def record_probe_failure(self, now: float) -> None:
        """Record that a probe was acknowledged neither directly nor indirectly."""
        self.recent_failures.append(now)

    def drop_old_failures(self, now: float, probe_interval_s: float) -> None:
        """Drop probe failures that are no longer recent."""
        oldest = now - RECENT_FAILURE_INTERVALS * probe_interval_s
        while self.recent_failures and self.recent_failures[0] < oldest:
            self.recent_failures.popleft()

    def _decay_refutations(self, now: float) -> float:
        self._refutations *= 0.5 ** ((now - self._refutations_at) / REFUTATION_HALF_LIFE_S)
        self._refutations_at = now
        return self._refutations
