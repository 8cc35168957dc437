"""Requests, answers and connections arrive during the steps of graceful shutdown.

The steps are SIGTERM, the first failing health check, and the close of the listener and of idle connections.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from functools import partial

import pytest
from crossing_harness import (
    CLIENTS,
    FOLLOW_UP_TAGS,
    PATHS,
    WAREHOUSES,
    SocketWithShutdownHook,
    follow_up,
    forwarded_attempts,
    invoke_lookup,
    is_served,
    leave_idle_connections,
    open_connections,
    pause_reading,
    received_call_ids,
    resume_reading,
    run_to_end_of_shutdown,
    running_harness,
    send_follow_up,
    send_raw,
    send_requests,
)
from play import Actor, Dialect, Harness, ThriftResp, encode_resp, encode_rows

from lilacfront.protocols import thrift

# The number of bytes of a request that the client holds back until the step of the shutdown.
TAIL_BYTES = 5
PAGE_BYTES = 5703
PAGES = 8


def clients_of(harness: Harness) -> list[Actor]:
    """The actors of the three clients."""
    return [harness.actors[client] for client in CLIENTS]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("offset_s", [-0.02, 0.0, 0.02])
@pytest.mark.parametrize("step_s", [0.02, 0.4, 0.8, 0.85])
def test_request_completed_around_a_shutdown_step_is_answered(
    path: Callable[[], Dialect], step_s: float, offset_s: float
) -> None:
    """A connection with a partial request must stay open until the request is answered.

    The rest of the request arrives up to 20 ms before or after `step_s`, in seconds since SIGTERM. The
    listener closes 0.8 s after SIGTERM, and idle connections close shortly afterwards.
    """
    with running_harness(path) as harness:
        leave_idle_connections(harness)
        requests = [follow_up(harness, index) for index in range(3)]
        for index, request in enumerate(requests):
            send_raw(harness, index, request[:-TAIL_BYTES])
        before = forwarded_attempts(harness)
        harness.server.begin_shutdown()
        harness.wait(step_s + offset_s)
        for index, request in enumerate(requests):
            send_raw(harness, index, request[-TAIL_BYTES:])
        run_to_end_of_shutdown(harness)
        answered = [
            is_served(harness, client, tag) for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True)
        ]
        assert not any(client.was_reset for client in clients_of(harness))
        assert answered == [True] * 3
        assert forwarded_attempts(harness) == before + 3


def test_client_that_is_never_idle_is_answered_until_the_end_of_shutdown() -> None:
    """Three requests are open at any time. Each complete one must have one answer when the process ends."""
    with running_harness(ThriftResp) as harness:
        send_requests(harness, on_one_connection=True)
        client = harness.actors["C1"]
        client.reads_all_connections = True
        harness.server.begin_shutdown()
        sent = list(range(1, 4))
        number = 10
        while not harness.server.loop.stopping and not client.eof:
            number += 1
            assert client.connection is not None
            with contextlib.suppress(OSError):
                client.connection.sendall(invoke_lookup(number))
                sent.append(number)
            harness.wait(0.03)
        assert not client.was_reset
        answered = [n for n in sent if client.received.count(b"\x06invoke" + struct.pack(">I", n)) == 1]
        assert len(sent) > 100
        # The last request may arrive after the close.
        assert set(sent) - set(answered) <= {sent[-1]}


@pytest.mark.parametrize("path", PATHS)
def test_connections_in_the_accept_queue_are_served_when_the_listener_closes(
    path: Callable[[], Dialect],
) -> None:
    """The kernel has already accepted these connections, so their requests must be served."""
    with running_harness(path) as harness:
        leave_idle_connections(harness)
        listener = harness.server.listeners[harness.dialect.listener_index]
        harness.server.begin_shutdown()
        harness.wait(0.79)

        def connect() -> None:
            for index, actor in enumerate(clients_of(harness)):
                actor.use_connection(socket.create_connection(listener.address))
                send_follow_up(harness, index)

        # Connect after the poll, in the turn in which the listener closes.
        harness.poll.after_next_poll = connect
        harness.clock.now += 0.02
        harness.server.loop.turn(0)
        assert listener.sock.fileno() < 0
        run_to_end_of_shutdown(harness)
        for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True):
            assert is_served(harness, client, tag), harness.actors[client].received
        assert not any(client.was_reset for client in clients_of(harness))


def connect_with_small_buffers(harness: Harness) -> None:
    """Connect the clients with receive buffers that are smaller than an answer of several pages."""
    for client in CLIENTS:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        connection.connect(harness.server.listeners[0].address)
        harness.actors[client] = Actor(False)
        harness.actors[client].use_connection(connection)


def serve_in_pages(warehouse: Actor, answer: bytes) -> None:
    """Answer all attempts at the warehouse in pages."""
    pages = [answer[start : start + PAGE_BYTES] for start in range(0, len(answer), PAGE_BYTES)]
    for connection in open_connections(warehouse):
        for call_id in received_call_ids(warehouse):
            connection.sendall(encode_resp(call_id, b"HIT", b"pages=%d" % PAGES, pages[0]))
            for number in range(1, PAGES):
                connection.sendall(encode_resp(call_id, b"PART", b"page=%d" % number, pages[number]))


def test_slow_reader_receives_its_complete_last_answer_during_shutdown() -> None:
    """Clients read nothing for 1 s, longer than a graceful close waits once an answer is sent."""
    answer = encode_rows((",".join(["x" * 1900] * 3),) * PAGES)
    with running_harness(ThriftResp) as harness:
        connect_with_small_buffers(harness)
        send_requests(harness, request_class="report")
        slots = list(harness.server.listeners[0].slots)
        for slot in slots:
            slot.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        clients = clients_of(harness)
        unread = pause_reading(clients)
        harness.server.begin_shutdown()
        harness.wait(0.9)
        for name in WAREHOUSES:
            serve_in_pages(harness.actors[name], answer)
        harness.wait(0.1)
        assert all(slot.stream.queued_bytes for slot in slots), "each answer must be partly queued"
        harness.wait(1.0)
        resume_reading(clients, unread)
        for _ in range(200):
            harness.wait(0.01)
            if all(client.eof for client in clients):
                break
        for index, client in enumerate(clients):
            assert not client.was_reset
            assert client.received == thrift.encode_answer(b"invoke", index + 1, answer)


@pytest.mark.parametrize("path", PATHS)
def test_bytes_received_with_the_last_answer_do_not_cause_a_reset(path: Callable[[], Dialect]) -> None:
    """A client sends more bytes at the half-close, before it has read its answer."""
    with running_harness(path) as harness:
        leave_idle_connections(harness)
        for name in WAREHOUSES:
            harness.actors[name].answer = None
            harness.actors[name].received_by_connection.clear()
        harness.server.begin_shutdown()
        harness.wait(0.7)
        for index in range(3):
            send_follow_up(harness, index, request_class="report")
        harness.wait(0.2)
        slots = list(harness.server.listeners[harness.dialect.listener_index].slots)
        assert len(slots) == 3
        clients = clients_of(harness)
        unread = pause_reading(clients)

        def send_more(index: int) -> None:
            with contextlib.suppress(OSError):
                unread[index].sendall(b"x" * 100)

        for index, slot in enumerate(slots):
            hooked = SocketWithShutdownHook(slot.stream.sock, partial(send_more, index))
            slot.stream.sock = hooked  # type: ignore[assignment]
        for name in WAREHOUSES:
            # Each connection carries only the answer to the request that was received on it.
            for connection, request in harness.actors[name].received_by_connection.items():
                connection.sendall(harness.dialect.answers(request))
        harness.wait(0.1)
        # Longer than a graceful close waits for the peer.
        harness.wait(1.0)
        resume_reading(clients, unread)
        harness.until(lambda: all(client.eof for client in clients), "the ends of the connections")
        for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True):
            assert is_served(harness, client, tag), harness.actors[client].received
