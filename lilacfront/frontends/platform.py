"""The front end for the platform's clients: the Thrift service. Routing decisions are made elsewhere."""

from __future__ import annotations

import socket

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.model import Upstream
from lilacfront.frontends.call_ids import CallIds
from lilacfront.frontends.client_memory import ClientMemoryLimits
from lilacfront.frontends.connection_handover import TransferKey, TransferRegistry
from lilacfront.frontends.key_handover import KeyHandover
from lilacfront.frontends.listener import ClientSlot, Listener
from lilacfront.frontends.partial_messages import PartialMessageBudget
from lilacfront.frontends.platform_connection import PlatformConnection
from lilacfront.frontends.platform_services import ClientNames, PlatformServices
from lilacfront.frontends.process_state import DrainPolicy, HealthSource
from lilacfront.frontends.request_budget import RequestBudget
from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.transfer_messages import (
    AnswerReady,
    ConnectionPassed,
    KeysFree,
    KeysInUse,
    Message,
    RequestCancelled,
)
from lilacfront.sched import Loop

# Ids are kept for this many times the longest deadline: a client may ask for up to one and a half of it.
ID_RETENTION_FACTOR = 2.0
MAX_QUEUED_BYTES = 2 << 20  # answers queued for a client that does not read


class PlatformFrontend:
    """Serves all connections of one listening address.

    Attributes:
        partial_messages: Limits the memory for incomplete messages.
        requests: Limits the memory for requests in flight.
        transfers: Registry of the connections transferred between processes.
        keys: Hand-over of the ordering keys between processes.
    """

    def __init__(
        self,
        loop: Loop,
        dispatcher: RequestDispatcher,
        upstream: Upstream,
        names: ClientNames,
        limits: ClientMemoryLimits,
        health: HealthSource,
        drain_policy: DrainPolicy,
    ) -> None:
        self.partial_messages = PartialMessageBudget(limits.partial_messages)
        self.requests = RequestBudget(limits.requests)
        self.transfers = TransferRegistry()
        self.keys = KeyHandover(loop, dispatcher, names.longest_deadline_s)
        self._services = PlatformServices(
            loop=loop,
            dispatcher=dispatcher,
            upstream=upstream,
            names=names,
            health=health,
            drain_policy=drain_policy,
            partial_messages=self.partial_messages,
            request_budget=self.requests,
            transfers=self.transfers,
            call_ids=CallIds(loop, ID_RETENTION_FACTOR * names.longest_deadline_s),
            keys=self.keys,
        )
        self._listener: Listener | None = None

    def set_limits(self, limits: ClientMemoryLimits) -> None:
        """Set the memory that clients may use."""
        self.partial_messages.max_bytes = limits.partial_messages
        self.requests.max_bytes = limits.requests

    def listen(
        self, address: tuple[str, int], max_connections: int, passed_socket: socket.socket | None = None
    ) -> Listener:
        """Accept connections at an address, or on a listening socket passed by another process.

        Raises:
            OSError: The address can't be used.
        """
        self._listener = Listener(
            self._services.loop, address, max_connections, MAX_QUEUED_BYTES, self._accept, passed_socket
        )
        return self._listener

    def _accept(self, slot: ClientSlot) -> None:
        self._services.loop.spawn_client(PlatformConnection(self._services, slot).run)

    def transfer_connections(self, successor: TransferChannel) -> None:
        """Transfer each connection to the successor as soon as it can be transferred."""
        self.transfers.successor = successor

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None:
        """Adopt a connection from another process, or handle a message about a transferred one or a key."""
        match message:
            case ConnectionPassed():
                assert descriptor is not None
                self._adopt(channel, message, descriptor)
            case KeysInUse(keys):
                self.keys.on_keys_in_use(channel, keys)
            case KeysFree(keys):
                self.keys.on_keys_free(channel, keys)
            case AnswerReady() | RequestCancelled():
                self.transfers.on_message(channel, message)

    def _adopt(self, channel: TransferChannel, passed: ConnectionPassed, descriptor: int) -> None:
        assert self._listener is not None
        connection = PlatformConnection(self._services, self._listener.adopt_connection(descriptor))
        connection.adopt(TransferKey(channel, passed.connection_id), passed)
        self.transfers.count_adopted(channel, len(passed.pending_requests))
        self._services.loop.spawn_client(connection.run)

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Cancel or fail the requests that depend on a process that has ended."""
        self.transfers.on_channel_closed(channel)
        self.keys.on_channel_closed(channel)

    def fail_transferred(self) -> None:
        """Fail the requests in flight of transferred connections; called at the end of a shutdown."""
        self.transfers.fail_all()
