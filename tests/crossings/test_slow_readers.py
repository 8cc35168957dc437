"""Clients that read slowly, with more final answers queued for them than the memory allows."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable

import pytest
from crossing_harness import (
    BUFFER_BYTES,
    PATHS,
    STATEMENT,
    WAREHOUSES,
    connect_reader,
    invoke_lookup,
    pause_reading,
    resume_reading,
    running_harness,
)
from play import SETTINGS, Actor, Dialect, Harness, Http, ThriftResp
from play.thrift_resp import encode_resp

from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.transfer_messages import AnswerReady, ConnectionPassed
from lilacfront.protocols import thrift

LIMITS = {"cores": 1.0, "memory_mb": 1, "sockets": 256}
MAX_QUEUED_BYTES = (1 << 20) // 8
CAPACITY = {"extra": {**SETTINGS["extra"], "cpu-of-kind": [1000]}}
READERS = [f"R{number}" for number in range(8)]
REQUEST_COUNT = 8  # of each client
REQUESTS_PER_TURN = 20
SHORT_ROW = "x" * 800
MAX_BACKOFFS = 10
UNREADABLE_MESSAGE = b"\x00\x00\x00\x04\xff\xff\xff\xff"
ROWS = ("x" * 100,) * 400
ROW_OF_A_PAGE = b"\t".join([b"x" * 1800] * 3) + b"\n"  # a page holds up to 6,000 bytes


def long_answers(dialect: Dialect) -> Callable[[bytes], bytes]:
    """A warehouse's function that answers each request with as many rows as fit one part of an answer."""
    if isinstance(dialect, Http):
        return lambda data: b"".join(
            dialect.serves(tag.decode(), *ROWS) for tag in re.findall(rb"query_id=(\w+)", data)
        )
    return lambda data: b"".join(
        encode_resp(call_id, b"HIT", b"pages=1", ROW_OF_A_PAGE)
        for call_id in re.findall(rb"\$2\r\ndo\r\n\$16\r\n(.{16})\r\n", data)
    )


def encode_request(
    dialect: Dialect, client: int, request: int, class_name: str = "lookup", time_left_ms: int = 4000
) -> bytes:
    """Encode a request whose id no other request has."""
    if isinstance(dialect, Http):
        return dialect.ask(f"c{client}r{request}", class_name, str(time_left_ms), *STATEMENT.split())
    fields = {
        b"op": class_name.encode(),
        b"call": b"%08x%08x" % (client, request),
        b"ttl": b"%d" % time_left_ms,
    }
    return thrift.encode_invoke(request + 1, fields, STATEMENT.encode())


def answer_count(harness: Harness, reader: Actor) -> int:
    return reader.received.count(b"HTTP/1.1 " if isinstance(harness.dialect, Http) else b"\x06invoke")


def is_answered_in_full(harness: Harness, reader: Actor) -> bool:
    """Whether the last answer has been received to its end."""
    if isinstance(harness.dialect, Http):
        return reader.received.endswith(b"x\t2\t3\n") or reader.received.endswith(ROWS[-1].encode() + b"\n")
    return answer_count(harness, reader) == 3 and reader.received.count(ROW_OF_A_PAGE) == 3


@pytest.mark.parametrize("path", PATHS)
def test_final_answers_of_slow_readers_are_not_dropped_for_memory(path: Callable[[], Dialect]) -> None:
    """Guards against a connection with queued answers that is closed as others use up the memory.

    What no longer fits is answered by a short failure.
    """
    with running_harness(path, limits=LIMITS, settings=CAPACITY) as harness:
        for name in WAREHOUSES:
            harness.actors[name].answer = long_answers(harness.dialect)
        readers = [connect_reader(harness, name) for name in READERS]
        unread = pause_reading(readers)
        for request in range(REQUEST_COUNT):
            for number, connection in enumerate(unread):
                connection.sendall(encode_request(harness.dialect, number, request))
            harness.wait(0.05)
        queued_bytes = harness.server.loop.send_budget.queued_bytes
        resume_reading(readers, unread)
        harness.until(
            lambda: all(answer_count(harness, reader) == REQUEST_COUNT for reader in readers),
            f"all answers, got {[answer_count(harness, reader) for reader in readers]}",
        )
        assert not any(reader.eof or reader.was_reset for reader in readers)
        assert MAX_QUEUED_BYTES < queued_bytes < 5 * MAX_QUEUED_BYTES


