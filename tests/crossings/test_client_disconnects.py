"""A client disconnects while its request is queued, connecting or between attempts."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import pytest
from crossing_stage import (
    AFTER_DISCONNECT_S,
    CLIENTS,
    CLOSES,
    STATEMENT,
    Disconnect,
    disconnect_clients,
    forwarded_attempts,
    hold_retries,
    received_by_warehouses,
    running_stage,
    send_raw,
    send_requests,
)
from play import SETTINGS, Actor, Dialect, Http, Stage, ThriftResp

# Larger than what is read from a client ahead of its current request.
LARGE_HEADER_BYTES = 70 << 10
# Fills the buffers of a connection whose warehouse does not read.
FILLING_BYTES = 16 << 20
DISCONNECTS = [
    *((path, how) for path in (ThriftResp, Http) for how in CLOSES),
    (ThriftResp, Disconnect.ABORT),
]
# The control cases show that the requests of clients that stay are forwarded.
DISCONNECTS_AND_CONTROL = [
    (ThriftResp, Disconnect.STAY),
    (Http, Disconnect.STAY),
    *DISCONNECTS,
]
CLOSES_AND_CONTROL = [Disconnect.STAY, *CLOSES]


def expected_attempts(how: Disconnect) -> int:
    """All three requests are forwarded for clients that stay, none for others."""
    return 3 if how is Disconnect.STAY else 0


@pytest.mark.parametrize(("path", "how"), DISCONNECTS_AND_CONTROL)
def test_queued_request_of_a_disconnected_client_is_not_forwarded(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    with running_stage(path, engines=0) as stage:
        stage.step("L", "since", "1")
        send_requests(stage)
        disconnect_clients(stage, how)
        stage.wait(AFTER_DISCONNECT_S)
        stage.step("L", "says", "2 W1 ready")
        stage.wait(0.05)
        assert forwarded_attempts(stage) == expected_attempts(how)


@pytest.mark.parametrize(("path", "how"), DISCONNECTS_AND_CONTROL)
def test_client_that_disconnects_while_the_upstream_connects_is_not_forwarded(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    with running_stage(path) as stage:
        stage.poll.is_holding = True
        send_requests(stage)
        assert len(stage.poll.held_descriptors) == 3
        disconnect_clients(stage, how)
        stage.wait(AFTER_DISCONNECT_S)
        stage.poll.release()
        stage.wait(0.3)
        assert forwarded_attempts(stage) == expected_attempts(how)


@pytest.mark.parametrize(("path", "how"), DISCONNECTS)
def test_client_that_disconnects_in_the_turn_the_upstream_connects_is_not_forwarded(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    """One poll reports both; what is permitted is decided when the bytes would be written."""
    with running_stage(path) as stage:
        stage.poll.is_holding = True
        send_requests(stage)
        stage.poll.release()
        disconnect_clients(stage, how)
        stage.wait(0.05)
        assert forwarded_attempts(stage) == 0


@pytest.mark.parametrize(("path", "how"), DISCONNECTS_AND_CONTROL)
def test_client_that_disconnects_between_attempts_is_not_retried(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    with running_stage(path) as stage:
        send_requests(stage)
        assert forwarded_attempts(stage) == 3
        hold_retries(stage)
        disconnect_clients(stage, how)
        stage.wait(AFTER_DISCONNECT_S)
        stage.poll.release()
        stage.wait(0.2)
        assert forwarded_attempts(stage) == 3 + expected_attempts(how)


@pytest.mark.parametrize("how", CLOSES_AND_CONTROL)
def test_client_that_disconnects_after_malformed_bytes_is_not_retried(how: Disconnect) -> None:
    """Requests in flight have 0.7 s left then; a disconnect is noticed within that time."""
    with running_stage(ThriftResp) as stage:
        send_requests(stage, on_one_connection=True)
        stage.send(stage.actors["C1"], b"\xff" * 8)
        hold_retries(stage)
        disconnect_clients(stage, how, on_one_connection=True)
        stage.wait(AFTER_DISCONNECT_S)
        stage.poll.release()
        stage.wait(0.3)
        assert forwarded_attempts(stage) == 3 + expected_attempts(how)


@pytest.mark.parametrize("how", CLOSES_AND_CONTROL)
def test_http_client_that_disconnects_behind_a_full_read_buffer_is_not_retried(how: Disconnect) -> None:
    with running_stage(Http) as stage:
        send_requests(stage)
        for client in CLIENTS:
            head = b"GET /?query=select+1 HTTP/1.1\r\nX: " + b"x" * LARGE_HEADER_BYTES
            stage.send(stage.actors[client], head)
        hold_retries(stage)
        disconnect_clients(stage, how)
        stage.wait(AFTER_DISCONNECT_S)
        stage.poll.release()
        stage.wait(0.2)
        assert forwarded_attempts(stage) == 3 + expected_attempts(how)


@pytest.mark.parametrize("how", CLOSES_AND_CONTROL)
def test_pipelined_http_request_of_a_disconnected_client_is_not_forwarded(how: Disconnect) -> None:
    """The first request is invalid and pauses the connection; the second is valid."""
    invalid = b"GET /nowhere HTTP/1.1\r\nHost: gate\r\n\r\n"
    valid = b"GET /?query=select+x+from+sales_17.orders HTTP/1.1\r\nHost: gate\r\n\r\n"
    with running_stage(Http) as stage:
        for index, client in enumerate(CLIENTS):
            stage.step(client, ">", "")
            send_raw(stage, index, invalid + valid)
        stage.turn()
        disconnect_clients(stage, how)
        stage.wait(0.2)
        assert received_by_warehouses(stage).count(b"GET /") == expected_attempts(how)


def read_filled_connection(stage: Stage, warehouse: socket.socket, is_drained: Callable[[], bool]) -> bytes:
    """Read a connection until its filling has arrived and nothing is queued for it."""
    warehouse.setblocking(False)
    received = b""
    for _ in range(2000):
        stage.server.loop.turn(0)
        with contextlib.suppress(BlockingIOError):
            received += warehouse.recv(1 << 20)
        if len(received) >= FILLING_BYTES and is_drained():
            break
    return received


def stop_reading(stage: Stage, warehouse: Actor) -> socket.socket:
    """Wait for the warehouse's connection and let it be read no more."""
    stage.until(lambda: warehouse.connection is not None, "a connection")
    connection = warehouse.connection
    assert connection is not None
    warehouse.connection = None
    return connection


