"""Requests of one ordering key, received on several connections, run one at a time in the order received."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from crossing_harness import (
    CLIENTS,
    STATEMENT,
    WAREHOUSES,
    open_connections,
    received_call_ids,
    reset_warehouse_connections,
    running_harness,
)
from play import SETTINGS, TICK_S, Harness, ThriftResp, encode_resp

from lilacfront.core.answer_transit import ANSWER_TRANSIT_S, AnswerTransit
from lilacfront.protocols import thrift

KEY, OTHER_KEY = b"7f3a9c21e0b4d655", b"7f3a9c21e0b4d656"
WAIT_S = 0.1  # longer than an answer travels and than the interval of the router's step timer
ORDERED_LOAD = {"effect": "guarded", "repeat-window": 12_000_000, "in-order": True}


@contextmanager
def harness_with_ordered_loads(**changes: Any) -> Iterator[Harness]:
    """Start a front end whose class of loads keeps the order of each key."""
    *others, load = SETTINGS["classes"]
    settings = {"classes": [*others, {**load, **ORDERED_LOAD}]}
    with running_harness(ThriftResp, settings=settings, **changes) as harness:
        yield harness


def send_load(harness: Harness, client: str, number: int, key: bytes) -> None:
    """Send a load; the number is its sequence number and its call id."""
    fields = {b"op": b"load", b"call": b"%016x" % number, b"ttl": b"20000", b"row": key}
    actor = harness.actors.get(client) or harness.connect_client(client)
    harness.send(actor, thrift.encode_invoke(number, fields, STATEMENT.encode()))
    harness.turn()


def forwarded(harness: Harness) -> list[int]:
    """Numbers of the loads that have reached a warehouse, sorted."""
    call_ids = [call_id for name in WAREHOUSES for call_id in received_call_ids(harness.actors[name])]
    return sorted(int(call_id, 16) for call_id in call_ids)


def serve(harness: Harness, number: int) -> None:
    """Answer a load on the connection on which a warehouse received it, and wait for the client's answer."""
    call_id = b"%016x" % number
    for name in WAREHOUSES:
        if call_id in received_call_ids(harness.actors[name]):
            for connection in open_connections(harness.actors[name]):
                connection.sendall(encode_resp(call_id, b"HIT", b"pages=1", b"1\t2\t3\n"))
    answer = thrift.encode_answer(b"invoke", number, b"1\t2\t3\n")
    clients = [harness.actors[client] for client in CLIENTS if client in harness.actors]
    harness.until(
        lambda: any(answer in client.received for client in clients), f"the answer to load {number}"
    )
    harness.turn()


# review/3: loads of one key were sent while an earlier one was out, and applied in the wrong order.
def test_later_load_of_a_key_is_sent_only_after_the_answer_to_the_earlier_one() -> None:
    with harness_with_ordered_loads() as harness:
        send_load(harness, "C1", 1, KEY)
        send_load(harness, "C2", 2, KEY)
        send_load(harness, "C1", 3, KEY)
        assert forwarded(harness) == [1]
        serve(harness, 1)
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1, 2]
        serve(harness, 2)
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1, 2, 3]


# review/3: the next load reached its engine before the client had the answer to the earlier one.
def test_later_load_of_a_key_is_sent_once_the_answer_to_the_earlier_one_has_arrived() -> None:
    with harness_with_ordered_loads() as harness:
        send_load(harness, "C1", 1, KEY)
        send_load(harness, "C2", 2, KEY)
        serve(harness, 1)
        harness.wait(ANSWER_TRANSIT_S - TICK_S)
        send_load(harness, "C1", 3, OTHER_KEY)
        assert forwarded(harness) == [1, 3]
        harness.wait(2 * TICK_S)
        assert forwarded(harness) == [1, 2, 3]


# review/3: a load that waits for that time is withdrawn when its client aborts it.
def test_later_load_that_is_aborted_while_the_answer_travels_is_not_sent() -> None:
    with harness_with_ordered_loads() as harness:
        send_load(harness, "C1", 1, KEY)
        send_load(harness, "C2", 2, KEY)
        send_load(harness, "C3", 3, KEY)
        serve(harness, 1)
        harness.send(harness.actors["C2"], thrift.encode_abort(2))
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1, 3]


