"""Decides which queued request is admitted to the router next, and which requests are rejected.

Events are methods that take the current time in seconds on the caller's clock and return decisions:
`AdmitRequest` and `RejectRequest`. Each enqueued request gets exactly one decision, unless it is removed
first. The scheduler guarantees (`docs/design/teams.md`):

- A request waits no longer than its team's `max_wait_s`. It also doesn't wait past the time from which fewer
  than one in ten requests of its class could finish by the deadline.
- In any period of T seconds, a team with a budget starts work of at most rate * T + burst plus one request,
  not counting borrowed budget. A team can borrow the surplus of other teams and no more.
- Within a team, a request is overtaken only by requests that arrive later by no more than the difference
  between the patience of the two classes.
- Each team's queue, and all queues together, are bounded in requests and bytes. If a bound is reached, the
  least urgent request, which may be the new one, is rejected immediately.
"""

from __future__ import annotations

from lilacfront.teams.cost_model import CostModel
from lilacfront.teams.dispatch_order import REFILL_INTERVAL_S, DispatchChoice, DispatchOrder
from lilacfront.teams.fair_queue import FairQueueNode
from lilacfront.teams.queue_limits import QueueFullError, QueueTotals, find_victim
from lilacfront.teams.queued_request import (
    AdmitRequest,
    QueuedRequest,
    RejectReason,
    RejectRequest,
    TeamDecision,
)
from lilacfront.teams.request_estimator import RequestEstimator
from lilacfront.teams.request_explanation import RequestExplanation, explain_request
from lilacfront.teams.settings import TeamsSettings
from lilacfront.teams.start_deadlines import StartDeadlines
from lilacfront.teams.team_tree import TeamQueue, TeamTree
from lilacfront.teams.thread_capacity import ThreadCapacity
from lilacfront.teams.wait_estimate import WaitCalibration, WaitEstimate