def test_attempt_queued_behind_a_full_connection_is_dropped_when_its_client_disconnects() -> None:
    """The connection is full of another request's bytes; the clients leave before there is room."""
    settings = {"policy-limits": {**SETTINGS["policy-limits"], "connect-timeout": 1_500_000}, "instances": 18}
    clients = ("C2", "C3", "C4")
    with running_stage(ThriftResp, engines=1, settings=settings) as stage:
        warehouse = stage.actors["W1"]
        warehouse.reads_all_connections = False
        stage.step("C1", "ask", f"a lookup 4000 {STATEMENT}")
        connection = stop_reading(stage, warehouse)
        (pool,) = stage.server.upstream._pools.values()  # type: ignore[attr-defined]
        stream = pool[0].stream
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stream.max_queued_bytes = 64 << 20
        stream.write(bytes(FILLING_BYTES))
        stage.turn()
        assert stream.queued_bytes
        for client, tag in zip(clients, "bcd", strict=True):
            stage.step(client, "ask", f"{tag} lookup 4000 select y from sales_17.orders")
        stage.turn()
        attempts = pool[0].open_attempts.values()
        waiting = [attempt.command for attempt in attempts if not attempt.command.sent]
        assert len(waiting) == 3
        for client in clients:
            stage.actors[client].close_connection()
        stage.turn()
        received = read_filled_connection(stage, connection, lambda: not stream.queued_bytes)
        assert received.count(b"select y") == 0
        assert not any(chunk.sent for chunk in waiting)
        connection.close()
