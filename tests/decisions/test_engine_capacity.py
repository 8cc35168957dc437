"""Capacity of single engines with pooled limits."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import LONG, SECOND_US, endpoints, forwards, make_routers, receive_request


@pytest.mark.parametrize(
    ("threads", "free_engine", "engine_count", "full_load", "min_sent", "max_sent"),
    [(4, 10, 10, 3.0, 1, 40), (1, 7, 30, 9.0, 1, 15)],
)
def test_full_engines_get_no_requests_and_a_free_one_does_not_attract_all_gateways(
    threads: int, free_engine: int, engine_count: int, full_load: float, min_sent: int, max_sent: int
) -> None:
    """Load reports count queries and limits threads: 24 queries of 4 threads fill an engine of 8 cores."""
    sent = []
    for router in make_routers(40, endpoints(engine_count), replace(LONG, threads=threads)):
        router.state.class_estimates[0].sample_count = 1
        for number, engine in router.state.engines.items():
            router.loads.record(engine, 0.1 if number == free_engine else full_load)
        sent += forwards(
            receive_request(
                router,
                100 * SECOND_US,
                1,
                table_group=router.settings.gateway_index,
                time_left_us=20 * SECOND_US,
            )
        )
    assert {s.engine for s in sent} == {free_engine}
    assert min_sent <= len(sent) <= max_sent
