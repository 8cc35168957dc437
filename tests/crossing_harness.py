"""Helpers for tests of races between two events: one event is delayed until the other has occurred.

`docs/design/crossings.md` lists the pairs of events. Clients and warehouses use real connections; the test
controls the clock. In most tests, three clients send one request each.
"""

from __future__ import annotations

import contextlib
import re
import socket
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Any

import pytest
from play import SETTINGS, Actor, Dialect, Harness, Http, ThriftResp, reset_on_close

from lilacfront.protocols import thrift

PATHS = [pytest.param(ThriftResp, id="thrift-resp"), pytest.param(Http, id="http")]
CLIENTS = ("C1", "C2", "C3")
WAREHOUSES = ("W1", "W2")
CHANGE_LOG = "L"
SECOND_CHANGE_LOG = "M"
# The tags of the clients' first and further requests, in the order of CLIENTS; see `ThriftResp`.
TAGS = "abc"
FOLLOW_UP_TAGS = "def"
STATEMENT = "select x from sales_17.orders"
# Longer than the time in which a request may still be forwarded after its client has disconnected.
AFTER_DISCONNECT_S = 0.11
SHUTDOWN_STEP_S = 0.01
MAX_SHUTDOWN_STEPS = 500
BUFFER_BYTES = 4096  # of the sockets of a client that reads slowly


class Disconnect(StrEnum):
    """How a client disconnects, or cancels its requests.

    NONE is the control case: the client stays connected. ABORT sends a cancellation and stays connected.
    """

    NONE = "none"
    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    ABORT = "abort"


CLOSES = (Disconnect.CLOSE, Disconnect.RESET, Disconnect.HALF_CLOSE)


@contextlib.contextmanager
def running_harness(path: Callable[[], Dialect], engines: int = 2, **changes: Any) -> Iterator[Harness]:
    """Start a front end whose connects to warehouses time out after 1.5 s, longer than tests delay them.

    Its warehouses read all of their connections.
    """
    limits = {**SETTINGS["policy-limits"], "connect-timeout": 1_500_000}
    settings = {**SETTINGS, "policy-limits": limits, **changes.pop("settings", {})}
    harness = Harness(path(), engines=engines, settings=settings, **changes)
    for name in WAREHOUSES:
        harness.actors[name].reads_all_connections = True
    try:
        yield harness
    finally:
        harness.poll.release()
        harness.close()


def received_by_warehouses(harness: Harness) -> bytes:
    """All bytes that reached a warehouse."""
    return b"".join(harness.actors[name].received for name in WAREHOUSES)


def forwarded_attempts(harness: Harness) -> int:
    """The number of attempts that reached a warehouse."""
    received = received_by_warehouses(harness)
    return received.count(b"$2\r\ndo\r\n") + received.count(b"POST /")


def received_call_ids(warehouse: Actor) -> list[bytes]:
    """The call ids of the attempts that reached the warehouse over RESP, in order."""
    return re.findall(rb"\$16\r\n(.{16})\r\n\$\d+\r\nlane", warehouse.received)


def open_connections(actor: Actor) -> list[socket.socket]:
    """All connections of a warehouse, the current one last."""
    current = [] if actor.connection is None else [actor.connection]
    return [*actor.other_sockets, *current]


def send_requests(harness: Harness, request_class: str = "lookup", on_one_connection: bool = False) -> None:
    """Send one request from each client, or all three from the first client."""
    for client, tag in zip(CLIENTS, TAGS, strict=True):
        name = CLIENTS[0] if on_one_connection else client
        harness.step(name, "ask", f"{tag} {request_class} 4000 {STATEMENT}")
    harness.turn()


def invoke_lookup(number: int, statement: bytes = STATEMENT.encode()) -> bytes:
    """Encode a Thrift lookup; the number becomes its sequence number and its call id."""
    fields = {b"op": b"lookup", b"call": b"%016x" % number, b"ttl": b"4000"}
    return thrift.encode_invoke(number, fields, statement)


def disconnect_clients(harness: Harness, how: Disconnect, on_one_connection: bool = False) -> None:
    """Disconnect all clients, or with ABORT send a cancellation for each request."""
    if how is Disconnect.ABORT:
        for client, tag in zip(CLIENTS, TAGS, strict=True):
            actor = harness.actors[CLIENTS[0] if on_one_connection else client]
            assert actor.connection is not None
            actor.connection.sendall(thrift.encode_abort(ThriftResp.sequence_number(tag)))
        return
    for client in CLIENTS[:1] if on_one_connection else CLIENTS:
        _disconnect(harness.actors[client], how)


def _disconnect(actor: Actor, how: Disconnect) -> None:
    assert actor.connection is not None
    match how:
        case Disconnect.CLOSE:
            actor.close_connection()
        case Disconnect.RESET:
            actor.close_connection(with_reset=True)
        case Disconnect.HALF_CLOSE:
            actor.connection.shutdown(socket.SHUT_WR)


