"""Tests of the admin server and its connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

import pytest

from lilacfront.operations.admin_protocol import AdminResponse
from lilacfront.operations.admin_server import REQUEST_TIMEOUT_S, AdminServer
from lilacfront.sched import Loop


class EchoHandler:
    """Answers each request with its own line."""

    def handle_line(self, line: bytes) -> AdminResponse:
        return AdminResponse(True, line.decode())


class Rig:
    """An admin server on an event loop with a simulated clock."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.loop = Loop(lambda: self.now)
        self.server = AdminServer(self.loop, ("127.0.0.1", 0), 64, EchoHandler())
        self._clients: list[socket.socket] = []

    def turn(self, seconds: float = 0.0) -> None:
        self.now += seconds
        for _ in range(3):
            self.loop.turn(0)

    def connect(self, data: bytes = b"") -> socket.socket:
        """Connect and send `data`; returns after the server has read it."""
        sock = socket.create_connection(self.server.address)
        self._clients.append(sock)
        sock.settimeout(20)
        sock.sendall(data)
        self.turn()
        return sock

    def close(self) -> None:
        self.server.close()
        self.loop.close()
        for sock in self._clients:
            sock.close()


@pytest.fixture
def rig() -> Iterator[Rig]:
    server_rig = Rig()
    try:
        yield server_rig
    finally:
        server_rig.close()


def test_incomplete_requests_are_evicted_by_new_ones_and_time_out(rig: Rig) -> None:
    for number in range(40):  # ten times the connection limit
        rig.connect(b"STAT" * (number % 2))
    assert len(rig.server.connections) == rig.server.max_connections == 4
    caller = rig.connect(b"SUS")
    for byte in b"PEND s-1\r\nSTATUS\n":
        caller.sendall(bytes([byte]))
        rig.turn()
    assert caller.recv(100) == b"ok SUSPEND s-1\n"
    assert caller.recv(100) == b""
    rig.turn(REQUEST_TIMEOUT_S + 0.1)
    assert rig.server.connections == {}


def test_unterminated_line_is_not_executed(rig: Rig) -> None:
    caller = rig.connect(b"SUSPEND s-1")  # may be the beginning of another id
    caller.shutdown(socket.SHUT_WR)
    rig.turn()
    assert caller.recv(100) == b"fail the call has no end of line\n"


def test_reset_connection_is_removed(rig: Rig) -> None:
    caller = rig.connect(b"STATUS\n")
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()
    rig.turn(REQUEST_TIMEOUT_S + 0.1)
    assert rig.server.connections == {}


def test_overlong_line_is_answered_before_its_end(rig: Rig) -> None:
    caller = rig.connect(b"y" * 400)
    assert caller.recv(1000).startswith(b"ok yyy")  # the echo handler accepts it; `parse_request` would not
    rig.turn(REQUEST_TIMEOUT_S + 0.1)
    assert rig.server.connections == {}
