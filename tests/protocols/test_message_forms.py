"""Every form that the protocols allow a message to have, sent at once and byte by byte, and slow writers."""

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
# Of the Thrift binary protocol.
BOOL, I64, STRING, STRUCT, MAP, LIST = 2, 10, 11, 12, 13, 15
STRICT_CALL = 0x80010001
# Messages up to this size are sent byte by byte, longer ones in pieces.
MAX_BYTEWISE_BYTES = 1000
PIECE_BYTES = 997
SENDS = pytest.mark.parametrize("split", [False, True], ids=["whole", "bytewise"])


@contextmanager
def answering_stage(path: Callable[[], Dialect] = ThriftResp, **changes: Any) -> Iterator[Harness]:
    """A stage whose warehouses answer at once."""
    stage = Harness(path(), **changes)
    for name in ("W1", "W2"):
        stage.actors[name].reads_all_connections = True
        stage.actors[name].answer = stage.dialect.answers
    try:
        yield stage
    finally:
        stage.close()


def encode_string(data: bytes) -> bytes:
    """A length and the bytes."""
    return struct.pack(">i", len(data)) + data


def encode_field(field_type: int, number: int, value: bytes) -> bytes:
    """A field of a Thrift struct."""
    return struct.pack(">bh", field_type, number) + value


def encode_fields(pairs: list[tuple[bytes, bytes]]) -> bytes:
    """The map of a request's fields, in the order of the pairs."""
    entries = b"".join(encode_string(key) + encode_string(value) for key, value in pairs)
    return encode_field(MAP, 1, struct.pack(">bbi", STRING, STRING, len(pairs)) + entries)


def encode_call(number: int, *fields: bytes) -> bytes:
    """A framed call of `invoke` with these fields."""
    head = struct.pack(">I", STRICT_CALL) + encode_string(b"invoke") + struct.pack(">i", number)
    return encode_string(head + b"".join(fields) + b"\0")


def request_fields(number: int, **changes: bytes) -> list[tuple[bytes, bytes]]:
    """A lookup's fields."""
    fields = {"op": b"lookup", "call": b"%016x" % number, "ttl": b"4000"} | changes
    return [(key.encode(), value) for key, value in fields.items()]


def expect_answer(stage: Harness, client: Actor, number: int, rows: bytes) -> None:
    """The client must receive exactly this answer."""
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
    "as usual": lambda n: encode_call(n, encode_fields(request_fields(n)), STATEMENT_FIELD),
    "the body first": lambda n: encode_call(n, STATEMENT_FIELD, encode_fields(request_fields(n))),
    "fields in another order": lambda n: encode_call(
        n, encode_fields(request_fields(n)[::-1]), STATEMENT_FIELD
    ),
    "a field that is not known": lambda n: encode_call(
        n, encode_fields(request_fields(n, later=b"x" * 200)), STATEMENT_FIELD
    ),
    "arguments that are not known": lambda n: encode_call(
        n, UNKNOWN_FIELD, encode_fields(request_fields(n)), UNKNOWN_FIELD, STATEMENT_FIELD, UNKNOWN_FIELD
    ),
    "an id in capitals": lambda n: encode_call(
        n, encode_fields(request_fields(n, call=b"ABCDEF%010X" % n)), STATEMENT_FIELD
    ),
    "no ttl": lambda n: encode_call(n, encode_fields(request_fields(n)[:2]), STATEMENT_FIELD),
    "the shortest ttl that can be met": lambda n: encode_call(
        n, encode_fields(request_fields(n, ttl=b"100")), STATEMENT_FIELD
    ),
    "a statement of many bytes": lambda n: encode_call(
        n,
        encode_fields(request_fields(n)),
        encode_field(STRING, 2, encode_string(STATEMENT + b" -- " + LONG_COMMENT)),
    ),
    "a ping and an abort of nothing before it": lambda n: (
        thrift.encode_abort(900 + n) + encode_call(n, encode_fields(request_fields(n)), STATEMENT_FIELD)
    ),
}
ROW = b"1\t2\t3\n"
FULL_PAGE = (b"x" * 95 + b"\t\t\n") * 61
ANSWERS: dict[str, Callable[[bytes], bytes]] = {
    "as usual": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1,rep=inflight:3;util:0.5", ROW),
    "fields in another order": lambda call_id: encode_resp(
        call_id, b"HIT", b"rep=util:0.5;inflight:3,pages=1", ROW
    ),
    "a field that is not known": lambda call_id: encode_resp(call_id, b"HIT", b"later=9,pages=1", ROW),
    "a report that is empty": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1,rep=", ROW),
    "word of nothing before it": lambda call_id: (
        encode_resp(call_id, b"INFO", b"-", b"") + encode_resp(call_id, b"HIT", b"pages=1", ROW)
    ),
    "notes of all kinds before it": lambda call_id: (
        b"".join(
            encode_resp(call_id, b"INFO", b"why=%s,v=%s" % note, b"")
            for note in ((b"so_far", b"0.25"), (b"lacking", b"512"), (b"waiting", b"1"))
        )
        + encode_resp(call_id, b"HIT", b"pages=1", ROW)
    ),
    "two pages, the second with the first": lambda call_id: (
        encode_resp(call_id, b"HIT", b"pages=2", ROW) + encode_resp(call_id, b"PART", b"page=1", ROW)
    ),
    "a page with a report": lambda call_id: (
        encode_resp(call_id, b"HIT", b"pages=2", ROW)
        + encode_resp(call_id, b"PART", b"rep=inflight:1;util:0.1,page=1", ROW)
    ),
    "no rows": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1", b""),
    "a page of its most bytes": lambda call_id: encode_resp(call_id, b"HIT", b"pages=1", FULL_PAGE),
}
# The rows that the client must receive; one row for all other forms.
EXPECTED_ROWS = {
    "two pages, the second with the first": ROW * 2,
    "a page with a report": ROW * 2,
    "no rows": b"",
    "a page of its most bytes": FULL_PAGE,
}


