"""Passes the fleet size and outlier reports from the membership to the routing decisions. No I/O.

The failure detector's messages carry both as piggybacked items: the fleet size that the sender estimates, and
the engines that it can't use.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator
from typing import Protocol

from lilacfront.membership import outlier_gossip as outliers
from lilacfront.membership.codec import FLEET_SIZE_REPORT, ITEM_HEADER_BYTES, OUTLIER_ENTRY
from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.fleet_size import FleetSize
from lilacfront.membership.messages import FleetSizeReport, Item, MemberState, OutlierReport, PiggybackItem
from lilacfront.membership.outlier_gossip import OutlierGossip
from lilacfront.membership.piggyback import Piggyback
from lilacfront.membership.settings import MembershipUses

REPORT_LIFETIME_S = 3.0  # time after a member's last message for which its reported fleet size is used
REFRESH_INTERVAL_S = 0.25  # minimum time between two updates of the decisions
MAX_REPORTED_COUNT = 0xFFFF


class IntegrationListener(Protocol):
    """Is notified when the fleet size or the outliers change."""

    def on_decisions_change(self, fleet_size: int, outliers: frozenset[int]) -> None:
        """Called when the fleet size in use or the set of outliers has changed."""
        ...


class MembershipIntegration:
    """Exchanges fleet sizes and outlier reports; a Piggyback of the failure detector.

    Attributes:
        fleet_size: The fleet size that the decisions use.
        outlier_gossip: The outliers that the decisions use.
        matches_fleet: Whether the policy settings and the list of peers have the same number of front ends.
        adjusts_shares: Whether the settings divide any share by the number of live front ends.
        next_piggyback: Piggyback that gets the remaining bytes and the other items; None if there is none.
    """

    def __init__(
        self,
        uses: MembershipUses,
        fleet_size: FleetSize,
        outlier_gossip: OutlierGossip,
        detector: FailureDetector,
        listener: IntegrationListener,
    ) -> None:
        self.fleet_size = fleet_size
        self.outlier_gossip = outlier_gossip
        self.next_piggyback: Piggyback | None = None
        self._detector = detector
        self._listener = listener
        # If the settings and the peers differ in number, the shares would not add up to the whole.
        self.matches_fleet = fleet_size.gateway_count == detector.member_count
        fleet_size.adjusts_turns = uses.turns and self.matches_fleet
        fleet_size.adjusts_thread_limit = uses.thread_limit and self.matches_fleet
        fleet_size.adjusts_quotas = uses.quotas and self.matches_fleet
        outlier_gossip.enabled = uses.outliers
        self.adjusts_shares = uses.turns or uses.thread_limit or uses.quotas
        self._reported_counts = array("L", [0]) * detector.member_count  # by member; 0 if it reported none
        self._refreshed_at = -REFRESH_INTERVAL_S
        self._notified = (fleet_size.count, frozenset[int]())
        detector.set_piggyback(self)

    # ---- messages -----------------------------------------------------------------------------
    def collect(self, now: float, max_bytes: int) -> Iterator[Item]:
        """The items for one message; see Piggyback."""
        if self.adjusts_shares and max_bytes >= ITEM_HEADER_BYTES + FLEET_SIZE_REPORT.size:
            max_bytes -= ITEM_HEADER_BYTES + FLEET_SIZE_REPORT.size
            yield FleetSizeReport(min(self.fleet_size.own_estimate, MAX_REPORTED_COUNT))
        if self.outlier_gossip.enabled:
            max_entries = min(outliers.MAX_ENTRIES, (max_bytes - ITEM_HEADER_BYTES) // OUTLIER_ENTRY.size)
            entries = self._outlier_entries(now, max_entries)
            if entries:
                max_bytes -= ITEM_HEADER_BYTES + OUTLIER_ENTRY.size * len(entries)
                yield OutlierReport(entries)
        if self.next_piggyback is not None:
            yield from self.next_piggyback.collect(now, max_bytes)

    def _outlier_entries(self, now: float, max_entries: int) -> tuple[outliers.Entry, ...]:
        if max_entries <= 0:
            return ()
        return self.outlier_gossip.entries_to_send(int(now * 1e6), max_entries)

    def receive(self, now: float, sender: int, item: PiggybackItem) -> Iterable[Item]:
        """Handle an item of another member; see Piggyback."""
        match item:
            case FleetSizeReport(count):
                self._reported_counts[sender] = count
            case OutlierReport(entries):
                self.outlier_gossip.receive(sender, entries, int(now * 1e6))
            case _ if self.next_piggyback is not None:
                return self.next_piggyback.receive(now, sender, item)
        return ()

    # ---- decisions ----------------------------------------------------------------------------
    def refresh(self, now: float) -> None:
        """Update the fleet size and the outliers, at most once every REFRESH_INTERVAL_S."""
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        if self.adjusts_shares:
            self._update_fleet_size(now)
        if self.outlier_gossip.enabled:
            lifetime_s = outliers.REPORT_LIFETIME_US / 1e6
            live_members = sum(now - at < lifetime_s for at in self._detector.last_contact_at)
            self.outlier_gossip.evaluate(int(now * 1e6), live_members)
        current = (self.fleet_size.count, frozenset(self.outlier_gossip.outliers))
        if current != self._notified:
            self._notified = current
            self._listener.on_decisions_change(*current)

    def _update_fleet_size(self, now: float) -> None:
        view = self._detector.view
        failed = [state >= MemberState.DEAD for state in view.states]
        is_connected = not self._detector.is_isolated(now)
        left = view.counts[MemberState.LEFT]
        self.fleet_size.update(now, failed, left, self._recent_counts(now), is_connected)

    def _recent_counts(self, now: float) -> list[int]:
        contact_at = self._detector.last_contact_at
        return [
            count
            for member, count in enumerate(self._reported_counts)
            if count and now - contact_at[member] < REPORT_LIFETIME_S
        ]
