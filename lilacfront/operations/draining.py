"""Starts and ends drains of this process, and controls whether it accepts client connections."""

from __future__ import annotations

from typing import Protocol

from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.drain import PAUSE_DEADLINES, Drain, DrainDeadlines, handover_deadlines
from lilacfront.sched import Loop


class DrainTarget(Protocol):
    """Interface to the part of the process that owns the client connections."""

    def set_drain(self, drain: Drain | None) -> None:
        """Close the client connections as the drain decides; None ends the drain."""

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting; while stopped, other processes that share the socket may accept."""

    def transfer_connections(self, successor: TransferChannel) -> None:
        """Transfer each client connection to the successor as soon as possible."""


class DrainController:
    """Controls the current drain of this process."""

    def __init__(self, loop: Loop, target: DrainTarget) -> None:
        self._loop = loop
        self._target = target
        self._drain: Drain | None = None
        self._accepting = True
        self._shutting_down = False

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting client connections."""
        if accepting is not self._accepting:
            self._accepting = accepting
            self._target.set_accepting(accepting)

    def pause(self, started_at: float) -> None:
        """Start the drain of a pause; ignored during a shutdown, which keeps its own deadlines."""
        if not self._shutting_down:
            self._set(Drain(started_at, PAUSE_DEADLINES))

    def resume(self) -> None:
        """End the drain of a pause and keep the remaining connections; ignored during a shutdown."""
        if not self._shutting_down:
            self._set(None)

    def begin_shutdown(self) -> None:
        """Ignore later calls of `pause` and `resume`."""
        self._shutting_down = True

    def hand_over(self, successor: TransferChannel | None, kill_after_s: float) -> None:
        """Stop accepting client connections, and drain while those that are open are transferred.

        Args:
            successor: Channel to the process that takes over; None if there is no channel. The connections
                are then only drained.
            kill_after_s: Seconds from now until SIGKILL.
        """
        self.set_accepting(False)
        if successor is not None:
            self._target.transfer_connections(successor)
        self._set(Drain(self._loop.now, handover_deadlines(kill_after_s, successor is not None)))

    def shut_down(self, deadlines: DrainDeadlines) -> None:
        """Start the drain of a shutdown without a successor.

        The drain of a pause is kept, since it closes the connections sooner.
        """
        if self._drain is None:
            self._set(Drain(self._loop.now, deadlines))

    def _set(self, drain: Drain | None) -> None:
        self._drain = drain
        self._target.set_drain(drain)

    def retry_after_s(self, connected_at: float) -> float | None:
        """Return the Retry-After delay in seconds for a new request; None if the request is to be served."""
        if self._drain is None:
            return None
        return self._drain.retry_after_s(self._loop.now, connected_at)
