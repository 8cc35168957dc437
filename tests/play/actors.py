"""Fake clients, warehouses and endpoint list services."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

RECEIVE_BYTES = 1 << 20


def reset_on_close(connection: socket.socket) -> None:
    """Let the next close of the connection send a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Actor:
    """A fake client, or a fake server with the connections that it has accepted.

    Attributes:
        listener: The listening socket; None for a client.
        connection: The current connection, which is the latest one.
        other_sockets: Earlier connections, and other sockets to close at the end.
        received: The bytes that the actor has received and the test has not consumed.
        received_by_connection: All bytes that the actor has received, by connection.
        eof: Whether the front end has ended the current connection.
        was_reset: Whether a connection was reset by the front end.
        reads_all_connections: Whether the actor also reads from earlier connections, into the same buffer.
        answer: Returns the immediate answer to received bytes; None if the actor answers nothing by itself.
    """

    def __init__(self, listens: bool) -> None:
        self.listener: socket.socket | None = None
        self.connection: socket.socket | None = None
        self.other_sockets: list[socket.socket] = []
        self.received = b""
        self.received_by_connection: dict[socket.socket, bytes] = {}
        self.eof = False
        self.was_reset = False
        self.reads_all_connections = False
        self.answer: Callable[[bytes], bytes] | None = None
        if listens:
            self.listener = socket.create_server(("127.0.0.1", 0))
            self.listener.setblocking(False)
            self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def receive(self) -> None:
        """Accept a pending connection, then read the bytes that have arrived."""
        self._accept()
        if self.reads_all_connections:
            self._receive_from_others()
        if self.connection is None or self.eof:
            return
        try:
            data = self.connection.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except ConnectionResetError:
            data = b""
            self.was_reset = True
        self._append(self.connection, data)
        self.eof = not data

    def _accept(self) -> None:
        if self.listener is None:
            return
        try:
            accepted, _ = self.listener.accept()
        except BlockingIOError:
            return
        if self.connection is not None:
            self.other_sockets.append(self.connection)
        self.use_connection(accepted)

    def _receive_from_others(self) -> None:
        for other in list(self.other_sockets):
            with contextlib.suppress(OSError):
                self._append(other, other.recv(RECEIVE_BYTES))

    def _append(self, connection: socket.socket, data: bytes) -> None:
        self.received += data
        self.received_by_connection[connection] = self.received_by_connection.get(connection, b"") + data
        if self.answer is not None and data:
            connection.sendall(self.answer(data))

    def has_one_open_connection(self) -> bool:
        """Whether the front end has ended all connections but the current one; reads from the others."""
        for other in self.other_sockets:
            try:
                if other.recv(RECEIVE_BYTES):
                    return False
            except BlockingIOError:
                return False
            except OSError:
                continue
        return not self.eof

    def use_connection(self, connection: socket.socket) -> None:
        """Make a connection the current one."""
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = connection
        self.eof = False

    def swap_connections(self) -> None:
        """Make the latest earlier connection the current one, and the current one an earlier one."""
        assert self.connection is not None
        earlier = self.other_sockets.pop()
        self.other_sockets.append(self.connection)
        self.use_connection(earlier)

    def close_connection(self, with_reset: bool = False) -> None:
        """Close the current connection normally, or by a TCP reset."""
        assert self.connection is not None
        if with_reset:
            reset_on_close(self.connection)
        self.connection.close()
        self.connection = None

    def refuse_connections(self) -> None:
        """Close the listener."""
        assert self.listener is not None
        self.listener.close()
        self.listener = None

    def fill_backlog(self) -> None:
        """Keep further connects from completing, by a backlog of one connection that is filled."""
        assert self.listener is not None
        self.listener.listen(0)
        address = self.listener.getsockname()
        self.other_sockets.append(self.listener)
        self.listener = None
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.other_sockets.append(filler)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self.connection, self.listener, *self.other_sockets):
            if sock is not None:
                sock.close()
