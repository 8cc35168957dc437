"""Collects the values that explain why a request waits."""

from __future__ import annotations

from dataclasses import dataclass

from lilacfront.teams.queued_request import QueuedRequest
from lilacfront.teams.thread_capacity import ThreadCapacity


@dataclass(slots=True, frozen=True)
class RequestExplanation:
    """The values that explain why a request waits.

    Attributes:
        number: The request's number.
        team: Path of the request's team.
        waited_s: Seconds from arrival until now, or until the admission of an admitted request.
        estimated_wait_s: Wait in seconds that was estimated on arrival.
        is_admitted: Whether the request has been admitted.
        requests_ahead: Number of more urgent requests in the queue.
        cost: Expected cost in thread-seconds.
        limiting_team: The team whose concurrency limit blocks the request; empty if there is none.
        is_within_budget: Whether the team's budget covers the request.
        covered_in_s: Seconds until the team's budget covers the request; 0 if it does already.
        share: The team's fraction of all service, from 0 to 1.
        free_threads: Number of free threads of all engines.
    """

    number: int
    team: str
    waited_s: float
    estimated_wait_s: float
    is_admitted: bool
    requests_ahead: int
    cost: float
    limiting_team: str
    is_within_budget: bool
    covered_in_s: float
    share: float
    free_threads: float


def explain_request(request: QueuedRequest, capacity: ThreadCapacity, now: float) -> RequestExplanation:
    """Returns the explanation for a request that has not ended."""
    queue = request.queue
    limiting_node = queue.limiting_node()
    limiting_team = ""
    if limiting_node is not None and limiting_node.settings is not None:
        limiting_team = limiting_node.settings.name
    return RequestExplanation(
        number=request.number,
        team=queue.settings.name,
        waited_s=round((request.admitted_at or now) - request.arrived_at, 3),
        estimated_wait_s=round(request.wait_estimate.likely, 3),
        is_admitted=request.admitted_at is not None,
        requests_ahead=queue.count_more_urgent(request) if request.admitted_at is None else 0,
        cost=round(request.cost, 3),
        limiting_team=limiting_team,
        is_within_budget=queue.budget.covers(request.cost),
        covered_in_s=round(queue.budget.seconds_until_covered(request.cost), 3),
        share=round(queue.budget_order_node.share(), 4),
        free_threads=capacity.free,
    )
