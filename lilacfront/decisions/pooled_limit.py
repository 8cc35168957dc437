"""The pooled concurrency limit: one limit over all engines.

It is used where there are so many gateways that each may run only a few threads on any single engine.
"""

from __future__ import annotations

import math

from lilacfront.decisions.concurrency_limit import INITIAL_THREADS_PER_CORE, ConcurrencyLimit
from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import PendingRequest, RouterState

MIN_THREADS_PER_CORE = 2.2  # sum over all gateways; fewer threads leave cores idle
MAX_CREDIT_REQUESTS = 1.0  # cap of credit and debt, in multiples of PooledLimit.largest_request_us
# Maximum overdraft, in multiples of PooledLimit.largest_request_us; granted at the highest value density.
MAX_OVERDRAFT_REQUESTS = 8.0
USED_HALF_LIFE_US = 2_000_000
MIN_VALUE_DENSITY = 1e-12
INITIAL_RATIO = 1.0
EQUAL_SHARE_WEIGHT = 1.0  # above zero so that a gateway without running threads can start some
USED_SHARE_WEIGHT = 3.0


class PooledLimit:
    """An AM-C concurrency limit over all engines, with a credit of unused thread time.

    Attributes:
        concurrency: The limit and the threads that run under it.
        credit_us: Unused thread time available for later requests; a negative value is debt.
        largest_request_us: Largest estimated thread time per request among the classes.
        threads_per_request: Mean number of threads of a running request.
        resized_at_us: Time at which the limit was last scaled by the number of cores.
    """

    def __init__(self, state: RouterState, loads: LoadView, slow_start: SlowStart) -> None:
        self.concurrency = ConcurrencyLimit(0.0, INITIAL_RATIO)
        self.credit_us = math.inf
        self.largest_request_us = 0.0
        self.threads_per_request = 1.0
        self.resized_at_us = 0
        self._accrued_at_us = 0
        self._smoothed_used_threads = 0.0
        self._state = state
        self._loads = loads
        self._slow_start = slow_start

    def share(self) -> float:
        """Return this gateway's share of the capacity of all engines.

        A quarter of the capacity is divided equally among the gateways, and three quarters in proportion to
        use, since some gateways get several times the mean traffic and others are dead. A gateway's use is
        its number of running threads divided by the number that the engines report for all gateways.
        """
        equal = 1.0 / self._state.fleet_size.thread_limit_divisor
        all_threads = self._loads.mean_load * self.threads_per_request * self._state.effective_cores
        if all_threads <= 0:
            return equal
        used = min(1.0, self._smoothed_used_threads / all_threads)
        return (equal + USED_SHARE_WEIGHT * used) / (EQUAL_SHARE_WEIGHT + USED_SHARE_WEIGHT)

    def resize(self) -> None:
        """Scale the limit by the cores of the ready engines, weighted by their capacity fractions."""
        state = self._state
        cores = sum(
            engine.cores * (self._slow_start.capacity_fraction(engine) if state.is_pooled else 1.0)
            for engine in state.ready_engines
        )
        initial = INITIAL_THREADS_PER_CORE * cores * self.share()
        if state.effective_cores and cores:
            self.concurrency.limit = self.concurrency.limit * cores / state.effective_cores
        else:
            self.concurrency.limit = initial
        state.effective_cores = cores
        self.resized_at_us = state.now_us

    def has_capacity(self, request: PendingRequest) -> bool:
        """Return whether free threads and credit suffice for the request's estimated run time.

        Requests of higher value density may overdraw the credit further; otherwise long requests would keep
        short ones out.
        """
        self.accrue_credit()
        concurrency = self.concurrency
        missing_threads = concurrency.used + request.spec.threads - concurrency.limit
        missing_us = missing_threads * request.likely_run_time_us()
        overdraft_us = MAX_OVERDRAFT_REQUESTS * self.value_density_excess(request) * self.largest_request_us
        if missing_us <= self.credit_us + overdraft_us:
            return True
        concurrency.was_full = True
        return False

    def value_density_excess(self, request: PendingRequest) -> float:
        """Return by what fraction the value densities of the classes are below the request's, on average.

        The result is between 0 and 1; a class of higher density counts as 0. Ranks are not used: of classes
        with nearly equal density, the lowest would never be admitted while the others are in debt.
        """
        density = max(MIN_VALUE_DENSITY, request.value_density)
        estimates = self._state.class_estimates
        excesses = (
            max(0.0, 1.0 - other.spec.priority_weight / other.uncontended_work_us / density)
            for other in estimates
        )
        return sum(excesses) / len(estimates)

    def accrue_credit(self) -> None:
        """Add the unused thread time since the last call to the credit, or subtract use above the limit."""
        self._update_request_sizes()
        elapsed_us = self._state.now_us - self._accrued_at_us
        used = self.concurrency.used
        self._smoothed_used_threads += (1.0 - 0.5 ** (elapsed_us / USED_HALF_LIFE_US)) * (
            used - self._smoothed_used_threads
        )
        unused_us = (self.concurrency.limit - used) * elapsed_us
        max_credit_us = MAX_CREDIT_REQUESTS * self.largest_request_us
        self.credit_us = max(-max_credit_us, min(max_credit_us, self.credit_us + unused_us))
        self._accrued_at_us = self._state.now_us

    def update(self, ratio: float, threads: int) -> None:
        """Update the limit from the latency ratio of one attempt."""
        self.concurrency.update(
            ratio,
            threads,
            initial_ratio=INITIAL_RATIO,
            min_limit=MIN_THREADS_PER_CORE * self._state.effective_cores * self.share(),
            min_turn_threads=self._state.max_class_threads,
        )

    def _update_request_sizes(self) -> None:
        """Compute `largest_request_us` and `threads_per_request` from the class estimates."""
        largest_us = total_us = thread_time_us = 0.0
        for estimate in self._state.class_estimates:
            threads, run_time_us = estimate.spec.threads, estimate.run_time_us
            largest_us = max(largest_us, threads * run_time_us)
            class_time_us = estimate.sample_count * run_time_us
            total_us += class_time_us
            thread_time_us += class_time_us * threads
        self.largest_request_us = largest_us
        if total_us:
            self.threads_per_request = thread_time_us / total_us

    def threads_per_core(self) -> float:
        """Return the limit per core of all gateways together, extrapolated from this gateway's share.

        The result is at most INITIAL_THREADS_PER_CORE.
        """
        return min(
            INITIAL_THREADS_PER_CORE, self.concurrency.limit / self.share() / self._state.effective_cores
        )
