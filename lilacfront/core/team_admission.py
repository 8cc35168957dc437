"""Connects the team scheduler to the requests in flight and to the router."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lilacfront.core.action_executor import ActionExecutor
from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import Rejected
from lilacfront.core.queued_keys import QueuedKeys
from lilacfront.core.timers import Timers
from lilacfront.sched import Loop
from lilacfront.teams.queued_request import AdmitRequest, RejectRequest, TeamDecision
from lilacfront.teams.scheduler import TeamScheduler
from lilacfront.teams.settings import TeamsSettings


class TeamAdmission:
    """Queues requests by team and routes those that the scheduler admits.

    Requests of one ordering key are routed in the order in which they were received, also from the queues of
    different teams: one that is admitted early waits, and counts as running for its team.
    """

    def __init__(
        self,
        loop: Loop,
        scheduler: TeamScheduler,
        requests: Mapping[int, InFlightRequest],
        executor: ActionExecutor,
        timers: Timers,
    ) -> None:
        self.next_tick_at = math.inf  # when `tick_if_due` is due, in seconds of the loop's clock
        self._loop = loop
        self._scheduler = scheduler
        self._requests = requests
        self._executor = executor
        self._timers = timers
        self._keys = QueuedKeys()
        self._admitted_early: set[int] = set()

    def enqueue(self, in_flight: InFlightRequest) -> None:
        """Add a request to its team's queue."""
        in_flight.in_team_queue = True
        request = in_flight.request
        self._keys.add(request.ordering_key, in_flight.number)
        statement = request.statement or request.body
        team = self._scheduler.settings.team_of(request.user, request.headers, request.class_index, statement)
        self._apply(
            self._scheduler.enqueue(
                self._loop.now, in_flight.number, team, request.class_index, statement, request.deadline
            )
        )

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request that is not yet routed from its queue."""
        number = in_flight.number
        if number in self._admitted_early:
            self._admitted_early.discard(number)
            self._apply(self._scheduler.request_ended(self._loop.now, number, None))
        else:
            self._apply(self._scheduler.remove(self._loop.now, number))
        self._route_next(in_flight)

    def request_ended(self, in_flight: InFlightRequest) -> None:
        """Charge the team of a routed request that has ended for the time that it ran."""
        execution_s = in_flight.execution_s if in_flight.may_have_run else None
        self._apply(self._scheduler.request_ended(self._loop.now, in_flight.number, execution_s))

    def set_ready_cores(self, cores: float) -> None:
        """Set the total cores of all ready engines."""
        self._apply(self._scheduler.set_capacity(self._loop.now, cores))

    def replace_settings(self, settings: TeamsSettings) -> None:
        """Replace the team settings; queued requests stay queued."""
        self._apply(self._scheduler.replace_settings(self._loop.now, settings))

    def tick_if_due(self) -> None:
        """If due, refill the budgets and reject requests that have waited too long."""
        if self.next_tick_at <= self._loop.now:
            self._apply(self._scheduler.tick(self._loop.now))

    def _apply(self, decisions: list[TeamDecision]) -> None:
        for decision in decisions:
            in_flight = self._requests.get(decision.number)
            if in_flight is None:
                # The request no longer exists: report its end, or its threads would stay in use.
                self._apply(self._scheduler.request_ended(self._loop.now, decision.number, None))
            elif isinstance(decision, AdmitRequest):
                self._admit(in_flight)
            else:
                self._reject(in_flight, decision)
        next_tick_at = self._scheduler.next_tick_at()
        if next_tick_at < self.next_tick_at:
            self._timers.wake()
        self.next_tick_at = next_tick_at

    def _admit(self, in_flight: InFlightRequest) -> None:
        if not self._keys.is_first(in_flight.request.ordering_key, in_flight.number):
            self._admitted_early.add(in_flight.number)
            return
        self._executor.route(in_flight)
        self._route_next(in_flight)

    def _route_next(self, in_flight: InFlightRequest) -> None:
        """Route the next request of a key, if it has been admitted, as this one is not queued any more."""
        number = self._keys.remove(in_flight.request.ordering_key, in_flight.number)
        following = None if number is None else self._requests.get(number)
        if following is not None and following.number in self._admitted_early:
            self._admitted_early.discard(following.number)
            self._admit(following)

    def _reject(self, in_flight: InFlightRequest, decision: RejectRequest) -> None:
        retry_after_ms = math.ceil(decision.retry_after_s * 1000)
        wait_range_ms = (int(decision.retry_wait.low * 1000), math.ceil(decision.retry_wait.high * 1000))
        self._executor.deliver_decision(in_flight, Rejected(retry_after_ms, wait_range_ms))
