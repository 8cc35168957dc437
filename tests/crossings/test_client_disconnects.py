"""A client disconnects while its request is queued, connecting or between attempts."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import pytest
from crossing_harness import (
    AFTER_DISCONNECT_S,
    CHANGE_LOG,
    CLIENTS,
    CLOSES,
    STATEMENT,
    Disconnect,
    delay_retries,
    disconnect_clients,
    forwarded_attempts,
    received_by_warehouses,
    running_harness,
    send_raw,
    send_requests,
)
from play import SETTINGS, Actor, Dialect, Harness, Http, ThriftResp

# More bytes than the front end reads from a client while its current request is open.
LARGE_HEADER_BYTES = 70 << 10
# Enough bytes to fill the socket buffers of a connection whose warehouse does not read.
FILLING_BYTES = 16 << 20
DISCONNECTS = [
    *((path, how) for path in (ThriftResp, Http) for how in CLOSES),
    (ThriftResp, Disconnect.ABORT),
]
# In the control cases the clients stay connected and their requests must be forwarded.
DISCONNECTS_AND_CONTROL = [
    (ThriftResp, Disconnect.NONE),
    (Http, Disconnect.NONE),
    *DISCONNECTS,
]
CLOSES_AND_CONTROL = [Disconnect.NONE, *CLOSES]


def expected_attempts(how: Disconnect) -> int:
    """All three requests are forwarded if the clients stay connected, and none otherwise."""
    return 3 if how is Disconnect.NONE else 0


@pytest.mark.parametrize(("path", "how"), DISCONNECTS_AND_CONTROL)
def test_queued_request_of_a_disconnected_client_is_not_forwarded(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    with running_harness(path, engines=0) as harness:
        harness.step(CHANGE_LOG, "since", "1")
        send_requests(harness)
        disconnect_clients(harness, how)
        harness.wait(AFTER_DISCONNECT_S)
        harness.step(CHANGE_LOG, "says", "2 W1 ready")
        harness.wait(0.05)
        assert forwarded_attempts(harness) == expected_attempts(how)


@pytest.mark.parametrize(("path", "how"), DISCONNECTS_AND_CONTROL)
def test_client_that_disconnects_while_the_upstream_connects_is_not_forwarded(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    with running_harness(path) as harness:
        harness.poll.delays_connects = True
        send_requests(harness)
        assert len(harness.poll.delayed_descriptors) == 3
        disconnect_clients(harness, how)
        harness.wait(AFTER_DISCONNECT_S)
        harness.poll.release()
        harness.wait(0.3)
        assert forwarded_attempts(harness) == expected_attempts(how)


@pytest.mark.parametrize(("path", "how"), DISCONNECTS)
def test_client_that_disconnects_in_the_turn_the_upstream_connects_is_not_forwarded(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    """One poll reports both events, so the permit must be checked when the bytes are about to be written."""
    with running_harness(path) as harness:
        harness.poll.delays_connects = True
        send_requests(harness)
        harness.poll.release()
        disconnect_clients(harness, how)
        harness.wait(0.05)
        assert forwarded_attempts(harness) == 0


@pytest.mark.parametrize(("path", "how"), DISCONNECTS_AND_CONTROL)
def test_client_that_disconnects_between_attempts_is_not_retried(
    path: Callable[[], Dialect], how: Disconnect
) -> None:
    with running_harness(path) as harness:
        send_requests(harness)
        assert forwarded_attempts(harness) == 3
        delay_retries(harness)
        disconnect_clients(harness, how)
        harness.wait(AFTER_DISCONNECT_S)
        harness.poll.release()
        harness.wait(0.2)
        assert forwarded_attempts(harness) == 3 + expected_attempts(how)


@pytest.mark.parametrize("how", CLOSES_AND_CONTROL)
def test_client_that_disconnects_after_malformed_bytes_is_not_retried(how: Disconnect) -> None:
    """After malformed bytes, requests in flight have 0.7 s left; a disconnect must be detected meanwhile."""
    with running_harness(ThriftResp) as harness:
        send_requests(harness, on_one_connection=True)
        harness.send(harness.actors["C1"], b"\xff" * 8)
        delay_retries(harness)
        disconnect_clients(harness, how, on_one_connection=True)
        harness.wait(AFTER_DISCONNECT_S)
        harness.poll.release()
        harness.wait(0.3)
        assert forwarded_attempts(harness) == 3 + expected_attempts(how)


@pytest.mark.parametrize("how", CLOSES_AND_CONTROL)
def test_http_client_that_disconnects_behind_a_full_read_buffer_is_not_retried(how: Disconnect) -> None:
    with running_harness(Http) as harness:
        send_requests(harness)
        for client in CLIENTS:
            head = b"GET /?query=select+1 HTTP/1.1\r\nX: " + b"x" * LARGE_HEADER_BYTES
            harness.send(harness.actors[client], head)
        delay_retries(harness)
        disconnect_clients(harness, how)
        harness.wait(AFTER_DISCONNECT_S)
        harness.poll.release()
        harness.wait(0.2)
        assert forwarded_attempts(harness) == 3 + expected_attempts(how)


@pytest.mark.parametrize("how", CLOSES_AND_CONTROL)
def test_pipelined_http_request_of_a_disconnected_client_is_not_forwarded(how: Disconnect) -> None:
    """The first request is invalid and pauses the connection; the second is valid."""
    invalid = b"GET /nowhere HTTP/1.1\r\nHost: gate\r\n\r\n"
    valid = b"GET /?query=select+x+from+sales_17.orders HTTP/1.1\r\nHost: gate\r\n\r\n"
    with running_harness(Http) as harness:
        for index, client in enumerate(CLIENTS):
            harness.step(client, ">", "")
            send_raw(harness, index, invalid + valid)
        harness.turn()
        disconnect_clients(harness, how)
        harness.wait(0.2)
        assert received_by_warehouses(harness).count(b"GET /") == expected_attempts(how)


def read_filled_connection(
    harness: Harness, warehouse: socket.socket, is_drained: Callable[[], bool]
) -> bytes:
    """Read a connection until all filling bytes have arrived and the stream's queue is empty."""
    warehouse.setblocking(False)
    received = b""
    for _ in range(2000):
        harness.server.loop.turn(0)
        with contextlib.suppress(BlockingIOError):
            received += warehouse.recv(1 << 20)
        if len(received) >= FILLING_BYTES and is_drained():
            break
    return received


