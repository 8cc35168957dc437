"""The process runs out of file descriptors."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
from collections.abc import Callable, Iterator

import pytest
from crossing_harness import (
    CHANGE_LOG,
    FOLLOW_UP_TAGS,
    PATHS,
    STATEMENT,
    leave_idle_connections,
    running_harness,
    send_requests,
    wait_until_served,
)
from play import TICK_S, Actor, Dialect, Harness, ThriftResp

from lilacfront.frontends.listener import ACCEPT_RETRY_S
from lilacfront.sched import ConnectFailure

EXHAUSTION_S = 5.0
NEW_CLIENTS = ("D1", "D2", "D3")


@contextlib.contextmanager
def exhausted_descriptors() -> Iterator[None]:
    """Use up all file descriptors of the process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    first_free = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
    fillers = []
    with contextlib.suppress(OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, hard))
        while True:
            fillers.append(os.dup(0))
    try:
        yield
    finally:
        for filler in fillers:
            os.close(filler)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def run_without_actors(harness: Harness, seconds: float) -> None:
    """Advance the clock and run turns of the front end; the actors do nothing."""
    end = harness.clock.now + seconds
    while harness.clock.now < end:
        harness.clock.now += TICK_S
        harness.server.loop.turn(0)


def wait_for_watch(harness: Harness, change_log: Actor) -> None:
    """Advance the clock until the front end has connected to the change log again."""

    def is_connected() -> bool:
        if change_log.connection is None:
            harness.wait(0.05)
        return change_log.connection is not None

    harness.until(is_connected, "the new connection of the watch to the change log")


def test_watch_and_listener_recover_from_descriptor_exhaustion_without_spinning(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Idle clients use up the descriptors while the watch is disconnected.

    Afterwards the watch must be re-established and a drain must take effect. Meanwhile the listener must wait
    between its failing accepts.
    """
    with running_harness(ThriftResp) as harness:
        change_log = harness.actors[CHANGE_LOG]
        harness.step(CHANGE_LOG, "since", "1")
        leave_idle_connections(harness)
        harness.apply_event(change_log, "close")
        clients = [socket.socket() for _ in range(3)]
        spare = [socket.socket() for _ in range(4)]
        with exhausted_descriptors():
            for client in clients:
                client.connect(harness.server.listeners[0].address)
            run_without_actors(harness, EXHAUSTION_S)
            failures = [record for record in caplog.records if "accept failed" in record.getMessage()]
            assert 1 <= len(failures) <= EXHAUSTION_S / ACCEPT_RETRY_S + 1, (
                f"the listener failed to accept {len(failures)} times in {EXHAUSTION_S} s"
            )
            poll: object = harness.server.loop._poll
            assert poll is harness.poll
            ready = dict(harness.poll.poll_object.poll(0))
            assert harness.server.listeners[0].sock.fileno() not in ready, (
                "the listener is polled during its back-off"
            )
        for sock in (*clients, *spare):
            sock.close()
        wait_for_watch(harness, change_log)
        harness.step(CHANGE_LOG, "since", "1")
        harness.step(CHANGE_LOG, "says", "2 W1 draining")
        before = harness.actors["W1"].received
        for name, tag in zip(NEW_CLIENTS, FOLLOW_UP_TAGS, strict=True):
            harness.step(name, "ask", f"{tag} lookup 4000 {STATEMENT}")
            wait_until_served(harness, name, tag)
        assert harness.actors["W1"].received == before


@pytest.mark.parametrize("path", PATHS)
def test_attempt_without_a_descriptor_does_not_count_against_the_engine(
    path: Callable[[], Dialect], monkeypatch: pytest.MonkeyPatch
) -> None:
    with running_harness(path) as harness:
        monkeypatch.setattr(
            "lilacfront.sched.stream.Stream.connect", classmethod(lambda *_: ConnectFailure.NO_DESCRIPTOR)
        )
        send_requests(harness)
        harness.turn()
        state = harness.server.dispatcher.router.state
        assert not state.ejected_engines
        assert all(engine.error_rate == 0 for engine in state.engines.values())
        monkeypatch.undo()
