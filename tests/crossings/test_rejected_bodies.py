"""A client that is still sending a rejected body gets the answer to it."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import pytest
from crossing_harness import running_harness
from play import Actor, Harness, Http

MAX_BODY_BYTES = 16 << 20  # of the HTTP front end, as shipped
BODY_BYTES = MAX_BODY_BYTES + 1
PIECE_BYTES = 1 << 18
STEP_S = 0.02
HEAD = b"POST /?query_id=a HTTP/1.1\r\nHost: gate\r\n"


def whole_length(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % size


def one_chunk(size: int) -> bytes:
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size


def connect(harness: Harness) -> socket.socket:
    listener = harness.server.listeners[harness.dialect.listener_index]
    connection = socket.create_connection(listener.address)
    connection.setblocking(False)
    return connection


def send_all(harness: Harness, connection: socket.socket, data: bytes, step_s: float) -> None:
    """Send bytes piece by piece without reading; raises OSError if the front end has reset the connection."""
    unsent = memoryview(data)
    while unsent:
        with contextlib.suppress(BlockingIOError):
            unsent = unsent[connection.send(unsent[:PIECE_BYTES]) :]
        harness.turn()
        harness.wait(step_s)


def read_to_end(harness: Harness, connection: socket.socket) -> bytes:
    reader = Actor(False)
    reader.use_connection(connection)
    harness.actors["reader"] = reader
    harness.until(lambda: reader.eof, "the end of the connection")
    return reader.received


@pytest.mark.parametrize("encode_head", [whole_length, one_chunk])
@pytest.mark.parametrize("step_s", [0.0, STEP_S, 0.1], ids=["fast", "medium", "slow"])
def test_client_that_reads_after_sending_gets_the_answer(
    encode_head: Callable[[int], bytes], step_s: float
) -> None:
    """Guards against a connection that is closed over a body that is still arriving, which resets it."""
    with running_harness(Http) as harness:
        connection = connect(harness)
        send_all(harness, connection, encode_head(BODY_BYTES) + bytes(BODY_BYTES), step_s)
        assert read_to_end(harness, connection).startswith(b"HTTP/1.1 413 ")


def test_answers_to_rejected_bodies_survive_the_limit_of_closing_connections() -> None:
    """Guards against the same by the limit of half-closed connections."""
    with running_harness(Http, limits={"cores": 1.0, "memory_mb": 192, "sockets": 64}) as harness:
        connections = [connect(harness) for _ in range(8)]
        for connection in connections:
            connection.send(whole_length(BODY_BYTES))
        harness.wait(0.3)
        for connection in connections:
            send_all(harness, connection, bytes(PIECE_BYTES), 0.0)
        harness.wait(0.3)
        for connection in connections:
            send_all(harness, connection, bytes(PIECE_BYTES), 0.0)
            assert read_to_end(harness, connection).startswith(b"HTTP/1.1 413 ")
            connection.close()


@pytest.mark.parametrize("pause_s", [0.05, 1.0])
def test_client_that_never_stops_sending_is_disconnected(pause_s: float) -> None:
    """Guards against a rejected client that uses the connection, or the loop, for ever."""
    with running_harness(Http) as harness:
        connection = connect(harness)
        connection.send(one_chunk(1 << 40))
        listener = harness.server.listeners[harness.dialect.listener_index]
        harness.until(lambda: listener.slots, "the connection")
        endless_body = bytes(PIECE_BYTES * round(40.0 / pause_s))
        with pytest.raises(OSError, match=r"reset|Broken pipe"):
            send_all(harness, connection, endless_body, pause_s)
        harness.until(lambda: not listener.slots, "the end of the connection")
        connection.close()
