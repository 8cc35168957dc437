"""Connects the recovery package to the other parts of a server."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from lilacfront.operations.learned_state import export_learned_state, import_learned_state
from lilacfront.sched import Task

if TYPE_CHECKING:
    from lilacfront.discovery.endpoint_list import EndpointUpdate
    from lilacfront.operations.state_record import LearnedState, OperatorDirective
    from lilacfront.recovery.coordinator import RecoveryCoordinator
    from lilacfront.server.server import Server

RESTORE_CHECK_INTERVAL_S = 0.01


class ServerRecoveryHost:
    """The `RecoveryHost` of a server; the server may create its other parts later."""

    def __init__(self, server: Server) -> None:
        self._server = server

    # ---- endpoints ----------------------------------------------------------------------------------
    def endpoint_list_seq(self) -> int:
        """Number of the last change log event applied."""
        return self._server.endpoint_feed.sequence

    def endpoints_confirmed(self) -> bool:
        """Whether the change log has answered; True without a change log."""
        change_log = self._server.endpoint_feed.change_log
        return change_log is None or change_log.has_answered

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Apply this endpoint list, as `EndpointFeed.apply_update` does."""
        self._server.endpoint_feed.apply_update(update)

    def resume_change_log(self, seq: int) -> None:
        """Request only events after this one from the change log."""
        self._server.endpoint_feed.resume_from(seq)

    # ---- operators and router -----------------------------------------------------------------------
    def adopt_directives(self, directives: Iterable[OperatorDirective]) -> None:
        """Merge restored directives with those in force."""
        self._server.operations.adopt_directives(directives)

    def export_learned_state(self) -> LearnedState:
        """Return the estimates that the router has learned."""
        return export_learned_state(self._server.dispatcher.router)

    def import_learned_state(self, learned: LearnedState, age_s: float) -> None:
        """Initialize the router with stored estimates that are `age_s` seconds old."""
        import_learned_state(self._server.dispatcher.router, learned, age_s)

    def ready_cores(self) -> float:
        """Total cores of all ready engines."""
        return self._server.dispatcher.ready_cores

    def gateway_count(self) -> int:
        """Number of gateways that share the engines."""
        return self._server.dispatcher.router.state.fleet_size.count


def build_recovery(server: Server) -> RecoveryCoordinator:
    """Return the coordinator; its package is imported only if recovery is on."""
    from lilacfront.recovery.coordinator import RecoveryCoordinator

    config = server.config
    return RecoveryCoordinator(
        server.loop,
        config.recovery,
        config.name,
        config.policy,
        server.dispatcher,
        config.seed,
        ServerRecoveryHost(server),
        config.cached_events.origin,
    )


def run_recovery(task: Task, server: Server, recovery: RecoveryCoordinator) -> None:
    """Run recovery, and start to follow the change log after the stored list has been restored."""
    server.loop.spawn(recovery.run)
    while not recovery.restored:
        server.loop.sleep(task, server.loop.now + RESTORE_CHECK_INTERVAL_S)
    if server.endpoint_feed.change_log is not None:
        server.loop.spawn(server.endpoint_feed.change_log.run)
