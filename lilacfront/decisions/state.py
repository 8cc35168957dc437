"""The state that the decisions share: requests, their attempts, engines, and the router's clock.

Times are integer microseconds on the caller's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lilacfront.decisions.actions import Action
from lilacfront.decisions.concurrency_limit import ConcurrencyLimit
from lilacfront.decisions.estimates import ClassEstimate
from lilacfront.decisions.events import AttemptResult, Endpoint, RequestReceived
from lilacfront.decisions.settings import Idempotency, PolicySettings, RequestClass
from lilacfront.membership.fleet_size import FleetSize
from lilacfront.membership.outlier_gossip import OutlierGossip

NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NEVER_SENT)
NO_REPORT = -1.0
STEP_INTERVAL_US = 50_000  # interval of the checks of waiting requests and silent engines


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request on one engine.

    Attributes:
        number: Index of the attempt in the request's attempts, from 0.
        engine: Engine that the attempt was forwarded to.
        sent_us: Time at which the attempt was forwarded.
        zone: Zone of the engine in the endpoint list at that time.
        cell: Cell of the engine in the endpoint list at that time.
        progress_at_us: Time of the last progress report.
        progress: Fraction done according to the last progress report.
        result: Result of the attempt; None while it runs.
        is_cancelled: Whether the cancellation of the attempt was requested.
        is_streaming: Whether the response has started to reach the client.
    """

    number: int
    engine: Engine
    sent_us: int
    zone: int
    cell: int
    progress_at_us: int
    progress: float = 0.0
    result: AttemptResult | None = None
    is_cancelled: bool = False
    is_streaming: bool = False


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is not answered yet, or that still has a running attempt.

    Attributes:
        received: The event with which the request arrived.
        spec: Settings of the request's class.
        estimate: Estimates for the request's class.
        deadline_us: Time by which the request must be answered.
        objective_at_us: Time at which the latency objective ends, or the deadline if that is earlier.
        wait_until_us: Time until which the request may wait for an engine.
        attempts: All attempts of the request in order.
        value_density: Priority weight per microsecond of work.
        is_answered: Whether the final answer was given or is no longer needed.
        was_rescheduled: Whether an overdue attempt was cancelled for a retry.
        is_failure_attributed_to_request: Whether the request, not an engine, was found to cause its failures.
    """

    received: RequestReceived
    spec: RequestClass
    estimate: ClassEstimate
    deadline_us: int
    objective_at_us: int = 0
    wait_until_us: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    value_density: float = 0.0
    is_answered: bool = False
    was_rescheduled: bool = False
    is_failure_attributed_to_request: bool = False

    @property
    def ordering_key(self) -> int:
        """The key whose requests run in order; 0 if the request's class is not ordered."""
        return self.received.ordering_key if self.spec.is_ordered else 0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run any number of times."""
        return self.spec.idempotency is Idempotency.IDEMPOTENT

    def running_attempt(self) -> Attempt | None:
        """Return the attempt that has not ended; None if there is none."""
        for attempt in reversed(self.attempts):
            if attempt.result is None:
                return attempt
        return None

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the attempts that an engine may have executed in part or completely."""
        return [attempt for attempt in self.attempts if attempt.result not in NEVER_RAN]

    def latency_objective_us(self, work_us: int | None) -> float:
        """Return the latency objective of the request.

        It is the base of the class plus its stretch factor times the run time on an idle engine. That run
        time follows from `work_us`, or from the class estimate if `work_us` is None.
        """
        if work_us is not None:
            uncontended_us = work_us / self.spec.threads
        else:
            uncontended_us = self.estimate.uncontended_run_time_us
        return self.spec.latency_objective_us + self.spec.latency_objective_stretch * uncontended_us

    def likely_run_time_us(self) -> float:
        """Return the run time of the class, scaled by the request's own work estimate if it has one."""
        estimate, work_us = self.estimate, self.received.estimated_work_us
        if work_us is None or estimate.work_us <= 0:
            return estimate.run_time_us
        return max(
            estimate.run_time_us * min(1.0, work_us / estimate.work_us),
            estimate.run_time_us * work_us / estimate.work_us,
        )


@dataclass(slots=True, frozen=True, eq=False)
class WarmUpCharge:
    """An attempt that was charged to a warming engine's budget."""

    sent_us: int
    work_us: float
    attempt: Attempt


