"""Connects the operations package to the other parts of a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacfront.operations.learned_state import export_learned_state, import_learned_state
from lilacfront.operations.transfer_messages import ListenerRequested

if TYPE_CHECKING:
    from lilacfront.decisions.events import EndpointList
    from lilacfront.operations.connection_transfer import TransferChannel
    from lilacfront.operations.drain import Drain
    from lilacfront.operations.state_record import LearnedState, OperatorDirective
    from lilacfront.operations.transfer_messages import Message
    from lilacfront.server import Server


class ServerOperationsHost:
    """The `OperationsHost` of a server; the server may create its other parts later."""

    def __init__(self, server: Server) -> None:
        self._server = server

    # ---- endpoints and limits -----------------------------------------------------------------------
    def update_endpoints(self, update: EndpointList) -> None:
        """Pass an update of the endpoint list to the router."""
        self._server.endpoint_feed.republish(update)

    def set_process_count(self, processes: int) -> None:
        """Divide the limits of the front end by the number of its running processes."""
        self._server.set_process_count(processes)

    def is_endpoint_list_current(self) -> bool:
        """Whether the endpoint list is up to date with its source."""
        change_log = self._server.change_log
        return change_log is None or change_log.is_caught_up

    def change_log_seq(self) -> int:
        """Number of the last change log event applied; 0 without a change log."""
        change_log = self._server.change_log
        return 0 if change_log is None else change_log.sequence

    # ---- client connections -------------------------------------------------------------------------
    def set_drain(self, drain: Drain | None) -> None:
        """Close client connections by the rules of `drain`; with None, keep them open."""
        self._server.set_drain(drain)

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting client connections."""
        self._server.clients.set_accepting(accepting)

    def transfer_connections(self, successor: TransferChannel) -> None:
        """Transfer each client connection to the successor process as soon as possible."""
        self._server.platform_frontend.transfer_connections(successor)

    def announce_keys(self, successor: TransferChannel) -> None:
        """Announce the ordering keys in use to the successor."""
        self._server.platform_frontend.keys.begin(successor)

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None:
        """Pass a message about a connection to the platform frontend, and one about a socket to its owner."""
        if isinstance(message, ListenerRequested):
            self._server.clients.pass_listener(channel, (message.host, message.port))
        else:
            self._server.platform_frontend.on_message(channel, message, descriptor)

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Notify the platform frontend that a channel has closed."""
        self._server.platform_frontend.on_channel_closed(channel)

    # ---- recovery, membership and router ------------------------------------------------------------
    def is_recovering(self) -> bool:
        """Whether no request is admitted because recovery from a power loss is in progress."""
        recovery = self._server.recovery
        return recovery is not None and recovery.unavailable

    def on_directive(self, directive: OperatorDirective) -> None:
        """Store a directive durably if recovery is on, so that it survives a power loss."""
        if self._server.recovery is not None:
            self._server.recovery.record_directive(directive)

    def status_details(self) -> str:
        """Text on recovery for the answer to STATUS; empty if there is nothing to report."""
        return "" if self._server.recovery is None else self._server.recovery.status_suffix()

    def member_lines(self) -> list[str] | None:
        """Lines of the answer to PEERS; None without membership."""
        return None if self._server.membership is None else self._server.membership.status_lines()

    def export_learned_state(self) -> LearnedState:
        """Return the estimates that the router has learned."""
        return export_learned_state(self._server.dispatcher.router)

    def import_learned_state(self, learned: LearnedState, age_s: float) -> None:
        """Initialize the router with estimates of another process that are `age_s` seconds old."""
        import_learned_state(self._server.dispatcher.router, learned, age_s)
