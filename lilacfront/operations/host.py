"""Interface of the operations package to the rest of the process."""

from __future__ import annotations

from typing import Protocol

from lilacfront.decisions.events import EndpointList
from lilacfront.operations.connection_transfer import ChannelObserver, TransferChannel
from lilacfront.operations.draining import DrainTarget
from lilacfront.operations.lifecycle import ReadinessSource
from lilacfront.operations.state_record import LearnedState, OperatorDirective


class OperationsHost(DrainTarget, ReadinessSource, ChannelObserver, Protocol):
    """Gives `Operations` access to the router, listeners, endpoint list, recovery and membership."""

    def update_endpoints(self, update: EndpointList) -> None:
        """Pass an update of the endpoint list to the request router."""

    def set_process_count(self, processes: int) -> None:
        """Divide the limits of the front end by the number of its running processes."""

    def announce_keys(self, successor: TransferChannel) -> None:
        """Announce the ordering keys in use to the successor, and report each as soon as it is free."""

    def on_directive(self, directive: OperatorDirective) -> None:
        """Handle a directive that is newly in force, received by this or another process."""

    def status_details(self) -> str:
        """Return the text that STATUS appends to the stage and the suspended warehouses; may be empty."""

    def member_lines(self) -> list[str] | None:
        """Return the lines of the answer to PEERS; None without membership."""

    def export_learned_state(self) -> LearnedState:
        """Return the measurements of the request router."""

    def import_learned_state(self, learned: LearnedState, age_s: float) -> None:
        """Import measurements of another process, `age_s` seconds old, into the request router."""
