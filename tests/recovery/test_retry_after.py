"""Retry-After times: they follow the capacity, and clients that comply with them are admitted."""

import pytest

from lilacfront.recovery.retry_after import RetryAfterScheduler, warm_up_curve

TOP_PRIORITY_CLASS, OTHER_CLASS = 0, 1
CLIENT_COUNT = 300


def call_id(number: int) -> bytes:
    return b"r%d" % number


@pytest.fixture
def warming_scheduler() -> tuple[RetryAfterScheduler, list[float]]:
    """A scheduler for engines that warm up, and the waits of many clients rejected at once."""
    fraction = warm_up_curve(0.25, 4.0, 0.0)
    scheduler = RetryAfterScheduler(lambda at: 10.0 * fraction(at), TOP_PRIORITY_CLASS, 10.0, 1)
    waits = [scheduler.schedule(0.0, call_id(n), OTHER_CLASS, 0.1, 0.0) for n in range(CLIENT_COUNT)]
    return scheduler, waits


def test_more_retries_are_scheduled_once_engines_are_warm(
    warming_scheduler: tuple[RetryAfterScheduler, list[float]],
) -> None:
    _, waits = warming_scheduler
    early = sum(wait < 2.0 for wait in waits)
    late = sum(4.0 <= wait < 6.0 for wait in waits)
    assert 1.5 < late / early < 4.5  # warm engines have four times the capacity


def test_top_priority_class_uses_capacity_that_others_may_not(
    warming_scheduler: tuple[RetryAfterScheduler, list[float]],
) -> None:
    scheduler, waits = warming_scheduler
    assert scheduler.schedule(0.0, b"top", TOP_PRIORITY_CLASS, 0.01, 0.0) < sorted(waits)[30]


def test_early_retry_keeps_its_time_and_is_admitted_only_then(
    warming_scheduler: tuple[RetryAfterScheduler, list[float]],
) -> None:
    scheduler, waits = warming_scheduler
    last_call_id = call_id(CLIENT_COUNT - 1)
    retry_at = waits[-1]
    assert abs(scheduler.schedule(retry_at / 2, last_call_id, OTHER_CLASS, 0.1, 0.0) - retry_at / 2) < 1e-6
    assert not scheduler.admit(retry_at / 2, last_call_id, OTHER_CLASS, 0.1)
    assert scheduler.admit(retry_at + 0.01, last_call_id, OTHER_CLASS, 0.1)


def test_new_request_beyond_the_capacity_is_not_admitted(
    warming_scheduler: tuple[RetryAfterScheduler, list[float]],
) -> None:
    scheduler, waits = warming_scheduler
    retry_at = waits[-1]
    scheduler.admit(retry_at + 0.01, call_id(CLIENT_COUNT - 1), OTHER_CLASS, 0.1)
    assert not scheduler.admit(retry_at + 0.01, b"new", OTHER_CLASS, 5.0)


def test_retry_after_is_zero_when_disabled() -> None:
    scheduler = RetryAfterScheduler(warm_up_curve(0.25, 4.0, 0.0), TOP_PRIORITY_CLASS, 0.0, 1)
    assert scheduler.schedule(0.0, b"x", TOP_PRIORITY_CLASS, 1.0, 0.0) == 0.0


def test_rapid_retries_under_new_ids_are_admitted_and_do_not_delay_a_compliant_client() -> None:
    scheduler = RetryAfterScheduler(lambda _at: 24.0, TOP_PRIORITY_CLASS, 2.0, 1)
    compliant_wait = scheduler.schedule(0.0, b"compliant", TOP_PRIORITY_CLASS, 0.16, 0.3)
    admitted = 0
    for number in range(2000):  # one request every 2 ms for 4 s; all are rejected in the first 0.3 s
        now = number * 0.002
        if now >= 0.3 and scheduler.admit(now, b"%d" % number, TOP_PRIORITY_CLASS, 0.16):
            admitted += 1
        else:
            scheduler.schedule(now, b"%d" % number, TOP_PRIORITY_CLASS, 0.16, max(now, 0.3))
    assert admitted > 100
    assert scheduler.compliance < 0.5
    assert 0.3 <= compliant_wait < 0.5


@pytest.fixture
def overloaded_scheduler() -> tuple[RetryAfterScheduler, list[float]]:
    """A scheduler that rejected more requests than it stores retry times for, and their waits."""
    scheduler = RetryAfterScheduler(lambda _at: 1.0, TOP_PRIORITY_CLASS, 5.0, 1)
    return scheduler, [scheduler.schedule(0.0, b"%d" % n, n % 3, 3.0, 0.0) for n in range(70_000)]


def test_waits_stay_within_their_bounds_when_all_slots_are_taken(
    overloaded_scheduler: tuple[RetryAfterScheduler, list[float]],
) -> None:
    _, waits = overloaded_scheduler
    assert min(waits) > 0.0
    assert max(waits) <= 5.0


def test_memory_is_bounded(overloaded_scheduler: tuple[RetryAfterScheduler, list[float]]) -> None:
    scheduler, _ = overloaded_scheduler
    assert len(scheduler._retry_at) <= 65_536
    scheduler.admit(100.0, b"x", TOP_PRIORITY_CLASS, 0.1)
    assert len(scheduler._slots._reserved) + len(scheduler._slots._admitted) < 500