def stop_reading(harness: Harness, warehouse: Actor) -> socket.socket:
    """Wait until the warehouse has a connection and stop reading from it; returns the connection."""
    harness.until(lambda: warehouse.connection is not None, "a connection")
    connection = warehouse.connection
    assert connection is not None
    warehouse.connection = None
    return connection


def test_attempt_queued_behind_a_full_connection_is_dropped_when_its_client_disconnects() -> None:
    """Another request's bytes fill the connection; the clients disconnect before the queue drains."""
    settings = {"policy-limits": {**SETTINGS["policy-limits"], "connect-timeout": 1_500_000}, "instances": 18}
    clients = ("C2", "C3", "C4")
    with running_harness(ThriftResp, engines=1, settings=settings) as harness:
        warehouse = harness.actors["W1"]
        warehouse.reads_all_connections = False
        harness.step("C1", "ask", f"a lookup 4000 {STATEMENT}")
        connection = stop_reading(harness, warehouse)
        (pool,) = harness.server.upstream._pools.values()  # type: ignore[attr-defined]
        stream = pool[0].stream
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stream.max_queued_bytes = 64 << 20
        stream.write(bytes(FILLING_BYTES))
        harness.turn()
        assert stream.queued_bytes
        for client, tag in zip(clients, "bcd", strict=True):
            harness.step(client, "ask", f"{tag} lookup 4000 select y from sales_17.orders")
        harness.turn()
        attempts = pool[0].open_attempts.values()
        unsent_commands = [attempt.command for attempt in attempts if not attempt.command.sent]
        assert len(unsent_commands) == 3
        for client in clients:
            harness.actors[client].close_connection()
        harness.turn()
        received = read_filled_connection(harness, connection, lambda: not stream.queued_bytes)
        assert received.count(b"select y") == 0
        assert not any(chunk.sent for chunk in unsent_commands)
        connection.close()
