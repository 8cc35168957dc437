"""A virtual clock that advances only while the event loop is idle, so minutes are simulated in seconds.

It is for tasks that share one event loop and communicate over sockets. While data is in flight between them,
the virtual time stands still and the loop waits in real time for the operating system to deliver the data.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from lilacfront.sched import Loop

SETTLE_TIMEOUT_S = 20.0  # real time limit for data in flight on loopback; only a defect exceeds it
POLL_INTERVAL_S = 0.001


class VirtualClock:
    """A clock in seconds that only `run_virtual_time` advances."""

    def __init__(self, start: float = 1_000_000.0) -> None:
        self.now = start

    def __call__(self) -> float:
        """The current time, in seconds."""
        return self.now


def run_virtual_time(
    loop: Loop, clock: VirtualClock, done: Callable[[], bool], settled: Callable[[], bool]
) -> None:
    """Run a loop on virtual time until `done` returns True.

    Args:
        loop: The event loop, made with `clock`.
        clock: Clock that is advanced to the next timer once the loop is idle and `settled` returns True.
        done: Returns whether the run is complete.
        settled: Returns whether no data is in flight between the tasks.

    Raises:
        TimeoutError: Data in flight was not delivered within `SETTLE_TIMEOUT_S`.
        RuntimeError: The run is not complete and no timer is pending.
    """
    timeout_at = time.monotonic() + SETTLE_TIMEOUT_S
    while not done():
        loop.turn(0)
        if loop.ready or loop.pending_flushes:
            continue
        if not settled():
            if time.monotonic() > timeout_at:
                raise TimeoutError(f"data in flight was not delivered within {SETTLE_TIMEOUT_S:g} s")
            loop.turn(POLL_INTERVAL_S)
            continue
        timeout_at = time.monotonic() + SETTLE_TIMEOUT_S
        if (next_timer_at := loop.next_timer_at()) is not None:
            clock.now = max(clock.now, next_timer_at)
        elif not done():
            raise RuntimeError("the run is not complete and no timer is pending")
