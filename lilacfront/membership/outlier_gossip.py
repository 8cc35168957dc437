"""Outlier gossip: front ends report engines that they can't use, and a quorum makes an engine an outlier.

No I/O; times are microseconds. A member reports only the failures that it observed itself and never forwards
the reports of others. An engine is an outlier if at least QUORUM members, and more than MAX_FAULTY_FRACTION
of the members that sent a message recently, reported it within REPORT_LIFETIME_US. Failures from before the
engine's last response to this front end are ignored. Reports of a failed zone make all of its engines
outliers, with the same quorum. If a quorum reports more than MAX_OUTLIER_FRACTION of the engines one by
one, or all zones, a network problem is more likely, and these reports have no effect.

Before an outlier receives other requests, it has to answer a trial request: one short read, at most one per
TRIAL_INTERVAL_US and front end. So a healthy engine that was reported by mistake receives requests again. The
reports of a zone save each front end from finding every unreachable engine of the zone by itself.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from lilacfront.membership.engine_numbers import SHORT_MASK, engines_by_short_number

REPORT_LIFETIME_US = 5_000_000
TRIAL_INTERVAL_US = 500_000  # minimum time between two trial requests to outliers
QUORUM = 2  # minimum number of members that must report an engine or a zone
MAX_FAULTY_FRACTION = 0.2  # fraction of the live members that may send false reports
MAX_OUTLIER_FRACTION = 0.5  # fraction of the engines; if more are reported, the network is the likelier cause
MIN_ZONE_FAILURES = 2  # number of unreachable engines in a zone from which the zone itself is reported
MAX_REPORTERS = 64  # reporters stored per engine or zone; more would not change the decision
AGE_UNIT_US = 100_000  # unit of the age in an entry
MAX_ENTRIES = 12  # maximum number of entries in one message
NEVER_US = -1

Entry = tuple[int, int, int]  # (last 32 bits of the engine's number or the zone, reason, age)


class OutlierReason(IntEnum):
    """Why an engine can't be used, with its number on the wire; entries with other numbers are skipped."""

    UNREACHABLE = 1
    UNRESPONSIVE = 2
    FAILING = 3
    ZONE = 4  # the entry names a zone: several of its engines are unreachable, and none responds


class Subject(NamedTuple):
    """The engine or zone that a report is about."""

    number: int
    is_zone: bool


