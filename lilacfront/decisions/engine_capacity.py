"""Capacity check of one engine by its limit, reported load, ejection and running data loads."""

from __future__ import annotations

from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import Engine, PendingRequest, RouterState


class EngineCapacity:
    """Checks whether an engine has capacity for a request.

    Attributes:
        max_load_per_core: Load per core up to which an engine has capacity if limits are pooled.
    """

    def __init__(self, state: RouterState, loads: LoadView, slow_start: SlowStart) -> None:
        self.max_load_per_core = 0.0
        self._state = state
        self._loads = loads
        self._slow_start = slow_start

    def has_capacity(self, engine: Engine, request: PendingRequest, *, ignore_ejection: bool = False) -> bool:
        """Return whether the engine has capacity for the request now."""
        if not ignore_ejection and self._is_ejected_for(engine, request):
            return False
        spec = request.spec
        if (spec.is_load or spec.waits_for_loads) and self._is_table_group_loading(engine, request):
            return False
        if engine.concurrency.used + spec.threads > engine.concurrency.limit:
            engine.concurrency.was_full = True
            return False
        return not self._state.is_pooled or self._is_below_max_load(engine)

    def _is_ejected_for(self, engine: Engine, request: PendingRequest) -> bool:
        """Return whether an ejection by this gateway or its peers excludes the request from the engine.

        A trial is an idempotent request of a class with the fewest threads. An engine that this gateway
        ejected serves one trial at a time after the ejection has ended. An engine that peers reported as an
        outlier serves trials only.
        """
        state = self._state
        is_trial = request.is_idempotent and request.spec.threads <= state.min_class_threads
        if engine.ejected_until_us:
            has_ejection_ended = state.now_us >= engine.ejected_until_us
            if not is_trial or engine.attempts or not has_ejection_ended:
                return True
        return state.outlier_gossip.blocks(engine.number, is_trial, state.now_us)

    def _is_table_group_loading(self, engine: Engine, request: PendingRequest) -> bool:
        """Return whether a data load locks the request's table group on the engine."""
        table_group = request.received.table_group
        if engine.blocked_until_us.get(table_group, 0) > self._state.now_us:
            return True
        return any(
            other.spec.is_load and other.received.table_group == table_group
            for other, _ in engine.attempts.values()
        )

    def _is_below_max_load(self, engine: Engine) -> bool:
        """Return whether the load per core is below its limit.

        Load reports count queries and the concurrency limit counts threads, so this check is separate from
        that of the limit. A warming engine that has not reported its load is limited by its budget alone.
        """
        capacity = 1.0
        if engine in self._state.warming_engines:
            capacity = self._slow_start.capacity_fraction(engine)
            if capacity < 1.0 and engine.reported_load < 0:
                return True
        return self._loads.load_per_core(engine) <= self.max_load_per_core * capacity
