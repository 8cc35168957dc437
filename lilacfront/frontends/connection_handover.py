"""The transfer of client connections between the processes of one front end, as the connections see it.

The process that leaves sends the descriptor of a connection to its successor. Requests in flight stay where
they are: their answers follow over the channel, and cancellations by the client go back.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from itertools import count
from typing import Protocol

from lilacfront.logs import Log
from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.transfer_messages import (
    MAX_PARTIAL_MESSAGE_BYTES,
    AnswerReady,
    ConnectionPassed,
    RequestCancelled,
)
from lilacfront.protocols.thrift import FrameDecoder
from lilacfront.sched import Stream

log = Log(__name__)


@dataclass(slots=True, frozen=True)
class TransferKey:
    """Names a transferred connection at both of its processes."""

    channel: TransferChannel
    connection_id: int


class TransferredConnection(Protocol):
    """A connection that has been transferred, from here or to here, with requests in flight."""

    def complete_remote(self, seqid: int, frame: bytes) -> None:
        """The process from which the connection came has the answer to a request."""

    def cancel_transferred(self, seqid: int | None) -> None:
        """The client needs no answer to a request; None: to none at all."""

    def on_other_process_lost(self, key: TransferKey) -> None:
        """The process at the other end of a transfer is gone."""

    def fail_pending(self) -> None:
        """Answer all requests in flight now."""


class TransferRegistry:
    """The transferred connections of this process.

    Attributes:
        successor: Where connections are transferred to; None: they stay.
    """

    def __init__(self) -> None:
        self.successor: TransferChannel | None = None
        self._connections: dict[TransferKey, TransferredConnection] = {}
        self._adopted_counts: dict[TransferChannel, int] = {}
        self._connection_ids = count(1)

    @property
    def is_pending(self) -> bool:
        """Whether anything still has to pass between this process and another."""
        unsent = self.successor is not None and self.successor.queued_messages
        return bool(self._connections or unsent)

    def next_key(self, successor: TransferChannel) -> TransferKey:
        """Return a new key for a connection that is transferred now."""
        return TransferKey(successor, next(self._connection_ids))

    def add(self, key: TransferKey, connection: TransferredConnection) -> None:
        """Register a connection for messages about it."""
        self._connections[key] = connection

    def remove(self, key: TransferKey) -> None:
        """Forget a connection of which nothing is in flight between the processes any more."""
        self._connections.pop(key, None)

    def count_adopted(self, channel: TransferChannel, pending_requests: int) -> None:
        """Count and log a connection that came from another process."""
        adopted = self._adopted_counts.get(channel, 0) + 1
        self._adopted_counts[channel] = adopted
        log.info("client connections adopted", count=adopted, pending_requests=pending_requests)

    def on_message(self, channel: TransferChannel, message: AnswerReady | RequestCancelled) -> None:
        """Hand a message to the connection that it is about, if that still waits for one."""
        connection = self._connections.get(TransferKey(channel, message.connection_id))
        if connection is None:
            return
        if isinstance(message, AnswerReady):
            connection.complete_remote(message.seqid, message.frame)
        else:
            connection.cancel_transferred(message.seqid)

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Tell all connections that were transferred over a channel that it is gone."""
        if channel is self.successor:
            self.successor = None
        if adopted := self._adopted_counts.pop(channel, 0):
            log.warning("predecessor process gone", connections_adopted=adopted)
        for key in [key for key in self._connections if key.channel is channel]:
            self._connections.pop(key).on_other_process_lost(key)

    def fail_all(self) -> None:
        """Answer what is still in flight of transferred connections."""
        for connection in list(self._connections.values()):
            connection.fail_pending()


class ConnectionHandover:
    """The transfers of one connection.

    Attributes:
        is_transferred: Whether another process has the connection now.
    """

    def __init__(self, registry: TransferRegistry, owner: TransferredConnection, stream: Stream) -> None:
        self._registry = registry
        self._owner = owner
        self._stream = stream
        self.is_transferred = False
        # At most one each, and only while requests are in flight at the process that had the connection.
        self._origin: TransferKey | None = None
        self._destination: TransferKey | None = None

    def is_possible(self, partial_bytes: int) -> bool:
        """Whether the connection can be transferred now."""
        if self._registry.successor is None or self.is_transferred or self._stream.closed:
            return False
        # With bytes queued here, two processes would write.
        return not self._stream.queued_bytes and partial_bytes <= MAX_PARTIAL_MESSAGE_BYTES

    def transfer(
        self, frames: FrameDecoder, pending: tuple[tuple[int, bytes], ...], had_request: bool
    ) -> bool:
        """Send the connection to the successor.

        Args:
            frames: Has what has arrived of the next message.
            pending: Sequence number and id of each request in flight.
            had_request: Whether any request ever came.

        Returns:
            False if there is no free descriptor for it now.
        """
        successor = self._registry.successor
        assert successor is not None
        try:
            descriptor = os.dup(self._stream.sock.fileno())
        except OSError:
            return False
        key = self._registry.next_key(successor)
        partial_message = frames.take_incomplete()
        self.is_transferred = True
        if pending:
            self._destination = key
            self._registry.add(key, self._owner)
        successor.send(ConnectionPassed(key.connection_id, partial_message, pending, had_request), descriptor)
        return True

    def adopt(self, key: TransferKey) -> None:
        """Expect answers from the process that had the connection."""
        self._origin = key
        self._registry.add(key, self._owner)

    def forward_answer(self, seqid: int, frame: bytes) -> bool:
        """Have the process that has the connection now write an answer; False if that is gone."""
        if self._destination is None:
            return False
        self._destination.channel.send(AnswerReady(self._destination.connection_id, seqid, frame))
        return True

    def cancel_at_origin(self, seqid: int) -> None:
        """Cancel a request that is in flight at the process that had the connection."""
        if self._origin is not None:
            self._origin.channel.send(RequestCancelled(self._origin.connection_id, seqid))

    def release(self, has_remote: bool, has_open: bool) -> None:
        """Forget the other process once nothing is in flight between the two.

        Args:
            has_remote: Whether requests are in flight at the process that had the connection.
            has_open: Whether any requests are in flight.
        """
        if self._origin is not None and not has_remote:
            self._registry.remove(self._origin)
            self._origin = None
        if self._destination is not None and not has_open:
            self._registry.remove(self._destination)
            self._destination = None

    def drop(self, key: TransferKey) -> bool:
        """Forget a process that is gone; True if it was the one that has the connection now."""
        if key == self._destination:
            self._destination = None
            return True
        self._origin = None
        return False