def split_request(data: bytes) -> list[bytes]:
    """The bytes one by one as far as a frame's lengths and heads reach; a long message in pieces."""
    size = 1 if len(data) < MAX_BYTEWISE_BYTES else PIECE_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]


def send_pieces(stage: Harness, client: Actor, pieces: list[bytes]) -> None:
    """Send the pieces, with one turn of the program's loop after each."""
    assert client.connection is not None
    for piece in pieces:
        client.connection.setblocking(True)
        client.connection.sendall(piece)
        client.connection.setblocking(False)
        stage.server.loop.turn(0)


@SENDS
@pytest.mark.parametrize("form", REQUESTS)
def test_request_of_any_form_is_served(form: str, split: bool) -> None:
    with answering_stage() as stage:
        stage.step("C1", ">", "")
        client = stage.actors["C1"]
        for number in (1, 2, 3):
            request = REQUESTS[form](number)
            send_pieces(stage, client, split_request(request) if split else [request])
            expect_answer(stage, client, number, ROW)


@SENDS
@pytest.mark.parametrize("form", ANSWERS)
def test_answer_of_any_form_is_forwarded_unchanged(form: str, split: bool) -> None:
    with answering_stage(split=split) as stage:
        warehouses = [stage.actors[name] for name in ("W1", "W2")]
        for actor in warehouses:
            actor.answer = None
            actor.reads_all_connections = False
        stage.step("C1", ">", "")
        client = stage.actors["C1"]
        for number in (1, 2, 3):
            stage.send(client, REQUESTS["as usual"](number))
            stage.until(lambda: any(b"lane=" in actor.received for actor in warehouses), "the attempt")
            (warehouse,) = [actor for actor in warehouses if b"lane=" in actor.received]
            warehouse.received = b""
            stage.send(warehouse, ANSWERS[form](b"%016x" % number))
            expect_answer(stage, client, number, EXPECTED_ROWS.get(form, ROW))
            warehouse.received = b""


@pytest.mark.parametrize("path", [ThriftResp, Http])
def test_clients_that_write_for_two_seconds_are_served(path: Callable[[], Dialect]) -> None:
    """Thrift clients write slowly within a message, HTTP clients within a body whose head is complete."""
    clients = ("C1", "C2", "C3")
    tags = "abc"
    with answering_stage(path) as stage:
        starts = []
        rests = []
        for client, tag in zip(clients, tags, strict=True):
            stage.step(client, ">", "")
            request = stage.dialect.ask(tag, "lookup", "4000", *STATEMENT.decode().split())
            cut = 4 if path is ThriftResp else request.index(b"\r\n\r\n") + 4
            starts.append(request[:cut])
            rests.append(request[cut:])
        for client, start in zip(clients, starts, strict=True):
            stage.send(stage.actors[client], start)
        for step in range(10):
            stage.wait(0.2)
            for client, rest in zip(clients, rests, strict=True):
                size = -(-len(rest) // 10)
                stage.send(stage.actors[client], rest[step * size : (step + 1) * size])
        for client, tag in zip(clients, tags, strict=True):
            stage.step(client, "served", f"{tag} 1,2,3")
