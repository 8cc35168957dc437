"""Several changes of one warehouse arrive in one message of the source."""

from __future__ import annotations

import json
from typing import Any

import pytest
from crossing_harness import answer_at_once, invoke_lookup, running_harness
from play import Etcd, Harness, ThriftResp

from lilacfront.protocols import thrift

LOOKUPS = 20


def attempts_at(harness: Harness, name: str) -> int:
    return harness.actors[name].received.count(b"$2\r\ndo\r\n")


def check_lookups(harness: Harness, is_sent_to_first: bool) -> None:
    """Send lookups; each must be served, and some or none of them by W1."""
    answer_at_once(harness)
    client = harness.connect_client("C1")
    for number in range(1, LOOKUPS + 1):
        harness.send(client, invoke_lookup(number))
        harness.wait(0.05)
    fault_bytes = len(thrift.encode_fault(1, {}))
    assert client.received.count(b"1\t2\t3\n") == LOOKUPS, client.received[: 2 * fault_bytes]
    assert bool(attempts_at(harness, "W1")) == is_sent_to_first


def change_log_event(entries: list[dict[str, Any]], reset: bool = False) -> bytes:
    return json.dumps({"seq": 2, "fleet": {"reset": reset, "instances": entries}}).encode() + b"\n"


@pytest.mark.parametrize(
    ("states", "is_sent_to_first"),
    [
        (["draining", "ready"], True),
        (["ready", "draining"], False),
        (["gone", "ready"], True),
        (["ready", "gone"], False),
        (["gone", "ready", "draining"], False),
    ],
)
def test_last_of_several_changes_in_one_event_holds(states: list[str], is_sent_to_first: bool) -> None:
    """Guards against a warehouse that is ready for the router and unknown to those who send (KeyError)."""
    with running_harness(ThriftResp) as harness:
        harness.step("L", "since", "1")
        entries = [harness.entry("W1", state) for state in states]
        harness.send(harness.actors["L"], change_log_event(entries))
        check_lookups(harness, is_sent_to_first)


def test_last_of_several_entries_in_a_whole_list_holds() -> None:
    """Guards against a list that names a warehouse twice and loses the ones that follow."""
    with running_harness(ThriftResp) as harness:
        harness.step("L", "since", "1")
        entries = [harness.entry("W1"), harness.entry("W1", "draining"), harness.entry("W2")]
        harness.send(harness.actors["L"], change_log_event(entries, reset=True))
        check_lookups(harness, is_sent_to_first=False)


def test_warehouse_that_returns_in_one_event_can_be_suspended_and_restored() -> None:
    """Guards against a warehouse whose address is forgotten, so that an operator's command fails."""
    with running_harness(ThriftResp, admin="127.0.0.1:0") as harness:
        harness.step("L", "since", "1")
        entries = [harness.entry("W1", state) for state in ("gone", "ready")]
        harness.send(harness.actors["L"], change_log_event(entries))
        instance_id = entries[0]["instanceId"].encode()
        assert harness.server.operations.handle_line(b"SUSPEND " + instance_id).ok
        assert harness.server.operations.handle_line(b"RESTORE " + instance_id).ok
        check_lookups(harness, is_sent_to_first=True)


def test_last_of_several_changes_in_one_etcd_response_holds() -> None:
    """Guards against the same with etcd, where a watch that goes on receives many changes at once."""
    with running_harness(Etcd) as harness:
        etcd = harness.actors["E"]
        dialect = harness.dialect
        assert isinstance(dialect, Etcd)
        harness.replay_exchange("E watches 0\nE !swap\nE ranges")
        harness.send(etcd, dialect.lists("5", "W1", "W2"))
        harness.replay_exchange("E !eof\nE !swap")
        harness.send(etcd, dialect.created("5") + dialect.changes("7", ["W1 draining", "W1 ready"]))
        check_lookups(harness, is_sent_to_first=True)