class OutlierGossip:
    """Failures that this front end observed, reports of other members, and the resulting outliers.

    Attributes:
        enabled: Whether the settings turn outlier gossip on. If not, nothing is recorded.
        outliers: Engines that are outliers.
        outlier_zones: Zones in which all engines are outliers.
    """

    def __init__(self, enabled: bool = False) -> None:
        self.enabled = enabled
        self.outliers: set[int] = set()
        self.outlier_zones: set[int] = set()
        self._zones: dict[int, int] = {}  # engine -> its zone
        self._engines: dict[int, int] = {}  # short number -> engine
        self._failures: dict[int, tuple[OutlierReason, int]] = {}  # engine -> (reason, time)
        self._successes: dict[int, int] = {}  # engine -> time of its last response
        self._reports: dict[Subject, dict[int, int]] = {}  # reporter -> time of the failure
        self._last_trial_at = -TRIAL_INTERVAL_US

    def set_engines(self, zones: Mapping[int, int]) -> None:
        """Set the listed engines and their zones; records of other engines are dropped."""
        self._zones = dict(zones)
        self._engines = engines_by_short_number(zones)
        listed, listed_zones = set(zones), set(zones.values())
        self._failures = {engine: failure for engine, failure in self._failures.items() if engine in listed}
        self._successes = {engine: at for engine, at in self._successes.items() if engine in listed}
        self._reports = {
            subject: reporters
            for subject, reporters in self._reports.items()
            if subject.number in (listed_zones if subject.is_zone else listed)
        }
        self.outliers &= listed

    # ---- failures that this front end observed ------------------------------------------------
    def record_failure(self, engine: int, reason: OutlierReason, now: int) -> None:
        """Record that this front end couldn't use an engine."""
        if self.enabled:
            self._failures[engine] = (reason, now)

    def record_success(self, engine: int, now: int) -> None:
        """Record that an engine served a request of this front end; it is no longer an outlier."""
        if not self.enabled:
            return
        self._failures.pop(engine, None)
        self._successes[engine] = now
        self.outliers.discard(engine)
        zone = self._zones.get(engine)
        if zone in self.outlier_zones:
            self.outlier_zones.discard(zone)
            self.outliers = {outlier for outlier in self.outliers if self._zones.get(outlier) != zone}

    def blocks(self, engine: int, short_read: bool, now: int) -> bool:
        """Whether a request must not be sent to an engine.

        An outlier is blocked, except for a short read that may be sent as a trial request.
        """
        if engine not in self.outliers:
            return False
        return not (short_read and now - self._last_trial_at >= TRIAL_INTERVAL_US)

    def record_trial(self, engine: int, now: int) -> None:
        """Record that a request was sent to an engine; to an outlier it was a trial request."""
        if engine in self.outliers:
            self._last_trial_at = now

    def unreachable_zones(self, now: int) -> set[int]:
        """Zones with several unreachable engines and no response of any engine since they failed."""
        last_successes = self._zone_successes()
        failures = Counter[int]()
        for engine, (reason, failed_at) in self._failures.items():
            zone = self._zones.get(engine)
            is_recent = now - failed_at < REPORT_LIFETIME_US
            if zone is not None and reason is OutlierReason.UNREACHABLE and is_recent:
                failures[zone] += failed_at > last_successes.get(zone, NEVER_US)
        return {zone for zone, count in failures.items() if count >= MIN_ZONE_FAILURES}

    def entries_to_send(self, now: int, max_entries: int = MAX_ENTRIES) -> tuple[Entry, ...]:
        """Entries for a message: unreachable zones first, then engines, the latest failure first."""
        if not self._failures:
            return ()
        zones = self.unreachable_zones(now)
        entries: list[Entry] = [(zone & SHORT_MASK, int(OutlierReason.ZONE), 0) for zone in sorted(zones)]
        latest_first = sorted(self._failures.items(), key=lambda failure: -failure[1][1])
        for engine, (reason, failed_at) in latest_first:
            if now - failed_at >= REPORT_LIFETIME_US:
                del self._failures[engine]
            elif reason is not OutlierReason.UNREACHABLE or self._zones.get(engine) not in zones:
                age = max(0, now - failed_at) // AGE_UNIT_US
                entries.append((engine & SHORT_MASK, int(reason), age))
        return tuple(entries[:max_entries])

    def _zone_successes(self) -> dict[int, int]:
        """Time of the last response of any engine to this front end, by zone."""
        last_successes: dict[int, int] = {}
        for engine, at in self._successes.items():
            if engine in self._zones:
                zone = self._zones[engine]
                last_successes[zone] = max(at, last_successes.get(zone, at))
        return last_successes

    # ---- reports of other members -------------------------------------------------------------
    def receive(self, reporter: int, entries: Iterable[Entry], now: int) -> None:
        """Store the entries of another member's report."""
        if not self.enabled:
            return
        for short_number, reason, age in entries:
            failed_at = now - age * AGE_UNIT_US
            subject = self._subject(short_number, reason)
            if subject is None or now - failed_at >= REPORT_LIFETIME_US:
                continue
            reporters = self._reports.setdefault(subject, {})
            if reporter in reporters or len(reporters) < MAX_REPORTERS:
                reporters[reporter] = max(failed_at, reporters.get(reporter, failed_at))

    def _subject(self, short_number: int, reason: int) -> Subject | None:
        """The engine or zone that an entry is about; None if it isn't listed or the reason is unknown."""
        if reason == OutlierReason.ZONE:
            return Subject(short_number, is_zone=True) if short_number in self._zones.values() else None
        engine = self._engines.get(short_number, 0)
        if reason > OutlierReason.ZONE or not engine:
            return None
        return Subject(engine, is_zone=False)

    def evaluate(self, now: int, live_members: int) -> None:
        """Recompute the outliers from the stored reports.

        Args:
            now: Time in microseconds.
            live_members: Number of members that sent a message within the lifetime of a report.
        """
        if not self._reports and not self.outliers:
            return
        self._drop_expired_reports(now)
        confirmed = self._confirmed_subjects(max(QUORUM, int(MAX_FAULTY_FRACTION * live_members) + 1))
        self.outlier_zones = {subject.number for subject in confirmed if subject.is_zone}
        if len(self.outlier_zones) >= len(set(self._zones.values())):
            self.outlier_zones = set()  # a network problem or false reports are more likely
        engines = {subject.number for subject in confirmed if not subject.is_zone}
        if len(engines) > MAX_OUTLIER_FRACTION * len(self._zones):
            engines = set()
        in_zones = {engine for engine, zone in self._zones.items() if zone in self.outlier_zones}
        self.outliers = engines | in_zones

    def _drop_expired_reports(self, now: int) -> None:
        for subject, reporters in list(self._reports.items()):
            expired = [
                reporter for reporter, failed_at in reporters.items() if now - failed_at >= REPORT_LIFETIME_US
            ]
            for reporter in expired:
                del reporters[reporter]
            if not reporters:
                del self._reports[subject]

    def _confirmed_subjects(self, quorum: int) -> set[Subject]:
        """Subjects with a quorum of reports of failures after their last response to this front end."""
        zone_successes = self._zone_successes()
        confirmed: set[Subject] = set()
        for subject, reporters in self._reports.items():
            successes = zone_successes if subject.is_zone else self._successes
            last_success_at = successes.get(subject.number, NEVER_US)
            if sum(failed_at > last_success_at for failed_at in reporters.values()) >= quorum:
                confirmed.add(subject)
        return confirmed
