"""Tests of the team scheduler: fair service, budgets, waits, displacement and limits. No real clock."""

from __future__ import annotations

from collections import Counter

import pytest
from team_builders import (
    KNOWN_STATEMENT,
    LOOKUP,
    NO_DEADLINE,
    REPORT,
    TEAMS_FILE,
    admitted,
    rejected,
    team_scheduler,
    teams_settings,
)

from lilacfront.teams.queued_request import QueuedRequest, RejectRequest, TeamDecision
from lilacfront.teams.scheduler import TeamScheduler

EXECUTION_S = 1.0


def enqueue(
    scheduler: TeamScheduler,
    now: float,
    number: int,
    team: str,
    class_index: int = LOOKUP,
    deadline: float = NO_DEADLINE,
) -> list[TeamDecision]:
    return scheduler.enqueue(now, number, team, class_index, KNOWN_STATEMENT, deadline)


# ---- fair service -----------------------------------------------------------------------------------
def test_busy_teams_are_served_by_weight_and_cost() -> None:
    scheduler = team_scheduler()
    number = 0
    for _ in range(60):
        for team, class_index in (("support/trends", REPORT), ("customers/acme", LOOKUP), ("others", LOOKUP)):
            number += 1
            enqueue(scheduler, 0.0, number, team, class_index)
    served: Counter[str] = Counter()
    running: dict[int, QueuedRequest] = {
        admitted_number: request
        for admitted_number, request in scheduler._requests.items()
        if request.admitted_at is not None
    }

    def start_admitted(decisions: list[TeamDecision]) -> None:
        for admitted_number in admitted(decisions):
            request = running[admitted_number] = scheduler._requests[admitted_number]
            served[request.queue.settings.name] += request.threads

    now = 0.0
    while now < 8.0:
        now += 0.25
        for running_number, request in list(running.items()):
            if request.admitted_at is not None and now >= request.admitted_at + EXECUTION_S:
                del running[running_number]
                start_admitted(scheduler.request_ended(now, running_number, EXECUTION_S))
        start_admitted(scheduler.tick(now))
    # The three children of the root have weight 1 each. A third of the 8 threads is below the budget of
    # `support`, 4 thread-seconds per second.
    total = served.total()
    assert served["customers/acme"] / total == pytest.approx(1 / 3, abs=0.08)
    assert served["support/trends"] / total == pytest.approx(1 / 3, abs=0.08)


# ---- budgets ----------------------------------------------------------------------------------------
def test_surplus_of_idle_team_is_lent_until_it_is_active() -> None:
    text = """
default = "a"
[[team]]
name = "a"
budget = 4.0
burst = 4.0
[[team]]
name = "b"
budget = 4.0
burst = 4.0
"""
    scheduler = team_scheduler(text, cores=8.0)
    number = 0
    admission_counts: Counter[str] = Counter()
    running: list[tuple[float, int]] = []

    def start_admitted(now: float, decisions: list[TeamDecision]) -> None:
        for admitted_number in admitted(decisions):
            running.append((now + EXECUTION_S, admitted_number))
            admission_counts[scheduler._requests[admitted_number].queue.settings.name] += 1

    for step in range(600):  # 60 s in steps of 0.1 s; team b sends requests from 30 s on
        now = step / 10
        for team in ("a", "b") if now >= 30 else ("a",):
            for _ in range(2):
                number += 1
                start_admitted(now, enqueue(scheduler, now, number, team, deadline=now + 3.0))
        for ends_at, ended in list(running):
            if ends_at <= now:
                running.remove((ends_at, ended))
                start_admitted(now, scheduler.request_ended(now, ended, EXECUTION_S))
        start_admitted(now, scheduler.tick(now))
        if step == 299:
            admitted_alone = admission_counts["a"]
    # While b is idle, a gets 4 thread-seconds per second of its own budget and 4 of b's. Afterwards each team
    # gets only its own budget, and b starts with a full bucket.
    assert admitted_alone == pytest.approx(30 * 8, rel=0.06)
    assert admission_counts["b"] == pytest.approx(30 * 4 + 4, rel=0.06)
    assert admission_counts["a"] - admitted_alone == pytest.approx(30 * 4, rel=0.12)


def test_request_larger_than_burst_starts_when_bucket_is_full() -> None:
    text = """
default = "a"
[[team]]
name = "a"
budget = 1.0
burst = 2.0
borrow = []
longest_wait_s = 99.0
"""
    scheduler = team_scheduler(text, cores=100.0, known_s=5.0)  # a report costs 20 thread-seconds
    assert admitted(enqueue(scheduler, 0.0, 1, "a", REPORT)) == [1]
    assert not enqueue(scheduler, 0.0, 2, "a")
    now = 0.0
    second_admitted_at = None
    while second_admitted_at is None and now < 60:
        now = scheduler.next_tick_at()
        second_admitted_at = now if 2 in admitted(scheduler.tick(now)) else None
    # The bucket falls from 2 to -18 thread-seconds and has to reach 2 again at a rate of 1 per second.
    assert second_admitted_at == pytest.approx(20.0, abs=0.2)


# ---- waits ------------------------------------------------------------------------------------------
def test_request_that_would_start_too_late_is_rejected_with_retry_after() -> None:
    scheduler = team_scheduler(cores=1.0)
    assert admitted(enqueue(scheduler, 0.0, 1, "others", deadline=5.0)) == [1]
    # The 10th percentile of the execution time is 1 s, which is longer than the time until the deadline.
    assert rejected(enqueue(scheduler, 0.0, 2, "others", deadline=0.5)) == {2: "late"}
    for number in range(3, 9):
        enqueue(scheduler, 0.0, number, "others", deadline=4.0)
    decisions = enqueue(scheduler, 0.0, 20, "others", deadline=4.0)
    assert rejected(decisions) == {20: "late"}
    assert all(isinstance(decision, RejectRequest) and decision.retry_after_s >= 2 for decision in decisions)
    scheduler.remove(0.1, 4)
    assert not scheduler.tick(2.9)
    assert rejected(scheduler.tick(3.1)) == dict.fromkeys((3, 5, 6, 7, 8), "waited")


