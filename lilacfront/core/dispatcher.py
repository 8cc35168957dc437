"""Blocking interface between the tasks that serve requests and the router.

The task of a request calls `next_decision`, which blocks and returns either an engine or a final answer. For
an engine, the task makes the attempt, reports its outcome with `attempt_ended` and calls `next_decision`
again. When the router cancels an attempt, the task is interrupted wherever it waits.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import count

from lilacfront.core import request_log
from lilacfront.core.action_executor import DEADLINE_GRACE_S, ActionExecutor
from lilacfront.core.answer_transit import AnswerTransit
from lilacfront.core.attempt_reporter import AttemptReporter
from lilacfront.core.endpoints import ReadyEngines
from lilacfront.core.hooks import AdmissionPolicy, EngineConnections, PeerTransport
from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import (
    Assignment,
    AttemptEnding,
    AttemptOutcome,
    Cancelled,
    Completed,
    DeliveryStage,
    Failed,
    Notification,
    Rejected,
    Request,
    RoutingDecision,
)
from lilacfront.core.team_admission import TeamAdmission
from lilacfront.core.timer_runner import TimerRunner
from lilacfront.core.timers import Timers
from lilacfront.decisions.events import (
    ClientDisconnected,
    EndpointList,
    PeerMessageReceived,
    TimerFired,
)
from lilacfront.decisions.router import FIRST_DEADLINE_TIMER, RequestRouter
from lilacfront.decisions.settings import PolicySettings
from lilacfront.discovery.endpoint_list import EngineProcess
from lilacfront.logs import Log
from lilacfront.sched import Loop, PeerState, Task
from lilacfront.teams.scheduler import TeamScheduler
from lilacfront.teams.settings import TeamsSettings

log = Log(__name__)
# The longest wait of an attempt until the input of its client is read.
MAX_CLIENT_WAIT_S = 1.0


class RequestDispatcher:
    """Connects the request tasks of one loop to the router of one gateway.

    Attributes:
        router: Chooses the engine for each attempt.
    """

    def __init__(
        self,
        loop: Loop,
        settings: PolicySettings,
        seed: int,
        connections: EngineConnections,
        scheduler: TeamScheduler | None = None,
    ) -> None:
        """Build the router and what connects it to the loop.

        Args:
            loop: Runs the tasks and provides the clock.
            settings: Settings of the router.
            seed: Seed of the router's random draws.
            connections: Its `stop_sending` is called for each engine that is no longer ready.
            scheduler: Queues requests by team; without it, requests go directly to the router.
        """
        self.router = RequestRouter(settings, seed)
        self._loop = loop
        self._requests: dict[int, InFlightRequest] = {}
        self._numbers = count(1)
        self._timers = Timers(loop)
        self._answer_transit = AnswerTransit(loop)
        self._engines = ReadyEngines(connections, settings.machine_type_cores)
        self._executor = ActionExecutor(
            loop, settings, self.router, self._requests, self._engines, self._timers
        )
        self._reporter = AttemptReporter(loop, self._executor)
        self._team_admission: TeamAdmission | None = None
        if scheduler is not None:
            self._team_admission = TeamAdmission(
                loop, scheduler, self._requests, self._executor, self._timers
            )
        self._timer_runner = TimerRunner(self._timers, self._executor, self._team_admission)

    @property
    def in_flight_count(self) -> int:
        """Number of requests in flight."""
        return len(self._requests)

    @property
    def ready_cores(self) -> float:
        """Total cores of all ready engines."""
        return self._engines.cores

    @property
    def ready_engine_count(self) -> int:
        """Number of engines that requests may be sent to."""
        return len(self._engines)

    @property
    def has_teams(self) -> bool:
        """Whether requests are queued by team."""
        return self._team_admission is not None

    # ---- connections to other parts -----------------------------------------------------------------
    def set_peer_transport(self, transport: PeerTransport) -> None:
        """Send the router's gossip through `transport`; without a transport, gossip is dropped."""
        self._executor.peer_transport = transport

    def set_admission_policy(self, policy: AdmissionPolicy) -> None:
        """Use `policy` to restrict admission while the gateway recovers."""
        self._executor.admission_policy = policy

    def replace_team_settings(self, settings: TeamsSettings) -> None:
        """Replace the team settings; queued requests stay queued. Requires `has_teams`."""
        assert self._team_admission is not None
        self._team_admission.replace_settings(settings)

    def update_endpoints(self, update: EndpointList, processes: Mapping[int, EngineProcess]) -> None:
        """Apply an endpoint list; `processes` maps engine numbers to their processes."""
        withdrawn = self._engines.update(update, processes)
        log.debug("endpoint list received", at=self._loop.now, endpoints=update.endpoints)
        self._executor.handle(update)
        self._engines.stop_sending(withdrawn)
        if self._team_admission is not None:
            self._team_admission.set_ready_cores(self._engines.cores)

    def receive_peer_message(self, sender: int, data: bytes) -> None:
        """Pass gossip from another gateway to the router."""
        self._executor.handle(PeerMessageReceived(sender, data))

    def hold_key(self, ordering_key: int) -> None:
        """Hold back requests of a key until `release_key`: another process serves an earlier one of the key.

        A key of 0 stands for no key. Each call has to be followed by one of `release_key`.
        """
        self.router.hold_key(ordering_key)

    def release_key(self, ordering_key: int) -> None:
        """Release a key that is held because of one request, which has ended at the other process."""
        self.router.release_key(ordering_key)
        self._answer_transit.record_answer(ordering_key)

    def keys_in_use(self) -> set[int]:
        """Return the keys with requests, holds, attempts that may still run, or answers on their way."""
        return self.router.keys_in_use(self._executor.now_us) | self._answer_transit.keys()

    @property
    def ordering_gap_s(self) -> float:
        """Time for which an attempt without a known end may still run, in seconds."""
        return self.router.state.settings.rules.ordering_gap_us / 1e6

    # ---- request lifecycle --------------------------------------------------------------------------
    def submit(self, request: Request, task: Task) -> InFlightRequest:
        """Register a request from a frontend and queue or route it; see `next_decision`."""
        in_flight = InFlightRequest(self, next(self._numbers), request, task)
        self._requests[in_flight.number] = in_flight
        request_log.received(in_flight, self._loop.now)
        policy = self._executor.admission_policy
        answer = policy.admission_answer(request) if policy is not None else None
        if answer is not None:
            in_flight.answered_at_admission = True
            in_flight.decision = answer
        elif self._team_admission is None:
            self._executor.route(in_flight)
        else:
            self._team_admission.enqueue(in_flight)
        return in_flight

    def next_decision(self, in_flight: InFlightRequest) -> RoutingDecision:
        """Block until the next decision on a request: an attempt to make, or the final answer."""
        decision = self._wait_for_decision(in_flight)
        in_flight.decision = None
        if isinstance(decision, Assignment):
            in_flight.start_attempt(decision, self._loop.now)
            self._loop.sleep(
                in_flight.task, self._answer_transit.earliest_send(in_flight.request.ordering_key)
            )
            latest = min(decision.deadline, self._loop.now + MAX_CLIENT_WAIT_S)
            in_flight.request.client.wait_for_handled_input(in_flight.task, latest)
            return decision
        in_flight.is_completed = isinstance(decision, Completed)
        request_log.answered(in_flight, decision, self._loop.now)
        self._answer_transit.record_answer(in_flight.request.ordering_key)
        self._remove(in_flight)
        return decision

    def _wait_for_decision(self, in_flight: InFlightRequest) -> RoutingDecision:
        wait_end = in_flight.request.deadline + DEADLINE_GRACE_S
        in_flight.is_waiting = True
        while in_flight.decision is None:
            if self._loop.wait(in_flight.task, wait_end) is None:
                continue
            if in_flight.task.interrupted:
                # The interruption was for an attempt that has already ended.
                in_flight.task.clear_interruption()
            elif in_flight.decision is None:
                # The router sent no final answer by the deadline and the grace period; fail the request here.
                self.cancel(in_flight)
                in_flight.decision = Failed(is_deadline_exceeded=True, detail=in_flight.error_detail)
        in_flight.is_waiting = False
        return in_flight.decision

    def may_begin(self, in_flight: InFlightRequest) -> bool:
        """Whether an assigned attempt may still begin; called right before its first byte is sent.

        A slow connect or a peer that does not read can delay the first byte after the decision. Meanwhile the
        client may have disconnected, also behind input that is not read yet. The engine may have started to
        drain, the request's deadline or the deduplication window of its class may have passed, or an engine
        in slow start may have entered its next window.
        """
        assignment = in_flight.assignment
        if assignment is None or in_flight.decision is not None or in_flight.task.interrupted:
            return False
        client_state = in_flight.request.client.peer_state()
        if client_state is PeerState.CLOSED:
            self.cancel(in_flight)
        if client_state is not PeerState.OPEN:
            return False
        is_ready = self._engines.is_ready(assignment.engine)
        return is_ready and self.router.may_begin(self._executor.now_us, in_flight.number)

    def attempt_notified(self, in_flight: InFlightRequest, notification: Notification) -> None:
        """Report progress of the attempt under way, as received from the engine."""
        self._reporter.report_notification(in_flight, notification)

    def response_started(self, in_flight: InFlightRequest) -> None:
        """Report the first response part sent to the client: the attempt can't be cancelled any more."""
        self._reporter.report_response_started(in_flight)

    def attempt_ended(
        self, in_flight: InFlightRequest, outcome: AttemptOutcome, has_started: bool = False
    ) -> None:
        """Report how the attempt ended; if the request ends with it, `next_decision` returns the answer.

        Args:
            in_flight: The request.
            outcome: Outcome of the attempt under way.
            has_started: Whether a part of the response was sent to the client, which rules out a retry.
        """
        self._reporter.report_end(in_flight, outcome, has_started)

    def cancel(self, in_flight: InFlightRequest) -> None:
        """End a request whose client has disconnected, and cancel an attempt under way."""
        if in_flight.number not in self._requests:
            return
        self._executor.deliver_decision(in_flight, Cancelled())
        if not in_flight.in_team_queue:
            self._executor.handle(ClientDisconnected(in_flight.number))
        elif self._team_admission is not None:
            self._team_admission.remove(in_flight)
        if in_flight.attempt_under_way:
            in_flight.task.interrupt()

    def abandon(self, in_flight: InFlightRequest) -> None:
        """Clean up after the request's task failed: cancel the request and end an attempt under way."""
        self.cancel(in_flight)
        if in_flight.attempt_under_way:
            self.attempt_ended(in_flight, AttemptOutcome(AttemptEnding.CANCELLED, DeliveryStage.WRITTEN))
        self._remove(in_flight)

    def expire(self, in_flight: InFlightRequest) -> None:
        """End the request as if its deadline had passed."""
        if in_flight.number not in self._requests:
            return
        if not in_flight.in_team_queue:
            self._executor.handle(TimerFired(FIRST_DEADLINE_TIMER + in_flight.number))
        elif self._team_admission is not None:
            self._executor.deliver_decision(in_flight, Rejected(0))
            self._team_admission.remove(in_flight)

    def expire_all(self) -> None:
        """End all requests in flight as if their deadlines had passed."""
        for in_flight in list(self._requests.values()):
            self.expire(in_flight)

    def _remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request that has its final answer and no attempt under way."""
        if self._requests.pop(in_flight.number, None) is None or in_flight.answered_at_admission:
            return
        policy = self._executor.admission_policy
        if policy is not None and in_flight.assignment is not None and self._executor.is_load(in_flight):
            policy.load_answered(in_flight.request)
        if self._team_admission is None:
            return
        if in_flight.in_team_queue:
            self._team_admission.remove(in_flight)
        else:
            self._team_admission.request_ended(in_flight)

    def run_timers(self, task: Task) -> None:
        """Run timers as they become due; the server runs this in a task of its own."""
        self._timer_runner.run(task)
