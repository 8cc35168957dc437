"""Large loads of HTTP clients that are being sent to warehouses, beside answers that clients read slowly."""

from __future__ import annotations

import socket

import pytest
from crossing_harness import (
    BUFFER_BYTES,
    STATEMENT,
    WAREHOUSES,
    connect_reader,
    open_connections,
    running_harness,
    send_all,
)
from play import SETTINGS, Actor, Harness, Http

MEMORY_MB = 8
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
CAPACITY = {"extra": {**SETTINGS["extra"], "cpu-of-kind": [1000]}}
MAX_QUEUED_BYTES = (MEMORY_MB << 20) // 8
LOAD_BYTES = 3 * MAX_QUEUED_BYTES
PART = b"x" * 50_000
LOAD_ROW = b"2026-12-04\tcrash report of a customer's program\n"
LOAD_ROWS = LOAD_BYTES // len(LOAD_ROW)


def request(tag: str, body: bytes) -> bytes:
    head = f"POST /?query_id={tag} HTTP/1.1\r\nHost: gate\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def load(tag: str) -> bytes:
    statement = b"INSERT INTO reports FORMAT TabSeparated\n"
    return request(tag, statement + LOAD_ROW * LOAD_ROWS)


def slow_down_warehouses(harness: Harness) -> None:
    """Let the warehouses accept few bytes at a time, so that most of a load is queued."""
    for name in WAREHOUSES:
        listener = harness.actors[name].listener
        assert listener is not None
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)


def speed_up_warehouses(harness: Harness) -> None:
    for name in WAREHOUSES:
        for connection in open_connections(harness.actors[name]):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * LOAD_BYTES)


def receiving_warehouse(harness: Harness, tag: str) -> Actor:
    """The warehouse that has received the head of a request."""
    query_id = f"query_id={tag}".encode()
    harness.until(lambda: any(query_id in harness.actors[name].received for name in WAREHOUSES), tag)
    return next(harness.actors[name] for name in WAREHOUSES if query_id in harness.actors[name].received)


def received_rows(harness: Harness) -> int:
    """The number of rows of loads that have reached warehouses, over all connections."""
    received = [data for name in WAREHOUSES for data in harness.actors[name].received_by_connection.values()]
    return sum(data.count(LOAD_ROW) for data in received)


def test_large_load_does_not_end_a_result_that_another_client_reads() -> None:
    """Guards against a streamed result that is cut as a load uses up the memory for queued bytes."""
    with running_harness(Http, limits=LIMITS, settings=CAPACITY) as harness:
        slow_down_warehouses(harness)
        reader = connect_reader(harness, "reader")
        harness.send(reader, request("report", STATEMENT.encode()))
        warehouse = receiving_warehouse(harness, "report")
        part = b"%x\r\n%s\r\n" % (len(PART), PART)
        head = b"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: report\r\nTransfer-Encoding: chunked\r\n\r\n"
        harness.send(warehouse, head + part)
        unread, reader.connection = reader.connection, None
        assert unread is not None
        harness.send(warehouse, part * 2)
        send_all(harness, harness.connect_client("loader"), load("load"))
        receiving_warehouse(harness, "load")
        reader.use_connection(unread)
        harness.send(warehouse, b"0\r\n\r\n")
        harness.until(lambda: reader.eof or reader.received.endswith(b"0\r\n\r\n"), "the end of the result")
        assert reader.received.endswith(b"0\r\n\r\n")
        assert reader.received.count(b"x") >= 3 * len(PART)


@pytest.mark.parametrize("load_count", [1, 2])
def test_loads_are_sent_whole_though_they_exceed_the_memory_for_answers(load_count: int) -> None:
    """Guards against loads that are cut while they are sent, though all bodies are within their limit."""
    with running_harness(Http, limits=LIMITS, settings=CAPACITY) as harness:
        slow_down_warehouses(harness)
        for number in range(load_count):
            send_all(harness, harness.connect_client(f"L{number}"), load(f"load{number}"))
            receiving_warehouse(harness, f"load{number}")
        speed_up_warehouses(harness)
        harness.until(lambda: received_rows(harness) == load_count * LOAD_ROWS, "all rows")
