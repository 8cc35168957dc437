"""All valid forms of messages, each sent at once and byte by byte, and clients that write slowly."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from play import Actor, Dialect, Harness, Http, ThriftResp, encode_resp

from lilacfront.protocols import thrift

STATEMENT = b"select x from sales_17.orders"
LONG_COMMENT = "\u00e9".encode() * 30_000
# Type ids of the Thrift binary protocol, and the version and type of a strict call.
BOOL, I64, STRING, STRUCT, MAP, LIST = 2, 10, 11, 12, 13, 15
STRICT_CALL = 0x80010001
# Messages up to this size are sent byte by byte, longer ones in pieces.
MAX_BYTEWISE_BYTES = 1000
PIECE_BYTES = 997
SPLIT_MODES = pytest.mark.parametrize("split", [False, True], ids=["whole", "bytewise"])


@contextmanager
def answering_stage(path: Callable[[], Dialect] = ThriftResp, **changes: Any) -> Iterator[Harness]:
    """Yield a stage whose warehouses answer immediately."""
    stage = Harness(path(), **changes)
    for name in ("W1", "W2"):
        stage.actors[name].reads_all_connections = True
        stage.actors[name].answer = stage.dialect.answers
    try:
        yield stage
    finally:
        stage.close()


def encode_string(data: bytes) -> bytes:
    """Encode a Thrift string: its length and its bytes."""
    return struct.pack(">i", len(data)) + data


def encode_field(field_type: int, number: int, value: bytes) -> bytes:
    """Encode a field of a Thrift struct."""
    return struct.pack(">bh", field_type, number) + value


def encode_fields(pairs: list[tuple[bytes, bytes]]) -> bytes:
    """Encode the map of a request's fields in the order of the pairs."""
    entries = b"".join(encode_string(key) + encode_string(value) for key, value in pairs)
    return encode_field(MAP, 1, struct.pack(">bbi", STRING, STRING, len(pairs)) + entries)


def encode_call(number: int, *fields: bytes) -> bytes:
    """Encode a framed call of `invoke` with these arguments."""
    head = struct.pack(">I", STRICT_CALL) + encode_string(b"invoke") + struct.pack(">i", number)
    return encode_string(head + b"".join(fields) + b"\0")


def request_fields(number: int, **changes: bytes) -> list[tuple[bytes, bytes]]:
    """Return the fields of a `lookup` request."""
    fields = {"op": b"lookup", "call": b"%016x" % number, "ttl": b"4000"} | changes
    return [(key.encode(), value) for key, value in fields.items()]


def expect_answer(stage: Harness, client: Actor, number: int, rows: bytes) -> None:
    """Check that the client receives exactly this answer."""
    expected = thrift.encode_answer(b"invoke", number, rows)
    stage.until(lambda: len(client.received) >= len(expected), "the answer")
    assert client.received == expected
    client.received = b""


STATEMENT_FIELD = encode_field(STRING, 2, encode_string(STATEMENT))
UNKNOWN_FIELD = encode_field(
    STRUCT,
    9,
    encode_field(LIST, 1, bytes((I64,)) + struct.pack(">iq", 1, 7)) + encode_field(BOOL, 2, b"\1") + b"\0",
)
REQUESTS: dict[str, Callable[[int], bytes]] = {
    "common form": lambda number: encode_call(number, encode_fields(request_fields(number)), STATEMENT_FIELD),
    "body before fields": lambda number: encode_call(
        number, STATEMENT_FIELD, encode_fields(request_fields(number))
    ),
    "fields in another order": lambda number: encode_call(
        number, encode_fields(request_fields(number)[::-1]), STATEMENT_FIELD
    ),
    "unknown field": lambda number: encode_call(
        number, encode_fields(request_fields(number, later=b"x" * 200)), STATEMENT_FIELD
    ),
    "unknown arguments": lambda number: encode_call(
        number,
        UNKNOWN_FIELD,
        encode_fields(request_fields(number)),
        UNKNOWN_FIELD,
        STATEMENT_FIELD,
        UNKNOWN_FIELD,
    ),
    "id in upper case": lambda number: encode_call(
        number, encode_fields(request_fields(number, call=b"ABCDEF%010X" % number)), STATEMENT_FIELD
    ),
    "no ttl": lambda number: encode_call(number, encode_fields(request_fields(number)[:2]), STATEMENT_FIELD),
    "shortest feasible ttl": lambda number: encode_call(
        number, encode_fields(request_fields(number, ttl=b"100")), STATEMENT_FIELD
    ),
    "long statement": lambda number: encode_call(
        number,
        encode_fields(request_fields(number)),
        encode_field(STRING, 2, encode_string(STATEMENT + b" -- " + LONG_COMMENT)),
    ),
    "abort of an unknown request before it": lambda number: (
        thrift.encode_abort(900 + number)
        + encode_call(number, encode_fields(request_fields(number)), STATEMENT_FIELD)
    ),
}
ROW = b"1\t2\t3\n"
FULL_PAGE = (b"x" * 95 + b"\t\t\n") * 61
ANSWERS: dict[str, Callable[[bytes], bytes]] = {
    "common form": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1,rep=inflight:3;util:0.5", ROW),
    "fields in another order": lambda call_id: encode_resp(
        call_id, b"HIT", b"rep=util:0.5;inflight:3,pages=1", ROW
    ),
    "unknown field": lambda call_id: encode_resp(call_id, b"HIT", b"later=9,pages=1", ROW),
    "empty load report": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1,rep=", ROW),
    "INFO without fields before it": lambda call_id: (
        encode_resp(call_id, b"INFO", b"-", b"") + encode_resp(call_id, b"HIT", b"pages=1", ROW)
    ),
    "all kinds of INFO before it": lambda call_id: (
        b"".join(
            encode_resp(call_id, b"INFO", b"why=%s,v=%s" % reason_and_value, b"")
            for reason_and_value in ((b"so_far", b"0.25"), (b"lacking", b"512"), (b"waiting", b"1"))
        )
        + encode_resp(call_id, b"HIT", b"pages=1", ROW)
    ),
    "two pages, the second unrequested": lambda call_id: (
        encode_resp(call_id, b"HIT", b"pages=2", ROW) + encode_resp(call_id, b"PART", b"page=1", ROW)
    ),
    "page with a load report": lambda call_id: (
        encode_resp(call_id, b"HIT", b"pages=2", ROW)
        + encode_resp(call_id, b"PART", b"rep=inflight:1;util:0.1,page=1", ROW)
    ),
    "no rows": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1", b""),
    "page of the maximum size": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1", FULL_PAGE),
}
# The rows that the client must receive; `ROW` for all other forms.
EXPECTED_ROWS = {
    "two pages, the second unrequested": ROW * 2,
    "page with a load report": ROW * 2,
    "no rows": b"",
    "page of the maximum size": FULL_PAGE,
}


