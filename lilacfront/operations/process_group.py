"""Shares state among the processes of one front end.

Each process publishes its state over channels and as a file. Channels deliver it at once and need no disk.
Processes that start later read the files, and the lock files show which processes are running. All methods
run on the event loop; after `ProcessGroup.start`, the thread of the `StateWriter` accesses the disk.
"""

from __future__ import annotations

from typing import Protocol

from lilacfront.logs import Log
from lilacfront.operations.connection_transfer import ChannelObserver, TransferChannel, TransferSocket
from lilacfront.operations.process_registry import ProcessRegistry
from lilacfront.operations.state_directory import StateDirectory
from lilacfront.operations.state_record import ProcessState
from lilacfront.operations.state_writer import StateWriter
from lilacfront.operations.transfer_messages import ListenerRequested, Message, StateAnnouncement
from lilacfront.sched import Loop

log = Log(__name__)


class GroupMember(Protocol):
    """Interface to the process that takes part in the group."""

    def local_state(self) -> ProcessState:
        """Return the state to publish."""

    def on_process_state(self, state: ProcessState) -> None:
        """Handle a new state of another process."""

    def on_processes_changed(self) -> None:
        """Handle a possible change of the running processes or of their stages."""


class ProcessGroup:
    """The group of processes of one front end, as one of its processes sees it.

    Attributes:
        registry: The other processes of the group.
        transfer_socket: The socket and the channels to the other processes; None without a usable directory.
    """

    def __init__(
        self,
        loop: Loop,
        directory: str | None,
        front_end: str,
        token: str,
        member: GroupMember,
        transfers: ChannelObserver,
    ) -> None:
        """Join the group, without reading or publishing anything yet.

        Args:
            loop: The loop to run on.
            directory: Path of the state directory; None if this process is the only one.
            front_end: Name of the front end.
            token: Unique id of this process.
            member: Provides the state of this process and handles the states of the others.
            transfers: Receives messages about connections, and a notice when a channel closes.
        """
        self._front_end = front_end
        self._token = token
        self._member = member
        self._transfers = transfers
        self.registry = ProcessRegistry()
        self._directory = StateDirectory(directory, front_end, token) if directory else None
        self._writer: StateWriter | None = None
        self.transfer_socket: TransferSocket | None = None
        if directory and self._directory is not None and self._directory.is_locked:
            try:
                self.transfer_socket = TransferSocket(loop, directory, token, self)
            except OSError as error:
                log.warning("connection transfer unavailable", error=error)

    @property
    def is_joined(self) -> bool:
        """Whether this process has a state directory, which it shares with the others."""
        return self._directory is not None

    def start(self) -> None:
        """Read the saved states, connect to the running processes, and publish the state of this one."""
        if self._directory is None:
            return
        for state in self._directory.scan():
            self._accept(state)
        running = frozenset(process.token for process in self._directory.running_processes())
        self.registry.set_locked(running)
        if self.transfer_socket is not None:
            for token in running:
                self.transfer_socket.connect(token)
        self.publish()
        self._writer = StateWriter(self._directory)

    def publish(self, remove_stale: bool = False) -> None:
        """Send the state of this process to the others and save it; see `StateWriter.save`."""
        if self._directory is None:
            return
        state = self._member.local_state()
        if self.transfer_socket is not None:
            for channel in list(self.transfer_socket.channels):  # `send` removes channels of dead processes
                channel.send(StateAnnouncement(state))
        if self._writer is not None:
            self._writer.save(state, remove_stale)
        else:
            self._directory.save(state)

    def poll(self) -> None:
        """Process the results of the scans of the state directory."""
        if self._writer is None:
            return
        has_stale = False
        for scan in self._writer.scans():
            self.registry.set_locked(scan.running)
            has_stale = has_stale or scan.has_stale
            for state in scan.states:
                # The order of what a process sends over its channel must be kept, so its file is not read.
                if not self.registry.is_bound(state.token):
                    self._accept(state)
        if has_stale:
            self.registry.forget_ended()
            self.publish(remove_stale=True)

    def _accept(self, state: ProcessState) -> None:
        if not self.registry.accept(state):
            return
        log.info(
            "process state received",
            token=state.token,
            stage=state.stage,
            directives=len(state.directives),
        )
        self._member.on_process_state(state)

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None:
        """Process a state received over a channel; pass other messages to the observer of transfers."""
        if isinstance(message, ListenerRequested) and message.front_end != self._front_end:
            log.warning("request of another front end ignored", front_end=message.front_end)
            return
        if not isinstance(message, StateAnnouncement):
            self._transfers.on_message(channel, message, descriptor)
            return
        state = message.state
        if state.front_end != self._front_end or state.token == self._token:
            log.warning("state of another front end ignored", front_end=state.front_end)
            return
        if self.registry.bind(channel, state.token):
            channel.send(StateAnnouncement(self._member.local_state()))
        self._accept(state)
        self._member.on_processes_changed()

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Forget a closed channel, whose process has usually ended."""
        self.registry.unbind(channel)
        self._transfers.on_channel_closed(channel)
        self._member.on_processes_changed()

    def close(self) -> None:
        """Save the final state and leave the group."""
        if self._writer is not None:
            self._writer.close(self._member.local_state())
        elif self._directory is not None:
            self._directory.close()
        if self.transfer_socket is not None:
            self.transfer_socket.close()
