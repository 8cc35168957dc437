"""A discrete-event simulation of one gateway's teams and router with a model of engines.

The gateway's own `TeamScheduler` and `RequestRouter` make all decisions; engines, clients and the clock are
simulated. A run of ten minutes takes seconds and is deterministic.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count

import numpy as np

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
from lilacfront.decisions.settings import Idempotency, PolicyLimits, PolicySettings, RequestClass
from lilacfront.experiments import portable_math
from lilacfront.experiments.experiment_file import ClassEntry, Experiment, ExperimentFile
from lilacfront.experiments.findings import Findings, ObservedWait
from lilacfront.lab.engines import EngineModel
from lilacfront.load.schedule import ScheduledRequest, schedule
from lilacfront.teams.cost_model import CostModel
from lilacfront.teams.queued_request import AdmitRequest, RejectRequest, TeamDecision
from lilacfront.teams.scheduler import TeamScheduler
from lilacfront.teams.wait_estimate import WaitEstimate

LIMITS = PolicyLimits(
    max_attempts=5, may_cancel=True, may_send_retry_after=True, max_retry_after_us=2_000_000
)
EXECUTION_TIME_STREAM = 77  # seeds the random execution times, together with the experiment's seed
TABLE_GROUPS = 50  # the table group of a request is its number modulo this
SECONDS_PER_MINUTE = 60
SERVED = "served"
FAILED = "failed"
REJECTED_BY_ROUTER = "refused by the module"
REJECTED_BY_TEAMS = "refused: "  # a prefix; the reason follows
ZERO_WAIT = WaitEstimate(0.0, 0.0, 0.0)


@dataclass(slots=True)
class SimulatedRequest:
    """A simulated request. Times are in seconds on the simulation's clock.

    Attributes:
        scheduled: The request in the schedule of the load plan.
        class_index: The index of the request class.
        team: The team whose queue the request enters.
        arrived_at: The time of arrival.
        deadline: The time at which the client stops waiting.
        execution_s: The execution time on an idle engine.
        estimate: The estimate of the queue wait, made on arrival.
        admitted_at: The time at which the request left the queue.
        attempts: The number of attempts started.
        executed_s: The total duration of the attempts that have ended.
    """

    scheduled: ScheduledRequest
    class_index: int
    team: str
    arrived_at: float
    deadline: float
    execution_s: float
    estimate: WaitEstimate = ZERO_WAIT
    admitted_at: float = 0.0
    attempts: int = 0
    executed_s: float = 0.0


@dataclass(slots=True, frozen=True)
class RunningAttempt:
    """An attempt in progress: its engine, its index in the request, and its start time."""

    engine: int
    attempt: int
    started_at: float


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer of the router expires."""

    token: int


@dataclass(slots=True, frozen=True)
class AttemptCancelDue:
    """The current attempt of a request is cancelled at its engine, as the router decided."""

    request: int


@dataclass(slots=True, frozen=True)
class RequestEnded:
    """The scheduler is notified that a request ended; `execution_s` is None if it had no attempt."""

    request: int
    execution_s: float | None


@dataclass(slots=True, frozen=True)
class SpeedChange:
    """The speed of an engine changes at the start or end of a fault; at speed 0 the engine is down."""

    engine_name: str
    speed: float


ScheduledEvent = TimerDue | AttemptCancelDue | RequestEnded | SpeedChange


def _request_class(entry: ClassEntry) -> RequestClass:
    is_idempotent = entry.idempotency == "safe"
    return RequestClass(
        latency_objective_us=int(entry.latency_objective_s * 1e6),
        deadline_us=int(entry.deadline_s * 1e6),
        priority_weight=entry.priority_weight,
        threads=entry.threads,
        idempotency=Idempotency.IDEMPOTENT if is_idempotent else Idempotency.NOT_IDEMPOTENT,
    )


def _router(file: ExperimentFile, machine_type_cores: list[float]) -> RequestRouter:
    classes = tuple(_request_class(entry) for entry in file.classes)
    return RequestRouter(PolicySettings(classes, tuple(machine_type_cores), LIMITS), file.seed)


