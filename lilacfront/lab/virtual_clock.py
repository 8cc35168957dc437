"""A virtual clock: time advances only when nothing is left to do, so minutes are simulated in seconds.

It serves tasks that share one event loop, with sockets between them. While something is in flight between
them, the system gets the real time that it needs to deliver it.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from lilacfront.sched import Loop

SETTLE_TIMEOUT_S = 20.0  # of real time, for what is in flight on loopback; only a fault takes it
POLL_INTERVAL_S = 0.001


class VirtualClock:
    """Seconds that `run_virtual_time` alone advances."""

    def __init__(self, start: float = 1_000_000.0) -> None:
        self.now = start

    def __call__(self) -> float:
        """The current time, in seconds."""
        return self.now


def run_virtual_time(
    loop: Loop, clock: VirtualClock, done: Callable[[], bool], settled: Callable[[], bool]
) -> None:
    """Run a loop until `done`.

    Args:
        loop: The event loop, made with `clock`.
        clock: Is advanced to the next timer once the loop is idle and `settled`.
        done: Whether the run is complete.
        settled: Whether nothing is in flight between the tasks.

    Raises:
        TimeoutError: What is in flight does not arrive.
        RuntimeError: No timer is left that could complete the run.
    """
    give_up_at = time.monotonic() + SETTLE_TIMEOUT_S
    while not done():
        loop.turn(0)
        if loop.ready or loop.pending_flushes:
            continue
        if not settled():
            if time.monotonic() > give_up_at:
                raise TimeoutError("what is in flight does not arrive")
            loop.turn(POLL_INTERVAL_S)
            continue
        give_up_at = time.monotonic() + SETTLE_TIMEOUT_S
        if (due := loop.next_timer_at()) is not None:
            clock.now = max(clock.now, due)
        elif not done():
            raise RuntimeError("no timer is left that could complete the run")