def short_answers(dialect: Dialect) -> Callable[[bytes], bytes]:
    """A warehouse's function that answers each request with `SHORT_ROW`."""
    if isinstance(dialect, Http):
        return lambda data: b"".join(
            dialect.serves(tag.decode(), SHORT_ROW) for tag in re.findall(rb"query_id=(\w+)", data)
        )
    return lambda data: b"".join(
        encode_resp(call_id, b"HIT", b"pages=1", SHORT_ROW.encode() + b"\t2\t3\n")
        for call_id in re.findall(rb"\$2\r\ndo\r\n\$16\r\n(.{16})\r\n", data)
    )


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("memory_mb", "reader_count", "request_count"),
    [pytest.param(192, 1, 3000, id="one client"), pytest.param(4, 8, 360, id="all clients")],
)
def test_short_answers_that_nobody_reads_are_not_dropped(
    path: Callable[[], Dialect], memory_mb: int, reader_count: int, request_count: int
) -> None:
    """Guards against answers that are dropped as the queue of one client, or of all of them, is full.

    No more requests are read from a client that is so far behind.
    """
    limits = {**LIMITS, "memory_mb": memory_mb}
    with running_harness(path, limits=limits, settings=CAPACITY) as harness:
        for name in WAREHOUSES:
            harness.actors[name].answer = short_answers(harness.dialect)
        readers = [connect_reader(harness, f"R{number}") for number in range(reader_count)]
        unread = pause_reading(readers)
        for request in range(request_count):
            for number, connection in enumerate(unread):
                connection.sendall(encode_request(harness.dialect, number, request))
            if not request % REQUESTS_PER_TURN:
                harness.turn()
        harness.wait(1.0)
        resume_reading(readers, unread)
        # Requests beyond the limit of open requests are answered with growing delays.
        for _ in range(MAX_BACKOFFS):
            harness.until(lambda: not harness.server.loop.send_budget.queued_bytes, "the queued answers")
            if all(answer_count(harness, reader) == request_count for reader in readers):
                break
            harness.wait(1.0)
        assert [answer_count(harness, reader) for reader in readers] == [request_count] * reader_count


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("pause_s", [4.0, 6.0, 12.0, 19.0])
@pytest.mark.parametrize("is_shutdown", [False, True], ids=["served", "shutdown"])
def test_final_answer_waits_for_a_client_that_pauses(
    path: Callable[[], Dialect], pause_s: float, is_shutdown: bool
) -> None:
    """Guards against an answer that is dropped after 5 s without progress, though its client still waits.

    In the cases with a shutdown, the connection is closed after the answer, which was queued before.
    """
    with running_harness(path, settings=CAPACITY) as harness:
        for name in WAREHOUSES:
            harness.actors[name].answer = long_answers(harness.dialect)
        reader = connect_reader(harness, "R0")
        unread = pause_reading([reader])
        for request in range(3 if isinstance(harness.dialect, ThriftResp) else 1):
            unread[0].sendall(encode_request(harness.dialect, 0, request, "report", 20_000))
            harness.wait(0.05)
        assert harness.server.loop.send_budget.queued_bytes
        if is_shutdown:
            harness.server.begin_shutdown()
        harness.wait(pause_s)
        resume_reading([reader], unread)
        harness.until(
            lambda: is_answered_in_full(harness, reader), f"the answers, got {reader.received[-40:]!r}"
        )


