"""Engine selection: rendezvous hashing by table group, bounded by load.

Each table group ranks all engines by a hash that is the same at every gateway. A request goes to the less
loaded of the first two engines with capacity in its group's order. If the load of both is well above the
mean, the request spills over to an engine later in the order. So each engine serves few table groups, whose
data stays in its caches.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice

from lilacfront.decisions.engine_capacity import EngineCapacity
from lilacfront.decisions.hashing import hash_pair
from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.outlier_ejection import OutlierEjection
from lilacfront.decisions.pooled_limit import PooledLimit
from lilacfront.decisions.send_rules import SendRules
from lilacfront.decisions.state import Engine, PendingRequest, RouterState
from lilacfront.decisions.table_group_demand import TableGroupDemand

SPILL_LOAD_RATIO = 1.5  # ratio of an engine's load to the mean load above which a request spills over
# Lower than SPILL_LOAD_RATIO: load reports lose weight with age, so a high load appears lower than it is.
POOLED_SPILL_LOAD_RATIO = 1.25
MAX_DENSITY_HEADROOM = 0.5  # added fraction of the load limit for the requests of highest value density
REMOTE_LOAD_PENALTY = 0.5  # fraction of the mean load added to the load of an engine in another zone
MIN_ENGINES_CONSIDERED = 4  # engines of a group's order that are considered where limits are pooled
# One sixth of the order is considered if that is more engines. Considering the whole order would make all
# gateways send to the same idle engine.
CONSIDERED_DIVISOR = 6
SPREAD_FACTOR = 2.0  # ratio of a group's fraction of the engines to its fraction of the demand
MIN_SPREAD_ENGINES = 2
MAX_ORDER_ENTRIES = 1 << 18  # engines in all cached orders together: a few megabytes
CHOICE_COUNT = 2  # power of two choices


class EngineSelection:
    """Selects the engine for each attempt.

    Attributes:
        orders: Cached order of engines for each table group.
    """

    def __init__(
        self,
        state: RouterState,
        pooled_limit: PooledLimit,
        loads: LoadView,
        demand: TableGroupDemand,
        capacity: EngineCapacity,
        send_rules: SendRules,
        outliers: OutlierEjection,
    ) -> None:
        self.orders: dict[int, list[Engine]] = {}
        self._state = state
        self._pooled_limit = pooled_limit
        self._loads = loads
        self._demand = demand
        self._capacity = capacity
        self._send_rules = send_rules
        self._outliers = outliers
        self._separates_data_loads = any(spec.waits_for_loads for spec in state.settings.classes)
        self._local_engine_count = 0

    def reset(self) -> None:
        """Clear the cached orders after a change of the engines."""
        state = self._state
        self._local_engine_count = 0
        if state.is_pooled:
            self._local_engine_count = sum(not self._is_remote(engine) for engine in state.ready_engines)
        self.orders.clear()

    def select(self, request: PendingRequest) -> Engine | None:
        """Return the engine for the request's next attempt; None if no engine has capacity."""
        state = self._state
        mean_load = self._pooled_limit.concurrency.used / max(1.0, state.effective_cores)
        spill_ratio = SPILL_LOAD_RATIO
        if state.is_pooled:
            mean_load += self._loads.mean_load
            if not self._pooled_limit.has_capacity(request):
                return None
            spill_ratio = self._set_max_load(request)
        candidates = self._candidates(request)
        tried = [attempt.engine for attempt in request.attempts]
        if tried:  # engines that failed or were too slow come last
            candidates = iter(sorted(candidates, key=tried.count))
        first = list(islice(candidates, CHOICE_COUNT))
        if not first:
            return None
        if tried and first[0] not in tried:
            return first[0]
        return self._choose(first, candidates, mean_load, spill_ratio)

    def order(self, table_group: int) -> list[Engine]:
        """Return the ready engines in the group's order; if limits are pooled, those of this zone first."""
        found = self.orders.get(table_group)
        if found is not None:
            return found
        order = sorted(self._state.ready_engines, key=lambda e: (hash_pair(e.number, table_group), e.number))
        if self._state.is_pooled:
            order.sort(key=self._is_remote)
        if len(self.orders) * len(order) >= MAX_ORDER_ENTRIES:
            self.orders.clear()
        self.orders[table_group] = order
        return order

    def start_index(self, table_group: int, engine_count: int) -> int:
        """Return the index in a group's order at which this gateway starts if limits are pooled.

        The few threads of one gateway don't show that a group needs more than two engines. So the gateways
        spread a group over twice as many engines as its fraction of the demand requires.
        """
        wanted = round(SPREAD_FACTOR * self._demand.fraction(table_group) * engine_count)
        width = max(MIN_SPREAD_ENGINES, min(engine_count, wanted))
        return hash_pair(self._state.settings.gateway_index, table_group) % width

    def _set_max_load(self, request: PendingRequest) -> float:
        """Set the load limit of the engines for this request and return the request's spill ratio."""
        headroom = 1.0 + MAX_DENSITY_HEADROOM * self._pooled_limit.value_density_excess(request)
        spill_ratio = POOLED_SPILL_LOAD_RATIO * headroom
        threads_per_core = self._pooled_limit.threads_per_core()
        self._capacity.max_load_per_core = (
            spill_ratio / POOLED_SPILL_LOAD_RATIO * threads_per_core / self._pooled_limit.threads_per_request
        )
        return spill_ratio

    def _candidates(self, request: PendingRequest) -> Iterator[Engine]:
        """Return the engines with capacity in search order; ejected ones last, if too many are ejected."""
        order = self.order(request.received.table_group)
        has_capacity, may_forward = self._capacity.has_capacity, self._send_rules.may_forward
        search_order = (
            self._pooled_search_order(order, request)
            if self._state.is_pooled
            else self._search_order(order, request)
        )
        candidates = (e for e in search_order if has_capacity(e, request) and may_forward(request, e))
        if not self._outliers.are_too_many_ejected(len(order)):
            return candidates
        last_resort = (
            e
            for e in order
            if e.ejected_until_us
            and has_capacity(e, request, ignore_ejection=True)
            and may_forward(request, e)
        )
        return chain(candidates, last_resort)

    def _search_order(self, order: list[Engine], request: PendingRequest) -> Iterator[Engine]:
        return iter(order[:: self._direction(request)])

    def _pooled_search_order(self, order: list[Engine], request: PendingRequest) -> Iterator[Engine]:
        """Return warming engines, then the first engines of this zone, then the first of other zones."""
        local_count = self._local_engine_count or len(order)
        direction = self._direction(request)
        start = self.start_index(request.received.table_group, local_count)
        local, remote = order[:local_count][::direction], order[local_count:][::direction]
        now_us = self._state.now_us
        local_engines = (e for e in chain(local[start:], local[:start]) if now_us >= e.ejected_until_us)
        remote_engines = (e for e in remote if now_us >= e.ejected_until_us)
        return chain(
            self._state.warming_engines,
            islice(local_engines, _considered_engine_count(len(local))),
            islice(remote_engines, _considered_engine_count(len(remote))),
        )

    def _direction(self, request: PendingRequest) -> int:
        """Return the step through the order.

        If some class waits for data loads, data loads search the order from its end, away from the readers.
        """
        return -1 if self._separates_data_loads and request.spec.is_load else 1

    def _choose(
        self, first: list[Engine], others: Iterator[Engine], mean_load: float, spill_ratio: float
    ) -> Engine:
        """Return the less loaded of the first candidates, or a later one if both are well above the mean."""
        load = self._loads.load_per_core
        best = min(first, key=lambda e: load(e) + REMOTE_LOAD_PENALTY * mean_load * self._is_remote(e))
        is_pooled = self._state.is_pooled
        if is_pooled and first[0] in self._state.warming_engines:  # its budget would expire unused otherwise
            return first[0]
        if load(best) <= spill_ratio * mean_load:
            return best
        if is_pooled:  # the next engine in the order keeps the number of engines per group small
            return next((e for e in others if load(e) <= mean_load), best)
        return min(chain(first, others), key=load)

    def _is_remote(self, engine: Engine) -> bool:
        """Return whether the engine is in another zone and traffic across zones has a price."""
        settings = self._state.settings
        return settings.cross_zone_price > 0 and engine.endpoint.zone != settings.zone


def _considered_engine_count(engine_count: int) -> int:
    return max(MIN_ENGINES_CONSIDERED, engine_count // CONSIDERED_DIVISOR)
