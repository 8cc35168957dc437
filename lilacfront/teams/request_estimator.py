"""Estimates the cost and wait of requests, and learns from their actual execution times and waits."""

from __future__ import annotations

import math

from lilacfront.teams.cost_model import CostModel, statement_fingerprint
from lilacfront.teams.queued_request import QueuedRequest, RejectReason, RejectRequest
from lilacfront.teams.settings import DEFAULT_PATIENCE_S, TeamsSettings
from lilacfront.teams.team_tree import TeamQueue
from lilacfront.teams.thread_capacity import ThreadCapacity
from lilacfront.teams.wait_estimate import WaitCalibration
from lilacfront.teams.wait_prediction import expected_wait_s

LEAST_URGENT = math.inf  # `patience_ends_at` of a request behind all queued ones


class RequestEstimator:
    """Creates queued requests with their estimates, and rejections with their Retry-After.

    Attributes:
        cost_model: The model that learns the cost of requests.
        calibration: The calibration that learns from actual waits.
    """

    def __init__(self, cost_model: CostModel, capacity: ThreadCapacity, now: float) -> None:
        self.cost_model = cost_model
        self.calibration = WaitCalibration(now)
        self._capacity = capacity
        self._max_threads = max(cost_model.threads)

    def create_request(
        self, now: float, number: int, queue: TeamQueue, class_index: int, statement: bytes, deadline: float
    ) -> QueuedRequest:
        """Create a request with its estimated cost and wait; it is not inserted into the queue."""
        fingerprint = statement_fingerprint(statement)
        cost = self.cost_model.expected_cost(class_index, fingerprint)
        patience_ends_at = now + queue.settings.patience_s.get(class_index, DEFAULT_PATIENCE_S)
        latest_useful_start = deadline - self.cost_model.fast_quantile_seconds(class_index)
        computed_wait_s = self._expected_wait_s(queue, patience_ends_at, cost)
        return QueuedRequest(
            number=number,
            queue=queue,
            class_index=class_index,
            fingerprint=fingerprint,
            cost=cost,
            threads=self.cost_model.threads[class_index],
            size_bytes=len(statement),
            arrived_at=now,
            patience_ends_at=patience_ends_at,
            latest_start=min(now + queue.settings.max_wait_s, latest_useful_start),
            computed_wait_s=computed_wait_s,
            wait_estimate=self.calibration.calibrate(queue.settings.name, computed_wait_s, now),
        )

    def create_rejection(
        self, now: float, request: QueuedRequest, reason: RejectReason, settings: TeamsSettings
    ) -> RejectRequest:
        """Create the rejection of a request.

        The Retry-After is the estimated wait of a request that arrives now and is the least urgent of its
        queue, within the bounds of the settings.
        """
        queue = request.queue
        computed_wait_s = self._expected_wait_s(queue, LEAST_URGENT, request.cost)
        wait = self.calibration.calibrate(queue.settings.name, computed_wait_s, now)
        retry_after_s = min(settings.max_retry_after_s, max(settings.min_retry_after_s, wait.likely))
        return RejectRequest(request.number, reason, retry_after_s, wait)

    def record_wait(self, now: float, request: QueuedRequest) -> None:
        """Record the actual wait of a request that is admitted now."""
        waited_s = now - request.arrived_at
        team = request.queue.settings.name
        self.calibration.record(team, request.computed_wait_s, request.wait_estimate, waited_s, now)

    def record_execution(self, now: float, request: QueuedRequest, seconds: float) -> None:
        """Record the execution time of a request that has ended."""
        self.cost_model.record(request.class_index, request.fingerprint, seconds, now)

    def _expected_wait_s(self, queue: TeamQueue, patience_ends_at: float, cost: float) -> float:
        return expected_wait_s(queue, patience_ends_at, cost, self._capacity, self._max_threads)
