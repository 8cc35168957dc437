"""Enforces the queue bounds: selects the request to displace when a bound is reached."""

from __future__ import annotations

from dataclasses import dataclass

from lilacfront.errors import LilacfrontError
from lilacfront.teams.queued_request import QueuedRequest
from lilacfront.teams.team_tree import TeamQueue, TeamTree


class QueueFullError(LilacfrontError):
    """A request doesn't fit into the queues and no other request may be displaced for it."""


@dataclass(slots=True)
class QueueTotals:
    """Totals over the queues of all teams.

    Attributes:
        requests: Number of queued requests.
        size_bytes: Total size of the queued statements in bytes.
    """

    requests: int = 0
    size_bytes: int = 0


def find_victim(
    tree: TeamTree, totals: QueueTotals, queue: TeamQueue, size_bytes: int, patience_ends_at: float
) -> QueuedRequest | None:
    """Returns the next request to displace to make a new request fit; None if the new request fits.

    If the new request's queue is full, its least urgent request is displaced. If all queues together are
    full, the least urgent request of the queue with the highest cost per weight is displaced.

    Args:
        tree: The tree with all queues.
        totals: Totals over all queues.
        queue: The queue of the new request.
        size_bytes: Size of the new request's statement in bytes.
        patience_ends_at: When the patience of the new request's class ends.

    Raises:
        QueueFullError: The new request doesn't fit and must be rejected.
    """
    if size_bytes > queue.settings.max_queued_bytes or size_bytes > tree.settings.max_queued_bytes:
        raise QueueFullError
    if _is_queue_full(queue, size_bytes):
        return _displaceable_request(queue, patience_ends_at)
    if not _are_all_queues_full(tree, totals, size_bytes):
        return None
    largest = max(tree.queues.values(), key=lambda candidate: candidate.cost_per_weight)
    if largest is queue:
        return _displaceable_request(queue, patience_ends_at)
    if not largest.entries or largest.cost_per_weight <= queue.cost_per_weight:
        raise QueueFullError
    return largest.least_urgent


def _is_queue_full(queue: TeamQueue, size_bytes: int) -> bool:
    settings = queue.settings
    too_many = len(queue.entries) >= settings.max_queued_requests
    return too_many or queue.queued_bytes + size_bytes > settings.max_queued_bytes


def _are_all_queues_full(tree: TeamTree, totals: QueueTotals, size_bytes: int) -> bool:
    settings = tree.settings
    too_many = totals.requests >= settings.max_queued_requests
    return too_many or totals.size_bytes + size_bytes > settings.max_queued_bytes


def _displaceable_request(queue: TeamQueue, patience_ends_at: float) -> QueuedRequest:
    if not queue.entries or queue.least_urgent.patience_ends_at <= patience_ends_at:
        raise QueueFullError
    return queue.least_urgent
