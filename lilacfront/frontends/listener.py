"""Accepts client connections at one address, up to a limit.

At the limit an idle connection is evicted for each new one.
"""

from __future__ import annotations

import itertools
import select
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from lilacfront.logs import Log
from lilacfront.operations.drain import ConnectionStatus, Drain, DrainAction
from lilacfront.sched import Loop, Stream

log = Log(__name__)
BACKLOG = 512
SILENT_CONNECTION_S = 0.5  # a connection without a byte this long after connecting is evicted first
MAX_ACCEPTS_PER_TURN = 32  # so that a flood of new connections does not delay the open ones
ACCEPT_RETRY_S = 0.1  # delay of the next accept after descriptors have run out
# A half-closed connection keeps its descriptor until its client has closed, too. Such connections do not
# count towards the connection limit, up to the connection limit divided by `LINGERING_DIVISOR`, but at least
# `MIN_MAX_LINGERING`. They use the sixth of all descriptors that remains after the half for clients and the
# third for engines (`server.builders`).
LINGERING_DIVISOR = 16
MIN_MAX_LINGERING = 4
LINGERING_CHECK_INTERVAL_S = 0.05  # between two checks while too many connections linger


class SlotOwner(Protocol):
    """The protocol's connection that uses a slot."""

    def fail_pending(self) -> None:
        """Answer all requests in flight now, without waiting for their results."""

    def request_transfer(self) -> None:
        """Transfer the connection to another process, if that is possible now."""

    def discard_partial_message(self) -> None:
        """Free the received bytes that are not handled yet, and close the connection after its answers."""


class ClientSlot:
    """The listener's record of one client connection.

    The connection calls `mark_busy` and `mark_idle` as its state changes. It is idle at first. All times are
    on the loop's clock.

    Attributes:
        stream: The byte stream of the connection.
        owner: The protocol's connection; None until it registers itself.
        connected_at: Time at which the connection was accepted.
        last_request_at: Time at which its last request was complete, or for HTTP the head of the request;
            negative if there was none.
        last_byte_at: Time at which its last byte was received.
        has_partial_message: Whether a message has been received in part.
        has_unhandled_messages: Whether messages were read that wait for the next step of the task.
    """

    __slots__ = (
        "_listener",
        "connected_at",
        "has_partial_message",
        "has_unhandled_messages",
        "last_byte_at",
        "last_request_at",
        "owner",
        "stream",
    )

    def __init__(self, listener: Listener, stream: Stream) -> None:
        self._listener = listener
        self.stream = stream
        self.owner: SlotOwner | None = None
        self.connected_at = stream.loop.now
        self.last_request_at = -1.0
        self.last_byte_at = self.connected_at
        self.has_partial_message = False
        self.has_unhandled_messages = False
        listener.slots[self] = None
        stream.on_close = self._on_close
        stream.on_graceful_close = self._clear_idle
        stream.on_half_close = self._on_half_close
        self.mark_idle(had_request=False)

    def mark_idle(self, had_request: bool) -> None:
        """Record that nothing is in flight, so that the connection may be evicted.

        Args:
            had_request: Whether the connection ever had a request; the order of eviction depends on it.
        """
        self._clear_idle()
        if self.stream.closed:
            return
        listener = self._listener
        idle = listener.idle_after_request if had_request else listener.idle_without_request
        idle[self] = None
        listener.update_watch()
        if listener.drain is not None:
            # Runs in the next turn of the loop, since the last answer is sent at the end of this turn.
            self.stream.loop.call_at(self.stream.loop.now, self.apply_drain)

    def mark_busy(self) -> None:
        """Record that a complete request, or for HTTP the head of a request, has been received."""
        self.last_request_at = self.stream.loop.now
        self._clear_idle()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return self in self._listener.idle_after_request or self in self._listener.idle_without_request

    def _clear_idle(self) -> None:
        self._listener.idle_after_request.pop(self, None)
        self._listener.idle_without_request.pop(self, None)

    def fail_pending(self) -> None:
        """Make the connection answer all requests in flight now."""
        if self.owner is not None:
            self.owner.fail_pending()

    def request_transfer(self) -> None:
        """Make the connection transfer itself to another process, if that is possible now."""
        if self.owner is not None:
            self.owner.request_transfer()

    def apply_drain(self) -> None:
        """Apply the current action of the drain, if there is one, to this connection."""
        drain = self._listener.drain
        if drain is None or self.stream.closed:
            return
        status = ConnectionStatus(
            self.connected_at, self.last_request_at, not self.is_idle, self.has_partial_message
        )
        match drain.decide(self.stream.loop.now, status):
            # A slow client gets its last answer in full before the connection is closed.
            case DrainAction.CLOSE if self.has_no_pending_bytes:
                self.stream.close_gracefully()
            case DrainAction.FAIL_PENDING:
                self.fail_pending()

    @property
    def has_no_pending_bytes(self) -> bool:
        """Whether no bytes wait to be sent, and no received bytes wait to be read or handled."""
        return not (self.stream.queued_bytes or self.has_unhandled_messages) and self.stream.is_idle()

    def _on_half_close(self) -> None:
        self._listener.add_lingering(self)

    def _on_close(self) -> None:
        self._clear_idle()
        self._listener.lingering.pop(self, None)
        del self._listener.slots[self]
        self._listener.update_watch()
        self.owner = None