class TeamScheduler:
    """The queues of all teams."""

    def __init__(self, settings: TeamsSettings, cost_model: CostModel, now: float) -> None:
        self._capacity = ThreadCapacity()
        self._estimator = RequestEstimator(cost_model, self._capacity, now)
        self._requests: dict[int, QueuedRequest] = {}
        self._totals = QueueTotals()
        self._start_deadlines = StartDeadlines(self._requests)
        self._refilled_at = now
        self._tree = TeamTree(settings)
        self._order = DispatchOrder(self._tree)

    @property
    def cost_model(self) -> CostModel:
        """The model that learns the cost of requests."""
        return self._estimator.cost_model

    @property
    def calibration(self) -> WaitCalibration:
        """The calibration that learns from actual waits."""
        return self._estimator.calibration

    @property
    def settings(self) -> TeamsSettings:
        """The settings in use."""
        return self._tree.settings

    @property
    def queues(self) -> dict[str, TeamQueue]:
        """The queue of each leaf team, by team path."""
        return self._tree.queues

    @property
    def threads_in_use(self) -> int:
        """Threads used by the requests that are admitted and have not ended."""
        return self._capacity.in_use

    @property
    def queued_count(self) -> int:
        """The number of queued requests of all teams."""
        return self._totals.requests

    # ---- events -------------------------------------------------------------------------------------
    def set_capacity(self, now: float, cores: float) -> list[TeamDecision]:
        """Set the total number of cores of all ready engines."""
        self._capacity.resize(cores, self.settings.threads_per_core)
        return self._dispatch(now)

    def enqueue(
        self, now: float, number: int, team: str, class_index: int, statement: bytes, deadline: float
    ) -> list[TeamDecision]:
        """Add a request that has arrived; its number must not be in use."""
        assert number not in self._requests
        self._refill(now)
        queue = self._tree.queue_of_team(team)
        request = self._estimator.create_request(now, number, queue, class_index, statement, deadline)
        if request.latest_start < now or now + request.wait_estimate.low > request.latest_start:
            # Even at the lower bound of the wait, the request would start too late. Rejecting it now lets
            # the client know before the deadline.
            return [self._reject(now, request, RejectReason.DEADLINE_UNREACHABLE)]
        decisions: list[TeamDecision] = []
        if request.computed_wait_s > 0 and not self._displace_until_fits(now, request, decisions):
            return [*decisions, self._reject(now, request, RejectReason.QUEUE_FULL)]
        self._requests[number] = request
        self._start_deadlines.add(request, self._totals.requests)
        self._insert(now, request)
        return decisions + self._dispatch(now)

    def remove(self, now: float, number: int) -> list[TeamDecision]:  # noqa: ARG002 - same form as the other events
        """Drop a queued request whose client is gone; an admitted one stays until `request_ended`."""
        request = self._requests.get(number)
        if request is not None and request.admitted_at is None:
            self._drop(request)
        return []

    def request_ended(self, now: float, number: int, seconds: float | None) -> list[TeamDecision]:
        """Handle the end of an admitted request that ran for `seconds`, or None if it never ran."""
        request = self._requests.get(number)
        if request is None or request.admitted_at is None:
            return []
        del self._requests[number]
        self._capacity.in_use -= request.threads
        self._order.change_running(now, request.queue, -1)
        actual_cost = 0.0 if seconds is None else seconds * request.threads
        difference = actual_cost - request.cost
        request.queue.budget.charge(difference, request.lending_level)
        _charged_node(request).correct_charge(difference)
        if seconds is not None:
            self._estimator.record_execution(now, request, seconds)
        self._order.update(now, request.queue)
        return self._dispatch(now)

    def tick(self, now: float) -> list[TeamDecision]:
        """Refill budgets and reject requests that have waited too long; call it at `next_tick_at`."""
        self._refill(now)
        return self._dispatch(now)

    def next_tick_at(self) -> float:
        """Returns the time at which `tick` has to be called next."""
        next_deadline = self._start_deadlines.earliest()
        if not self._totals.requests:
            return next_deadline
        return min(next_deadline, self._refilled_at + REFILL_INTERVAL_S)

    def replace_settings(self, now: float, settings: TeamsSettings) -> list[TeamDecision]:
        """Apply new settings.

        Queued requests keep their position, or are rejected if they exceed the new bounds. Requests whose
        team no longer exists move to the default team. Budget levels carry over by team path, and all
        learned values carry over. Running requests continue and are charged to their team, or to the
        default team if theirs no longer exists.
        """
        previous = self._tree
        self._tree = TeamTree(settings, previous)
        self._order = DispatchOrder(self._tree)
        self._capacity.resize(self._capacity.cores, settings.threads_per_core)
        queued = [request for queue in previous.queues.values() for _, request in queue.entries]
        for path, queue in self._tree.queues.items():
            if path in previous.queues:
                queue.recent_decisions = previous.queues[path].recent_decisions
        for request in self._requests.values():
            request.queue = self._tree.queue_of_team(request.queue.settings.name)
            request.lending_level = None
            if request.admitted_at is not None:
                self._order.change_running(now, request.queue, 1)
        self._totals.requests = 0
        self._totals.size_bytes = 0
        decisions: list[TeamDecision] = []
        for request in sorted(queued, key=lambda moved: (moved.patience_ends_at, moved.number)):
            if self._displace_until_fits(now, request, decisions):
                self._insert(now, request)
            else:
                del self._requests[request.number]
                decisions.append(self._reject(now, request, RejectReason.QUEUE_FULL))
        return decisions + self._dispatch(now)

    # ---- diagnosis ----------------------------------------------------------------------------------
    def wait_estimate(self, number: int) -> WaitEstimate | None:
        """Returns the wait estimated when the request arrived; None if the request is unknown."""
        request = self._requests.get(number)
        return request.wait_estimate if request is not None else None

    def explain(self, now: float, number: int) -> RequestExplanation | None:
        """Returns why a request waits; None if the request is unknown."""
        request = self._requests.get(number)
        if request is None:
            return None
        return explain_request(request, self._capacity, now)

    # ---- queues -------------------------------------------------------------------------------------
    def _insert(self, now: float, request: QueuedRequest) -> None:
        request.queue.insert(request)
        self._totals.size_bytes += request.size_bytes
        self._totals.requests += 1
        self._order.update(now, request.queue)

    def _dequeue(self, request: QueuedRequest) -> None:
        request.queue.remove(request)
        self._totals.size_bytes -= request.size_bytes
        self._totals.requests -= 1
        if not request.queue.entries:
            self._order.deactivate(request.queue)

    def _drop(self, request: QueuedRequest) -> None:
        self._dequeue(request)
        del self._requests[request.number]

    def _displace_until_fits(self, now: float, request: QueuedRequest, decisions: list[TeamDecision]) -> bool:
        """Displace requests until a new one fits; returns False if it can't be made to fit."""
        try:
            while victim := find_victim(
                self._tree, self._totals, request.queue, request.size_bytes, request.patience_ends_at
            ):
                self._drop(victim)
                decisions.append(self._reject(now, victim, RejectReason.DISPLACED))
        except QueueFullError:
            return False
        return True

    def _reject(self, now: float, request: QueuedRequest, reason: RejectReason) -> RejectRequest:
        request.queue.recent_decisions.append(f"{now:.3f} request {request.number}: {reason}")
        return self._estimator.create_rejection(now, request, reason, self.settings)

    # ---- dispatch -----------------------------------------------------------------------------------
    def _refill(self, now: float) -> None:
        # `next_tick_at` computes the same sum. If the two differed by a rounding error, the caller could tick
        # repeatedly at a time that is still too early for a refill.
        if now < self._refilled_at + REFILL_INTERVAL_S:
            return
        seconds = now - self._refilled_at
        self._refilled_at = now
        self._tree.refill(seconds)
        self._order.recheck_throttled(now)

    def _dispatch(self, now: float) -> list[TeamDecision]:
        """Reject requests that have waited too long, then admit requests while threads are free."""
        decisions: list[TeamDecision] = []
        while (request := self._start_deadlines.pop_expired(now)) is not None:
            self._drop(request)
            decisions.append(self._reject(now, request, RejectReason.WAITED_TOO_LONG))
        while self._capacity.has_free and self._totals.requests:
            choice = self._order.next_choice(now)
            if choice is None:
                break
            decisions.append(self._admit(now, choice))
        return decisions

    def _admit(self, now: float, choice: DispatchChoice) -> AdmitRequest:
        request = choice.request
        queue = request.queue
        waited_s = now - request.arrived_at
        request.lending_level = choice.lending_level
        _charged_node(request).charge(request.cost)
        self._dequeue(request)
        request.admitted_at = now
        queue.budget.charge(request.cost, request.lending_level)
        self._capacity.in_use += request.threads
        self._order.change_running(now, queue, 1)
        self._estimator.record_wait(now, request)
        queue.recent_decisions.append(
            f"{now:.3f} request {request.number}: admitted after {waited_s:.3f} s,"
            f" estimated {request.wait_estimate.likely:.3f} s"
        )
        self._order.update(now, queue)
        return AdmitRequest(request.number)


def _charged_node(request: QueuedRequest) -> FairQueueNode:
    """Returns the leaf to charge: the one in the order by which the request was admitted."""
    queue = request.queue
    return queue.budget_order_node if request.lending_level is None else queue.borrowing_order_node
