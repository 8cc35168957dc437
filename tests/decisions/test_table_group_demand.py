"""Demand for table groups."""

from __future__ import annotations

from helpers import SECOND_US, SHORT, end_attempt, endpoints, forwards, make_routers, receive_request

from lilacfront.decisions.events import AttemptResult


def test_the_number_of_tracked_table_groups_is_bounded() -> None:
    router = make_routers(200, endpoints(100), SHORT)[0]
    for n in range(5000):
        now = 100 * SECOND_US + n
        for send in forwards(receive_request(router, now, n, table_group=n)):
            end_attempt(router, now, send, AttemptResult.OK)
    assert router.demand.group_count() <= 4096
    assert len(router.selection.orders) * 100 <= 1 << 18
