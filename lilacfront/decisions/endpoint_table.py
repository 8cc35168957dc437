"""The table of known engines, updated from the endpoint lists of discovery."""

from __future__ import annotations

from lilacfront.decisions.concurrency_limit import INITIAL_THREADS_PER_CORE, ConcurrencyLimit
from lilacfront.decisions.events import Endpoint, EndpointList, EndpointState, ListScope
from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import Engine, RouterState

POLL_BACKOFF_BASE_US = 500_000  # doubled by each failed poll, including the first
DEFAULT_POLL_DEADLINE_US = 40_000_000
MAX_POLL_BACKOFF_DOUBLINGS = 6


class EndpointTable:
    """Applies endpoint lists to the router's engines."""

    def __init__(self, state: RouterState, loads: LoadView, slow_start: SlowStart) -> None:
        self._state = state
        self._loads = loads
        self._slow_start = slow_start
        self._failed_polls = 0

    def poll_backoff_us(self) -> int:
        """Count a failed poll and return the exponential backoff.

        The backoff is at most half the poll deadline, so that the list is polled again before it is stale.
        """
        self._failed_polls += 1
        poll_deadline_us = self._state.settings.rules.poll_deadline_us
        max_us = (poll_deadline_us or DEFAULT_POLL_DEADLINE_US) // 2
        return min(POLL_BACKOFF_BASE_US << min(self._failed_polls, MAX_POLL_BACKOFF_DOUBLINGS), max_us)

    def apply(self, event: EndpointList) -> None:
        """Add, update and remove engines by a received endpoint list."""
        if event.scope is not ListScope.CACHED:
            self._failed_polls = 0
        for endpoint in event.endpoints:
            self._apply_endpoint(endpoint)
        if event.scope is not ListScope.DELTA:
            self._mark_unlisted({endpoint.engine for endpoint in event.endpoints})
        self._forget_idle_removed()
        self._update_derived_state()

    def refresh_warming(self) -> None:
        """Remove engines that have warmed up from `warming_engines`."""
        state = self._state
        state.warming_engines = [
            engine for engine in state.warming_engines if self._slow_start.is_warming(engine.endpoint)
        ]

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        engines = self._state.engines
        is_removed = endpoint.state is EndpointState.REMOVED
        cores = self._state.settings.machine_type_cores[endpoint.machine_type]
        limit = self._initial_limit(endpoint, cores)
        engine = engines.get(endpoint.engine)
        if engine is None:
            if is_removed:
                return
            engine = Engine(endpoint.engine, endpoint, cores, ConcurrencyLimit(limit))
            engines[endpoint.engine] = engine
        elif not is_removed:
            if endpoint.started_us > engine.endpoint.started_us:
                engine.restart(limit)
            engine.endpoint = endpoint
        self._loads.forget(engine)
        engine.is_leaving = endpoint.state is not EndpointState.READY
        engine.is_removed = is_removed

    def _initial_limit(self, endpoint: Endpoint, cores: float) -> float:
        rules = self._state.settings.rules
        capacity = rules.cold_capacity_fraction if self._slow_start.is_warming(endpoint) else 1.0
        threads = INITIAL_THREADS_PER_CORE * cores / self._state.fleet_size.thread_limit_divisor * capacity
        return max(self._state.max_class_threads, threads)

    def _mark_unlisted(self, listed: set[int]) -> None:
        for number, engine in self._state.engines.items():
            engine.is_removed = engine.is_removed or number not in listed
            engine.is_leaving = engine.is_leaving or engine.is_removed

    def _forget_idle_removed(self) -> None:
        """Delete removed engines without running attempts, so that the table stays small."""
        removed = [e for e in self._state.engines.values() if e.is_removed and not e.attempts]
        for engine in removed:
            self._loads.forget(engine)
            del self._state.engines[engine.number]

    def _update_derived_state(self) -> None:
        """Recompute the engine lists of the state, and whether limits are pooled.

        Limits are pooled if a gateway's share of the initial limit of an engine would be too small for a
        request of the class with the most threads.
        """
        state = self._state
        state.ready_engines = [engine for engine in state.engines.values() if not engine.is_leaving]
        state.warming_engines = state.ready_engines
        self.refresh_warming()
        state.ejected_engines = {e.number for e in state.ready_engines if e.ejected_until_us}
        cores = sum(engine.cores for engine in state.ready_engines)
        threads = INITIAL_THREADS_PER_CORE * cores / state.settings.gateway_count
        state.is_pooled = threads < state.max_class_threads * len(state.ready_engines)
        self._loads.update_engines()
        zones = {number: engine.endpoint.zone for number, engine in state.engines.items()}
        state.outlier_gossip.set_engines(zones)
