"""Runs the membership on the event loop: sends and receives datagrams, runs timers and logs changes."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lilacfront.logs import Log
from lilacfront.membership.codec import VERSION
from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.fleet_size import FleetSize
from lilacfront.membership.integration import MembershipIntegration
from lilacfront.membership.messages import MemberState, MemberUpdate
from lilacfront.membership.outlier_gossip import OutlierGossip
from lilacfront.membership.sender import OutgoingDatagram
from lilacfront.membership.settings import MembershipSettings
from lilacfront.membership.view import MembershipView
from lilacfront.sched import Loop, Task

log = Log(__name__)
MAX_OUTLIERS_SHOWN = 16  # maximum number of engines named in the answer of PEERS
NEVER_S = 1e9  # a larger time since the last message means that there was none


@dataclass(slots=True, frozen=True)
class MemberConfig:
    """Configuration of this front end as a member.

    Attributes:
        settings: Timeouts and limits.
        member_count: Number of members.
        own_member: Number of this member.
        seed: Seed of the random number generator.
        keys: Keys by their numbers; sent messages are tagged with the first one.
    """

    settings: MembershipSettings
    member_count: int
    own_member: int
    seed: int
    keys: dict[int, bytes]


@dataclass(slots=True, frozen=True)
class MembershipHooks:
    """Callbacks into the rest of the program.

    Attributes:
        send: Sends a datagram to a member.
        receive_other: Handles a datagram of another protocol version from a member.
        engine_name: Returns the name of an engine for the log and for operators.
    """

    send: Callable[[int, bytes], None]
    receive_other: Callable[[int, bytes], None]
    engine_name: Callable[[int], str] = str


class MembershipService:
    """Runs the failure detector of one front end.

    Attributes:
        view: States and incarnations of all members.
        detector: The failure detector.
        integration: Passes the fleet size and outliers to the routing decisions.
    """

    def __init__(
        self,
        loop: Loop,
        config: MemberConfig,
        fleet_size: FleetSize,
        outlier_gossip: OutlierGossip,
        hooks: MembershipHooks,
    ) -> None:
        """Start as a member; the routing decisions use `fleet_size` and `outlier_gossip`."""
        self.loop = loop
        self._hooks = hooks
        self._outliers = frozenset[int]()
        self._was_isolated = False
        self._task: Task | None = None
        self.view = MembershipView(config.member_count, config.own_member, loop.now, self)
        self.detector = FailureDetector(
            self.view, config.settings, config.seed, loop.now, time.time, config.keys
        )
        self.integration = MembershipIntegration(
            config.settings.uses, fleet_size, outlier_gossip, self.detector, self
        )
        if self.integration.adjusts_shares and not self.integration.matches_fleet:
            log.error(
                "fleet size not adjusted: settings and peers differ in number",
                gateway_count=fleet_size.gateway_count,
                peers=config.member_count,
            )

    # ---- notifications ------------------------------------------------------------------------
    def on_state_change(self, update: MemberUpdate, reason: str) -> None:
        """Log that a member changed its state."""
        log.warning(
            "member state changed",
            member=update.member,
            state=update.state.name.lower(),
            incarnation=update.incarnation,
            reason=reason,
        )

    def on_decisions_change(self, fleet_size: int, outliers: frozenset[int]) -> None:
        """Log a new fleet size and new or cleared outliers."""
        if self.integration.adjusts_shares:
            log.info("fleet size in use", count=fleet_size, live=self.view.live_count)
        for engine in outliers - self._outliers:
            log.warning("outlier reported by peers", warehouse=self._hooks.engine_name(engine))
        for engine in self._outliers - outliers:
            log.warning("outlier cleared", warehouse=self._hooks.engine_name(engine))
        self._outliers = outliers

    # ---- datagrams ----------------------------------------------------------------------------
    def send_all(self, datagrams: Iterable[OutgoingDatagram]) -> None:
        """Send datagrams that the detector returned."""
        for member, data in datagrams:
            self._hooks.send(member, data)

    def receive(self, source: int, data: bytes) -> None:
        """Handle a datagram from the address of member `source`."""
        if data[:1] != bytes([VERSION]):
            self._hooks.receive_other(source, data)
            return
        self.send_all(self.detector.receive(self.loop.now, source, data))
        if self._task is not None:
            self._task.wake(None)  # the next deadline may be earlier now

    def run(self, task: Task) -> None:
        """Call the detector at each of its deadlines, forever."""
        self._task = task
        while True:
            self.loop.wait(task, self.detector.next_deadline())
            self.send_all(self.detector.tick(self.loop.now))
            self.integration.refresh(self.loop.now)
            self._log_isolation()

    def _log_isolation(self) -> None:
        is_isolated = self.detector.is_isolated(self.loop.now)
        if is_isolated is self._was_isolated:
            return
        self._was_isolated = is_isolated
        event = "isolated from peers" if is_isolated else "isolation from peers ended"
        log.warning(event, was_paused=self.detector.was_paused)

    # ---- draining -----------------------------------------------------------------------------
    def leave(self) -> None:
        """Notify other members that this front end accepts no more clients."""
        if not self.detector.has_left:
            self.send_all(self.detector.leave(self.loop.now))

    def rejoin(self) -> None:
        """Notify other members that this front end accepts clients again."""
        if self.detector.has_left:
            self.send_all(self.detector.rejoin(self.loop.now))

    def stop(self) -> None:
        """Stop sending, because another process of this front end takes over as this member."""
        self.detector.stop()

    # ---- operators ----------------------------------------------------------------------------
    def status_lines(self) -> list[str]:
        """Answer of the admin command PEERS: a summary line, then a line for each member."""
        return [self._summary(), *(self._member_line(update) for update in self.view)]

    def _summary(self) -> str:
        counts, detector = self.view.counts, self.detector
        states = ", ".join(f"{counts[state]} {state.name.lower()}" for state in MemberState)
        isolated = "; this one may be cut off itself" if detector.is_isolated(self.loop.now) else ""
        rejected = "".join(
            f"; {count} messages refused: {reason}" for reason, count in sorted(detector.rejected.items())
        )
        sent = f"; {detector.sent_bytes} bytes sent"
        return f"{len(self.view)} members: {states}{isolated}{self._decisions_summary()}{sent}{rejected}"

    def _decisions_summary(self) -> str:
        """The fleet size and the outliers that the routing decisions use."""
        summary = ""
        if self.integration.adjusts_shares:
            summary = f"; shares divided by {self.integration.fleet_size.count}"
        if self._outliers:
            names = sorted(map(self._hooks.engine_name, self._outliers))
            summary += "; doubted: " + " ".join(names[:MAX_OUTLIERS_SHOWN])
        return summary

    def _member_line(self, update: MemberUpdate) -> str:
        now, member = self.loop.now, update.member
        since_contact_s = now - self.detector.last_contact_at[member]
        in_state_s = now - self.view.state_since[member]
        if member == self.view.own_member:
            contact = "itself"
        elif since_contact_s < NEVER_S:
            contact = f"heard {since_contact_s:.1f} s ago"
        else:
            contact = "never heard"
        state = update.state.name.lower()
        return f"{member} {state} incarnation={update.incarnation} for={in_state_s:.1f}s {contact}"