def test_deadline_and_dispatch_at_the_same_time_give_one_decision() -> None:
    scheduler = team_scheduler(cores=1.0)
    enqueue(scheduler, 0.0, 1, "others", deadline=9.0)
    enqueue(scheduler, 0.0, 2, "others", deadline=3.0)
    latest_start = scheduler._requests[2].latest_start
    # A thread becomes free exactly at the latest start time of request 2.
    decisions = scheduler.request_ended(latest_start, 1, EXECUTION_S)
    assert rejected(decisions) == {2: "waited"}
    assert not admitted(decisions)
    assert not scheduler.tick(latest_start)
    assert not scheduler.remove(latest_start, 2)


# ---- displacement -----------------------------------------------------------------------------------
def test_only_a_more_urgent_request_displaces_the_least_urgent_one() -> None:
    text = TEAMS_FILE.replace("weight = 3.0", "weight = 3.0\nqueue_requests = 2")
    scheduler = team_scheduler(text, cores=1.0, known_s=0.1)
    enqueue(scheduler, 0.0, 1, "customers/acme")
    enqueue(scheduler, 0.0, 2, "customers/acme", REPORT)
    enqueue(scheduler, 0.0, 3, "customers/acme")
    assert rejected(enqueue(scheduler, 0.1, 4, "customers/acme", REPORT)) == {4: "full"}
    assert rejected(enqueue(scheduler, 0.1, 5, "customers/acme")) == {2: "displaced"}
    large = b"x" * (5 << 20)
    decisions = scheduler.enqueue(0.1, 6, "customers/acme", LOOKUP, large, NO_DEADLINE)
    assert rejected(decisions) == {6: "full"}


def test_global_bound_displaces_from_team_with_highest_cost_per_weight() -> None:
    scheduler = team_scheduler("queue_requests = 5\n" + TEAMS_FILE, cores=1.0, known_s=0.1)
    enqueue(scheduler, 0.0, 1, "others")
    for number in range(2, 7):
        enqueue(scheduler, 0.0, number, "support/trends", REPORT)
    decisions = enqueue(scheduler, 0.0, 9, "customers/acme")
    assert list(rejected(decisions).values()) == ["displaced"]
    assert 9 not in rejected(decisions)


def test_unknown_client_names_create_no_teams_and_bounded_state() -> None:
    scheduler = team_scheduler()
    for number in range(100_000):
        headers = [(b"X-Customer", b"c%d" % number)]
        team = scheduler.settings.team_of(b"u%d" % number, headers, 0, b"select 1")
        assert team == "others"
        scheduler.enqueue(0.0, number, team, 0, b"select c%d" % (number % 9000), NO_DEADLINE)
        if number >= 300:
            scheduler.remove(0.0, number - 300)
            scheduler.request_ended(0.0, number - 300, 0.001)
    assert len(scheduler.queues) == 3
    assert len(scheduler._requests) <= 300 + 1
    assert len(scheduler.cost_model._mean_seconds) <= 4096
    assert len(scheduler.calibration._by_team) <= 3
    assert len(scheduler._start_deadlines) < 2000


# ---- reload and limits ------------------------------------------------------------------------------
def test_reload_moves_queued_requests_of_removed_teams_to_default_team() -> None:
    scheduler = team_scheduler(cores=1.0)
    enqueue(scheduler, 0.0, 1, "customers/acme")
    for number in range(2, 6):
        enqueue(scheduler, 0.0, number, "customers/acme")
    single_team = 'default = "others"\n[[team]]\nname = "others"\nqueue_requests = 3\n'
    decisions = scheduler.replace_settings(0.5, teams_settings(single_team))
    assert list(rejected(decisions)) == [5]
    assert scheduler.queued_count == 3
    assert {request.queue.settings.name for request in scheduler._requests.values()} == {"others"}
    now = 1.0
    served = [1]
    while len(served) < 4:
        (number,) = admitted(scheduler.request_ended(now, served[-1], EXECUTION_S))
        served.append(number)
        now += 1.0
    assert served == [1, 2, 3, 4]
    assert scheduler.explain(now, 4) is not None


def test_concurrency_limit_blocks_sibling_teams_until_a_request_ends() -> None:
    text = TEAMS_FILE + '\n[[team]]\nname = "customers"\nconcurrency = 2\n[[team]]\nname = "customers/bolt"\n'
    scheduler = team_scheduler(text, cores=100.0)
    for number, team in enumerate(["acme", "bolt", "acme", "bolt", "bolt"], 1):
        enqueue(scheduler, 0.0, number, f"customers/{team}")
    assert scheduler.threads_in_use == 2
    explanation = scheduler.explain(0.0, 4)
    assert explanation is not None
    assert explanation.limiting_team == "customers"
    assert explanation.requests_ahead == 0
    assert len(admitted(scheduler.request_ended(1.0, 1, EXECUTION_S))) == 1
    assert len(admitted(scheduler.request_ended(1.0, 2, EXECUTION_S))) == 1
    assert scheduler.threads_in_use == 2


def test_requests_wait_while_there_are_no_engines() -> None:
    scheduler = team_scheduler(cores=0.0)
    for number in range(5):
        assert not enqueue(scheduler, 0.0, number, "others")
    for _ in range(50):
        assert not scheduler.tick(0.0)
    assert sorted(admitted(scheduler.set_capacity(0.0, 8.0))) == [0, 1, 2, 3, 4]
