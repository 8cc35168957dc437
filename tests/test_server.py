"""The server: free memory, and health during the start."""

from __future__ import annotations

from typing import Any

import pytest
from play import Harness, ThriftResp

from lilacfront.server import memory

UNREACHABLE_LOG: dict[str, Any] = {"changelog": "127.0.0.1:1"}


def test_free_pages_are_returned_to_the_system_every_few_seconds(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[float] = []
    stage = Harness(ThriftResp(), engines=0)
    monkeypatch.setattr(memory, "release_free_memory", lambda: calls.append(stage.clock.now))
    try:
        stage.wait(11)
        assert len(calls) == 2
    finally:
        stage.close()
    monkeypatch.undo()
    memory.release_free_memory()  # works wherever the tests run, whatever the C library


@pytest.mark.parametrize(
    ("data", "after_s", "is_healthy"),
    [
        (b"", 0.1, False),
        (b"", 0.3, True),  # nothing was missed
        (b"1\n", 0.01, True),  # nor here, as the log itself says
        (b'{"seq":2,"fleet":{"instances":[]}}\n', 0.01, False),  # more may follow
        (None, 0.9, False),
        (None, 1.1, True),  # a log that can't be reached is not waited for for ever
    ],
)
def test_ping_is_healthy_once_the_change_log_of_the_start_has_been_read(
    data: bytes | None, after_s: float, is_healthy: bool
) -> None:
    stage = Harness(ThriftResp(), fresh=True, **(UNREACHABLE_LOG if data is None else {}))
    try:
        log = stage.actors["L"]
        for _ in range(20):
            stage.turn()
        assert not stage.server.operations.is_healthy()
        if data is not None:
            assert log.connection is not None
            assert log.received == b"since 1\n"
            log.connection.sendall(data)
        stage.wait(after_s)
        assert stage.server.operations.is_healthy() is is_healthy
    finally:
        stage.close()
