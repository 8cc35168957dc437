"""Duplicate and partial messages on the connections to warehouses."""

from __future__ import annotations

import contextlib

import pytest
from crossing_harness import STATEMENT, WAREHOUSES, running_harness
from play import Harness, ThriftResp

LOAD_STATEMENT = "insert into sales_2.orders select 1"


def serve_first_request(harness: Harness) -> None:
    """Serve a request, so that the connection to the warehouse is idle."""
    harness.step("C1", "ask", f"a lookup 4000 {STATEMENT}")
    harness.step("W1", "asked", f"a 3988 {STATEMENT}")
    harness.step("W1", "serves", "a 1,2,3")
    harness.step("C1", "served", "a 1,2,3")


@pytest.mark.parametrize("partial_message", [b"*4\r\n$16\r\nffff", b"*", b"HTTP/1.1 200"])
@pytest.mark.parametrize("is_read", [False, True], ids=["not read yet", "read"])
def test_partial_message_on_an_idle_connection_does_not_corrupt_an_answer(
    partial_message: bytes, is_read: bool
) -> None:
    with running_harness(ThriftResp, engines=1) as harness:
        warehouse = harness.actors["W1"]
        warehouse.reads_all_connections = False
        serve_first_request(harness)
        idle = warehouse.connection
        assert idle is not None
        idle.sendall(partial_message)
        if is_read:
            harness.turn()
        for client, tag in (("C2", "b"), ("C3", "c"), ("C4", "d")):
            harness.step(client, "ask", f"{tag} lookup 4000 {STATEMENT}")
            harness.until(lambda: warehouse.received != b"", "the request")
            assert warehouse.connection is not idle
            harness.step("W1", "asked", f"{tag} 3988 {STATEMENT}")
            harness.step("W1", "serves", f"{tag} 4,5,6")
            harness.step(client, "served", f"{tag} 4,5,6")


@pytest.mark.parametrize("tag", ["a", "b", "c"])
def test_late_duplicate_rejection_does_not_end_the_next_attempt(tag: str) -> None:
    """The warehouse rejects a load twice. The duplicate arrives while the second attempt is open."""
    with running_harness(ThriftResp, engines=1) as harness:
        warehouse = harness.actors["W1"]
        warehouse.reads_all_connections = False
        harness.step("C1", "ask", f"{tag} load 20000 {LOAD_STATEMENT}")
        harness.step("W1", "asked", f"{tag} 19988 {LOAD_STATEMENT}")
        first = warehouse.connection
        assert first is not None
        harness.step("W1", "sheds", tag)
        harness.wait(0.06)
        harness.until(lambda: warehouse.received != b"", "the second attempt")
        warehouse.received = b""
        with contextlib.suppress(OSError):
            first.sendall(ThriftResp().sheds(tag))
        harness.wait(0.3)
        assert warehouse.received == b"", "a third attempt was forwarded while the second is open"
        harness.step("W1", "serves", f"{tag} 4,5,6")
        harness.step("C1", "served", f"{tag} 4,5,6")


@pytest.mark.parametrize("tag", ["a", "b", "c"])
@pytest.mark.parametrize("verb", ["serves", "faults", "sheds"])
def test_late_duplicate_answer_does_not_end_an_attempt_at_another_engine(verb: str, tag: str) -> None:
    with running_harness(ThriftResp) as harness:
        warehouses = {name: harness.actors[name] for name in WAREHOUSES}
        for actor in warehouses.values():
            actor.reads_all_connections = False
        harness.step("C1", "ask", f"{tag} lookup 4000 {STATEMENT}")
        harness.until(lambda: any(actor.received for actor in warehouses.values()), "the first attempt")
        (first,) = [name for name, actor in warehouses.items() if actor.received]
        (second,) = set(warehouses) - {first}
        warehouses[first].received = b""
        harness.step(first, "faults", tag)
        harness.until(lambda: warehouses[second].received != b"", "the second attempt")
        warehouses[second].received = b""
        harness.step(first, verb, f"{tag} 7,8,9" if verb == "serves" else tag)
        harness.wait(0.02)
        assert not any(actor.received for actor in warehouses.values())
        assert not harness.actors["C1"].received
        harness.step(second, "serves", f"{tag} 4,5,6")
        harness.step("C1", "served", f"{tag} 4,5,6")
