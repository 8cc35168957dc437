"""Many connections with a queued final answer are closed at once, and the listener limits their number."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import pytest
from crossing_harness import PATHS, STATEMENT, WAREHOUSES, running_harness
from play import SETTINGS, Actor, Dialect, Harness, Http, ThriftResp

from lilacfront.frontends.listener import MIN_MAX_LINGERING, ClientSlot, Listener

CLIENT_COUNT = 40  # more than the listener keeps half-closed
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
# Warehouses that can run the requests of all clients at once.
CAPACITY = {"extra": {**SETTINGS["extra"], "cpu-of-kind": [1000]}}
CLIENTS = [f"C{number}" for number in range(1, CLIENT_COUNT + 1)]
UNREADABLE_MESSAGE = b"\x00\x00\x00\x04\xff\xff\xff\xff"
LONG_ANSWER_ROWS = ("x" * 100,) * 400
SMALL_BUFFER_BYTES = 4096
TIME_LIMIT_S = 4


@pytest.fixture(params=PATHS)
def path(request: pytest.FixtureRequest) -> Callable[[], Dialect]:
    """The class of the path's dialect."""
    dialect: Callable[[], Dialect] = request.param
    return dialect


@pytest.fixture
def http_harness() -> Iterator[Harness]:
    with running_harness(Http, limits=LIMITS, settings=CAPACITY) as harness:
        yield harness


def listener_of(harness: Harness) -> Listener:
    return harness.server.listeners[harness.dialect.listener_index]


def http_request(tag: str) -> bytes:
    """Encode a request after whose answer the connection is closed."""
    head = f"POST /?query_id={tag}&max_execution_time={TIME_LIMIT_S} HTTP/1.1\r\nHost: gate\r\n"
    return f"{head}Connection: close\r\nContent-Length: {len(STATEMENT)}\r\n\r\n{STATEMENT}".encode()


def send_from_each_client(harness: Harness) -> None:
    """Send one report from each client."""
    for number, client in enumerate(CLIENTS):
        tag = f"t{number}"
        if isinstance(harness.dialect, Http):
            harness.send(harness.connect_client(client), http_request(tag))
        else:
            harness.step(client, "ask", f"{chr(ord('a') + number % 26)} report 20000 {STATEMENT}")
    harness.turn()


def answer_count(harness: Harness, client: str) -> int:
    received = harness.actors[client].received
    return received.count(b"HTTP/1.1 " if isinstance(harness.dialect, Http) else b"\x06invoke")


def check_each_client_has_one_answer(harness: Harness) -> None:
    harness.until(
        lambda: all(harness.actors[client].eof for client in CLIENTS), "the ends of the connections"
    )
    assert [answer_count(harness, client) for client in CLIENTS] == [1] * CLIENT_COUNT
    assert not any(harness.actors[client].was_reset for client in CLIENTS)


def test_answers_at_the_deadline_of_a_shutdown_are_delivered(path: Callable[[], Dialect]) -> None:
    """Guards against answers lost when all open requests are ended in one turn (review/6)."""
    with running_harness(path, limits=LIMITS, settings=CAPACITY) as harness:
        harness.server.begin_shutdown()
        send_from_each_client(harness)
        harness.wait(3.6)
        check_each_client_has_one_answer(harness)


def test_answers_at_the_end_of_a_pause_are_delivered(path: Callable[[], Dialect]) -> None:
    """Guards against answers lost when a pause ends the recent requests in one turn."""
    with running_harness(path, limits=LIMITS, settings=CAPACITY, admin="127.0.0.1:0") as harness:
        harness.server.operations.handle_line(b"PAUSE")
        harness.wait(2.0)
        send_from_each_client(harness)
        harness.wait(1.9)
        check_each_client_has_one_answer(harness)


def test_answers_that_close_their_connections_at_once_are_delivered(http_harness: Harness) -> None:
    """Guards against answers lost without a restart, here where many requests reach their deadline."""
    send_from_each_client(http_harness)
    http_harness.wait(TIME_LIMIT_S + 0.1)
    check_each_client_has_one_answer(http_harness)


def test_faults_before_the_close_of_unreadable_clients_are_delivered() -> None:
    """Guards against answers lost when many clients of the platform send what can't be read."""
    with running_harness(ThriftResp, limits=LIMITS, settings=CAPACITY) as harness:
        send_from_each_client(harness)
        for client in CLIENTS:
            harness.send(harness.actors[client], UNREADABLE_MESSAGE)
        harness.wait(0.8)
        check_each_client_has_one_answer(harness)


def connect_slow_reader(harness: Harness, send_buffer_bytes: int) -> tuple[Actor, socket.socket, ClientSlot]:
    """Connect a client that reads nothing for now and request a long answer, which ends its connection."""
    reader = Actor(False)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    connection.connect(listener_of(harness).address)
    harness.turn()
    slot = list(listener_of(harness).slots)[-1]
    slot.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    connection.sendall(http_request("slow"))
    harness.until(lambda: any(harness.actors[name].received for name in WAREHOUSES), "the request")
    warehouse = next(harness.actors[name] for name in WAREHOUSES if harness.actors[name].received)
    assert warehouse.connection is not None
    assert isinstance(harness.dialect, Http)
    warehouse.connection.sendall(harness.dialect.serves("slow", *LONG_ANSWER_ROWS))
    warehouse.received = b""
    harness.until(lambda: slot.stream.closed, "the answer")
    return reader, connection, slot


@pytest.mark.parametrize("send_buffer_bytes", [SMALL_BUFFER_BYTES, 1 << 20], ids=["queued", "in the kernel"])
def test_slow_reader_keeps_its_answer_while_other_connections_close(
    http_harness: Harness, send_buffer_bytes: int
) -> None:
    """Guards against the loss of the rest of a long answer, also of what the kernel has taken of it.

    The client has sent more bytes, so a close of the connection would reset it.
    """
    harness = http_harness
    reader, connection, slot = connect_slow_reader(harness, send_buffer_bytes)
    assert bool(slot.stream.queued_bytes) == (send_buffer_bytes == SMALL_BUFFER_BYTES)
    test_answers_that_close_their_connections_at_once_are_delivered(harness)
    connection.sendall(b"more")
    reader.use_connection(connection)
    harness.actors["slow"] = reader
    harness.until(lambda: reader.eof, "the end of the long answer")
    assert reader.received.endswith(b"".join(row.encode() + b"\n" for row in LONG_ANSWER_ROWS))
    assert not reader.was_reset


def test_half_closed_connections_of_clients_that_never_close_are_limited(http_harness: Harness) -> None:
    """Guards against the loss of all descriptors to clients that have their answer and don't close."""
    harness = http_harness
    test_answers_that_close_their_connections_at_once_are_delivered(harness)
    listener = listener_of(harness)
    harness.until(
        lambda: all(slot.stream.is_delivered for slot in listener.lingering), "the acknowledgements"
    )
    harness.wait(0.1)
    assert len(listener.slots) <= MIN_MAX_LINGERING
