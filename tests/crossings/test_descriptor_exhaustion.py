"""The process runs out of file descriptors."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
from collections.abc import Callable, Iterator

import pytest
from crossing_stage import (
    FOLLOW_UP_TAGS,
    PATHS,
    STATEMENT,
    running_stage,
    send_requests,
    serve_then_idle,
    wait_until_served,
)
from play import TICK_S, Actor, Dialect, Stage, ThriftResp

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


def run_without_actors(stage: Stage, seconds: float) -> None:
    """Move the clock on; only the program takes turns."""
    end = stage.clock.now + seconds
    while stage.clock.now < end:
        stage.clock.now += TICK_S
        stage.server.loop.turn(0)


def wait_for_watch(stage: Stage, change_log: Actor) -> None:
    """Move the clock on until the program has connected to the change log again."""

    def is_connected() -> bool:
        if change_log.connection is None:
            stage.wait(0.05)
        return change_log.connection is not None

    stage.until(is_connected, "a new watch")


def test_watch_and_listener_recover_from_descriptor_exhaustion_without_spinning(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Idle clients use up the descriptors while the change log is away; it returns with a drain."""
    with running_stage(ThriftResp) as stage:
        change_log = stage.actors["L"]
        stage.step("L", "since", "1")
        serve_then_idle(stage)
        stage.apply_event(change_log, "close")
        clients = [socket.socket() for _ in range(3)]
        spare = [socket.socket() for _ in range(4)]
        with exhausted_descriptors():
            for client in clients:
                client.connect(stage.server.listeners[0].address)
            run_without_actors(stage, EXHAUSTION_S)
            failures = [record for record in caplog.records if "accept failed" in record.getMessage()]
            assert 1 <= len(failures) <= EXHAUSTION_S / ACCEPT_RETRY_S + 1, "the listener spins"
            poll: object = stage.server.loop._poll
            assert poll is stage.poll
            ready = dict(stage.poll.poll_object.poll(0))
            assert stage.server.listeners[0].sock.fileno() not in ready, "the listener does not back off"
        for each in (*clients, *spare):
            each.close()
        wait_for_watch(stage, change_log)
        stage.step("L", "since", "1")
        stage.step("L", "says", "2 W1 draining")
        before = stage.actors["W1"].received
        for name, tag in zip(NEW_CLIENTS, FOLLOW_UP_TAGS, strict=True):
            stage.step(name, "ask", f"{tag} lookup 4000 {STATEMENT}")
            wait_until_served(stage, name, tag)
        assert stage.actors["W1"].received == before


@pytest.mark.parametrize("path", PATHS)
def test_attempt_without_a_descriptor_does_not_count_against_the_engine(
    path: Callable[[], Dialect], monkeypatch: pytest.MonkeyPatch
) -> None:
    with running_stage(path) as stage:
        monkeypatch.setattr(
            "lilacfront.sched.stream.Stream.connect", classmethod(lambda *_: ConnectFailure.NO_DESCRIPTOR)
        )
        send_requests(stage)
        stage.turn()
        state = stage.server.dispatcher.router.state
        assert not state.ejected_engines
        assert all(engine.error_rate == 0 for engine in state.engines.values())
        monkeypatch.undo()