class Listener:
    """Accepts the client connections of one address and keeps track of them.

    Attributes:
        loop: The event loop that runs the connections.
        max_connections: Maximum number of open connections; of those that are half-closed, up to
            `max_lingering` do not count.
        max_queued_bytes: Maximum size of the answers queued for a client that does not read, in bytes.
        slots: All connections, in the order in which they were accepted.
        lingering: Half-closed connections, on which everything is sent, in the order of their half-close.
        idle_without_request: Idle connections that never had a request, the oldest first.
        idle_after_request: Idle connections that had a request, the longest idle first.
        drain: The drain of this process, if one is under way.
        is_accepting: False while another process that shares the socket accepts the new connections.
        sock: The listening socket.
        address: Host and port of the listening socket.
        is_closed: Whether the listening socket is closed.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        max_connections: int,
        max_queued_bytes: int,
        accept: Callable[[ClientSlot], None],
        sock: socket.socket | None = None,
    ) -> None:
        """Start listening.

        Args:
            loop: The event loop that runs the connections.
            address: Host and port to listen on.
            max_connections: Maximum number of open connections.
            max_queued_bytes: Maximum size of the answers queued for a client that does not read, in bytes.
            accept: Called with the slot of each new connection.
            sock: A listening socket that another process passed to this one; `address` is ignored then.

        Raises:
            OSError: The address can't be used.
        """
        self.loop = loop
        self.max_connections = max_connections
        self.max_queued_bytes = max_queued_bytes
        self._accept = accept
        self.slots: dict[ClientSlot, None] = {}
        self.lingering: dict[ClientSlot, None] = {}
        self.idle_without_request: dict[ClientSlot, None] = {}
        self.idle_after_request: dict[ClientSlot, None] = {}
        self.drain: Drain | None = None
        self.is_accepting = True
        self.sock = _listen(address) if sock is None else sock
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._is_watching = False
        self.is_closed = False
        self._is_accept_paused = False
        self._is_lingering_check_due = False
        self.update_watch()

    @property
    def open_count(self) -> int:
        """Number of connections that count towards the limit.

        A lingering connection beyond `max_lingering` counts: its answer may still be on its way, so new
        clients wait for its descriptor.
        """
        return len(self.slots) - min(len(self.lingering), self.max_lingering)

    @property
    def max_lingering(self) -> int:
        """Number of lingering connections above which the oldest are closed."""
        return max(MIN_MAX_LINGERING, self.max_connections // LINGERING_DIVISOR)

    @property
    def _has_capacity(self) -> bool:
        has_idle = bool(self.idle_without_request or self.idle_after_request)
        return self.open_count < self.max_connections or has_idle

    def add_lingering(self, slot: ClientSlot) -> None:
        """Record that a connection is half-closed; its slot is freed once the client has closed, too."""
        self.lingering[slot] = None
        if not self._is_lingering_check_due:
            self._limit_lingering()
        elif len(self.lingering) > self.max_lingering and slot.stream.is_delivered:
            # The last check has found no other connection to close.
            slot.stream.close()
        self.update_watch()

    def _limit_lingering(self) -> None:
        """Close the oldest lingering connections beyond the limit, if their clients have received everything.

        Without a limit, clients that never close their side would use up the descriptors. A connection with
        an answer that is queued here or in the kernel is never closed to free its descriptor.
        """
        excess = len(self.lingering) - self.max_lingering
        self._is_lingering_check_due = False
        if excess <= 0:
            return
        delivered = (slot for slot in list(self.lingering) if slot.stream.is_delivered)
        for slot in itertools.islice(delivered, excess):
            slot.stream.close()
        if len(self.lingering) > self.max_lingering:
            self._is_lingering_check_due = True
            self.loop.call_at(self.loop.now + LINGERING_CHECK_INTERVAL_S, self._limit_lingering)

    def set_max_connections(self, max_connections: int) -> None:
        """Change the limit and evict idle connections beyond it."""
        self.max_connections = max_connections
        while len(self.slots) - len(self.lingering) > self.max_connections and self._evict_idle():
            pass
        self.update_watch()

    def adopt_connection(self, descriptor: int) -> ClientSlot:
        """Return a slot for a connection that another process accepted; the limit is not applied."""
        return self._new_slot(socket.socket(fileno=descriptor))

    def apply_drain(self) -> None:
        """Apply the current action of the drain, if there is one, to each connection."""
        for slot in list(self.slots):
            slot.apply_drain()

    def close(self) -> None:
        """Stop listening and keep the open connections. Calls after the first do nothing."""
        if self.is_closed:
            return
        # The kernel may have connections in its accept queue; closing the socket would reset them. They are
        # accepted first.
        self._accept_waiting(self.max_connections)
        self.is_closed = True
        self.update_watch()
        self.sock.close()

    # ---- accepting ----------------------------------------------------------------------------------
    def update_watch(self) -> None:
        """Watch the listening socket while a connection can be accepted, and only then.

        At the limit no connection is accepted, so that descriptors remain for connections to engines.
        """
        may_accept = self._has_capacity and self.is_accepting
        should_watch = may_accept and not self.is_closed and not self._is_accept_paused
        if should_watch and not self._is_watching:
            self.loop.watch(self.sock.fileno(), select.POLLIN, self._on_readable)
        elif self._is_watching and not should_watch:
            self.loop.unwatch(self.sock.fileno())
        self._is_watching = should_watch

    def _on_readable(self, _events: int) -> None:
        self._accept_waiting(MAX_ACCEPTS_PER_TURN)

    def _accept_waiting(self, max_count: int) -> None:
        for _ in range(max_count):
            if not (self._has_capacity and self.is_accepting):
                break
            evicted = None
            if self.open_count >= self.max_connections:
                evicted = self._connection_to_evict()
                if evicted is None:
                    # The new connections wait in the kernel's queue: closing them unread would lose requests.
                    log.info("no connection can be evicted for a new one", connections=len(self.slots))
                    self._pause_accepting()
                    break
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                break
            except OSError as error:
                log.warning("accept failed", error=error, connections=len(self.slots))
                self._evict_idle()
                self._pause_accepting()
                break
            if evicted is not None:
                self._evict(evicted)
            self._accept(self._new_slot(sock))
        self.update_watch()

    def _new_slot(self, sock: socket.socket) -> ClientSlot:
        return ClientSlot(self, Stream(self.loop, sock, self.max_queued_bytes))

    def _pause_accepting(self) -> None:
        """Pause accepting after descriptors, memory or connections to evict have run out.

        The socket stays readable meanwhile, so an immediate retry would make the loop spin.
        """
        self._is_accept_paused = True
        self.loop.call_at(self.loop.now + ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._is_accept_paused = False
        self.update_watch()

    # ---- eviction -----------------------------------------------------------------------------------
    def _evict_idle(self) -> bool:
        """Close one idle connection without pending bytes; return False if there is none."""
        slot = self._connection_to_evict()
        if slot is not None:
            self._evict(slot)
        return slot is not None

    def _connection_to_evict(self) -> ClientSlot | None:
        """Return the first idle connection without pending bytes; None if there is none."""
        return next((slot for slot in self._eviction_order() if slot.has_no_pending_bytes), None)

    def _evict(self, slot: ClientSlot) -> None:
        log.info("connection evicted", had_request=slot in self.idle_after_request)
        slot.stream.close_gracefully()

    def _eviction_order(self) -> Iterator[ClientSlot]:
        """Yield idle connections, those least likely to be used again first.

        1. Connections that have sent nothing since they connected.
        2. Connections that had a request, the longest idle first.
        3. Connections that have just connected or are sending their first message, ordered by the time of
           their last byte: a client may send its request slowly, but does not stop sending.
        """
        yield from self._silent_connections()
        yield from self.idle_after_request
        yield from sorted(self.idle_without_request, key=lambda slot: slot.last_byte_at)

    def _silent_connections(self) -> Iterator[ClientSlot]:
        """Yield connections that sent nothing for `SILENT_CONNECTION_S` after connecting, oldest first."""
        for slot in self.idle_without_request:
            if self.loop.now - slot.connected_at < SILENT_CONNECTION_S:
                return
            if not slot.has_partial_message:
                yield slot


def _listen(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
