"""Accepts client connections at one address, up to a limit; at the limit idle connections are closed."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from lilacfront.logs import Log
from lilacfront.operations.drain import ConnectionStatus, Drain, DrainAction
from lilacfront.sched import Loop, Stream

log = Log(__name__)
BACKLOG = 512
SILENCE_TIMEOUT_S = 0.5  # from connecting to the first byte, before others are preferred
ACCEPT_RETRY_S = 0.1  # after descriptors have run out; one may be free by then
# Connections that are being closed hold their descriptors until their clients have closed, too. Up to this
# part of the limit they may do so in addition to it; a sixth of all descriptors is left for that.
LINGERING_DIVISOR = 16
MIN_MAX_LINGERING = 4


class SlotOwner(Protocol):
    """The connection that a slot belongs to."""

    def fail_pending(self) -> None:
        """Answer all requests in flight now."""

    def request_transfer(self) -> None:
        """Transfer the connection to another process, if possible now."""


class ClientSlot:
    """One connection's slot among those of a listener.

    The connection reports when it is busy and when it is idle. It is idle at first.

    Attributes:
        stream: The connection.
        owner: Set by the connection that has requests to fail or can be transferred.
        connected_at: When it was accepted, on the loop's clock, as are the other times.
        last_request_at: When its last whole request came; negative without one.
        last_byte_at: When its last byte came.
        has_partial_message: Whether a part of a message has come.
    """

    __slots__ = (
        "_listener",
        "connected_at",
        "has_partial_message",
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
        listener.slots[self] = None
        stream.on_close = self._on_close
        stream.on_graceful_close = self._on_end
        self.mark_idle(had_request=False)

    def mark_idle(self, had_request: bool) -> None:
        """Nothing is in flight: the connection may be closed for others, first those without a request."""
        self._clear_idle()
        if self.stream.closed:
            return
        listener = self._listener
        idle = listener.idle_after_request if had_request else listener.idle_without_request
        idle[self] = None
        listener.update_watch()
        if listener.drain is not None:
            # In the next turn: the last answer leaves at the end of this one.
            self.stream.loop.call_at(self.stream.loop.now, self.apply_drain)

    def mark_busy(self) -> None:
        """A request is complete."""
        self.last_request_at = self.stream.loop.now
        self._clear_idle()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight."""
        return self in self._listener.idle_after_request or self in self._listener.idle_without_request

    def _clear_idle(self) -> None:
        self._listener.idle_after_request.pop(self, None)
        self._listener.idle_without_request.pop(self, None)

    def fail_pending(self) -> None:
        """Have the connection answer all requests in flight now."""
        if self.owner is not None:
            self.owner.fail_pending()

    def request_transfer(self) -> None:
        """Have the connection transferred to another process, if possible now."""
        if self.owner is not None:
            self.owner.request_transfer()

    def apply_drain(self) -> None:
        """Do what the drain, if there is one, wants done with this connection by now."""
        drain = self._listener.drain
        if drain is None or self.stream.closed:
            return
        status = ConnectionStatus(
            self.connected_at, self.last_request_at, not self.is_idle, self.has_partial_message
        )
        match drain.decide(self.stream.loop.now, status):
            # A client may read slowly; its connection closes when its last answer has left.
            case DrainAction.CLOSE if self.is_quiet:
                self.stream.close_gracefully()
            case DrainAction.FAIL_PENDING:
                self.fail_pending()

    @property
    def is_quiet(self) -> bool:
        """Whether all answers have left and no unread bytes have come."""
        return not self.stream.queued_bytes and self.stream.is_idle()

    def _on_end(self) -> None:
        """The connection is being closed in order; the slot is free once the client has closed, too."""
        self._clear_idle()
        self._listener.lingering[self] = None
        self._listener.limit_lingering()

    def _on_close(self) -> None:
        self._clear_idle()
        self._listener.lingering.pop(self, None)
        del self._listener.slots[self]
        self._listener.update_watch()


