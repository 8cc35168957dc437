"""The listeners for clients of one process, and the draining of their connections."""

from __future__ import annotations

import os

from lilacfront.frontends.listener import Listener
from lilacfront.frontends.platform import PlatformFrontend
from lilacfront.logs import Log
from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.drain import Drain
from lilacfront.operations.transfer_messages import ListenerPassed
from lilacfront.sched import Loop, Task

log = Log(__name__)
DRAIN_CHECK_INTERVAL_S = 0.05


class ClientListeners:
    """The listeners of all frontends.

    Attributes:
        listeners: All listeners; the first serves the platform's protocol.
    """

    def __init__(self, loop: Loop, platform_frontend: PlatformFrontend) -> None:
        self.listeners: list[Listener] = []
        self._loop = loop
        self._platform_frontend = platform_frontend

    @property
    def have_connections(self) -> bool:
        """Whether any client is connected."""
        return any(listener.slots for listener in self.listeners)

    @property
    def is_draining(self) -> bool:
        """Whether any listener drains its connections."""
        return any(listener.drain is not None for listener in self.listeners)

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting; while stopped, other processes that share the socket may accept."""
        for listener in self.listeners:
            listener.is_accepting = accepting
            listener.update_watch()

    def set_max_connections(self, max_connections: int) -> None:
        """Set the maximum number of connections of each listener."""
        for listener in self.listeners:
            listener.set_max_connections(max_connections)

    def set_drain(self, drain: Drain | None) -> None:
        """Close connections by the rules of `drain`; with None, keep them open."""
        was_draining = self.is_draining
        for listener in self.listeners:
            listener.drain = drain
        if drain is not None and not was_draining:
            self._loop.spawn(self._run_drain)

    def pass_listener(self, channel: TransferChannel, address: tuple[str, int]) -> None:
        """Send the listening socket of an address to another process of this front end.

        Both can accept then; only one does at a time (`Operations.on_processes_changed`).
        """
        for listener in self.listeners:
            if listener.address == address and not listener.is_closed:
                channel.send(ListenerPassed(*address), os.dup(listener.sock.fileno()))
                log.info("listening socket passed", address=address)

    def close(self) -> None:
        """Close the listening sockets; established connections stay open."""
        for listener in self.listeners:
            listener.close()

    def _run_drain(self, task: Task) -> None:
        while self.is_draining:
            for listener in self.listeners:
                if self._platform_frontend.transfers.successor is not None:
                    for slot in list(listener.slots):
                        slot.request_transfer()
                listener.apply_drain()
            self._loop.sleep(task, self._loop.now + DRAIN_CHECK_INTERVAL_S)
