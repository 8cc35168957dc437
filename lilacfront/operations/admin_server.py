"""Server of the admin protocol: a separate listening socket that answers one line per connection.

It uses callbacks of the event loop instead of tasks, so that answers are delayed by nothing but the current
turn of the loop. Admin connections have their own limit, apart from that of client connections. A connection
that sends no complete line is closed after `REQUEST_TIMEOUT_S`, or sooner if it is the oldest one and a new
connection exceeds the limit.
"""

from __future__ import annotations

import contextlib
import select
import socket
from typing import Protocol

from lilacfront.logs import Log
from lilacfront.operations.admin_protocol import MAX_LINE_BYTES, AdminResponse, failure
from lilacfront.sched import Loop

log = Log(__name__)
LISTEN_BACKLOG = 128
REQUEST_TIMEOUT_S = 5.0  # time from accepting a connection until its request is complete
CLOSE_TIMEOUT_S = 1.0  # time for the caller to close the connection after the answer
MIN_CONNECTIONS = 4
MAX_CONNECTIONS = 32
DESCRIPTORS_PER_CONNECTION = 16  # one admin connection is allowed per 16 descriptors of the configured limit


class AdminRequestHandler(Protocol):
    """Executes the requests that an `AdminServer` receives."""

    def handle_line(self, line: bytes) -> AdminResponse:
        """Execute one line, without its line terminator, and return the answer."""


class AdminServer:
    """Listens at the admin address and answers requests."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], max_descriptors: int, handler: AdminRequestHandler
    ) -> None:
        """Start listening.

        Args:
            loop: The loop to run on.
            address: Host and port; with port 0 the system chooses a free port.
            max_descriptors: Configured limit of open descriptors.
            handler: Executes the requests.

        Raises:
            OSError: The address can't be used.
        """
        self.loop = loop
        self._handler = handler
        self.max_connections = max(
            MIN_CONNECTIONS, min(MAX_CONNECTIONS, max_descriptors // DESCRIPTORS_PER_CONNECTION)
        )
        self.connections: dict[int, _AdminConnection] = {}  # by descriptor, oldest first
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(LISTEN_BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        loop.watch(self.sock.fileno(), select.POLLIN, self._on_readable)

    def _on_readable(self, _events: int) -> None:
        for _ in range(self.max_connections):
            try:
                sock, _peer = self.sock.accept()
            except OSError:  # no pending connection, or out of descriptors: retried in the next turn
                return
            if len(self.connections) >= self.max_connections:
                oldest = next(iter(self.connections.values()))
                oldest.close()
            _AdminConnection(self, sock)

    def respond(self, line: bytes) -> AdminResponse:
        """Return the answer to one line, even if the handler raises an exception."""
        try:
            return self._handler.handle_line(line)
        except Exception:  # the caller must get an answer even if the handler has a defect
            log.exception("admin request failed")
            return failure("this program could not do it; its log says why")

    def close(self) -> None:
        """Stop listening and close all connections."""
        for connection in list(self.connections.values()):
            connection.close()
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()


class _AdminConnection:
    """One connection: reads a line, writes the answer, and waits up to `CLOSE_TIMEOUT_S` for the close."""

    def __init__(self, server: AdminServer, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._loop = server.loop
        self._received = b""
        self._unsent = b""
        self._answered = False
        self._closed = False
        sock.setblocking(False)
        server.connections[sock.fileno()] = self
        self._watch(select.POLLIN)
        self._loop.call_at(self._loop.now + REQUEST_TIMEOUT_S, self.close)
        self._read()  # the request has usually arrived already

    def _watch(self, events: int) -> None:
        self._loop.watch(self._sock.fileno(), events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if events & select.POLLOUT and self._unsent:
            self._write()
        if not self._closed:
            self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(MAX_LINE_BYTES + 2)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not self._answered:
            self._receive(data)
        elif not data:  # data after the first line is discarded
            self.close()

    def _receive(self, data: bytes) -> None:
        self._received += data
        line, newline, _rest = self._received.partition(b"\n")
        if newline or len(line) > MAX_LINE_BYTES + 1:
            self._respond(self._server.respond(line.removesuffix(b"\r")))
        elif not data:
            # A truncated line is not executed, because it may contain the id of another warehouse.
            self._respond(failure("the call has no end of line"))

    def _respond(self, response: AdminResponse) -> None:
        self._answered = True
        self._unsent = response.encode()
        self._write()
        self._loop.call_at(self._loop.now + CLOSE_TIMEOUT_S, self.close)

    def _write(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._unsent = self._unsent[sent:]
        if self._unsent:  # the send buffer is full
            self._watch(select.POLLIN | select.POLLOUT)
            return
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        self._watch(select.POLLIN)

    def close(self) -> None:
        """Close the connection. Idempotent, since timers call it as well."""
        if self._closed:
            return
        self._closed = True
        self._loop.unwatch(self._sock.fileno())
        del self._server.connections[self._sock.fileno()]
        self._sock.close()
