"""Connections to engines with either protocol."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest
from event_loop import ManualLoop

from lilacfront.core.model import (
    Assignment,
    AttemptEnding,
    AttemptOutcome,
    DeliveryStage,
    EngineAddress,
    Notification,
    Request,
    Upstream,
)
from lilacfront.sched import Loop, Task
from lilacfront.upstream.clickhouse import ClickHouseUpstream
from lilacfront.upstream.resp import RespUpstream


class RemovedEngineContext:
    """The context of an attempt whose engine left the endpoint list after it was selected."""

    def may_begin(self) -> bool:
        return False

    def notify(self, notification: Notification) -> None:
        """Ignored."""

    def subscribe_priority(self, callback: Callable[[int], None]) -> None:
        """Ignored."""


class UnusedSink:
    """A sink that fails the test if it is used."""

    has_started = False

    def clear(self) -> None:
        raise AssertionError

    def start(self, head: object) -> None:  # noqa: ARG002 - as in ResponseSink
        raise AssertionError

    def write(self, data: bytes) -> bool:  # noqa: ARG002 - as in ResponseSink
        raise AssertionError

    def is_valid_result(self) -> bool:
        raise AssertionError


def resp_upstream(loop: Loop) -> Upstream:
    return RespUpstream(loop, (b"lookup",), 32, 1, 30, 9)


def clickhouse_upstream(loop: Loop) -> Upstream:
    return ClickHouseUpstream(loop, 1, 5, 9)


@pytest.mark.parametrize("make_upstream", [resp_upstream, clickhouse_upstream], ids=["resp", "http"])
def test_attempt_is_not_sent_if_its_engine_left_while_connecting(
    manual_loop: ManualLoop, make_upstream: Callable[[Loop], Upstream]
) -> None:
    loop = manual_loop.loop
    listener = socket.create_server(("127.0.0.1", 0))
    engine = EngineAddress(1, listener.getsockname())
    outcomes: list[AttemptOutcome] = []

    def run(task: Task) -> None:
        upstream = make_upstream(loop)
        request = Request(b"a", 0, loop.now + 4, b"select 1")
        assignment = Assignment(engine, 0, 1, loop.now + 4)
        outcomes.append(upstream.attempt(task, assignment, request, UnusedSink(), RemovedEngineContext()))
        upstream.stop_sending(1, True)

    loop.spawn(run)
    manual_loop.run_for(1)
    (outcome,) = outcomes
    assert (outcome.ending, outcome.stage) == (AttemptEnding.NOT_SENT, DeliveryStage.CONNECTED)
    assert listener.accept()[0].recv(100) == b""
    listener.close()


@pytest.mark.parametrize(("gateway_count", "max_connections"), [(1, 6), (3, 6), (6, 3), (40, 1), (60, 1)])
def test_connection_limit_per_engine_shrinks_with_the_number_of_gateways(
    manual_loop: ManualLoop, gateway_count: int, max_connections: int
) -> None:
    upstream = RespUpstream(manual_loop.loop, (b"lookup",), 32, 1, 30, 99, gateway_count)
    engine = EngineAddress(1, ("127.0.0.1", 9))
    connections = set()
    for number in range(9):
        if (connection := upstream._acquire(engine, b"%d" % number)) is not None:
            connection.waiting_attempts += 1
            connections.add(id(connection))
    assert len(connections) == max_connections


def test_connection_established_after_its_engine_left_is_closed(manual_loop: ManualLoop) -> None:
    loop = manual_loop.loop
    with socket.create_server(("127.0.0.1", 0)) as listener:
        upstream = RespUpstream(loop, (b"lookup",), 32, 1, 30, 99)
        connection = upstream._acquire(EngineAddress(1, listener.getsockname()), b"1")
        assert connection is not None
        upstream.stop_sending(1, True)
        manual_loop.run_for(1)
        assert connection.stream is None
        assert not upstream._pools
        assert upstream._connection_count == 0
        listener.accept()[0].close()
        assert [
            descriptor for descriptor in loop._watched if descriptor != loop._wakeup_receiver.fileno()
        ] == []
