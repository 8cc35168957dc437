"""Stateful property test of the team scheduler: its invariants must hold after any sequence of events."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from team_builders import KNOWN_STATEMENT, THREADS, team_scheduler

from lilacfront.teams.dispatch_order import REFILL_INTERVAL_S
from lilacfront.teams.queued_request import AdmitRequest, TeamDecision

MAX_QUEUED = 12
TREE = """
default = "c"
queue_requests = 12
[[team]]
name = "a"
budget = 3.0
burst = 6.0
[[team]]
name = "a/x"
budget = 2.0
burst = 4.0
queue_requests = 4
[[team]]
name = "a/y"
weight = 2.0
budget = 2.0
burst = 3.0
concurrency = 2
longest_wait_s = 3.0
[[team]]
name = "b/z"
budget = 2.0
burst = 3.0
borrow = []
[[team]]
name = "c"
"""


@dataclass(frozen=True)
class Running:
    """An admitted request.

    Attributes:
        team: Path of the request's team.
        cost: Charged cost in thread-seconds.
        lending_level: Index of the budget level that lent; 0 if none did.
    """

    team: str
    cost: float
    lending_level: int


@dataclass(frozen=True)
class Charge:
    """A charge or refund.

    Attributes:
        at: Time of the charge in seconds.
        team: Path of the request's team.
        cost: Charged cost in thread-seconds; below 0 for a refund.
        lending_level: Index of the budget level that lent; 0 if none did.
    """

    at: float
    team: str
    cost: float
    lending_level: int


@dataclass(frozen=True)
class Budget:
    """A budget shared by some teams.

    Attributes:
        teams: Paths of the teams.
        rate: Budget in thread-seconds per second.
        burst: Most unused budget in thread-seconds.
        exempt_from_level: Lowest lending level whose loans are not charged to this budget.
    """

    teams: tuple[str, ...]
    rate: float
    burst: float
    exempt_from_level: int


BUDGETS = (
    Budget(("a/x",), 2, 4, 1),
    Budget(("a/y",), 2, 3, 1),
    Budget(("b/z",), 2, 3, 1),
    Budget(("a/x", "a/y"), 3, 6, 2),
)


class SchedulerMachine(RuleBasedStateMachine):
    @initialize()
    def create_scheduler(self) -> None:
        self.scheduler = team_scheduler(TREE, cores=40.0)
        self.now = 0.0
        self.count = 0
        self.queued: dict[int, str] = {}  # the team of each request without a decision
        self.arrived_at: dict[int, float] = {}
        self.running: dict[int, Running] = {}
        self.charges: list[Charge] = []

    def apply(self, decisions: list[TeamDecision]) -> None:
        for decision in decisions:
            team = self.queued.pop(decision.number)  # raises a KeyError on a second decision
            max_wait_s = self.scheduler.queues[team].settings.max_wait_s
            assert self.now - self.arrived_at[decision.number] <= max_wait_s + REFILL_INTERVAL_S
            if isinstance(decision, AdmitRequest):
                request = self.scheduler._requests[decision.number]
                lending_level = request.lending_level or 0
                self.running[decision.number] = Running(team, request.cost, lending_level)
                self.charges.append(Charge(self.now, team, request.cost, lending_level))
            else:
                assert 0.05 <= decision.retry_after_s <= 30.0
                assert decision.retry_wait.low <= decision.retry_wait.high

    @rule(
        team=st.sampled_from(["a/x", "a/y", "b/z", "c", "none"]),
        class_index=st.integers(0, 2),
        time_left=st.floats(0, 20),
        request_count=st.integers(1, 6),
    )
    def enqueue(self, team: str, class_index: int, time_left: float, request_count: int) -> None:
        for _ in range(request_count):
            self.count += 1
            self.queued[self.count] = team if team != "none" else "c"
            self.arrived_at[self.count] = self.now
            deadline = self.now + time_left
            self.apply(
                self.scheduler.enqueue(self.now, self.count, team, class_index, KNOWN_STATEMENT, deadline)
            )

    @rule(data=st.data(), share=st.floats(0, 1), ran=st.booleans())
    def end(self, data: st.DataObject, share: float, ran: bool) -> None:
        if not self.running:
            return
        number = data.draw(st.sampled_from(sorted(self.running)))
        ended = self.running.pop(number)
        # A request never takes longer than estimated, so the budget bound needs no allowance for that.
        seconds = share * ended.cost / self.scheduler._requests[number].threads if ran else None
        refund = (1 - share) * ended.cost if ran else ended.cost
        self.charges.append(Charge(self.now, ended.team, -refund, ended.lending_level))
        self.apply(self.scheduler.request_ended(self.now, number, seconds))

    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        known = sorted(self.queued.keys() | self.running.keys())
        if known:
            number = data.draw(st.sampled_from(known))
            self.queued.pop(number, None)
            self.apply(self.scheduler.remove(self.now, number))

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.05, 0.3, 2.0, 30.0]))
    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while self.scheduler.next_tick_at() <= until:
            self.now = max(self.now, self.scheduler.next_tick_at())
            self.apply(self.scheduler.tick(self.now))
        self.now = until
        self.apply(self.scheduler.tick(self.now))
        for number, team in self.queued.items():
            max_wait_s = self.scheduler.queues[team].settings.max_wait_s
            assert self.now - self.arrived_at[number] <= max_wait_s + REFILL_INTERVAL_S

    @rule(cores=st.sampled_from([0.0, 2.0, 40.0]))
    def change_capacity(self, cores: float) -> None:
        self.apply(self.scheduler.set_capacity(self.now, cores))

    @invariant()
    def totals_match_the_queues(self) -> None:
        if not hasattr(self, "scheduler"):
            return
        scheduler = self.scheduler
        assert scheduler.queued_count == len(self.queued) <= MAX_QUEUED
        assert scheduler.queued_count == sum(len(queue.entries) for queue in scheduler.queues.values())
        in_use = sum(THREADS[scheduler._requests[number].class_index] for number in self.running)
        assert scheduler.threads_in_use == in_use
        for queue in scheduler.queues.values():
            queued_cost = sum(request.cost for _, request in queue.entries)
            assert queue.queued_cost == pytest.approx(queued_cost, abs=1e-6)
            limit = queue.settings.max_concurrency
            running = sum(request.team == queue.settings.name for request in self.running.values())
            assert limit is None or running <= limit
            assert all(level.pool.total >= -1e-6 for level in queue.budget.levels)

    @invariant()
    def budgets_are_not_exceeded(self) -> None:
        if not hasattr(self, "scheduler"):
            return
        for budget in BUDGETS:
            charges = [
                charge
                for charge in self.charges
                if charge.team in budget.teams and charge.lending_level < budget.exempt_from_level
            ]
            for index, first in enumerate(charges):
                costs = [charge.cost for charge in charges[index:]]
                allowed = budget.rate * (self.now - first.at) + budget.burst + max(costs)
                assert sum(costs) <= allowed + 1e-6


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True, database=None
)
