"""The server: release of free memory, and health while it starts."""

from __future__ import annotations

from typing import Any

import pytest
from play import Harness, ThriftResp

from lilacfront.server import memory

UNREACHABLE_CHANGE_LOG: dict[str, Any] = {"changelog": "127.0.0.1:1"}


def test_free_memory_is_released_periodically(monkeypatch: pytest.MonkeyPatch) -> None:
    released_at: list[float] = []
    stage = Harness(ThriftResp(), engines=0)
    monkeypatch.setattr(memory, "release_free_memory", lambda: released_at.append(stage.clock.now))
    try:
        stage.wait(11)
        assert len(released_at) == 2
    finally:
        stage.close()
    monkeypatch.undo()
    memory.release_free_memory()  # must not fail with any C library


@pytest.mark.parametrize(
    ("data", "after_s", "is_healthy"),
    [
        (b"", 0.1, False),
        (b"", 0.3, True),  # 0.3 s without an event: nothing was missed
        (b"1\n", 0.01, True),  # the change log reports that event 1, the last cached one, is its latest
        (b'{"seq":2,"fleet":{"instances":[]}}\n', 0.01, False),  # more events may follow
        (None, 0.9, False),
        (None, 1.1, True),  # the wait for an unreachable change log is limited
    ],
)
def test_server_is_healthy_once_it_has_caught_up_with_the_change_log(
    data: bytes | None, after_s: float, is_healthy: bool
) -> None:
    stage = Harness(ThriftResp(), fresh=True, **(UNREACHABLE_CHANGE_LOG if data is None else {}))
    try:
        change_log = stage.actors["L"]
        for _ in range(20):
            stage.turn()
        assert not stage.server.operations.is_healthy()
        if data is not None:
            assert change_log.connection is not None
            assert change_log.received == b"since 1\n"
            change_log.connection.sendall(data)
        stage.wait(after_s)
        assert stage.server.operations.is_healthy() is is_healthy
    finally:
        stage.close()