def send_rejected_request(harness: Harness, connection: socket.socket) -> bytes:
    """Send a request that is rejected before it is parsed in full; returns a part of its answer."""
    if isinstance(harness.dialect, Http):
        connection.sendall(b"POST /?session_id=one HTTP/1.1\r\nHost: gate\r\nContent-Length: 0\r\n\r\n")
        return b"HTTP/1.1 501 "
    connection.sendall(thrift.encode_invoke(8, {b"op": b"none", b"call": b"8" * 16}, b"select 1"))
    harness.wait(0.01)
    # This request is deferred, since the one before was invalid, and rejected for what follows it.
    connection.sendall(invoke_lookup(9) + UNREADABLE_MESSAGE)
    return thrift.encode_shed(9, {b"pushback": b"100"})


def connect_elsewhere(reader: Actor) -> int:
    """Connect a client to another process; returns the descriptor that this process has of it."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connection.connect(listener.getsockname())
        accepted, _ = listener.accept()
    reader.use_connection(connection)
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    return accepted.detach()


@pytest.mark.parametrize("path", PATHS)
def test_answer_without_a_known_deadline_waits_for_a_client_that_pauses(path: Callable[[], Dialect]) -> None:
    """Guards against answers to requests that were not parsed, which are dropped after 5 s.

    The answer that is queued before it is to a request whose client has given up meanwhile.
    """
    with running_harness(path, settings=CAPACITY) as harness:
        for name in WAREHOUSES:
            harness.actors[name].answer = long_answers(harness.dialect)
        reader = connect_reader(harness, "R0")
        unread = pause_reading([reader])
        for request in range(3 if isinstance(harness.dialect, ThriftResp) else 1):
            unread[0].sendall(encode_request(harness.dialect, 0, request, time_left_ms=1000))
            harness.wait(0.05)
        assert harness.server.loop.send_budget.queued_bytes
        answer = send_rejected_request(harness, unread[0])
        harness.wait(8.0)
        resume_reading([reader], unread)
        harness.until(lambda: answer in reader.received or reader.eof, "the answer to the last request")
        assert answer in reader.received


def test_answer_from_another_process_waits_for_a_client_that_pauses() -> None:
    """Guards against answers to requests that a predecessor serves, which are dropped after 5 s."""
    with running_harness(ThriftResp, settings=CAPACITY) as harness:
        reader = Actor(False)
        harness.actors["R0"] = reader
        descriptor = connect_elsewhere(reader)
        unread = pause_reading([reader])
        frontend = harness.server.platform_frontend
        near, far = socket.socketpair()
        channel = TransferChannel(harness.server.loop, near, harness.server.operations.group)
        frontend.on_message(channel, ConnectionPassed(1, b"", ((7, b"a" * 16),), True), descriptor)
        harness.turn()
        answer = thrift.encode_answer(b"invoke", 7, b"x" * 40_000)
        frontend.on_message(channel, AnswerReady(1, 7, answer), None)
        harness.wait(8.0)
        resume_reading([reader], unread)
        harness.until(lambda: reader.received == answer or reader.eof, "the answer")
        assert reader.received == answer
        channel.close()
        far.close()


@pytest.mark.parametrize("path", PATHS)
def test_client_that_pauses_beyond_its_deadline_is_disconnected(path: Callable[[], Dialect]) -> None:
    """Guards against answers that stay in memory for ever, though their client has given up."""
    with running_harness(path, settings=CAPACITY) as harness:
        for name in WAREHOUSES:
            harness.actors[name].answer = long_answers(harness.dialect)
        reader = connect_reader(harness, "R0")
        unread = pause_reading([reader])
        for request in range(3 if isinstance(harness.dialect, ThriftResp) else 1):
            unread[0].sendall(encode_request(harness.dialect, 0, request, "report", 20_000))
            harness.wait(0.05)
        assert harness.server.loop.send_budget.queued_bytes
        harness.wait(20.1)
        assert not harness.server.loop.send_budget.queued_bytes
        resume_reading([reader], unread)
