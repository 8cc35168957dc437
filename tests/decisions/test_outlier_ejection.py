"""Error rates, ejections and trials of engines."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import (
    SECOND_US,
    SHORT,
    end_attempt,
    endpoints,
    forwards,
    make_router,
    make_routers,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.events import AttemptEnded, AttemptResult
from lilacfront.decisions.settings import Idempotency


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.ERROR])
def test_an_engine_that_fails_fast_does_not_attract_traffic(result: AttemptResult) -> None:
    router = make_router(policy_settings(), endpoints(4))
    now, sent_there = 0, 0
    for n in range(200):
        now += 10_000
        for send in forwards(receive_request(router, now, n, table_group=n)):
            is_failing = send.engine == 1
            sent_there += is_failing
            end_attempt(router, now + 1_000, send, result if is_failing else AttemptResult.OK)
    assert 1 <= sent_there < 15


def test_an_engine_with_a_high_error_rate_stays_ejected_after_one_success() -> None:
    router = make_router(policy_settings(), endpoints(2))
    engine = router.state.engines[1]
    engine.error_rate, engine.ejected_until_us, engine.ejection_us = 0.6, 1, 500_000
    other = router.state.engines[2]
    other.is_leaving = True
    router.selection.orders.clear()
    engine.ejected_until_us, router.selection.orders[0] = 1, [engine, other]
    (send,) = forwards(receive_request(router, SECOND_US, 1))
    end_attempt(router, SECOND_US + 1000, send, AttemptResult.OK)
    assert engine.ejected_until_us > 0


def test_a_broken_connection_counts_once_if_it_ends_several_attempts() -> None:
    router = make_router(policy_settings(), endpoints(1))
    sent = [forwards(receive_request(router, 0, n))[0] for n in range(8)]
    for send in sent:
        router.handle(SECOND_US, AttemptEnded(send.request, 0, 1, AttemptResult.RESET, 0, True))
    assert 0 < router.state.engines[1].error_rate < 0.3
    assert not router.state.engines[1].ejected_until_us


def test_a_request_that_fails_everywhere_ejects_no_engine_and_is_tried_three_times() -> None:
    router = make_router(policy_settings(), endpoints(6))
    for n in range(10):
        (send,) = forwards(receive_request(router, n * SECOND_US, n))
        attempt_count = 1
        while retries := forwards(
            end_attempt(
                router,
                n * SECOND_US + 1000 * attempt_count,
                send,
                AttemptResult.ERROR,
                attempt=attempt_count - 1,
            )
        ):
            (send,), attempt_count = retries, attempt_count + 1
        assert attempt_count == 3
    assert not any(e.ejected_until_us for e in router.state.engines.values())


def test_errors_common_to_all_engines_eject_none() -> None:
    router = make_router(
        policy_settings(replace(SHORT, idempotency=Idempotency.NOT_IDEMPOTENT)), endpoints(4)
    )
    for engine in router.state.engines.values():
        engine.error_rate = 0.28
    (send,) = forwards(receive_request(router, 0, 1))
    end_attempt(router, 1000, send, AttemptResult.ERROR)
    assert router.state.engines[send.engine].error_rate > 0.3
    assert not router.state.engines[send.engine].ejected_until_us


def test_a_request_that_resets_every_connection_ejects_no_engine() -> None:
    router = make_router(policy_settings(), endpoints(3))
    for n in range(6):
        (send,) = forwards(receive_request(router, n * SECOND_US, n))
        first = router.state.engines[send.engine]
        (retry,) = forwards(end_attempt(router, n * SECOND_US + 1000, send, AttemptResult.RESET))
        assert retry.engine != send.engine
        assert first.error_rate > 0.1
        end_attempt(router, n * SECOND_US + 2000, retry, AttemptResult.RESET, attempt=1)
        assert first.error_rate == 0.0
        assert not router.state.engines[retry.engine].error_rate


def test_a_failed_connect_ejects_an_engine_for_a_send_interval_and_one_reset_does_not() -> None:
    router = make_routers(200, endpoints(10), SHORT)[0]
    (send,) = forwards(receive_request(router, 100 * SECOND_US, 1))
    end_attempt(router, 100 * SECOND_US + 1000, send, AttemptResult.RESET)
    assert not router.state.ejected_engines
    assert router.state.engines[send.engine].error_rate > 0
    (other,) = forwards(receive_request(router, 101 * SECOND_US, 2))
    end_attempt(router, 101 * SECOND_US + 1000, other, AttemptResult.CONNECT_FAILED)
    assert router.state.ejected_engines == {other.engine}
    assert (
        router.state.engines[other.engine].ejected_until_us - 101 * SECOND_US
        >= router.loads.send_interval_us()
        > 4 * SECOND_US
    )


@pytest.mark.parametrize(("gateway_count", "is_ejected"), [(40, True), (3, False)])
def test_one_error_ejects_an_engine_with_rare_responses_unless_the_request_fails_elsewhere(
    gateway_count: int, is_ejected: bool
) -> None:
    router = make_routers(gateway_count, endpoints(30), replace(SHORT, threads=4))[0]
    router.demand.total, router.demand.updated_at_us = 100.0, 100 * SECOND_US
    (send,) = forwards(receive_request(router, 100 * SECOND_US, 1))
    (second,) = forwards(end_attempt(router, 100 * SECOND_US + 2_000, send, AttemptResult.ERROR))
    assert (send.engine in router.state.ejected_engines) is is_ejected
    # After an error on a second engine the request may be the cause, until a third engine serves it.
    (third,) = forwards(end_attempt(router, 100 * SECOND_US + 4_000, second, AttemptResult.ERROR, 1))
    assert not router.state.ejected_engines
    end_attempt(router, 100 * SECOND_US + 6_000, third, AttemptResult.OK, 2)
    assert ({send.engine, second.engine} <= router.state.ejected_engines) is is_ejected


@pytest.mark.parametrize(
    ("ejected_count", "elapsed_us", "expected"), [(9, 0, {10}), (10, 0, None), (4, 2 * SECOND_US, None)]
)
def test_ejected_engines_serve_as_a_last_resort_and_get_a_trial_later(
    ejected_count: int, elapsed_us: int, expected: set[int] | None
) -> None:
    router = make_routers(40, endpoints(max(ejected_count, 4) if elapsed_us else 10), SHORT)[0]
    for number in range(1, ejected_count + 1):
        router.outliers.eject(router.state.engines[number])
    selected = {s.engine for s in forwards(receive_request(router, 100 * SECOND_US + elapsed_us, 1))}
    assert selected == expected if expected else selected