def test_keys_are_forgotten_once_their_answers_have_arrived() -> None:
    with harness_with_ordered_loads() as harness:
        transit = AnswerTransit(harness.server.loop)
        for key in range(1, 1_000):
            transit.record_answer(key)
        assert len(transit) == 999
        harness.wait(WAIT_S)
        transit.record_answer(1_000)
        assert len(transit) == 1


# review/3: the order holds for each key by itself, and loads without a key are not held back.
@pytest.mark.parametrize("key", [OTHER_KEY, b""])
def test_loads_of_other_keys_do_not_wait(key: bytes) -> None:
    with harness_with_ordered_loads() as harness:
        send_load(harness, "C1", 1, KEY)
        send_load(harness, "C2", 2, key)
        assert forwarded(harness) == [1, 2]


# review/3: a retry of the earlier load still goes before the later one.
def test_later_load_of_a_key_waits_for_the_retry_of_the_earlier_one() -> None:
    with harness_with_ordered_loads() as harness:
        send_load(harness, "C1", 1, KEY)
        send_load(harness, "C2", 2, KEY)
        reset_warehouse_connections(harness)
        harness.turn()
        harness.until(lambda: forwarded(harness) == [1, 1], "the retry of the first load")
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1, 1]
        serve(harness, 1)
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1, 1, 2]


# review/3: the next load is sent once the earlier one is cancelled at its warehouse, not before.
def test_later_load_of_a_key_is_sent_after_the_abort_of_the_earlier_one() -> None:
    with harness_with_ordered_loads() as harness:
        send_load(harness, "C1", 1, KEY)
        send_load(harness, "C2", 2, KEY)
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1]
        harness.send(harness.actors["C1"], thrift.encode_abort(1))
        harness.wait(WAIT_S)
        received = b"".join(harness.actors[name].received for name in WAREHOUSES)
        assert encode_resp(b"undo", b"%016x" % 1) in received
        assert forwarded(harness) == [1, 2]


TEAMS = """
default = "wide"
[[team]]
name = "narrow"
budget = 0.5
burst = 0.5
[[team]]
name = "wide"
[[rule]]
team = "narrow"
pattern = "narrow"
"""
REFILL_S = 0.5  # until the budget of the narrow team allows its second load
NARROW = b"insert into narrow select 1"


def send_team_load(harness: Harness, client: str, number: int, key: bytes, statement: bytes) -> None:
    fields = {b"op": b"load", b"call": b"%016x" % number, b"ttl": b"20000", b"row": key}
    actor = harness.actors.get(client) or harness.connect_client(client)
    harness.send(actor, thrift.encode_invoke(number, fields, statement))
    harness.turn()


def send_loads_of_two_teams(harness: Harness) -> None:
    """Send load 1 of another key, then loads 2 and 3 of one key, of which the second waits for its team."""
    send_team_load(harness, CLIENTS[0], 1, OTHER_KEY, NARROW)
    send_team_load(harness, CLIENTS[0], 2, KEY, NARROW)
    send_team_load(harness, CLIENTS[1], 3, KEY, b"insert into wide select 1")
    harness.wait(WAIT_S)
    assert forwarded(harness) == [1]


def test_keyed_loads_leave_the_queues_of_teams_in_order() -> None:
    """Guards against a load that overtakes an earlier one of its key, as its own team's queue is shorter."""
    with harness_with_ordered_loads(teams=TEAMS) as harness:
        send_loads_of_two_teams(harness)
        serve(harness, 1)
        harness.wait(REFILL_S)
        assert forwarded(harness) == [1, 2]
        serve(harness, 2)
        harness.wait(WAIT_S)
        assert forwarded(harness) == [1, 2, 3]


@pytest.mark.parametrize("abort", [2, 3])
def test_keyed_load_that_is_cancelled_in_its_queue_holds_nobody_back(abort: int) -> None:
    with harness_with_ordered_loads(teams=TEAMS) as harness:
        send_loads_of_two_teams(harness)
        client = harness.actors[CLIENTS[abort - 2]]
        harness.send(client, thrift.encode_abort(abort))
        serve(harness, 1)
        harness.wait(REFILL_S)
        assert forwarded(harness) == [1, 5 - abort]
