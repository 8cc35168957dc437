"""A request arrives while the front end closes the idle connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial

import pytest
from crossing_harness import (
    CLIENTS,
    PATHS,
    SocketWithShutdownHook,
    close_ended_connections,
    forwarded_attempts,
    leave_idle_connections,
    running_harness,
    send_follow_up,
)
from play import Dialect, Harness

TURNS_PER_CLOSE = 5


def exceed_max_connections(harness: Harness) -> None:
    """Open as many further connections as the listener allows, so that it closes the idle ones."""
    listener = harness.server.listeners[harness.dialect.listener_index]
    listener.max_connections = 3
    others = [socket.create_connection(listener.address) for _ in range(3)]
    harness.turn()
    for other in others:
        other.close()


def close_idle_connections(harness: Harness, why: str) -> None:
    """Make the front end close all idle connections."""
    match why:
        case "shutdown":
            harness.server.begin_shutdown()
            harness.wait(0.86)
        case "idle":
            harness.wait(30.2)
        case "too many connections":
            exceed_max_connections(harness)


def complete_close(harness: Harness) -> None:
    """Run enough turns for a graceful close to complete."""
    for _ in range(TURNS_PER_CLOSE):
        harness.turn()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("after_close", [False, True], ids=["at the half-close", "after it"])
@pytest.mark.parametrize("why", ["shutdown", "idle", "too many connections"])
def test_request_that_arrives_during_the_close_of_an_idle_connection_is_not_forwarded(
    path: Callable[[], Dialect], why: str, after_close: bool
) -> None:
    """The connection must be closed without a reset and without an answer."""
    with running_harness(path) as harness:
        leave_idle_connections(harness)
        before = forwarded_attempts(harness)
        listener = harness.server.listeners[harness.dialect.listener_index]
        slots = list(listener.slots)
        assert len(slots) == 3
        half_closed: list[int] = []

        def handle_half_close(index: int) -> None:
            half_closed.append(index)
            if not after_close:
                send_follow_up(harness, index)

        for index, slot in enumerate(slots):
            hooked = SocketWithShutdownHook(slot.stream.sock, partial(handle_half_close, index))
            slot.stream.sock = hooked  # type: ignore[assignment]
        close_idle_connections(harness, why)
        assert sorted(half_closed) == [0, 1, 2]
        if after_close:
            for index in range(3):
                send_follow_up(harness, index)
        complete_close(harness)
        for client in CLIENTS:
            actor = harness.actors[client]
            assert actor.eof
            assert not actor.was_reset
            assert actor.received == b""
        assert forwarded_attempts(harness) == before
        close_ended_connections(harness)
        complete_close(harness)
        assert not any(slot in listener.slots for slot in slots)