@dataclass(slots=True, eq=False)
class Engine:
    """One engine as this gateway sees it.

    Attributes:
        number: Number of the engine, assigned by the caller.
        endpoint: The engine's entry in the endpoint list.
        cores: Number of cores of the engine's machine type.
        concurrency: Limit on this gateway's threads on the engine.
        is_leaving: Whether the engine is draining or removed and gets no requests.
        is_removed: Whether the engine is no longer in the endpoint list.
        reported_load: Load per core in the last load report; negative if there is none.
        counted_load: Part of `reported_load` that counts in the mean load of all engines.
        reported_at_us: Time at which `reported_load` applied.
        attempts: Running attempts with their requests, by request number and attempt number.
        error_rate: Smoothed fraction of errors.
        last_response_us: Time of the engine's last response.
        ejected_until_us: Time at which the ejection ends; 0 if the engine is not ejected.
        ejection_us: Duration of the last ejection.
        last_reset_us: Time at which a connection to the engine last broke.
        warm_up_charges: Attempts charged to the engine's warm-up budget.
        blocked_until_us: By table group: time until which another client's data load is assumed to lock it.
    """

    number: int
    endpoint: Endpoint
    cores: float
    concurrency: ConcurrencyLimit
    is_leaving: bool = False
    is_removed: bool = False
    reported_load: float = NO_REPORT
    counted_load: float = 0.0
    reported_at_us: int = 0
    attempts: dict[tuple[int, int], tuple[PendingRequest, Attempt]] = field(default_factory=dict)
    error_rate: float = 0.0
    last_response_us: int = 0
    ejected_until_us: int = 0
    ejection_us: int = 0
    last_reset_us: int = -STEP_INTERVAL_US
    warm_up_charges: deque[WarmUpCharge] = field(default_factory=deque)
    blocked_until_us: dict[int, int] = field(default_factory=dict)

    def restart(self, limit: float) -> None:
        """Reset the state that was learned from the previous process of a restarted engine."""
        self.concurrency.reset(limit)
        self.error_rate = 0.0
        self.last_response_us = 0
        self.ejected_until_us = 0
        self.ejection_us = 0
        self.last_reset_us = -STEP_INTERVAL_US
        self.warm_up_charges = deque()
        self.blocked_until_us = {}


@dataclass(slots=True)
class RouterState:
    """State shared by all decisions: settings, the clock, engines and requests.

    Attributes:
        settings: The policy settings.
        fleet_size: The number of gateways by which shares are divided.
        outlier_gossip: Outliers reported by this gateway and its peers.
        class_estimates: Estimates for each class, in the order of the settings.
        max_class_threads: Largest thread count of any class.
        min_class_threads: Smallest thread count of any class.
        now_us: Current time.
        started_at_us: Time of the first event; negative before it.
        engines: All listed engines, and removed engines with running attempts.
        active_engines: Engines on which an attempt of this gateway runs.
        ready_engines: Engines that are listed and not draining.
        warming_engines: Ready engines that are warming up.
        ejected_engines: Numbers of the ejected engines.
        effective_cores: Cores of the ready engines; with pooled limits, warming engines count in part.
        is_pooled: Whether limits are pooled: one limit over all engines, for many gateways with few threads.
        requests: All pending requests by number.
        actions: Actions decided so far for the current event.
    """

    settings: PolicySettings
    fleet_size: FleetSize
    outlier_gossip: OutlierGossip
    class_estimates: list[ClassEstimate]
    max_class_threads: int
    min_class_threads: int
    now_us: int = 0
    started_at_us: int = -1
    engines: dict[int, Engine] = field(default_factory=dict)
    active_engines: dict[int, Engine] = field(default_factory=dict)
    ready_engines: list[Engine] = field(default_factory=list)
    warming_engines: list[Engine] = field(default_factory=list)
    ejected_engines: set[int] = field(default_factory=set)
    effective_cores: float = 0.0
    is_pooled: bool = False
    requests: dict[int, PendingRequest] = field(default_factory=dict)
    actions: list[Action] = field(default_factory=list)

    @classmethod
    def initial(cls, settings: PolicySettings) -> RouterState:
        """Return the state of a router that knows no engines yet."""
        return cls(
            settings,
            FleetSize(settings.gateway_count, settings.gateway_index),
            OutlierGossip(),
            [ClassEstimate.initial(spec) for spec in settings.classes],
            max(spec.threads for spec in settings.classes),
            min(spec.threads for spec in settings.classes),
        )

    def find_running(self, request_number: int, attempt_number: int) -> tuple[PendingRequest, Attempt] | None:
        """Return a running attempt with its request; None if it does not exist or has ended."""
        request = self.requests.get(request_number)
        if request is None or not 0 <= attempt_number < len(request.attempts):
            return None
        attempt = request.attempts[attempt_number]
        return (request, attempt) if attempt.result is None else None
