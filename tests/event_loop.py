"""An event loop whose clock the test controls, and connected streams on it."""

from __future__ import annotations

import socket

from play import Clock

from lilacfront.sched import Loop, Stream

STEP_S = 0.1


class ManualLoop:
    """A loop with a clock that only the test advances."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.loop = Loop(self.clock)

    def run_for(self, seconds: float) -> None:
        """Advance the clock in steps, and run a turn of the loop after each step."""
        for _ in range(int(seconds * 10)):
            self.clock.now += STEP_S
            self.loop.turn(0)

    def connected_stream(self, max_queued_bytes: int) -> tuple[Stream, socket.socket]:
        """Connect a stream on the loop; returns it and the peer's socket."""
        listener = socket.create_server(("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        listener.close()
        return Stream(self.loop, accepted, max_queued_bytes), peer
