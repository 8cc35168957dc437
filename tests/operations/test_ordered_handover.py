"""The order of keyed requests while a process replaces another one of the same front end."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from lilacfront.lab.test_bed import SETTINGS, FrontEndProcess, ProcessTestBed, wait_until
from lilacfront.lab.thrift_client import ThriftClient

KEY, OTHER_KEY = b"7f3a9c21e0b4d655", b"7f3a9c21e0b4d656"
FIRST, SECOND, OTHER = 1, 2, 3
STATUS_REQUESTS = 500
# The begin of a message of which so much has been received that its connection is not transferred.
LONG_PARTIAL_MESSAGE = (200_000).to_bytes(4, "big") + bytes(100_000)


def call_id(number: int) -> bytes:
    """The id of a request that the client sends with this number."""
    return b"%016x" % number


@pytest.fixture
def ordered_test_bed(tmp_path: Path) -> Iterator[ProcessTestBed]:
    """A test bed whose class of loads keeps the order of each key."""
    *others, load = SETTINGS["classes"]
    settings = {**SETTINGS, "classes": [*others, {**load, "in-order": True}]}
    processes = ProcessTestBed(tmp_path, settings=settings)
    try:
        yield processes
    finally:
        processes.close()


def start_load(test_bed: ProcessTestBed) -> tuple[ThriftClient, int]:
    """Send the first load and wait until a warehouse has it, which does not answer yet."""
    test_bed.suspend_answers()
    client = ThriftClient(test_bed.address)
    seqid = client.send_request(FIRST, "load", ordering_key=KEY)
    wait_until(lambda: call_id(FIRST) in test_bed.received(), "the first load at a warehouse")
    return client, seqid


def start_successor(test_bed: ProcessTestBed, old: FrontEndProcess) -> FrontEndProcess:
    """Start a second process, and wait until both know of each other."""
    new = test_bed.start().wait_until_ready()
    old.wait_for_log("front end processes changed", running=2)
    return new


# review/3, on a related path: both processes count as one front end, and the new one did not know the keys of
# the requests that the old one still served.
def test_new_process_sends_a_load_only_after_the_earlier_one_of_its_key_at_the_old_process(
    ordered_test_bed: ProcessTestBed,
) -> None:
    test_bed = ordered_test_bed
    old = test_bed.start().wait_until_ready()
    client, first = start_load(test_bed)
    new = start_successor(test_bed, old)
    old.signal(signal.SIGTERM)
    new.wait_for_log("client connections adopted", count=1)
    second = client.send_request(SECOND, "load", ordering_key=KEY)
    client.send_request(OTHER, "load", ordering_key=OTHER_KEY)
    wait_until(lambda: call_id(OTHER) in test_bed.received(), "the load of the other key at a warehouse")
    assert call_id(SECOND) not in test_bed.received()
    test_bed.resume_answers()
    assert client.is_served(first)
    assert client.is_served(second)
    received = test_bed.received()
    assert received.index(call_id(FIRST)) < received.index(call_id(SECOND))
    assert old.wait_until_ended() == 0


# review/7: the new process accepted clients beside the old one, which did not know of each other's keys.
def test_new_process_accepts_no_client_while_the_old_one_is_ready(ordered_test_bed: ProcessTestBed) -> None:
    test_bed = ordered_test_bed
    old = test_bed.start().wait_until_ready()
    client, first = start_load(test_bed)
    new = start_successor(test_bed, old)
    old.signal(signal.SIGSTOP)  # so that only the new process could accept
    other = ThriftClient(test_bed.address)
    second = other.send_request(SECOND, "load", ordering_key=KEY)
    for _ in range(STATUS_REQUESTS):  # the new process reacts to these after the connection
        assert new.admin_request("STATUS").startswith("ok")
    assert call_id(SECOND) not in test_bed.received()
    old.signal(signal.SIGCONT)
    test_bed.resume_answers()
    assert client.is_served(first)
    assert other.is_served(second)
    old.signal(signal.SIGTERM)
    ThriftClient(test_bed.address).wait_until_served()
    assert old.wait_until_ended() == 0


# review/7, on a related path: the new process did not know the keys of connections that can't be transferred.
def test_new_process_knows_the_keys_of_connections_that_stay_at_the_old_one(
    ordered_test_bed: ProcessTestBed,
) -> None:
    test_bed = ordered_test_bed
    old = test_bed.start().wait_until_ready()
    client, first = start_load(test_bed)
    client.sock.sendall(LONG_PARTIAL_MESSAGE)
    new = start_successor(test_bed, old)
    old.signal(signal.SIGTERM)
    new.wait_for_log("process state received", stage="leaving")
    other = ThriftClient(test_bed.address)
    second = other.send_request(SECOND, "load", ordering_key=KEY)
    other.send_request(OTHER, "load", ordering_key=OTHER_KEY)
    wait_until(lambda: call_id(OTHER) in test_bed.received(), "the load of the other key at a warehouse")
    assert call_id(SECOND) not in test_bed.received()
    test_bed.resume_answers()
    assert client.wait_for_reply(first)
    assert other.is_served(second)
    assert old.wait_until_ended() == 0


def test_new_process_sends_loads_of_a_key_again_after_the_old_one_was_killed(
    ordered_test_bed: ProcessTestBed,
) -> None:
    """Guards against keys that stay held because the process that announced them has died."""
    test_bed = ordered_test_bed
    old = test_bed.start().wait_until_ready()
    start_load(test_bed)
    new = start_successor(test_bed, old)
    old.signal(signal.SIGTERM)
    new.wait_for_log("process state received", stage="leaving")
    old.signal(signal.SIGKILL)
    other = ThriftClient(test_bed.address)
    second = other.send_request(SECOND, "load", ordering_key=KEY)
    wait_until(lambda: call_id(SECOND) in test_bed.received(), "the second load at a warehouse")
    test_bed.resume_answers()
    assert other.is_served(second)
