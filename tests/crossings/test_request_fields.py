"""The fields of a client's request that the router needs reach it."""

from __future__ import annotations

import pytest
from crossing_harness import STATEMENT, running_harness
from play import SETTINGS, Harness, ThriftResp

from lilacfront.decisions.actions import Action
from lilacfront.decisions.events import Event, RequestReceived
from lilacfront.protocols import thrift

TENANTS = [{"name": "first", "allowance-per-s": 10.0}, {"name": "second", "allowance-per-s": 10.0}]


def received_by_router(
    harness: Harness, monkeypatch: pytest.MonkeyPatch, fields: dict[bytes, bytes]
) -> RequestReceived:
    """Send a load with these fields; return the event with which the router receives it."""
    router = harness.server.dispatcher.router
    handle = router.handle
    events: list[Event] = []

    def record(now_us: int, event: Event) -> list[Action]:
        events.append(event)
        return handle(now_us, event)

    monkeypatch.setattr(router, "handle", record)
    invoke = {b"op": b"load", b"call": b"%016x" % 1, b"ttl": b"20000"} | fields
    harness.send(harness.connect_client("C1"), thrift.encode_invoke(1, invoke, STATEMENT.encode()))
    harness.until(lambda: any(isinstance(event, RequestReceived) for event in events), "the request")
    return next(event for event in events if isinstance(event, RequestReceived))


# review/3: fields of the second deployment's page were not read, so that the decisions never saw them.
def test_router_receives_tenant_key_retry_mark_and_estimates(monkeypatch: pytest.MonkeyPatch) -> None:
    *others, load = SETTINGS["classes"]
    settings = {"classes": [*others, {**load, "in-order": True}], "orgs": TENANTS}
    fields = {b"org": b"second", b"row": b"key", b"rep": b"1", b"work": b"1600.0", b"heap": b"96"}
    with running_harness(ThriftResp, settings=settings) as harness:
        event = received_by_router(harness, monkeypatch, fields)
    assert event.ordering_key
    assert (event.tenant, event.is_client_retry) == (1, True)
    assert (event.estimated_work_us, event.estimated_memory_mb) == (1_600_000, 96.0)


def test_router_receives_no_tenant_and_no_estimate_from_a_client_that_sends_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running_harness(ThriftResp, settings={"orgs": TENANTS}) as harness:
        event = received_by_router(harness, monkeypatch, {})
    assert (event.tenant, event.is_client_retry, event.ordering_key) == (None, False, 0)
    assert (event.estimated_work_us, event.estimated_memory_mb) == (None, None)
