"""Requests, answers and connections cross the steps of graceful shutdown.

The steps are SIGTERM, the first failing health check, and the close of the listener and of idle connections.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from functools import partial

import pytest
from crossing_stage import (
    CLIENTS,
    FOLLOW_UP_TAGS,
    PATHS,
    WAREHOUSES,
    SocketWithShutdownHook,
    follow_up,
    forwarded_attempts,
    invoke_lookup,
    is_served,
    open_connections,
    pause_reading,
    received_call_ids,
    resume_reading,
    run_to_end_of_shutdown,
    running_stage,
    send_follow_up,
    send_raw,
    send_requests,
    serve_then_idle,
)
from play import Actor, Dialect, Stage, ThriftResp, encode_resp, encode_rows

from lilacfront.protocols import thrift

# The bytes of a request that arrive after a step of the shutdown.
TAIL_BYTES = 5
PAGE_BYTES = 5703
PAGES = 8


def clients_of(stage: Stage) -> list[Actor]:
    """The actors of the three clients."""
    return [stage.actors[client] for client in CLIENTS]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("early", [-0.02, 0.0, 0.02])
@pytest.mark.parametrize("step", [0.02, 0.4, 0.8, 0.85])
def test_request_completed_around_a_shutdown_step_is_answered(
    path: Callable[[], Dialect], step: float, early: float
) -> None:
    """A connection on which a part of a request has arrived is kept until the request is answered."""
    with running_stage(path) as stage:
        serve_then_idle(stage)
        requests = [follow_up(stage, index) for index in range(3)]
        for index, request in enumerate(requests):
            send_raw(stage, index, request[:-TAIL_BYTES])
        before = forwarded_attempts(stage)
        stage.server.begin_shutdown()
        stage.wait(step + early)
        for index, request in enumerate(requests):
            send_raw(stage, index, request[-TAIL_BYTES:])
        run_to_end_of_shutdown(stage)
        answered = [
            is_served(stage, client, tag) for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True)
        ]
        assert not any(client.was_reset for client in clients_of(stage))
        assert answered == [True] * 3
        assert forwarded_attempts(stage) == before + 3


def test_client_that_is_never_idle_is_answered_until_the_end_of_shutdown() -> None:
    """Three requests are open at any time; each complete one has one answer when the process ends."""
    with running_stage(ThriftResp) as stage:
        send_requests(stage, on_one_connection=True)
        client = stage.actors["C1"]
        client.reads_all_connections = True
        stage.server.begin_shutdown()
        sent = list(range(1, 4))
        number = 10
        while not stage.server.loop.stopping and not client.eof:
            number += 1
            assert client.connection is not None
            with contextlib.suppress(OSError):
                client.connection.sendall(invoke_lookup(number))
                sent.append(number)
            stage.wait(0.03)
        assert not client.was_reset
        answered = [n for n in sent if client.received.count(b"\x06invoke" + struct.pack(">I", n)) == 1]
        assert len(sent) > 100
        # The last request may cross the close.
        assert set(sent) - set(answered) <= {sent[-1]}


@pytest.mark.parametrize("path", PATHS)
def test_connections_in_the_accept_queue_are_served_when_the_listener_closes(
    path: Callable[[], Dialect],
) -> None:
    """The kernel has accepted them, so their requests count as accepted."""
    with running_stage(path) as stage:
        serve_then_idle(stage)
        listener = stage.server.listeners[stage.dialect.listener_index]
        stage.server.begin_shutdown()
        stage.wait(0.79)

        def connect() -> None:
            for index, actor in enumerate(clients_of(stage)):
                actor.use_connection(socket.create_connection(listener.address))
                send_follow_up(stage, index)

        # Connect after the poll, in the turn in which the listener closes.
        stage.poll.after_next_poll = connect
        stage.clock.now += 0.02
        stage.server.loop.turn(0)
        assert listener.sock.fileno() < 0
        run_to_end_of_shutdown(stage)
        for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True):
            assert is_served(stage, client, tag), stage.actors[client].received
        assert not any(client.was_reset for client in clients_of(stage))


def connect_with_small_buffers(stage: Stage) -> None:
    """Connect the clients with receive buffers that an answer of several pages exceeds."""
    for client in CLIENTS:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        connection.connect(stage.server.listeners[0].address)
        stage.actors[client] = Actor(False)
        stage.actors[client].use_connection(connection)


def serve_in_pages(warehouse: Actor, answer: bytes) -> None:
    """Answer all attempts at the warehouse, page after page."""
    pages = [answer[start : start + PAGE_BYTES] for start in range(0, len(answer), PAGE_BYTES)]
    for connection in open_connections(warehouse):
        for call_id in received_call_ids(warehouse):
            connection.sendall(encode_resp(call_id, b"HIT", b"pages=%d" % PAGES, pages[0]))
            for number in range(1, PAGES):
                connection.sendall(encode_resp(call_id, b"PART", b"page=%d" % number, pages[number]))


def test_slow_reader_receives_its_complete_last_answer_during_shutdown() -> None:
    """Clients read nothing for a second, longer than a close waits for a client whose answer is written."""
    answer = encode_rows((",".join(["x" * 1900] * 3),) * PAGES)
    with running_stage(ThriftResp) as stage:
        connect_with_small_buffers(stage)
        send_requests(stage, request_class="report")
        slots = list(stage.server.listeners[0].slots)
        for slot in slots:
            slot.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        clients = clients_of(stage)
        unread = pause_reading(clients)
        stage.server.begin_shutdown()
        stage.wait(0.9)
        for name in WAREHOUSES:
            serve_in_pages(stage.actors[name], answer)
        stage.wait(0.1)
        assert all(slot.stream.queued_bytes for slot in slots), "the answers are to be stuck"
        stage.wait(1.0)
        resume_reading(clients, unread)
        for _ in range(200):
            stage.wait(0.01)
            if all(client.eof for client in clients):
                break
        for index, client in enumerate(clients):
            assert not client.was_reset
            assert client.received == thrift.encode_answer(b"invoke", index + 1, answer)


@pytest.mark.parametrize("path", PATHS)
def test_bytes_received_with_the_last_answer_do_not_cause_a_reset(path: Callable[[], Dialect]) -> None:
    """A client's next bytes cross the close while it has not read its answer yet."""
    with running_stage(path) as stage:
        serve_then_idle(stage)
        for name in WAREHOUSES:
            stage.actors[name].answer = None
        stage.server.begin_shutdown()
        stage.wait(0.7)
        for index in range(3):
            send_follow_up(stage, index, request_class="report")
        stage.wait(0.2)
        slots = list(stage.server.listeners[stage.dialect.listener_index].slots)
        assert len(slots) == 3
        clients = clients_of(stage)
        unread = pause_reading(clients)

        def send_more(index: int) -> None:
            with contextlib.suppress(OSError):
                unread[index].sendall(b"x" * 100)

        for index, slot in enumerate(slots):
            hooked = SocketWithShutdownHook(slot.stream.sock, partial(send_more, index))
            slot.stream.sock = hooked  # type: ignore[assignment]
        for name in WAREHOUSES:
            warehouse = stage.actors[name]
            for connection in open_connections(warehouse):
                connection.sendall(stage.dialect.answers(warehouse.received))
        stage.wait(0.1)
        # Longer than a close waits for a client.
        stage.wait(1.0)
        resume_reading(clients, unread)
        stage.until(lambda: all(client.eof for client in clients), "the ends of the connections")
        for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True):
            assert is_served(stage, client, tag), stage.actors[client].received