def split_request(data: bytes) -> list[bytes]:
    """Split a message into single bytes, or into larger pieces if it is long."""
    size = 1 if len(data) < MAX_BYTEWISE_BYTES else PIECE_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]


def send_pieces(stage: Harness, client: Actor, pieces: list[bytes]) -> None:
    """Send the pieces, with one turn of the server's loop after each."""
    assert client.connection is not None
    for piece in pieces:
        client.connection.setblocking(True)
        client.connection.sendall(piece)
        client.connection.setblocking(False)
        stage.server.loop.turn(0)


@SPLIT_MODES
@pytest.mark.parametrize("form", REQUESTS)
def test_request_of_any_valid_form_is_served(form: str, split: bool) -> None:
    with answering_stage() as stage:
        stage.step("C1", ">", "")
        client = stage.actors["C1"]
        for number in (1, 2, 3):
            request = REQUESTS[form](number)
            send_pieces(stage, client, split_request(request) if split else [request])
            expect_answer(stage, client, number, ROW)


@SPLIT_MODES
@pytest.mark.parametrize("form", ANSWERS)
def test_answer_of_any_valid_form_is_forwarded_unchanged(form: str, split: bool) -> None:
    with answering_stage(split=split) as stage:
        warehouses = [stage.actors[name] for name in ("W1", "W2")]
        for actor in warehouses:
            actor.answer = None
            actor.reads_all_connections = False
        stage.step("C1", ">", "")
        client = stage.actors["C1"]
        for number in (1, 2, 3):
            stage.send(client, REQUESTS["common form"](number))
            stage.until(lambda: any(b"lane=" in actor.received for actor in warehouses), "the attempt")
            (warehouse,) = [actor for actor in warehouses if b"lane=" in actor.received]
            warehouse.received = b""
            stage.send(warehouse, ANSWERS[form](b"%016x" % number))
            expect_answer(stage, client, number, EXPECTED_ROWS.get(form, ROW))
            warehouse.received = b""


@pytest.mark.parametrize("path", [ThriftResp, Http])
def test_clients_that_write_for_two_seconds_are_served(path: Callable[[], Dialect]) -> None:
    """Thrift clients pause within a message, HTTP clients within a body after a complete head."""
    clients = ("C1", "C2", "C3")
    tags = "abc"
    with answering_stage(path) as stage:
        first_parts = []
        last_parts = []
        for client, tag in zip(clients, tags, strict=True):
            stage.step(client, ">", "")
            request = stage.dialect.ask(tag, "lookup", "4000", *STATEMENT.decode().split())
            cut = 4 if path is ThriftResp else request.index(b"\r\n\r\n") + 4
            first_parts.append(request[:cut])
            last_parts.append(request[cut:])
        for client, start in zip(clients, first_parts, strict=True):
            stage.send(stage.actors[client], start)
        for step in range(10):
            stage.wait(0.2)
            for client, rest in zip(clients, last_parts, strict=True):
                size = -(-len(rest) // 10)
                stage.send(stage.actors[client], rest[step * size : (step + 1) * size])
        for client, tag in zip(clients, tags, strict=True):
            stage.step(client, "served", f"{tag} 1,2,3")
