"""Request ids of the ClickHouse front end."""

from __future__ import annotations

import os
import re
from collections.abc import Iterator

import pytest
from play import Harness, Http

from lilacfront.frontends.clickhouse_services import BodyBudget, ClickHouseServices

IDS_PER_PROCESS = 1_000


def make_services(harness: Harness) -> ClickHouseServices:
    """The services of a process with the harness's server."""
    server = harness.server
    clickhouse = server.config.gateway.clickhouse
    assert clickhouse is not None
    bodies = BodyBudget(clickhouse.max_body_bytes, clickhouse.max_bodies_bytes)
    return ClickHouseServices(
        server.loop, server.dispatcher, server.upstream, clickhouse.classifier, bodies, server.operations
    )


@pytest.fixture
def harness() -> Iterator[Harness]:
    harness = Harness(Http())
    try:
        yield harness
    finally:
        harness.close()


# Issue 43: ids counted from 1 in each process, so a load after a restart had the id of one from before it.
def test_two_processes_use_different_request_ids(harness: Harness) -> None:
    first, second = make_services(harness), make_services(harness)
    call_ids = {services.next_call_id() for services in (first, second) for _ in range(IDS_PER_PROCESS)}
    assert len(call_ids) == 2 * IDS_PER_PROCESS
    assert all(re.fullmatch(rb"[0-9a-f]{16}", call_id) for call_id in call_ids)


def test_request_ids_go_on_after_the_largest_number(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "urandom", lambda size: b"\xff" * size)
    services = make_services(harness)
    assert [services.next_call_id() for _ in range(2)] == [b"f" * 16, b"0" * 16]