def reset_warehouse_connections(harness: Harness) -> None:
    """Reset all connections to the warehouses while requests are in flight on them."""
    for name in WAREHOUSES:
        actor = harness.actors[name]
        for connection in open_connections(actor):
            reset_on_close(connection)
            connection.close()
        actor.connection = None
        actor.other_sockets = []


def delay_retries(harness: Harness) -> None:
    """Reset the connections of all three attempts, and delay the connects of the retries."""
    harness.poll.delays_connects = True
    reset_warehouse_connections(harness)
    harness.turn()
    assert len(harness.poll.delayed_descriptors) == 3, "three retries must wait for their connections"


def is_served(harness: Harness, client: str, tag: str) -> bool:
    """Whether the client has received one complete answer and nothing else."""
    received = harness.actors[client].received
    if isinstance(harness.dialect, ThriftResp):
        return received == harness.dialect.served(tag, "1,2,3")
    return (
        received.startswith(b"HTTP/1.1 200 OK")
        and received.endswith(b"\r\n\r\n1\t2\t3\n")
        and received.count(b"HTTP") == 1
    )


def wait_until_served(harness: Harness, client: str, tag: str) -> None:
    """Run turns until the client has received its answer."""
    harness.until(lambda: is_served(harness, client, tag), f"the answer to {client}")


def answer_at_once(harness: Harness) -> None:
    """Let the warehouses answer all further requests immediately."""
    for name in WAREHOUSES:
        harness.actors[name].answer = harness.dialect.answers


def leave_idle_connections(harness: Harness) -> None:
    """Serve one request of each client, so that the clients' connections are idle.

    The warehouses answer all further requests immediately.
    """
    answer_at_once(harness)
    send_requests(harness)
    for client, tag in zip(CLIENTS, TAGS, strict=True):
        wait_until_served(harness, client, tag)
        harness.actors[client].received = b""


def follow_up(harness: Harness, index: int, request_class: str = "lookup") -> bytes:
    """Encode a further request of the client with this index."""
    return harness.dialect.ask(FOLLOW_UP_TAGS[index], request_class, "4000", *STATEMENT.split())


def send_follow_up(harness: Harness, index: int, request_class: str = "lookup") -> None:
    """Send a further request of a client on its connection, which the front end may have closed."""
    send_raw(harness, index, follow_up(harness, index, request_class))


def send_raw(harness: Harness, index: int, data: bytes) -> None:
    """Send bytes without a turn of the loop, on a connection that the front end may have closed."""
    connection = harness.actors[CLIENTS[index]].connection
    assert connection is not None
    with contextlib.suppress(OSError):
        connection.sendall(data)


def close_ended_connections(harness: Harness) -> None:
    """Close the clients' connections that the front end has ended."""
    for client in CLIENTS:
        actor = harness.actors[client]
        if actor.eof and actor.connection is not None:
            actor.close_connection()


def run_to_end_of_shutdown(harness: Harness) -> None:
    """Advance the clock until the loop is stopped; meanwhile clients close ended connections."""
    for _ in range(MAX_SHUTDOWN_STEPS):
        if harness.server.loop.stopping:
            return
        harness.clock.now += SHUTDOWN_STEP_S
        harness.turn()
        close_ended_connections(harness)
    raise AssertionError(f"the loop still runs after {MAX_SHUTDOWN_STEPS} steps of {SHUTDOWN_STEP_S} s")


def pause_reading(actors: list[Actor]) -> list[socket.socket]:
    """Stop the actors from reading; returns their connections."""
    connections = []
    for actor in actors:
        assert actor.connection is not None
        connections.append(actor.connection)
        actor.connection = None
    return connections


def resume_reading(actors: list[Actor], connections: list[socket.socket]) -> None:
    """Let the actors read from their connections again."""
    for actor, connection in zip(actors, connections, strict=True):
        actor.use_connection(connection)


def connect_reader(harness: Harness, name: str) -> Actor:
    """Connect a client with small buffers on both sides."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    listener = harness.server.listeners[harness.dialect.listener_index]
    connection.connect(listener.address)
    harness.turn()
    slot = list(listener.slots)[-1]
    slot.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    harness.actors[name] = Actor(False)
    harness.actors[name].use_connection(connection)
    return harness.actors[name]


def send_all(harness: Harness, client: Actor, data: bytes) -> None:
    """Send a request that does not fit the socket's buffer."""
    assert client.connection is not None
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[client.connection.send(unsent) :]
        except BlockingIOError:
            harness.turn()


class SocketWithShutdownHook:
    """A socket that calls a hook before each `shutdown`, so that a test can send bytes at that moment."""

    def __init__(self, sock: socket.socket, before_shutdown: Callable[[], None]) -> None:
        self._socket = sock
        self._before_shutdown = before_shutdown

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    def shutdown(self, how: int) -> None:
        """Call the hook, then shut the socket down."""
        self._before_shutdown()
        self._socket.shutdown(how)
