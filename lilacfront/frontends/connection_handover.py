"""Transfers client connections between the processes of one front end.

A process that shuts down sends the descriptor of each connection to its successor over a channel of
`operations.connection_transfer`. It still serves the requests in flight: it sends their answers over the
transfer channel, and the successor sends it the client's cancellations.
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
    """Identifies a transferred connection in both processes."""

    channel: TransferChannel
    connection_id: int


class TransferredConnection(Protocol):
    """A connection that was transferred to or from this process with requests in flight."""

    def complete_remote(self, seqid: int, frame: bytes) -> None:
        """Write the answer to a request that was served by the process that the connection came from."""

    def cancel_transferred(self, seqid: int | None) -> None:
        """Cancel a request that the client no longer waits for; None: cancel all of them."""

    def on_other_process_lost(self, key: TransferKey) -> None:
        """Handle the end of the other process of a transfer."""

    def fail_pending(self) -> None:
        """Answer all requests in flight now, without waiting for their results."""


class TransferRegistry:
    """The transferred connections of this process.

    Attributes:
        successor: Channel to the process that connections are transferred to; None: they are not transferred.
    """

    def __init__(self) -> None:
        self.successor: TransferChannel | None = None
        self._connections: dict[TransferKey, TransferredConnection] = {}
        self._adopted_counts: dict[TransferChannel, int] = {}
        self._connection_ids = count(1)

    @property
    def is_pending(self) -> bool:
        """Whether answers or messages still have to pass between this process and another."""
        unsent = self.successor is not None and self.successor.queued_messages
        return bool(self._connections or unsent)

    def next_key(self, successor: TransferChannel) -> TransferKey:
        """Return a new key for a connection that is about to be transferred."""
        return TransferKey(successor, next(self._connection_ids))

    def add(self, key: TransferKey, connection: TransferredConnection) -> None:
        """Register a connection to receive the messages about it."""
        self._connections[key] = connection

    def remove(self, key: TransferKey) -> None:
        """Remove a connection about which no more messages are expected."""
        self._connections.pop(key, None)

    def count_adopted(self, channel: TransferChannel, pending_requests: int) -> None:
        """Count and log a connection adopted from another process."""
        adopted = self._adopted_counts.get(channel, 0) + 1
        self._adopted_counts[channel] = adopted
        log.info("client connections adopted", count=adopted, pending_requests=pending_requests)

    def on_message(self, channel: TransferChannel, message: AnswerReady | RequestCancelled) -> None:
        """Pass a message to the connection that it is about, if that is still registered."""
        connection = self._connections.get(TransferKey(channel, message.connection_id))
        if connection is None:
            return
        if isinstance(message, AnswerReady):
            connection.complete_remote(message.seqid, message.frame)
        else:
            connection.cancel_transferred(message.seqid)

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Notify all connections that were transferred over a channel that has closed."""
        if channel is self.successor:
            self.successor = None
        if adopted := self._adopted_counts.pop(channel, 0):
            log.warning("predecessor process gone", connections_adopted=adopted)
        for key in [key for key in self._connections if key.channel is channel]:
            self._connections.pop(key).on_other_process_lost(key)

    def fail_all(self) -> None:
        """Fail the requests in flight of all transferred connections."""
        for connection in list(self._connections.values()):
            connection.fail_pending()


class ConnectionHandover:
    """State of the transfers of one connection.

    A connection may be adopted from one process and later be transferred to another one.

    Attributes:
        is_transferred: Whether the connection was transferred to another process.
    """

    def __init__(self, registry: TransferRegistry, stream: Stream) -> None:
        self._registry = registry
        self._stream = stream
        self.is_transferred = False
        # The keys of the transfer to this process and of the transfer away from it. Each is set only while
        # requests are in flight at the process that sent the connection.
        self._origin: TransferKey | None = None
        self._destination: TransferKey | None = None

    def is_possible(self, partial_bytes: int) -> bool:
        """Whether the connection can be transferred now."""
        successor = self._registry.successor
        if successor is None or self.is_transferred or self._stream.closed:
            return False
        if not successor.has_connection_capacity:
            return False
        # While bytes are queued here, both processes would write to the socket.
        return not self._stream.queued_bytes and partial_bytes <= MAX_PARTIAL_MESSAGE_BYTES

    def transfer(
        self,
        owner: TransferredConnection,
        frames: FrameDecoder,
        pending: tuple[tuple[int, bytes], ...],
        had_request: bool,
        ordering_keys: tuple[tuple[int, int], ...],
    ) -> bool:
        """Send the connection to the successor.

        Args:
            owner: Receives the messages about the connection from then on.
            frames: The decoder; the partial message in it is sent along.
            pending: Sequence number and id of each request in flight.
            had_request: Whether the connection ever had a request.
            ordering_keys: Sequence number and ordering key of each request in flight that has a key.

        Returns:
            False if there is no free descriptor for the transfer now.
        """
        successor = self._registry.successor
        assert successor is not None
        try:
            descriptor = os.dup(self._stream.sock.fileno())
        except OSError:
            return False
        key = self._registry.next_key(successor)
        partial_message = frames.pop_incomplete()
        self.is_transferred = True
        if pending:
            self._destination = key
            self._registry.add(key, owner)
        passed = ConnectionPassed(key.connection_id, partial_message, pending, had_request, ordering_keys)
        successor.send(passed, descriptor)
        return True

    def adopt(self, owner: TransferredConnection, key: TransferKey) -> None:
        """Expect answers for `owner` from the process that the connection came from."""
        self._origin = key
        self._registry.add(key, owner)

    def has_answer_capacity(self, size: int) -> bool:
        """Whether an answer of this many bytes may be forwarded, or written if the client is here."""
        if self._destination is not None:
            return self._destination.channel.has_answer_capacity(size)
        return self._stream.has_answer_capacity(size)

    def forward_answer(self, seqid: int, frame: bytes) -> bool:
        """Send an answer to the process that has the connection now; False if that process has ended."""
        if self._destination is None:
            return False
        self._destination.channel.send(AnswerReady(self._destination.connection_id, seqid, frame))
        return True

    def cancel_at_origin(self, seqid: int) -> None:
        """Cancel a request that is in flight at the process that the connection came from."""
        if self._origin is not None:
            self._origin.channel.send(RequestCancelled(self._origin.connection_id, seqid))

    def release(self, has_remote_requests: bool, has_open_requests: bool) -> None:
        """Unregister the transfers for which no more messages are expected.

        Args:
            has_remote_requests: Whether requests are in flight at the process the connection came from.
            has_open_requests: Whether any requests of the connection are in flight.
        """
        if self._origin is not None and not has_remote_requests:
            self._registry.remove(self._origin)
            self._origin = None
        if self._destination is not None and not has_open_requests:
            self._registry.remove(self._destination)
            self._destination = None

    def drop(self, key: TransferKey) -> bool:
        """Remove the key of a process that has ended; return whether the connection was transferred to it."""
        if key == self._destination:
            self._destination = None
            return True
        self._origin = None
        return False
