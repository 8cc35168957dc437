"""Discrete-event simulation of a power loss and recovery with hundreds of front ends and warehouses.

It runs the program's own request router for each front end and, in the staged strategies, `StartupStages`,
`RetryAfterScheduler` and `FleetSize`. Warehouses, clients, discovery and the clock are models.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum
from functools import partial
from itertools import count
from typing import Final

from lilacfront.decisions.actions import CancelAttempt, Fail, Forward, Reject, SetTimer
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    ListScope,
    RequestReceived,
    TimerFired,
)
from lilacfront.decisions.router import RequestRouter
from lilacfront.lab.recovery_events import EventQueue
from lilacfront.lab.recovery_scenario import (
    CORES,
    KINDS,
    MAX_RETRY_AFTER_S,
    PowerLoss,
    RequestKind,
    SimulationResult,
    Strategy,
    policy_settings,
)
from lilacfront.lab.recovery_warehouses import DISCOVERY_DELAY_S, WarehouseFleet, WarehouseListener
from lilacfront.membership.fleet_size import FleetSize
from lilacfront.recovery.retry_after import RetryAfterScheduler
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.recovery.startup_stages import (
    RecoveryStage,
    StartupConditions,
    StartupStages,
    admission_stages,
)

RETRY_INTERVAL_S: Final = 0.25  # of clients without a Retry-After time, or that ignore it
CLIENT_TIMEOUT_S: Final = 30.0
TICK_S: Final = 0.05  # interval between updates of warm-up, startup stages and fleet size
FAILURE_DETECTION_S: Final = 5.0  # time until membership detects the front ends that do not restart
TABLE_GROUPS: Final = 500
EPOCH_S: Final = 1000.0  # time of the routers' clock when the power returns
PRE_LOSS_START_S: Final = -900.0  # start time of warehouses in a list from before the power loss
RECOVERED_FRACTION: Final = 0.9
SMOOTHING_WINDOW_S: Final = 3
_US_PER_S: Final = 1e6


class ClientBehavior(Enum):
    """Whether a rejected client obeys Retry-After, ignores it and retries soon, or gives up."""

    OBEYS = "obeys"
    IGNORES = "hammers"
    GIVES_UP = "gives up"


@dataclass(slots=True)
class SimulatedRequest:
    """A client's request with all of its attempts. Times are in seconds."""

    class_index: int
    call_id: bytes
    behavior: ClientBehavior
    created_at: float
    execution_s: float  # execution time on an idle warehouse
    gateway: int = -1  # index of the front end that received it last; -1: none
    attempts: int = 0
    warehouse: int = -1  # index of the warehouse that runs the current attempt; -1: none
    attempt_started_at: float = 0.0

    @property
    def kind(self) -> RequestKind:
        """The request's class in `KINDS`."""
        return KINDS[self.class_index]


class SimulatedGateway:
    """A front end: its router and, in the staged strategies, its startup stages."""

    def __init__(
        self,
        loss: PowerLoss,
        strategy: Strategy,
        seed: int,
        index: int,
        started_at: float,
        fleet: WarehouseFleet,
    ) -> None:
        settings = policy_settings(loss, index)
        self.started_at = started_at
        self.router = RequestRouter(settings, seed * 1000 + index)
        self.stages: StartupStages | None = None
        self.fleet_size = FleetSize(settings.gateway_count, index)
        self._fleet = fleet
        if strategy.staged:
            recovery = RecoverySettings(
                directory="x",  # no files are written
                short_reads_stage_s=loss.short_reads_stage_s,
                idempotent_stage_s=loss.idempotent_stage_s,
            )
            self.stages = StartupStages(recovery, started_at)
            self._admission_stages = admission_stages(settings.classes)
            self._retry_after = RetryAfterScheduler(self._capacity_at, 0, MAX_RETRY_AFTER_S, index)

    @property
    def recovering(self) -> bool:
        """Whether a staged start is still in progress."""
        return self.stages is not None and self.stages.stage is not RecoveryStage.OPEN

    def check_admission(self, request: SimulatedRequest, now: float) -> float | None:
        """Return None if a request is admitted, else its Retry-After time in seconds."""
        if self.stages is None or not self.recovering:
            return None
        index = request.class_index
        cost = request.kind.thread_seconds
        stage_reached = self.stages.stage >= self._admission_stages[index]
        if stage_reached and self._retry_after.admit(now, request.call_id, index, cost):
            return None
        return self.retry_after_s(request, now)

    def retry_after_s(self, request: SimulatedRequest, now: float) -> float:
        """The Retry-After time in seconds of a request that is rejected during a staged start."""
        assert self.stages is not None
        index = request.class_index
        earliest = self.stages.earliest_start(self._admission_stages[index], now)
        cost = request.kind.thread_seconds
        return self._retry_after.schedule(now, request.call_id, index, cost, earliest)

    def _capacity_at(self, at: float) -> float:
        """This front end's share of the usable cores of all discovered warehouses."""
        cores = sum(
            CORES * warehouse.capacity_fraction(at)
            for warehouse in self._fleet.warehouses
            if self._fleet.discovered(warehouse)
        )
        return cores / self.fleet_size.count