class Listener:
    """Holds the client connections of one address.

    Attributes:
        loop: Runs the connections.
        max_connections: That are open at once; those being closed come on top.
        max_queued_bytes: Of answers for a client that does not read.
        slots: All connections.
        lingering: Those being closed, the first to begin first.
        idle_without_request: Those from which no request has come, the oldest first.
        idle_after_request: Those idle since their last answer, the longest first.
        drain: The drain of this process, if any.
        is_accepting: False while connections are left to another process that listens here.
        sock: The listening socket.
        address: Where it listens.
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
        """Listen at once.

        Args:
            loop: Runs the connections.
            address: Where to listen.
            max_connections: That are open at once.
            max_queued_bytes: Of answers for a client that does not read.
            accept: Called with the slot of each new connection.
            sock: Listens already and was passed to this process; `address` is ignored then.

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
        self._is_closed = False
        self._is_pausing = False
        self.update_watch()

    @property
    def open_count(self) -> int:
        """Connections that are not being closed."""
        return len(self.slots) - len(self.lingering)

    @property
    def _has_capacity(self) -> bool:
        has_idle = bool(self.idle_without_request or self.idle_after_request)
        return self.open_count < self.max_connections or has_idle

    def limit_lingering(self) -> None:
        """Close the longest lingering ones beyond the limit: a client may never close its end."""
        while len(self.lingering) > max(MIN_MAX_LINGERING, self.max_connections // LINGERING_DIVISOR):
            next(iter(self.lingering)).stream.close()

    def set_max_connections(self, max_connections: int) -> None:
        """Change the limit; idle connections beyond it are closed."""
        self.max_connections = max_connections
        while self.open_count > self.max_connections and self._evict_idle():
            pass
        self.update_watch()

    def adopt_connection(self, descriptor: int) -> ClientSlot:
        """Return a slot for a connection that another process has accepted, regardless of the limit."""
        return self._new_slot(socket.socket(fileno=descriptor))

    def apply_drain(self) -> None:
        """Do what the drain, if there is one, wants done with each connection."""
        for slot in list(self.slots):
            slot.apply_drain()

    def close(self) -> None:
        """Accept nothing more; connections stay. Calls after the first do nothing."""
        if self._is_closed:
            return
        # What the system has accepted is served; closing would reset it unread.
        self._on_readable(0)
        self._is_closed = True
        self.update_watch()
        self.sock.close()

    # ---- accepting ----------------------------------------------------------------------------------
    def update_watch(self) -> None:
        """Watch the socket if a connection can be accepted.

        Beyond the limit nothing is accepted, so that descriptors remain for engines.
        """
        may_accept = self._has_capacity and self.is_accepting
        wanted = may_accept and not self._is_closed and not self._is_pausing
        if wanted and not self._is_watching:
            self.loop.watch(self.sock.fileno(), select.POLLIN, self._on_readable)
        elif self._is_watching and not wanted:
            self.loop.unwatch(self.sock.fileno())
        self._is_watching = wanted

    def _on_readable(self, _events: int) -> None:
        # A turn accepts no more than the limit, so that a flood of connections leaves time for others.
        for _ in range(self.max_connections):
            if not (self._has_capacity and self.is_accepting):
                break
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                break
            except OSError as error:
                log.warning("accept failed", error=error, connections=len(self.slots))
                self._pause_accepting()
                break
            if self.open_count < self.max_connections or self._evict_idle():
                self._accept(self._new_slot(sock))
            else:
                sock.close()
        self.update_watch()

    def _new_slot(self, sock: socket.socket) -> ClientSlot:
        return ClientSlot(self, Stream(self.loop, sock, self.max_queued_bytes))

    def _pause_accepting(self) -> None:
        """Descriptors or memory have run out: the socket stays readable, so a retry at once would spin."""
        self._evict_idle()
        self._is_pausing = True
        self.loop.call_at(self.loop.now + ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._is_pausing = False
        self.update_watch()

    # ---- eviction -----------------------------------------------------------------------------------
    def _evict_idle(self) -> bool:
        """Close one idle connection whose answers have all left; False if there is none."""
        for slot in self._eviction_order():
            if slot.is_quiet:
                slot.stream.close_gracefully()
                return True
        return False

    def _eviction_order(self) -> Iterator[ClientSlot]:
        """Yield idle connections, those least likely to be used first.

        The silent ones come first; then those that were answered, the longest idle first; then those that are
        sending a message or have just connected, by their last byte: a client may take long over its request,
        but goes on sending.
        """
        yield from self._silent()
        yield from self.idle_after_request
        yield from sorted(self.idle_without_request, key=lambda slot: slot.last_byte_at)

    def _silent(self) -> Iterator[ClientSlot]:
        """Yield those that have sent nothing for long since they connected, the oldest first."""
        for slot in self.idle_without_request:
            if self.loop.now - slot.connected_at < SILENCE_TIMEOUT_S:
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
