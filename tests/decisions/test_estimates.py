"""Estimates of request classes."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
    LONG,
    SECOND_US,
    endpoints,
    make_router,
    policy_settings,
    receive_request,
    serve_in_sequence,
)


def test_the_objective_stretch_uses_the_estimated_run_time_if_no_work_is_reported() -> None:
    router = make_router(policy_settings(replace(LONG, latency_objective_stretch=2.5)), endpoints(1))
    serve_in_sequence(router, 0, 30, 2 * SECOND_US)
    objective_us = LONG.latency_objective_us + 2.5 * 2 * SECOND_US
    receive_request(router, 100 * SECOND_US, 1, time_left_us=20 * SECOND_US)
    assert (
        abs(router.state.requests[1].objective_at_us - 100 * SECOND_US - objective_us) < 0.05 * objective_us
    )
