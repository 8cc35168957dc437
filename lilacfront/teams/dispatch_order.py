"""Decides which queue is served next: teams within their budgets first, then teams that borrow."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from lilacfront.teams.fair_queue import FairQueueNode
from lilacfront.teams.queued_request import QueuedRequest
from lilacfront.teams.team_tree import TeamQueue, TeamTree

REFILL_INTERVAL_S = 0.05  # time between two refills of the budgets
MAX_BORROWERS_TRIED = 8  # queues checked per choice, in the order of service


class DispatchChoice(NamedTuple):
    """The request to admit next.

    Attributes:
        request: The most urgent request of its queue.
        lending_level: Index of the budget level that lends; None if the team's own budgets pay.
    """

    request: QueuedRequest
    lending_level: int | None


class DispatchOrder:
    """Keeps each queue in one of two fair queues, or in none, as its budget and concurrency limit allow.

    The two fair queues are the order of teams within their budgets and the order of teams that can only
    borrow. A queue whose budget doesn't cover its next request is throttled: it is rechecked once the
    budget is expected to cover it.
    """

    def __init__(self, tree: TeamTree) -> None:
        self._tree = tree
        self._throttled: list[tuple[float, int, TeamQueue]] = []  # heap: recheck time, tie-breaker, queue
        self._throttle_count = 0

    def update(self, now: float, queue: TeamQueue) -> None:
        """Move a queue to the order that it now belongs to, if any."""
        if not queue.entries:
            self.deactivate(queue)
            return
        request = queue.most_urgent
        limiting_node = queue.limiting_node()
        if limiting_node is not None:
            limiting_node.blocked_queues[queue] = None
            self.deactivate(queue)
        elif queue.budget.covers(request.cost):
            self._activate(queue, queue.budget_order_node)
        else:
            self._throttle(now, queue, request.cost)
            if queue.settings.may_borrow(request.class_index):
                self._activate(queue, queue.borrowing_order_node)
            else:
                self.deactivate(queue)

    def deactivate(self, queue: TeamQueue) -> None:
        """Remove a queue from its order, so that none of its requests is chosen."""
        if queue.active_order_node is not None:
            queue.active_order_node.deactivate()
            queue.active_order_node = None

    def change_running(self, now: float, queue: TeamQueue, change: int) -> None:
        """Adjust the running count of a queue and its ancestors, and update queues that this unblocks."""
        for node in queue.path:
            node.running += change
            if node.blocked_queues and not node.is_at_limit:
                unblocked = node.blocked_queues
                node.blocked_queues = {}
                for unblocked_queue in unblocked:
                    self.update(now, unblocked_queue)

    def recheck_throttled(self, now: float) -> None:
        """Update the throttled queues whose recheck time has come."""
        while self._throttled and self._throttled[0][0] <= now:
            queue = heapq.heappop(self._throttled)[2]
            if queue.entries and queue.active_order_node is not queue.budget_order_node:
                self.update(now, queue)

    def next_choice(self, now: float) -> DispatchChoice | None:
        """Returns the request to admit next; None if no request may start."""
        return self._next_within_budget(now) or self._next_borrower(now)

    def _next_within_budget(self, now: float) -> DispatchChoice | None:
        while (leaf := self._tree.budget_order.next_leaf()) is not None:
            queue = self._tree.queue_of_node(leaf)
            request = queue.most_urgent
            if queue.budget.covers(request.cost) and queue.limiting_node() is None:
                return DispatchChoice(request, None)
            self.update(now, queue)  # a sibling has used up a budget above this queue since the last update
        return None

    def _next_borrower(self, now: float) -> DispatchChoice | None:
        skipped: list[TeamQueue] = []
        choice: DispatchChoice | None = None
        while len(skipped) < MAX_BORROWERS_TRIED:
            leaf = self._tree.borrowing_order.next_leaf()
            if leaf is None:
                break
            queue = self._tree.queue_of_node(leaf)
            request = queue.most_urgent
            lending_level = queue.budget.find_lending_level(request.cost)
            if lending_level is not None and queue.limiting_node() is None:
                choice = DispatchChoice(request, lending_level)
                break
            self.deactivate(queue)
            skipped.append(queue)
        for queue in skipped:
            self.update(now, queue)
        return choice

    def _activate(self, queue: TeamQueue, leaf: FairQueueNode) -> None:
        if queue.active_order_node is leaf:
            return
        self.deactivate(queue)
        queue.active_order_node = leaf
        leaf.activate()

    def _throttle(self, now: float, queue: TeamQueue, cost: float) -> None:
        until = now + max(REFILL_INTERVAL_S, queue.budget.seconds_until_covered(cost))
        # One entry is enough for all requests that arrive while the queue is throttled. Another one is pushed
        # only if the recheck time has passed, or becomes earlier by more than a refill interval.
        if queue.throttled_until <= now or until < queue.throttled_until - REFILL_INTERVAL_S:
            queue.throttled_until = until
            self._throttle_count += 1
            heapq.heappush(self._throttled, (until, self._throttle_count, queue))
