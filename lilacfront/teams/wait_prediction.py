"""Computes the expected wait of a request, which is calibrated afterwards with actual waits."""

from __future__ import annotations

from lilacfront.teams.team_tree import TeamQueue
from lilacfront.teams.thread_capacity import ThreadCapacity


def expected_wait_s(
    queue: TeamQueue, patience_ends_at: float, cost: float, capacity: ThreadCapacity, max_threads: int
) -> float:
    """Returns the seconds until a new request is expected to start.

    This is the longer of two times: the cost ahead divided by the rate at which the team is served, and the
    time until the team's budget covers the request. The second one doesn't count if the cost ahead and the
    request's cost can be borrowed.

    Args:
        queue: The queue of the request's team.
        patience_ends_at: When the patience of the request's class ends.
        cost: Expected cost of the request in thread-seconds.
        capacity: Threads of all engines.
        max_threads: Most threads that a request of any class uses.
    """
    cost_ahead = queue.cost_ahead(patience_ends_at)
    is_covered = queue.budget.covers(cost)
    if not cost_ahead and is_covered and capacity.has_free and queue.limiting_node() is None:
        return 0.0
    if capacity.limit <= 0:
        return queue.settings.max_wait_s
    # On average, a running request is half done when another one arrives.
    service_wait_s = (cost_ahead + cost / 2) / _service_rate(queue, capacity, max_threads)
    if queue.budget.max_loan() >= cost_ahead + cost:
        return service_wait_s
    return max(service_wait_s, queue.budget.seconds_until_covered(cost, cost_ahead))


def _service_rate(queue: TeamQueue, capacity: ThreadCapacity, max_threads: int) -> float:
    """Returns the thread-seconds per second that the team is expected to get."""
    rate = capacity.limit * queue.budget_order_node.share()
    for node in queue.path:
        if node.settings is not None and node.settings.max_concurrency is not None:
            rate = min(rate, float(node.settings.max_concurrency * max_threads))
    return rate