class Simulation:
    """The simulation of one experiment."""

    def __init__(self, experiment: Experiment) -> None:
        file = experiment.file
        machine_type_cores = sorted({entry.cores for entry in file.engines})
        self._experiment = experiment
        self._findings = Findings()
        self._engines = {number: EngineModel(entry.cores) for number, entry in enumerate(file.engines, 1)}
        self._engine_numbers = {entry.name: number for number, entry in enumerate(file.engines, 1)}
        self._machine_types = {
            number: machine_type_cores.index(entry.cores) for number, entry in enumerate(file.engines, 1)
        }
        self._router = _router(file, machine_type_cores)
        cost_model = CostModel([entry.threads for entry in file.classes], 0.0)
        self._scheduler = TeamScheduler(experiment.teams, cost_model, 0.0)
        self._now = 0.0
        self._events: list[tuple[float, int, ScheduledEvent]] = []
        self._event_ids = count(1)
        self._request_numbers = count(1)
        self._requests: dict[int, SimulatedRequest] = {}
        self._running: dict[int, RunningAttempt] = {}
        self._random = np.random.default_rng([file.seed, EXECUTION_TIME_STREAM])
        self._next_tick_at = math.inf

    def run(self) -> Findings:
        """Runs until all requests have ended; returns the findings."""
        self._publish_endpoints()
        for fault in self._experiment.file.faults:
            self._schedule(fault.at_s, SpeedChange(fault.engine, fault.speed))
            self._schedule(fault.at_s + fault.seconds, SpeedChange(fault.engine, 1.0))
        arrivals = self._arrivals()
        arrival = next(arrivals, None)
        while arrival is not None or self._requests or self._running:
            engine_at, engine_number = min(
                (model.next_completion_at(), number) for number, model in self._engines.items()
            )
            event_at = self._events[0][0] if self._events else math.inf
            arrival_at = arrival.due_s if arrival is not None else math.inf
            self._now = max(self._now, min(engine_at, event_at, arrival_at, self._next_tick_at))
            if engine_at <= self._now:
                self._finish_executions(engine_number)
            elif event_at <= self._now:
                self._handle(heapq.heappop(self._events)[2])
            elif arrival is not None and arrival_at <= self._now:
                self._arrive(next(self._request_numbers), arrival)
                arrival = next(arrivals, None)
            else:
                self._apply(self._scheduler.tick(self._now))
        return self._findings

    def _arrivals(self) -> Iterator[ScheduledRequest]:
        streams = [schedule(plan, self._experiment.folder) for plan in self._experiment.plans]
        return heapq.merge(*streams, key=lambda scheduled: scheduled.due_s)

    def _schedule(self, at: float, event: ScheduledEvent) -> None:
        heapq.heappush(self._events, (at, next(self._event_ids), event))

    # ---- events -------------------------------------------------------------------------------------
    def _handle(self, event: ScheduledEvent) -> None:
        match event:
            case TimerDue():
                self._route(TimerFired(event.token))
            case AttemptCancelDue():
                self._cancel_attempt(event.request)
            case RequestEnded():
                self._apply(self._scheduler.request_ended(self._now, event.request, event.execution_s))
            case SpeedChange():
                self._change_speed(event)

    def _publish_endpoints(self) -> None:
        entries = tuple(
            Endpoint(
                number,
                EndpointState.READY if engine.running else EndpointState.REMOVED,
                machine_type=self._machine_types[number],
            )
            for number, engine in self._engines.items()
        )
        self._route(EndpointList(ListScope.SNAPSHOT, entries))
        ready_cores = sum(engine.cores for engine in self._engines.values() if engine.running)
        self._apply(self._scheduler.set_capacity(self._now, ready_cores))

    def _change_speed(self, change: SpeedChange) -> None:
        engine = self._engines[self._engine_numbers[change.engine_name]]
        engine.advance(self._now)
        engine.speed = change.speed
        engine.running = change.speed > 0
        if not engine.running:
            for request in list(engine.executions):
                del engine.executions[request]
                self._end_attempt(request, AttemptResult.RESET)
        self._publish_endpoints()

    def _arrive(self, number: int, scheduled: ScheduledRequest) -> None:
        experiment = self._experiment
        class_index = experiment.class_names.index(scheduled.profile.class_name)
        entry = experiment.file.classes[class_index]
        execution_s = entry.median_s * portable_math.exp(entry.sigma * self._random.standard_normal())
        team = experiment.teams.team_of(scheduled.profile.user.encode(), (), class_index, scheduled.statement)
        deadline = self._now + entry.deadline_s
        request = SimulatedRequest(scheduled, class_index, team, self._now, deadline, execution_s)
        self._requests[number] = request
        self._findings.sent += 1
        decisions = self._scheduler.enqueue(
            self._now, number, team, class_index, scheduled.statement, deadline
        )
        request.estimate = self._scheduler.wait_estimate(number) or request.estimate
        self._apply(decisions)

    def _finish_executions(self, engine_number: int) -> None:
        engine = self._engines[engine_number]
        engine.advance(self._now)
        for request in engine.remove_completed():
            self._end_attempt(request, AttemptResult.OK)

    def _end_attempt(self, number: int, result: AttemptResult) -> None:
        running = self._running.pop(number)
        duration_s = self._now - running.started_at
        request = self._requests.get(number)
        if request is not None:
            request.executed_s += duration_s
        if result is AttemptResult.OK:
            self._end_request(number, SERVED)
        is_final = number not in self._requests
        duration_us = int(duration_s * 1e6)
        self._route(AttemptEnded(number, running.attempt, running.engine, result, duration_us, is_final))

    def _cancel_attempt(self, number: int) -> None:
        running = self._running.get(number)
        if running is not None:
            engine = self._engines[running.engine]
            engine.advance(self._now)
            del engine.executions[number]
            self._end_attempt(number, AttemptResult.CANCELLED)

    # ---- decisions ----------------------------------------------------------------------------------
    def _apply(self, decisions: list[TeamDecision]) -> None:
        for decision in decisions:
            if isinstance(decision, AdmitRequest):
                self._admit(decision.number)
            else:
                self._reject(decision)
        self._next_tick_at = self._scheduler.next_tick_at()

    def _reject(self, decision: RejectRequest) -> None:
        request = self._requests.pop(decision.number)
        self._findings.outcomes[REJECTED_BY_TEAMS + decision.reason] += 1
        minute = int(request.arrived_at // SECONDS_PER_MINUTE)
        self._findings.minutes[request.team][minute].rejected += 1

    def _admit(self, number: int) -> None:
        request = self._requests[number]
        request.admitted_at = self._now
        waited_s = self._now - request.arrived_at
        self._findings.waits.append(
            ObservedWait(request.arrived_at, request.team, request.estimate, waited_s)
        )
        time_left_us = max(0, int((request.deadline - self._now) * 1e6))
        self._route(RequestReceived(number, request.class_index, time_left_us, number % TABLE_GROUPS))

    def _route(self, event: Event) -> None:
        for action in self._router.handle(int(self._now * 1e6), event):
            match action:
                case SetTimer(at_us, token):
                    self._schedule(at_us / 1e6, TimerDue(token))
                case Forward(number, engine, _):
                    self._start_attempt(number, engine)
                case Reject(number, _):
                    self._end_request(number, REJECTED_BY_ROUTER)
                case Fail(number):
                    self._end_request(number, FAILED)
                case CancelAttempt(number, _):
                    self._schedule(self._now, AttemptCancelDue(number))

    def _start_attempt(self, number: int, engine_number: int) -> None:
        request = self._requests[number]
        engine = self._engines[engine_number]
        self._running[number] = RunningAttempt(engine_number, request.attempts, self._now)
        request.attempts += 1
        engine.advance(self._now)
        threads = self._experiment.file.classes[request.class_index].threads
        engine.start_execution(number, threads, request.execution_s)

    def _end_request(self, number: int, outcome: str) -> None:
        request = self._requests.pop(number, None)
        if request is None:
            return
        entry = self._experiment.file.classes[request.class_index]
        is_served = outcome == SERVED
        executed_s = request.executed_s
        if number in self._running and not is_served:
            executed_s += self._now - self._running[number].started_at
        self._findings.outcomes[outcome] += 1
        minute = self._findings.minutes[request.team][int(request.admitted_at // SECONDS_PER_MINUTE)]
        minute.thread_seconds += entry.threads * executed_s
        minute.served += is_served
        minute.rejected += not is_served
        if is_served:
            self._findings.latency[request.team, entry.name].append(self._now - request.arrived_at)
        # Deferred until the router's call returns, since the scheduler may admit requests immediately.
        self._schedule(self._now, RequestEnded(number, executed_s if request.attempts else None))
