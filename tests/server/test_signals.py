"""Signals are handled in tasks, never inside the code that they interrupt."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest
from play import Harness, ThriftResp

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture
def harness() -> Iterator[Harness]:
    """A server with its signal handlers, which are removed at the end."""
    previous = {number: signal.getsignal(number) for number in SIGNALS}
    harness = Harness(ThriftResp())
    harness.server.install_signal_handlers()
    try:
        yield harness
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in previous.items():
            signal.signal(number, handler)
        harness.close()


# Issue 43: SIGTERM inside `StateWriter.save` ran the shutdown there, which waited for the lock of `save`.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_shutdown_begins_after_the_interrupted_code_has_ended(harness: Harness, number: int) -> None:
    begun_inside: list[bool] = []

    def interrupted_code() -> None:
        signal.raise_signal(number)
        begun_inside.append(harness.server.shutdown.has_begun)

    harness.server.loop.call_at(harness.server.loop.now, interrupted_code)
    harness.turn()
    assert begun_inside == [False]
    assert harness.server.shutdown.has_begun


def test_reload_runs_after_the_interrupted_code_has_ended(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    reloads: list[str] = []
    monkeypatch.setattr(harness.server, "reload_config", lambda: reloads.append("reload"))
    harness.server.install_signal_handlers()
    signal.raise_signal(signal.SIGHUP)
    assert not reloads
    harness.turn()
    assert reloads == ["reload"]
