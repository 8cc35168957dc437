"""Passes events to the router and executes the actions that it returns."""

from __future__ import annotations

from collections.abc import Mapping

from lilacfront.core.endpoints import ReadyEngines
from lilacfront.core.hooks import AdmissionPolicy, PeerTransport
from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import Assignment, Failed, FinalAnswer, Rejected, RoutingDecision
from lilacfront.core.timers import Timers
from lilacfront.decisions.actions import (
    Action,
    CancelAttempt,
    Fail,
    Forward,
    LogMessage,
    Reject,
    SendPeerMessage,
    SetRequestTerms,
    SetTimer,
)
from lilacfront.decisions.events import AttemptEnded, AttemptResult, Event, RequestReceived
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings import Idempotency, PolicySettings
from lilacfront.logs import Log
from lilacfront.sched import Loop

log = Log(__name__)

# The dispatcher fails a request itself when the router has sent no final answer this long after its deadline.
DEADLINE_GRACE_S = 0.005

RequestAction = SetRequestTerms | Forward | Reject | Fail | CancelAttempt


class ActionExecutor:
    """Passes events to one gateway's router and executes the actions that it returns.

    Attributes:
        peer_transport: Sends the router's messages to other gateways; None if gossip is off.
        admission_policy: Restricts admission during recovery; None if recovery is off.
    """

    def __init__(
        self,
        loop: Loop,
        settings: PolicySettings,
        router: RequestRouter,
        requests: Mapping[int, InFlightRequest],
        engines: ReadyEngines,
        timers: Timers,
    ) -> None:
        self.peer_transport: PeerTransport | None = None
        self.admission_policy: AdmissionPolicy | None = None
        self._loop = loop
        self._settings = settings
        self._router = router
        self._requests = requests
        self._engines = engines
        self._timers = timers
        self._unsupported_actions: set[str] = set()

    @property
    def now_us(self) -> int:
        """The loop's clock in whole microseconds, the time unit of the router."""
        return int(self._loop.now * 1e6)

    def handle(self, event: Event) -> None:
        """Pass an event to the router and execute the actions that it returns."""
        for action in self._router.handle(self.now_us, event):
            self._execute(action)

    def route(self, in_flight: InFlightRequest) -> None:
        """Pass a request to the router, with the time left until its deadline."""
        request = in_flight.request
        in_flight.in_team_queue = False
        time_left_us = max(0, int((request.deadline - self._loop.now) * 1e6))
        self.handle(
            RequestReceived(
                in_flight.number,
                request.class_index,
                time_left_us,
                request.table_group,
                request.ordering_key,
                request.tenant,
                request.is_client_retry,
                request.estimated_work_us,
                request.estimated_memory_mb,
            )
        )

    def deliver_decision(self, in_flight: InFlightRequest, decision: RoutingDecision) -> None:
        """Store a decision and wake the request's task; decisions after a final answer are ignored."""
        if isinstance(in_flight.decision, FinalAnswer):
            return
        replaced = in_flight.decision
        in_flight.decision = decision
        if replaced is not None:
            # The task won't begin the replaced attempt, but the router expects an end event for each attempt.
            number, engine = replaced.attempt, replaced.engine.number
            self.handle(AttemptEnded(in_flight.number, number, engine, AttemptResult.NEVER_SENT, 0, True))
        if in_flight.is_waiting:
            in_flight.task.wake(None)

    def is_load(self, in_flight: InFlightRequest) -> bool:
        """Whether the request belongs to a class that is not idempotent."""
        request_class = self._settings.classes[in_flight.request.class_index]
        return request_class.idempotency is Idempotency.NOT_IDEMPOTENT

    def _execute(self, action: Action) -> None:
        match action:
            case SetTimer(at_us, token):
                self._timers.set(at_us, token)
            case SendPeerMessage(peer, data):
                if self.peer_transport is not None:
                    self.peer_transport.send(peer, data)
            case LogMessage(text):
                log.info("router message", text=text)
            case SetRequestTerms() | Forward() | Reject() | Fail() | CancelAttempt():
                in_flight = self._requests.get(action.request)
                if in_flight is not None:
                    self._execute_for_request(in_flight, action)
            case _:
                self._report_unsupported(action)

    def _execute_for_request(self, in_flight: InFlightRequest, action: RequestAction) -> None:
        match action:
            case SetRequestTerms():
                in_flight.set_priority(action.priority)
            case Forward():
                self._forward(in_flight, action)
            case Reject():
                self.deliver_decision(in_flight, Rejected(self._retry_after_ms(in_flight, action)))
            case Fail():
                is_late = self._loop.now >= in_flight.request.deadline - DEADLINE_GRACE_S
                self.deliver_decision(in_flight, Failed(is_late, in_flight.error_detail))
            case CancelAttempt():
                in_flight.task.interrupt()

    def _forward(self, in_flight: InFlightRequest, action: Forward) -> None:
        deadline = action.deadline_us / 1e6 if action.deadline_us else in_flight.request.deadline
        attempt = in_flight.assignment.attempt + 1 if in_flight.assignment is not None else 0
        if self.admission_policy is not None and self.is_load(in_flight):
            self.admission_policy.load_forwarded(in_flight.request)
        engine = self._engines[action.engine]
        self.deliver_decision(in_flight, Assignment(engine, attempt, in_flight.priority, deadline))

    def _retry_after_ms(self, in_flight: InFlightRequest, action: Reject) -> int:
        retry_after_ms = action.retry_after_us // 1000
        if self.admission_policy is None:
            return retry_after_ms
        return self.admission_policy.retry_after_ms(in_flight.request, retry_after_ms)

    def _report_unsupported(self, action: Action) -> None:
        name = type(action).__name__
        if name not in self._unsupported_actions:
            self._unsupported_actions.add(name)
            log.warning("action not supported", action=name)