def _endpoint(index: int, state: EndpointState, started_at: float) -> Endpoint:
    return Endpoint(index + 1, state, int((EPOCH_S + started_at) * _US_PER_S))


class ServiceStatistics:
    """Records the requests, answers and losses of one simulation, weighted by priority."""

    def __init__(self, loss: PowerLoss) -> None:
        self.first_read_s = math.nan
        self.rejections = 0
        self._loss = loss
        self._served: list[tuple[float, float]] = []  # time, priority weight
        self._requested_weight = 0.0
        self._lost_weight = 0.0

    def record_request(self, kind: RequestKind) -> None:
        """Record a new request of a client."""
        self._requested_weight += kind.priority_weight

    def record_loss(self, kind: RequestKind) -> None:
        """Record a request that failed or that its client gave up."""
        self._lost_weight += kind.priority_weight

    def record_answer(self, kind: RequestKind, at: float) -> None:
        """Record the time of a request's answer."""
        self._served.append((at, kind.priority_weight))
        if math.isnan(self.first_read_s) and kind is KINDS[0]:
            self.first_read_s = at

    def result(self, warehouse_failures: int) -> SimulationResult:
        """Compute the result of the simulation."""
        seconds = int(self._loss.seconds)
        curve = [0.0] * seconds
        for at, weight in self._served:
            curve[min(seconds - 1, int(at))] += weight / self._loss.weight_per_s
        windows = [curve[second : second + SMOOTHING_WINDOW_S] for second in range(seconds)]
        smoothed = [sum(window) / len(window) for window in windows]
        recovered = [
            second
            for second in range(seconds - SMOOTHING_WINDOW_S + 1)
            if smoothed[second] >= RECOVERED_FRACTION
        ]
        return SimulationResult(
            recovered_s=float(recovered[0]) if recovered else math.nan,
            first_read_s=self.first_read_s,
            lost_fraction=self._lost_weight / max(1e-9, self._requested_weight),
            warehouse_failures=warehouse_failures,
            rejections=self.rejections,
            curve=curve,
        )


