"""Memory limit for incomplete messages of the platform's front end."""

from __future__ import annotations

from play import Harness, ThriftResp

LARGE_FRAME_HEAD = b"\0\1\xff\xff"  # length prefix of a frame of 131,071 bytes


def test_incomplete_messages_beyond_the_memory_limit_close_the_largest_connection() -> None:
    stage = Harness(ThriftResp(), limits={"memory_mb": 2})
    try:
        for name, size in (("C1", 70_000), ("C2", 50_000), ("C3", 40_000)):
            stage.step(name, "!nothing", "")
            stage.send(stage.actors[name], LARGE_FRAME_HEAD + bytes(size))
            stage.wait(0.1)
        assert [stage.actors[name].eof for name in ("C1", "C2", "C3")] == [True, False, False]
    finally:
        stage.close()
