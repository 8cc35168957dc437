"""Models of warehouses for the simulation of recovery, with cold start, warm-up and failure on overload."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Final, Protocol

from lilacfront.decisions.events import AttemptResult, EndpointState
from lilacfront.lab.engines import EngineModel
from lilacfront.lab.recovery_events import EventQueue
from lilacfront.lab.recovery_scenario import (
    COLD_CAPACITY_FRACTION,
    CORES,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    WARM_UP_S,
)
from lilacfront.recovery.retry_after import warm_up_curve

DISCOVERY_DELAY_S: Final = 0.5  # time until discovery reports the start or failure of a warehouse
DOWNTIME_S: Final = 3.0  # time from the failure of a warehouse to its restart
CONNECT_FAILURE_S: Final = 0.01  # time until a connection attempt to a stopped warehouse fails


@dataclass(slots=True)
class SimulatedWarehouse:
    """A warehouse.

    Attributes:
        engine: The model of its execution.
        started_at: Time of its last start.
        recent_work: Start time and thread-seconds of the attempts within `OVERLOAD_WINDOW_S`.
        completion_version: Number of times that the next completion was scheduled. Scheduled completions
            with an older version are stale and ignored.
    """

    engine: EngineModel
    started_at: float
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)
    completion_version: int = 0

    def capacity_fraction(self, now: float) -> float:
        """The fraction of its cores that is usable at a time during the warm-up."""
        return warm_up_curve(COLD_CAPACITY_FRACTION, WARM_UP_S, self.started_at)(now)

    def record_attempt(self, now: float, thread_seconds: float) -> bool:
        """Add an attempt to the recent work and return whether the warehouse is overloaded."""
        self.recent_work.append((now, thread_seconds))
        while self.recent_work[0][0] < now - OVERLOAD_WINDOW_S:
            self.recent_work.popleft()
        fraction = self.capacity_fraction(now)
        recent = sum(work for _, work in self.recent_work)
        return fraction < 1.0 and recent > OVERLOAD_FACTOR * fraction * CORES * OVERLOAD_WINDOW_S


class WarehouseListener(Protocol):
    """Receives events of the simulated warehouses."""

    def attempt_ended(self, number: int, result: AttemptResult) -> None:
        """Handle the end of an attempt."""
        ...

    def endpoint_changed(self, index: int, state: EndpointState) -> None:
        """Handle the report of discovery that the state of a warehouse changed."""
        ...


class WarehouseFleet:
    """The warehouses of a simulation."""

    def __init__(self, events: EventQueue, starts: list[float], listener: WarehouseListener) -> None:
        self.warehouses = [SimulatedWarehouse(EngineModel(CORES, running=False), at) for at in starts]
        self.failures = 0
        self._events = events
        self._listener = listener

    def schedule_starts(self) -> None:
        """Schedule the start of every warehouse."""
        for index, warehouse in enumerate(self.warehouses):
            self._events.schedule(warehouse.started_at, partial(self._start, index))

    def discovered(self, warehouse: SimulatedWarehouse) -> bool:
        """Whether a warehouse is running and discovery has reported it."""
        return warehouse.engine.running and warehouse.started_at + DISCOVERY_DELAY_S <= self._events.now

    def update_speeds(self) -> None:
        """Set the speed of each warehouse to its current capacity fraction."""
        now = self._events.now
        for index, warehouse in enumerate(self.warehouses):
            fraction = warehouse.capacity_fraction(now)
            if warehouse.engine.running and warehouse.engine.speed != fraction:
                warehouse.engine.advance(now)
                warehouse.engine.speed = fraction
                self._schedule_completion(index)

    def start_attempt(self, index: int, number: int, threads: int, seconds: float) -> None:
        """Start an attempt at a warehouse."""
        warehouse = self.warehouses[index]
        now = self._events.now
        if not warehouse.engine.running:
            failed = partial(self._listener.attempt_ended, number, AttemptResult.CONNECT_FAILED)
            self._events.schedule(now + CONNECT_FAILURE_S, failed)
            return
        warehouse.engine.advance(now)
        warehouse.engine.start_execution(number, threads, seconds)
        if warehouse.record_attempt(now, threads * seconds):
            self._events.schedule(now, partial(self._fail_if_up, index))
        self._schedule_completion(index)

    def cancel(self, index: int, number: int) -> None:
        """Cancel an attempt if it is still running."""
        engine = self.warehouses[index].engine
        if number in engine.executions:
            engine.advance(self._events.now)
            del engine.executions[number]
            self._schedule_completion(index)

    def _start(self, index: int) -> None:
        warehouse = self.warehouses[index]
        now = self._events.now
        warehouse.engine = EngineModel(CORES, speed=COLD_CAPACITY_FRACTION, updated_at=now)
        warehouse.started_at = now
        warehouse.recent_work.clear()
        self._report(index, EndpointState.READY)

    def _fail_if_up(self, index: int) -> None:
        if self.warehouses[index].engine.running:
            self._fail(index)

    def _fail(self, index: int) -> None:
        engine = self.warehouses[index].engine
        self.failures += 1
        engine.running = False
        interrupted = list(engine.executions)
        engine.executions = {}
        for number in interrupted:
            self._listener.attempt_ended(number, AttemptResult.RESET)
        self._report(index, EndpointState.REMOVED)
        self._events.schedule(self._events.now + DOWNTIME_S, partial(self._start, index))

    def _report(self, index: int, state: EndpointState) -> None:
        report = partial(self._listener.endpoint_changed, index, state)
        self._events.schedule(self._events.now + DISCOVERY_DELAY_S, report)

    def _schedule_completion(self, index: int) -> None:
        warehouse = self.warehouses[index]
        warehouse.completion_version += 1
        completion_at = warehouse.engine.next_completion_at()
        if completion_at < math.inf:
            complete = partial(self._complete_attempts, index, warehouse.completion_version)
            self._events.schedule(max(self._events.now, completion_at), complete)

    def _complete_attempts(self, index: int, version: int) -> None:
        warehouse = self.warehouses[index]
        if warehouse.completion_version != version:
            return
        warehouse.engine.advance(self._events.now)
        for number in warehouse.engine.remove_completed():
            self._listener.attempt_ended(number, AttemptResult.OK)
        self._schedule_completion(index)
