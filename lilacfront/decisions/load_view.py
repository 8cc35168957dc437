"""Load of each engine, from this gateway's own threads, load reports and gossip."""

from __future__ import annotations

from lilacfront.decisions.actions import Action
from lilacfront.decisions.events import LoadReport
from lilacfront.decisions.load_gossip import LoadGossip
from lilacfront.decisions.state import NO_REPORT, Engine, RouterState
from lilacfront.decisions.table_group_demand import DEMAND_HALF_LIFE_US, TableGroupDemand

MAX_COUNTED_LOAD_RATIO = 2.0  # cap, in multiples of the mean, on the weight of one overloaded engine
REPORT_LIFETIME_INTERVALS = 3.0  # send intervals until a report has no weight left


class LoadView:
    """Tracks the load per core of each engine.

    Attributes:
        mean_load: Mean load per core of the engines with a load report, each counted up to a cap.
        report_count: Number of engines with a load report.
    """

    def __init__(self, state: RouterState, demand: TableGroupDemand, gossip: LoadGossip) -> None:
        self.mean_load = 0.0
        self.report_count = 0
        self._state = state
        self._demand = demand
        self._gossip = gossip

    def record(self, engine: Engine, load_per_core: float, at_us: int = 0) -> None:
        """Record the latest load per core of an engine; an `at_us` of 0 means the current time."""
        total = self.mean_load * self.report_count - engine.counted_load
        max_counted = MAX_COUNTED_LOAD_RATIO * self.mean_load if self.report_count else load_per_core
        self.report_count += (load_per_core >= 0) - (engine.reported_load >= 0)
        engine.counted_load = max(0.0, min(load_per_core, max_counted))
        self.mean_load = max(0.0, total + engine.counted_load) / max(1, self.report_count)
        engine.reported_load = load_per_core
        engine.reported_at_us = at_us or self._state.now_us
        self._gossip.record(engine.number, load_per_core, engine.reported_at_us)

    def forget(self, engine: Engine) -> None:
        """Discard the engine's load report."""
        self.record(engine, NO_REPORT)

    def record_report(self, engine: Engine, report: LoadReport | None) -> bool:
        """Record a load report; return False if it contains no load."""
        if report is None:
            return False
        if report.in_flight is not None:
            load = report.in_flight
        elif report.cpu_utilization is not None:
            load = report.cpu_utilization * engine.cores
        else:
            return False
        self.record(engine, load / engine.cores)
        return True

    def record_slow_attempt(self, engine: Engine, duration_us: int, likely_us: float) -> None:
        """Record the load that explains an attempt that was not done within its likely run time."""
        self.record(engine, max(engine.reported_load, self.mean_load * duration_us / likely_us))

    def receive_gossip(self, data: bytes) -> None:
        """Record the reports in a peer's message that are newer than the known ones."""
        for number, load, at_us in self._gossip.receive(self._state.now_us, data):
            engine = self._state.engines[number]
            # A report from before the engine's start is about another process at its address.
            if at_us >= engine.endpoint.started_us:
                self.record(engine, load, at_us)

    def send_gossip(self) -> list[Action]:
        """Count a request and return the gossip message to send with it, if any."""
        return self._gossip.count_request(self._state.now_us)

    def update_engines(self) -> None:
        """Restrict gossip to the listed engines."""
        self._gossip.set_engines(self._state.engines, self._state.is_pooled)

    def load_per_core(self, engine: Engine) -> float:
        """Return the estimated load per core of an engine.

        This is the number of this gateway's threads per core. If limits are pooled, the gateway's few threads
        say little about the load, so the engine's last report is added. As the report ages, the mean load
        gradually replaces it, so that no engine is excluded for ever.
        """
        own = engine.concurrency.used / engine.cores
        if not self._state.is_pooled:
            return own
        age = 1.0
        if engine.reported_load >= 0:
            lifetime_us = REPORT_LIFETIME_INTERVALS * self.send_interval_us()
            age = (self._state.now_us - engine.reported_at_us) / lifetime_us
        report_weight = max(0.0, 1.0 - age)
        return own + self.mean_load + report_weight * (engine.reported_load - self.mean_load)

    def send_interval_us(self) -> int:
        """Return this gateway's mean time between requests to one engine; 0 if limits are not pooled."""
        if not self._state.is_pooled:
            return 0
        return int(len(self._state.engines) * DEMAND_HALF_LIFE_US / max(1.0, self._demand.total))
