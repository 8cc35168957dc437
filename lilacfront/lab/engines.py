"""A processor-sharing model of a query server for simulations, with a variable speed.

An execution with `threads` threads that takes `seconds` on an idle engine needs threads * seconds of work. It
runs at its full rate while the threads of all executions do not exceed the cores; beyond that, all threads
slow down equally. `speed` scales all rates: 1 is a healthy engine, 0.25 a cold engine or one with a noisy
neighbour.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

COMPLETION_TOLERANCE_THREAD_S = 1e-9


@dataclass(slots=True)
class Execution:
    """A query that an engine executes.

    Attributes:
        threads: Threads that it uses.
        remaining_thread_s: Remaining work, in thread-seconds.
    """

    threads: int
    remaining_thread_s: float


@dataclass(slots=True)
class EngineModel:
    """A simulated engine; call `advance` before changing its state.

    Attributes:
        cores: Cores that the executions share.
        speed: Factor on the speed of all executions.
        running: Whether the engine is reachable.
        updated_at: Time of the last `advance`, in seconds on the caller's clock.
        completed_thread_s: Work done so far, in thread-seconds.
        executions: The running queries, by number.
    """

    cores: float
    speed: float = 1.0
    running: bool = True
    updated_at: float = 0.0
    completed_thread_s: float = 0.0
    executions: dict[int, Execution] = field(default_factory=dict)

    @property
    def threads(self) -> int:
        """Threads of all executions."""
        return sum(execution.threads for execution in self.executions.values())

    def _rate(self) -> float:
        """The work done by each thread, in thread-seconds per second."""
        threads = self.threads
        return self.speed * min(1.0, self.cores / threads) if threads else 0.0

    def advance(self, now: float) -> None:
        """Apply the work done since the last call, up to `now`."""
        work_per_thread = self._rate() * (now - self.updated_at)
        self.updated_at = now
        for execution in self.executions.values():
            execution.remaining_thread_s -= work_per_thread * execution.threads
            self.completed_thread_s += work_per_thread * execution.threads

    def start_execution(self, number: int, threads: int, seconds: float) -> None:
        """Start a query that takes this many seconds on an idle engine."""
        self.executions[number] = Execution(threads, threads * seconds)

    def remove_completed(self) -> list[int]:
        """Remove completed executions and return their numbers."""
        completed = [
            number
            for number, execution in self.executions.items()
            if execution.remaining_thread_s <= COMPLETION_TOLERANCE_THREAD_S
        ]
        for number in completed:
            del self.executions[number]
        return completed

    def next_completion_at(self) -> float:
        """When the next execution completes if nothing changes; infinity if none is running."""
        rate = self._rate()
        if not rate:
            return math.inf
        shortest = min(
            execution.remaining_thread_s / execution.threads for execution in self.executions.values()
        )
        return self.updated_at + max(0.0, shortest) / rate
