"""Compares the decisions of the team scheduler on seeded random calls with recorded digests.

The digests were recorded before the scheduler was split into modules. A digest that differs means that other
requests are admitted, rejected or displaced, at other times, or with other Retry-After or wait estimates.
"""

from __future__ import annotations

import dataclasses
import hashlib
import random

import pytest

from lilacfront.teams.cost_model import CostModel
from lilacfront.teams.queued_request import AdmitRequest, TeamDecision
from lilacfront.teams.scheduler import TeamScheduler
from lilacfront.teams.settings import TeamsSettings
from lilacfront.teams.settings_file import parse_teams

CLASSES = ("lookup", "report", "load")
THREADS = (1, 4, 2)
STEPS = 6000
TREE = """
default = "c"
queue_requests = 24
queue_kb = 64
fill = 0.5
pushback_least_s = 0.2
pushback_most_s = 6.0
[[team]]
name = "a"
weight = 2.0
budget = 6.0
burst = 12.0
[[team]]
name = "a/x"
budget = 4.0
queue_requests = 14
patience_s = { lookup = 0.3, report = 4.0 }
[[team]]
name = "a/y"
weight = 2.5
budget = 2.0
burst = 3.0
longest_wait_s = 3.0
[[team]]
name = "a/deep/er"
weight = 0.5
queue_requests = 9
[[team]]
name = "b/z"
budget = 3.0
burst = 5.0
borrow = ["lookup"]
queue_kb = 3
[[team]]
name = "b/limited"
concurrency = 3
[[team]]
name = "c"
weight = 0.7
"""
OTHER_TREE = """
default = "c"
queue_requests = 40
[[team]]
name = "a/x"
budget = 5.0
burst = 6.0
[[team]]
name = "a/y"
weight = 0.4
budget = 2.0
[[team]]
name = "c"
concurrency = 2
[[team]]
name = "new"
budget = 1.5
"""
TEAMS = ("a/x", "a/y", "a/deep/er", "b/z", "b/limited", "c", "new", "unlisted")


def settings(text: str) -> TeamsSettings:
    parsed = parse_teams(text.encode(), CLASSES)
    assert parsed is not None
    return parsed


class Recording:
    """Makes seeded random calls on a scheduler and computes the digest of all its decisions."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.scheduler = TeamScheduler(settings(TREE), CostModel(THREADS, self.now), self.now)
        self.digest = hashlib.sha256()
        self.queued: list[int] = []
        self.running: list[int] = []
        self.last_number = 0
        self.admitted_count = 0
        self.reason_counts: dict[str, int] = {}

    def record(self, *values: object) -> None:
        self.digest.update(repr(values).encode())

    def record_decisions(self, call: str, decisions: list[TeamDecision]) -> None:
        """Add decisions to the digest; `call` is part of it, so its values must not be renamed."""
        self.record(call, self.now, len(decisions))
        for decision in decisions:
            number = decision.number
            if number in self.queued:
                self.queued.remove(number)
            if isinstance(decision, AdmitRequest):
                self.record("admitted", number)
                self.running.append(number)
                self.admitted_count += 1
            else:
                retry_wait = decision.retry_wait
                rejection = (decision.retry_after_s, retry_wait.likely, retry_wait.low, retry_wait.high)
                self.record("rejected", number, str(decision.reason), rejection)
                self.reason_counts[decision.reason] = self.reason_counts.get(decision.reason, 0) + 1
        self.record(self.scheduler.next_tick_at())

    def enqueue(self) -> None:
        self.last_number += 1
        number = self.last_number
        team = self.random.choice(TEAMS)
        class_index = self.random.choice((0, 0, 0, 1, 2))
        statement = b"select %d from t%s" % (number, b"abcdefg"[number % 5 : number % 5 + 1])
        statement += b" " * self.random.choice((0, 0, 400, 2000))
        deadline = self.now + self.random.choice((0.05, 0.8, 4.0, 20.0, 60.0))
        self.queued.append(number)
        decisions = self.scheduler.enqueue(self.now, number, team, class_index, statement, deadline)
        self.record_decisions("enter", decisions)
        estimate = self.scheduler.wait_estimate(number)
        if estimate is not None:
            self.record(estimate.likely, estimate.low, estimate.high)

    def end(self) -> None:
        if not self.running:
            return
        number = self.running.pop(self.random.randrange(len(self.running)))
        seconds = self.random.choice((None, self.random.lognormvariate(-1.5, 1.0)))
        self.record_decisions("ended", self.scheduler.request_ended(self.now, number, seconds))

    def remove(self) -> None:
        if not self.queued:
            return
        number = self.queued.pop(self.random.randrange(len(self.queued)))
        self.record_decisions("leave", self.scheduler.remove(self.now, number))

    def tick(self) -> None:
        until = self.now + self.random.choice((0.001, 0.02, 0.2, 1.5))
        for _ in range(40):
            tick_at = self.scheduler.next_tick_at()
            if tick_at > until:
                break
            self.now = max(self.now, tick_at)
            self.record_decisions("tick", self.scheduler.tick(self.now))
        self.now = until

    def change_capacity(self) -> None:
        cores = self.random.choice((0.0, 8.0, 16.0, 24.0, 24.0))
        self.record_decisions("capacity", self.scheduler.set_capacity(self.now, cores))

    def change_settings(self) -> None:
        text = self.random.choice((TREE, OTHER_TREE))
        self.record_decisions("replace", self.scheduler.replace_settings(self.now, settings(text)))

    def explain(self) -> None:
        known = self.queued + self.running
        if known:
            number = self.random.choice(known)
            explanation = self.scheduler.explain(self.now, number)
            assert explanation is not None
            self.record(*dataclasses.astuple(explanation))

    def run(self) -> str:
        self.record_decisions("capacity", self.scheduler.set_capacity(self.now, 16.0))
        calls = (self.enqueue, self.end, self.tick, self.remove, self.explain)
        rare_calls = (self.change_capacity, self.change_settings)
        for step in range(STEPS):
            # Bursts of arrivals alternate with periods of low load, so that queues fill and drain.
            weights = (10, 3, 2, 1, 1) if step % 400 < 150 else (3, 4, 3, 1, 1)
            call = self.random.choices(calls, weights)[0]
            if step % 300 == 299:
                call = self.random.choice(rare_calls)
            call()
        return self.digest.hexdigest()


DIGESTS = {
    0: "437ce26ef7151a541209883f6aeb6f4cdf3e4c67120eee0235a2a69e2eee11b7",
    1: "3870e85d5dde34f3cef0b5e238ca49dd29cd2370e77c732a399738b257ac008e",
    2: "3de89ad59dd83160628decb721caada6caf487cdacada38ffc8459cbcab91b09",
    3: "81eed1a4be60913e6807853e87992d8c49727ffca38f2aace5707cba5d3b4f3c",
    4: "18cc3fc5045f493b16ba865b45d3618119a3bc6383e388129229210d6422eb05",
    5: "b81f3db947cac3b9d02b28c5c8339e0f52c8ce270747ebcc95a6635a2d11866f",
}


@pytest.mark.parametrize(("seed", "digest"), DIGESTS.items())
def test_decisions_match_the_recorded_digest(seed: int, digest: str) -> None:
    recording = Recording(seed)
    assert recording.run() == digest
    assert recording.admitted_count > 500
    assert set(recording.reason_counts) == {"late", "waited", "full", "displaced"}
