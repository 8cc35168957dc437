"""Seeded streams of calls on the team scheduler: every decision is held against a recorded digest.

The digests were made by the program as it stood before its modules were taken apart. A change that alters
one of them alters which requests are admitted, rejected or displaced, when, or what clients are told.
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
    made = parse_teams(text.encode(), CLASSES)
    assert made is not None
    return made


class Recording:
    """A scheduler under a seeded stream of calls, and the digest of all that it decided."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.scheduler = TeamScheduler(settings(TREE), CostModel(THREADS, self.now), self.now)
        self.digest = hashlib.sha256()
        self.waiting: list[int] = []
        self.running: list[int] = []
        self.number = 0
        self.admitted = 0
        self.reasons: dict[str, int] = {}

    def record(self, *values: object) -> None:
        self.digest.update(repr(values).encode())

    def decided(self, call: str, decisions: list[TeamDecision]) -> None:
        self.record(call, self.now, len(decisions))
        for decision in decisions:
            number = decision.number
            if number in self.waiting:
                self.waiting.remove(number)
            if isinstance(decision, AdmitRequest):
                self.record("admitted", number)
                self.running.append(number)
                self.admitted += 1
            else:
                wait = decision.retry_wait
                told = (decision.retry_after_s, wait.likely, wait.low, wait.high)
                self.record("rejected", number, str(decision.reason), told)
                self.reasons[decision.reason] = self.reasons.get(decision.reason, 0) + 1
        self.record(self.scheduler.next_tick_at())

    def enter(self) -> None:
        self.number += 1
        number = self.number
        team = self.random.choice(TEAMS)
        class_index = self.random.choice((0, 0, 0, 1, 2))
        statement = b"select %d from t%s" % (number, b"abcdefg"[number % 5 : number % 5 + 1])
        statement += b" " * self.random.choice((0, 0, 400, 2000))
        deadline = self.now + self.random.choice((0.05, 0.8, 4.0, 20.0, 60.0))
        self.waiting.append(number)
        decisions = self.scheduler.enqueue(self.now, number, team, class_index, statement, deadline)
        self.decided("enter", decisions)
        estimate = self.scheduler.wait_estimate(number)
        if estimate is not None:
            self.record(estimate.likely, estimate.low, estimate.high)

    def end(self) -> None:
        if not self.running:
            return
        number = self.running.pop(self.random.randrange(len(self.running)))
        seconds = self.random.choice((None, self.random.lognormvariate(-1.5, 1.0)))
        self.decided("ended", self.scheduler.request_ended(self.now, number, seconds))

    def leave(self) -> None:
        if not self.waiting:
            return
        number = self.waiting.pop(self.random.randrange(len(self.waiting)))
        self.decided("leave", self.scheduler.remove(self.now, number))

    def tick(self) -> None:
        until = self.now + self.random.choice((0.001, 0.02, 0.2, 1.5))
        for _ in range(40):
            due = self.scheduler.next_tick_at()
            if due > until:
                break
            self.now = max(self.now, due)
            self.decided("tick", self.scheduler.tick(self.now))
        self.now = until

    def change_capacity(self) -> None:
        cores = self.random.choice((0.0, 8.0, 16.0, 24.0, 24.0))
        self.decided("capacity", self.scheduler.set_capacity(self.now, cores))

    def change_settings(self) -> None:
        text = self.random.choice((TREE, OTHER_TREE))
        self.decided("replace", self.scheduler.replace_settings(self.now, settings(text)))

    def explain(self) -> None:
        known = self.waiting + self.running
        if known:
            number = self.random.choice(known)
            explanation = self.scheduler.explain(self.now, number)
            assert explanation is not None
            self.record(*dataclasses.astuple(explanation))

    def run(self) -> str:
        self.decided("capacity", self.scheduler.set_capacity(self.now, 16.0))
        calls = (self.enter, self.end, self.tick, self.leave, self.explain)
        rare = (self.change_capacity, self.change_settings)
        for step in range(STEPS):
            # Bursts of arrivals between calmer stretches, so that queues fill and drain.
            weights = (10, 3, 2, 1, 1) if step % 400 < 150 else (3, 4, 3, 1, 1)
            call = self.random.choices(calls, weights)[0]
            if step % 300 == 299:
                call = self.random.choice(rare)
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
def test_every_decision_is_as_recorded(seed: int, digest: str) -> None:
    recording = Recording(seed)
    assert recording.run() == digest
    assert recording.admitted > 500
    assert set(recording.reasons) == {"late", "waited", "full", "displaced"}
