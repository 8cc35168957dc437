"""Seeded event streams for a few routers, with a digest of all their actions.

Each stream simulates a small fleet on a virtual clock: engines fail, hang, refuse connections, become
overloaded, drain and restart cold; clients disconnect; peers exchange gossip; gateways stall. The digest does
not depend on the names of classes and fields.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from event_stream_model import ACTION_CODES, EngineModel, SentAttempt, Stream, encode_action

from lilacfront.decisions.actions import (
    Action,
    CancelAttempt,
    Fail,
    Forward,
    Reject,
    SendPeerMessage,
    SetTimer,
)
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptNotification,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    ListScope,
    LoadReport,
    NotificationKind,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from lilacfront.decisions.router import RequestRouter

START_US = 100_000_000
SECOND_US = 1_000_000
RESULTS = tuple(AttemptResult)
CHANGES = ("drain", "ready", "restart", "join", "remove", "snapshot", "failed", "cached", "invalid events")


@dataclass(slots=True)
class FleetRun:
    """The simulation of one stream.

    Attributes:
        event_count: Number of events sent to the routers.
        digest: Digest of all actions and of the results of `may_begin`.
        codes: Codes of the actions that occurred.
        results: Results of attempts that occurred.
        calls: Heap of calls with their time and sequence number.
        stalled_until: By gateway: end of its stall.
    """

    stream: Stream
    now: int = START_US
    event_count: int = 0
    digest: hashlib._Hash = field(default_factory=hashlib.sha256)
    codes: set[str] = field(default_factory=set)
    results: set[AttemptResult] = field(default_factory=set)

    rng: random.Random = field(init=False)
    routers: dict[int, RequestRouter] = field(init=False)
    engines: dict[int, EngineModel] = field(init=False)
    calls: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    sequence: count[int] = field(default_factory=count)
    request_numbers: count[int] = field(default_factory=lambda: count(1))
    received: dict[int, RequestReceived] = field(default_factory=dict)
    attempts: dict[int, list[SentAttempt]] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    stalled_until: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        stream = self.stream
        self.rng = random.Random(stream.seed)
        self.engines = {
            n: EngineModel(
                Endpoint(n, EndpointState.READY, 0, n % 3, self.machine_type(n), n % stream.zone_count)
            )
            for n in range(1, stream.engine_count + 1)
        }
        self.routers = {
            gateway: RequestRouter(replace(stream.settings, gateway_index=gateway), stream.seed + gateway)
            for gateway in stream.gateways
        }

    def machine_type(self, engine: int) -> int:
        return engine % len(self.stream.settings.machine_type_cores)

    # ---- clock and routers --------------------------------------------------------------------------
    def call_at(self, at_us: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.calls, (at_us, next(self.sequence), call))

    def send(self, gateway: int, event: Event) -> None:
        self.event_count += 1
        actions = self.routers[gateway].handle(self.now, event)
        self.digest.update(f"{self.now}/{gateway}:{';'.join(map(encode_action, actions))}\n".encode())
        for action in actions:
            self.codes.add(ACTION_CODES[type(action)])
            self.carry_out(gateway, action)

    def carry_out(self, gateway: int, action: Action) -> None:
        match action:
            case Forward(request, engine, _):
                self.forward(gateway, request, engine)
            case Reject(request, _):
                self.answered.add(request)
            case Fail(request):
                self.answered.add(request)
            case CancelAttempt(request, number):
                self.call_at(
                    self.now + 1_000, lambda: self.end(gateway, request, number, AttemptResult.CANCELLED)
                )
            case SetTimer(at_us, token):
                self.call_at(max(self.now, at_us), lambda: self.fire(gateway, token))
            case SendPeerMessage(peer, data):
                target = peer if peer in self.routers else self.rng.choice(self.stream.gateways)
                delay_us = self.rng.randint(1_000, 200_000)
                self.call_at(
                    self.now + delay_us, lambda: self.send(target, PeerMessageReceived(gateway, data))
                )

    def fire(self, gateway: int, token: int) -> None:
        """Fire a timer, or delay it to the end of the gateway's stall."""
        until = self.stalled_until.get(gateway, 0)
        if self.now < until:
            self.call_at(until, lambda: self.send(gateway, TimerFired(token)))
        else:
            self.send(gateway, TimerFired(token))

    def run(self) -> None:
        stream = self.stream
        for gateway in self.routers:
            endpoints = tuple(model.endpoint for model in self.engines.values())
            self.send(gateway, EndpointList(ListScope.CACHED, endpoints[: stream.engine_count // 2 + 1]))
            self.send(gateway, EndpointList(ListScope.SNAPSHOT, endpoints))
        for gateway in self.routers:
            self.call_at(self.now + 1, lambda gateway=gateway: self.send_request(gateway))  # type: ignore[misc]
        self.call_at(self.now + int(stream.change_interval_s * SECOND_US), self.change_endpoint_list)
        self.call_at(self.now + SECOND_US // 2, self.change_faults)
        while self.event_count < stream.event_count:
            self.now, _, call = heapq.heappop(self.calls)
            call()

    # ---- clients --------------------------------------------------------------------------------------
    def send_request(self, gateway: int) -> None:
        stream, rng = self.stream, self.rng
        class_index = rng.randrange(len(stream.settings.classes))
        spec = stream.settings.classes[class_index]
        work_us = int(spec.latency_objective_us * spec.threads * 0.2 * rng.uniform(0.3, 3.0))
        work_us *= 1 if rng.random() < 0.99 else 1000
        event = RequestReceived(
            next(self.request_numbers),
            class_index,
            int(spec.deadline_us * rng.uniform(0.5, 1.0)),
            min(rng.randint(1, stream.table_group_count), rng.randint(1, stream.table_group_count)),
            rng.randint(0, 3),
            rng.randint(0, max(1, len(stream.settings.tenants))),
            rng.random() < 0.05,
            work_us if stream.has_work_estimates and rng.random() < 0.7 else None,
            None,
        )
        self.received[event.request] = event
        self.attempts[event.request] = []
        self.send(gateway, event)
        if rng.random() < 0.01:
            self.send(gateway, event)  # repeated request number, which must be ignored
        if rng.random() < stream.disconnect_rate:
            self.call_at(
                self.now + rng.randint(0, spec.deadline_us // 2),
                lambda: self.disconnect(gateway, event.request),
            )
        cores = sum(stream.settings.machine_type_cores) / len(stream.settings.machine_type_cores)
        total_work_us = 0.3 * sum(c.latency_objective_us * c.threads for c in stream.settings.classes)
        mean_work_us = total_work_us / len(stream.settings.classes)
        rate = stream.relative_load * cores * stream.engine_count / mean_work_us
        burst = 3.0 if (self.now // (4 * SECOND_US)) % 3 == 2 else 0.8
        gap_us = 1.0 + len(self.routers) / (rate * burst) * rng.uniform(0.0, 2.0)
        self.call_at(self.now + int(gap_us), lambda: self.send_request(gateway))

    def disconnect(self, gateway: int, request: int) -> None:
        self.answered.add(request)
        self.send(gateway, ClientDisconnected(request))

    # ---- engines --------------------------------------------------------------------------------------
    def forward(self, gateway: int, request: int, engine: int) -> None:
        number = len(self.attempts[request])
        self.attempts[request].append(SentAttempt(engine, self.now))
        delay_us = self.rng.randint(800_000, 2_000_000) if self.rng.random() < 0.05 else 500
        self.call_at(self.now + delay_us, lambda: self.begin(gateway, request, number))

    def begin(self, gateway: int, request: int, number: int) -> None:
        attempt = self.attempts[request][number]
        if attempt.has_ended:
            return
        is_allowed = self.routers[gateway].may_begin(self.now, request)
        self.digest.update(f"{self.now}/{gateway}?{request},{int(is_allowed)}\n".encode())
        if not is_allowed:
            self.end(gateway, request, number, AttemptResult.NEVER_SENT)
            return
        attempt.is_sent = True
        model, rng = self.engines[attempt.engine], self.rng
        model.in_flight += 1
        result = rng.choice(RESULTS) if rng.random() < self.stream.fault_rate else AttemptResult.OK
        event = self.received[request]
        spec = self.stream.settings.classes[event.class_index]
        cores = self.stream.settings.machine_type_cores[model.endpoint.machine_type]
        work_us = event.estimated_work_us or int(spec.latency_objective_us * spec.threads * 0.25)
        duration_us = int(
            work_us / spec.threads * max(1.0, model.in_flight / cores) * rng.lognormvariate(-0.2, 0.6)
        )
        if model.endpoint.started_us:
            duration_us *= 2
        if model.fault == "errors" and rng.random() < 0.8:
            result, duration_us = AttemptResult.ERROR, 2_000
        elif model.fault == "down":
            result, duration_us = AttemptResult.CONNECT_FAILED, 500
        elif model.fault == "resets" and rng.random() < 0.5:
            result, duration_us = AttemptResult.RESET, min(duration_us, 3_000)
        elif model.fault == "hang" or rng.random() < 0.01:
            duration_us = 10 * spec.deadline_us
        deadline_us = attempt.sent_us + event.time_left_us
        if duration_us + self.now > deadline_us:
            result, duration_us = AttemptResult.TIMEOUT, max(1, deadline_us - self.now)
        self.notify(gateway, request, number, duration_us, model.fault == "hang")
        if spec.is_streamed and result is AttemptResult.OK:
            started = ResponseStarted(request, number, attempt.engine)
            self.call_at(self.now + duration_us // 2, lambda: self.send(gateway, started))
        end_us = self.now + max(1, duration_us)
        self.call_at(end_us, lambda: self.end(gateway, request, number, result, work_us))

    def notify(self, gateway: int, request: int, number: int, duration_us: int, is_silent: bool) -> None:
        """Schedule the engine's notifications about a running attempt."""
        interval_us, rng = self.stream.settings.notification_interval_us, self.rng
        attempt = self.attempts[request][number]
        if interval_us and not is_silent:
            for index in range(1, min(5, duration_us // interval_us + 1)):
                progress = min(1.0, index * interval_us / duration_us * rng.uniform(0.5, 1.2))
                kind = NotificationKind.PROGRESS
                event = AttemptNotification(request, number, attempt.engine, kind, progress)
                at_us = self.now + index * interval_us
                self.call_at(at_us, lambda event=event: self.send(gateway, event))  # type: ignore[misc]
        if rng.random() < 0.05:
            kind = rng.choice(tuple(NotificationKind)[1:])
            event = AttemptNotification(request, number, attempt.engine, kind, 2.0)
            self.call_at(self.now + min(duration_us, 30_000), lambda: self.send(gateway, event))

    def end(self, gateway: int, request: int, number: int, result: AttemptResult, work_us: int = 0) -> None:
        attempt = self.attempts[request][number]
        if attempt.has_ended:
            return
        attempt.has_ended = True
        model, rng = self.engines[attempt.engine], self.rng
        model.in_flight -= attempt.is_sent
        self.results.add(result)
        report = None
        if (
            self.stream.has_load_reports
            and attempt.is_sent
            and result in (AttemptResult.OK, AttemptResult.ERROR)
        ):
            cores = self.stream.settings.machine_type_cores[model.endpoint.machine_type]
            utilization = min(1.0, model.in_flight / cores)
            report = rng.choice(
                (
                    LoadReport(utilization, float(model.in_flight)),
                    LoadReport(utilization),
                    LoadReport(None, 2.0),
                    None,
                )
            )
        if result is AttemptResult.OK:
            self.answered.add(request)
        is_final = request in self.answered
        reported_us = (
            work_us if work_us and self.stream.settings.reports_cost and result is AttemptResult.OK else None
        )
        duration_us = self.now - attempt.sent_us
        event = AttemptEnded(
            request, number, attempt.engine, result, duration_us, is_final, reported_us, None, report
        )
        self.send(gateway, event)
        if rng.random() < 0.01:
            self.send(gateway, event)  # repeated event for an ended attempt, which must be ignored

    def change_faults(self) -> None:
        """Assign new faults to random engines and clear all others."""
        rng = self.rng
        for model in self.engines.values():
            model.fault = ""
        for engine in rng.sample(sorted(self.engines), min(self.stream.faulty_engines, len(self.engines))):
            self.engines[engine].fault = rng.choice(("errors", "down", "hang", "resets", ""))
        self.call_at(self.now + rng.randint(SECOND_US, 5 * SECOND_US), self.change_faults)

    # ---- discovery ------------------------------------------------------------------------------------
    def change_endpoint_list(self) -> None:
        """Change the endpoint list and send it to every router after a delay, or send invalid events."""
        rng, numbers = self.rng, sorted(self.engines)
        change = rng.choice(CHANGES)
        model = self.engines[rng.choice(numbers)]
        entry = model.endpoint
        if change == "drain":
            model.endpoint = replace(entry, state=EndpointState.DRAINING)
        elif change == "ready":
            model.endpoint = replace(entry, state=EndpointState.READY)
        elif change == "restart":
            model.endpoint = replace(entry, state=EndpointState.READY, started_us=self.now)
        elif change == "remove" and len(numbers) > self.stream.engine_count // 2 + 1:
            model.endpoint = replace(entry, state=EndpointState.REMOVED)
        elif change == "join":
            model = self.join(numbers[-1] + 1)
        for gateway in self.routers:
            event = self.endpoint_event(change, model.endpoint)
            delay_us = rng.randint(0, 300_000)
            self.call_at(
                self.now + delay_us,
                lambda gateway=gateway, event=event: self.send(gateway, event),  # type: ignore[misc]
            )
            if change == "invalid events":
                self.send_invalid_events(gateway, model.endpoint.engine)
        self.call_at(
            self.now + int(self.stream.change_interval_s * SECOND_US * rng.uniform(0.3, 2.0)),
            self.change_endpoint_list,
        )

    def join(self, engine: int) -> EngineModel:
        location = (engine % 3, self.machine_type(engine), engine % self.stream.zone_count)
        model = EngineModel(Endpoint(engine, EndpointState.READY, self.now, *location))
        self.engines[engine] = model
        return model

    def endpoint_event(self, change: str, entry: Endpoint) -> EndpointList:
        if change == "failed":
            return EndpointList(ListScope.FAILED)
        if change not in ("snapshot", "cached"):
            return EndpointList(ListScope.DELTA, (entry,))
        models = self.engines.values()
        remaining = [m.endpoint for m in models if m.endpoint.state is not EndpointState.REMOVED]
        listed = tuple(remaining[: max(3, len(remaining) - self.rng.randint(0, 1))])
        return EndpointList(ListScope.SNAPSHOT if change == "snapshot" else ListScope.CACHED, listed)

    def send_invalid_events(self, gateway: int, engine: int) -> None:
        """Send events with unknown requests, peers and timers, and stall the gateway."""
        rng = self.rng
        self.stalled_until[gateway] = self.now + rng.randint(0, 300_000)
        self.send(gateway, TimerFired(rng.randint(0, 400)))
        self.send(gateway, PeerMessageReceived(1, rng.randbytes(13)))
        self.send(gateway, AttemptEnded(rng.randint(1, 99), 0, engine, AttemptResult.OK, 5))
        self.send(gateway, ResponseStarted(10**9, 0, engine))


def run_stream(stream: Stream) -> FleetRun:
    """Simulate the whole stream."""
    fleet_run = FleetRun(stream)
    fleet_run.run()
    return fleet_run
