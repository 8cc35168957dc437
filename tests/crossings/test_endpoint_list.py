"""The watch of the endpoint list is interrupted, delayed or moved to another address."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Iterator
from itertools import count

import pytest
from crossing_harness import (
    CHANGE_LOG,
    CLIENTS,
    FOLLOW_UP_TAGS,
    PATHS,
    SECOND_CHANGE_LOG,
    TAGS,
    answer_at_once,
    invoke_lookup,
    is_served,
    leave_idle_connections,
    running_harness,
    send_follow_up,
    send_requests,
    wait_until_served,
)
from play import Dialect, Harness, ThriftResp

from lilacfront.protocols import thrift

LOOKUP_INTERVAL_S = 0.05
TABLE_GROUPS = 40
# The watch must be re-established within this time, or events would take effect too late.
MAX_SILENCE_S = 4.0


def attempts_forwarded_to(harness: Harness, name: str) -> int:
    """The number of attempts that reached the warehouse."""
    return harness.actors[name].received.count(b"$2\r\ndo\r\n")


def send_lookups(harness: Harness, seconds: float, numbers: Iterator[int]) -> None:
    """Send lookups of different table groups, so that both warehouses are used while both are ready."""
    client = harness.actors["C1"]
    for _ in range(round(seconds / LOOKUP_INTERVAL_S)):
        number = next(numbers)
        statement = b"select x from sales_%d.orders" % (number % TABLE_GROUPS)
        assert client.connection is not None
        client.connection.sendall(invoke_lookup(number, statement))
        harness.wait(LOOKUP_INTERVAL_S)


def watch_event(harness: Harness, name: str, state: str, reset: bool) -> bytes:
    """A watch event with one changed entry, or with a whole list of one entry if `reset`."""
    fleet = {"reset": reset, "instances": [harness.entry(name, state)]}
    return json.dumps({"seq": 2, "fleet": fleet}).encode() + b"\n"


def fail_connects_until_watched(
    harness: Harness, numbers: Iterator[int], failures: int, event: bytes
) -> None:
    """Let a number of connects to the change log never complete, then answer the new watch with an event.

    Lookups are sent all the time. The test fails if there is no new watch within `MAX_SILENCE_S`.
    """
    change_log = harness.actors[CHANGE_LOG]
    silent_since = harness.clock.now
    # Only new connections are delayed; those to the warehouses are already established.
    harness.poll.delays_connects = failures > 0
    failed = 0
    connecting: set[int] = set()
    while harness.clock.now < silent_since + MAX_SILENCE_S:
        send_lookups(harness, LOOKUP_INTERVAL_S, numbers)
        failed += len(harness.poll.delayed_descriptors - connecting)
        connecting = set(harness.poll.delayed_descriptors)
        if failed >= failures:
            harness.poll.delays_connects = False
        if change_log.eof and change_log.connection is not None:
            change_log.connection = None
            change_log.eof = False
        if change_log.received.startswith(b"since 1\n") and change_log.connection is not None:
            change_log.received = b""
            change_log.connection.sendall(event)
            break
    assert harness.clock.now < silent_since + MAX_SILENCE_S, f"no new watch within {MAX_SILENCE_S} s"


@pytest.mark.parametrize("failures", [0, 1, 2], ids=["first try", "second try", "third try"])
@pytest.mark.parametrize("reset", [False, True], ids=["drain", "list without the warehouse"])
def test_silent_watch_is_re_established_before_its_events_take_effect(failures: int, reset: bool) -> None:
    """An event must take effect within 4 s after the watch fell silent, even if the first connects fail."""
    with running_harness(ThriftResp) as harness:
        answer_at_once(harness)
        numbers = count(100)
        harness.step(CHANGE_LOG, "since", "1")
        harness.step("C1", ">", "")
        send_lookups(harness, 0.5, numbers)
        assert attempts_forwarded_to(harness, "W1")
        assert attempts_forwarded_to(harness, "W2")
        event = (
            watch_event(harness, "W2", "ready", reset=True)
            if reset
            else watch_event(harness, "W1", "draining", reset=False)
        )
        fail_connects_until_watched(harness, numbers, failures, event)
        send_lookups(harness, LOOKUP_INTERVAL_S, numbers)
        before = attempts_forwarded_to(harness, "W1")
        send_lookups(harness, 1.5, numbers)
        assert attempts_forwarded_to(harness, "W1") == before
        assert attempts_forwarded_to(harness, "W2")


def test_start_without_a_reachable_endpoint_list_becomes_healthy_and_serves() -> None:
    """The front end waits a second for missed events, during which it is unhealthy; then it is healthy."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    with running_harness(ThriftResp, fresh=True, changelog=address) as harness:
        answer_at_once(harness)
        harness.step("C9", ">", "")
        health_checks = []
        for number in range(1, 4):
            harness.send(harness.actors["C9"], thrift.encode_ping(number))
            health_checks.append(thrift.encode_answer(b"ping", number, b"", number == 3))
            harness.wait(0.55)
        harness.turn()
        assert harness.actors["C9"].received == b"".join(health_checks)
        send_requests(harness)
        for client, tag in zip(CLIENTS, TAGS, strict=True):
            wait_until_served(harness, client, tag)


@pytest.mark.parametrize("path", PATHS)
def test_endpoint_list_moved_by_a_signal_during_shutdown_is_watched(
    path: Callable[[], Dialect],
) -> None:
    """SIGTERM, SIGHUP with another address, then a drain at that address while requests still arrive."""
    with running_harness(path) as harness:
        leave_idle_connections(harness)
        harness.step(CHANGE_LOG, "since", "1")
        harness.server.begin_shutdown()
        harness.wait(0.1)
        harness.step("hup", SECOND_CHANGE_LOG, "")
        harness.step(SECOND_CHANGE_LOG, "since", "1")
        harness.step(SECOND_CHANGE_LOG, "says", "2 W1 draining")
        before = {name: harness.actors[name].received for name in ("W1", "W2")}
        for index in range(3):
            send_follow_up(harness, index)
        harness.wait(0.1)
        assert all(
            is_served(harness, client, tag) for client, tag in zip(CLIENTS, FOLLOW_UP_TAGS, strict=True)
        )
        assert harness.actors["W1"].received == before["W1"]
        assert harness.actors["W2"].received != before["W2"]