class PowerLossSimulation(WarehouseListener):
    """Simulates one power loss; runs with the same seed give the same result."""

    def __init__(self, loss: PowerLoss, strategy: Strategy, seed: int) -> None:
        self.loss = loss
        self.strategy = strategy
        self.seed = seed
        self._events = EventQueue()
        self._random = random.Random(seed)
        rng = self._random
        starts = [rng.uniform(0.0, loss.warehouses_back_s) for _ in range(loss.warehouses)]
        self._fleet = WarehouseFleet(self._events, starts, self)
        missing = round(loss.missing_fraction * loss.front_ends)
        self._gateways = {
            index: SimulatedGateway(
                loss, strategy, seed, index, rng.uniform(0.0, loss.front_ends_back_s), self._fleet
            )
            for index in range(missing, loss.front_ends)
        }
        self._requests: dict[int, SimulatedRequest] = {}
        self._ids = count(1)
        self._statistics = ServiceStatistics(loss)

    def run(self) -> SimulationResult:
        """Run the whole scenario."""
        self._fleet.schedule_starts()
        for gateway in self._gateways.values():
            self._events.schedule(gateway.started_at, partial(self._start_gateway, gateway))
        backlog = round(self.loss.requests_per_s * self.loss.backlog_s)
        for _ in range(backlog):
            self._events.schedule(self._random.random(), self._new_request)
        self._schedule_next_request()
        self._events.schedule(TICK_S, self._tick)
        self._events.run(self.loss.seconds)
        return self._statistics.result(self._fleet.failures)

    # ---- clients --------------------------------------------------------------------------------------
    def _schedule_next_request(self) -> None:
        interval = self._random.expovariate(self.loss.requests_per_s)
        self._events.schedule(self._events.now + interval, self._on_arrival)

    def _on_arrival(self) -> None:
        self._new_request()
        self._schedule_next_request()

    def _new_request(self) -> None:
        rng = self._random
        class_index = rng.choices(range(len(KINDS)), [kind.fraction for kind in KINDS])[0]
        behavior = self._choose_behavior(rng.random())
        execution_s = KINDS[class_index].execution_s * rng.lognormvariate(0.0, 0.4)
        call_id = b"%016x" % next(self._ids)
        self._statistics.record_request(KINDS[class_index])
        self._send_request(SimulatedRequest(class_index, call_id, behavior, self._events.now, execution_s))

    def _choose_behavior(self, random_value: float) -> ClientBehavior:
        obedient = self.loss.obedient_fraction
        if random_value < obedient:
            return ClientBehavior.OBEYS
        return ClientBehavior.IGNORES if random_value < (1 + obedient) / 2 else ClientBehavior.GIVES_UP

    def _send_request(self, request: SimulatedRequest) -> None:
        """Send a client's request to a random running front end; retry later if none is running."""
        now = self._events.now
        running = [index for index, gateway in self._gateways.items() if gateway.started_at <= now]
        if not running:
            self._retry(request, RETRY_INTERVAL_S, rejected=False)
            return
        request.gateway = self._random.choice(running)
        request.attempts = 0
        gateway = self._gateways[request.gateway]
        wait_s = gateway.check_admission(request, now)
        if wait_s is not None:
            self._reject(request, wait_s)
            return
        number = next(self._ids)
        self._requests[number] = request
        deadline_us = gateway.router.settings.classes[request.class_index].deadline_us
        table_group = self._random.randrange(TABLE_GROUPS)
        self._handle(gateway, RequestReceived(number, request.class_index, deadline_us, table_group))

    def _reject(self, request: SimulatedRequest, wait_s: float) -> None:
        self._statistics.rejections += 1
        self._retry(request, wait_s, rejected=True)

    def _retry(self, request: SimulatedRequest, wait_s: float, rejected: bool) -> None:
        now = self._events.now
        if request.behavior is ClientBehavior.IGNORES or wait_s <= 0:
            wait_s = RETRY_INTERVAL_S * self._random.uniform(0.5, 1.5)
        gives_up = rejected and request.behavior is ClientBehavior.GIVES_UP
        if gives_up or now + wait_s > request.created_at + CLIENT_TIMEOUT_S:
            self._statistics.record_loss(request.kind)
            return
        self._events.schedule(now + wait_s, partial(self._send_request, request))

    # ---- warehouses -----------------------------------------------------------------------------------
    def attempt_ended(self, number: int, result: AttemptResult) -> None:
        """Pass the end of an attempt to the router of the request's front end."""
        request = self._requests.get(number)
        if request is None or request.warehouse < 0:
            return
        now = self._events.now
        engine = request.warehouse + 1
        request.warehouse = -1
        succeeded = result is AttemptResult.OK
        if succeeded:
            del self._requests[number]
            self._statistics.record_answer(request.kind, now)
        took_us = int((now - request.attempt_started_at) * _US_PER_S)
        event = AttemptEnded(number, request.attempts - 1, engine, result, took_us, succeeded)
        self._handle(self._gateways[request.gateway], event)

    def endpoint_changed(self, index: int, state: EndpointState) -> None:
        """Send the changed state of a warehouse to all running front ends."""
        started_at = self._fleet.warehouses[index].started_at
        for gateway in self._gateways.values():
            if gateway.started_at <= self._events.now:
                entries = (_endpoint(index, state, started_at),)
                self._handle(gateway, EndpointList(ListScope.DELTA, entries))

    # ---- front ends -----------------------------------------------------------------------------------
    def _start_gateway(self, gateway: SimulatedGateway) -> None:
        """Load the endpoint list from before the power loss, then apply the starts reported since.

        In a staged strategy, all warehouses of the loaded list are treated as just started, thus cold.
        """
        listed_start_s = self._events.now if self.strategy.staged else PRE_LOSS_START_S
        warehouses = self._fleet.warehouses
        entries = tuple(
            _endpoint(index, EndpointState.READY, listed_start_s) for index in range(len(warehouses))
        )
        self._handle(gateway, EndpointList(ListScope.SNAPSHOT, entries))
        for index, warehouse in enumerate(warehouses):
            if self._fleet.discovered(warehouse):
                entry = _endpoint(index, EndpointState.READY, warehouse.started_at)
                self._handle(gateway, EndpointList(ListScope.DELTA, (entry,)))

    def _tick(self) -> None:
        now = self._events.now
        self._events.schedule(now + TICK_S, self._tick)
        self._fleet.update_speeds()
        down = [
            index not in self._gateways or self._gateways[index].started_at > now
            for index in range(self.loss.front_ends)
        ]
        conditions = StartupConditions(
            restored=True, endpoints_confirmed=now >= DISCOVERY_DELAY_S, has_peers=True
        )
        for gateway in self._gateways.values():
            if gateway.started_at > now or gateway.stages is None:
                continue
            gateway.stages.advance(now, conditions)
            if self.strategy is Strategy.STAGED and now >= FAILURE_DETECTION_S:
                gateway.fleet_size.update(now, down, 0)

    def _handle(self, gateway: SimulatedGateway, event: Event) -> None:
        """Pass an event to a front end's router and execute the actions that it returns."""
        now = self._events.now
        for action in gateway.router.handle(int((EPOCH_S + now) * _US_PER_S), event):
            match action:
                case SetTimer(at_us, token):
                    fires_at = max(now, at_us / _US_PER_S - EPOCH_S)
                    self._events.schedule(fires_at, partial(self._handle, gateway, TimerFired(token)))
                case Forward(number, engine, _):
                    self._forward(number, engine - 1)
                case Reject(number, retry_after_us):
                    self._on_rejected(gateway, number, retry_after_us / _US_PER_S)
                case Fail(number):
                    self._on_failed(number)
                case CancelAttempt(number, _):
                    self._events.schedule(now, partial(self._cancel, number))

    def _forward(self, number: int, warehouse: int) -> None:
        request = self._requests[number]
        request.attempts += 1
        request.warehouse = warehouse
        request.attempt_started_at = self._events.now
        self._fleet.start_attempt(warehouse, number, request.kind.threads, request.execution_s)

    def _remove_request(self, number: int) -> SimulatedRequest | None:
        """Remove a request and cancel its attempt; returns None if the request has already ended."""
        request = self._requests.pop(number, None)
        if request is not None and request.warehouse >= 0:
            self._fleet.cancel(request.warehouse, number)
        return request

    def _on_rejected(self, gateway: SimulatedGateway, number: int, retry_after_s: float) -> None:
        request = self._remove_request(number)
        if request is None:
            return
        if gateway.recovering:
            retry_after_s = gateway.retry_after_s(request, self._events.now)
        elif self.strategy is Strategy.JITTERED:
            retry_after_s = self._random.uniform(0.0, MAX_RETRY_AFTER_S)
        self._reject(request, retry_after_s)

    def _on_failed(self, number: int) -> None:
        request = self._remove_request(number)
        if request is not None:
            self._statistics.record_loss(request.kind)

    def _cancel(self, number: int) -> None:
        request = self._requests.get(number)
        if request is not None and request.warehouse >= 0:
            self._fleet.cancel(request.warehouse, number)
            self.attempt_ended(number, AttemptResult.CANCELLED)
