"""Attempts that were permitted when they were decided but no longer are when they would be forwarded."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from crossing_harness import (
    CHANGE_LOG,
    CLIENTS,
    PATHS,
    TAGS,
    WAREHOUSES,
    forwarded_attempts,
    open_connections,
    received_call_ids,
    reset_warehouse_connections,
    running_harness,
    send_requests,
)
from play import SETTINGS, Dialect, Harness, Http, ThriftResp, encode_resp

RETRY_WINDOW_US = 500_000
RETRY_WINDOW_S = RETRY_WINDOW_US / 1_000_000
# A little longer than the requests' deadline of 4 s.
AFTER_DEADLINE_S = 4.1
# The HTTP front end's configuration rejects a non-idempotent class for reads.
PATHS_AND_EFFECTS = [
    *((path, effect) for path in (ThriftResp, Http) for effect in ("free", "guarded")),
    (ThriftResp, "single_shot"),
]
ATTEMPT_FAULTS = [
    "reset",
    "close",
    "partial answer",
    "malformed answer",
    "no answer",
    "engine removed",
    "stalled answer",
]


def lookup_effect(effect: str, **changes: Any) -> dict[str, Any]:
    """Settings with another `effect` of lookups; `effect` is the settings key of their idempotency."""
    lookup, *others = SETTINGS["classes"]
    return {"classes": [{**lookup, "effect": effect, **changes}, *others]}


def expect_failures(harness: Harness) -> None:
    """Check that each client receives an error."""
    for client, tag in zip(CLIENTS, TAGS, strict=True):
        harness.step(client, "failed", tag)


@pytest.mark.parametrize(("path", "effect"), PATHS_AND_EFFECTS)
@pytest.mark.parametrize("delay_s", [0.2, 0.6], ids=["in the window", "after it"])
def test_retry_with_a_delayed_connect_is_forwarded_within_the_retry_window_only(
    path: Callable[[], Dialect], effect: str, delay_s: float
) -> None:
    """The connections of the first attempts are reset. The retry window may end while the retries connect.

    A client whose request may not be retried must be answered immediately.
    """
    settings = lookup_effect(effect, **{"repeat-window": RETRY_WINDOW_US})
    with running_harness(path, settings=settings) as harness:
        send_requests(harness)
        assert forwarded_attempts(harness) == 3
        harness.poll.delays_connects = True
        reset_warehouse_connections(harness)
        harness.turn()
        assert len(harness.poll.delayed_descriptors) == (0 if effect == "single_shot" else 3)
        harness.wait(delay_s)
        harness.poll.release()
        harness.turn()
        is_allowed = effect == "free" or (effect == "guarded" and delay_s < RETRY_WINDOW_S)
        assert forwarded_attempts(harness) == (6 if is_allowed else 3)
        if not is_allowed:
            harness.turn()
            expect_failures(harness)


def answer_badly(harness: Harness, how: str) -> None:
    """Let the warehouses send partial or malformed answers, or close their connections."""
    for name in WAREHOUSES:
        warehouse = harness.actors[name]
        for connection in open_connections(warehouse):
            for call_id in received_call_ids(warehouse) if how != "close" else []:
                answer = encode_resp(call_id, b"HIT", b"pages=1", b"1\t2\t3\n")
                malformed = encode_resp(call_id, b"HIT", b"pages=1", b"1\t2\n")
                connection.sendall(malformed if how == "malformed answer" else answer[:30])
            if how in ("close", "partial answer"):
                connection.close()
        if how in ("close", "partial answer"):
            warehouse.connection = None
            warehouse.other_sockets = []


@pytest.mark.parametrize("how", ATTEMPT_FAULTS)
def test_non_idempotent_request_that_may_have_run_is_never_retried(how: str) -> None:
    with running_harness(ThriftResp, settings=lookup_effect("single_shot")) as harness:
        harness.step(CHANGE_LOG, "since", "1")
        send_requests(harness)
        assert forwarded_attempts(harness) == 3
        match how:
            case "reset":
                reset_warehouse_connections(harness)
            case "engine removed":
                harness.step(CHANGE_LOG, "says", "2 W1 gone")
                harness.step(CHANGE_LOG, "says", "3 W2 gone")
            case "no answer":
                pass
            case _:
                answer_badly(harness, how)
        harness.wait(AFTER_DEADLINE_S)
        assert forwarded_attempts(harness) == 3
        expect_failures(harness)


@pytest.mark.parametrize("path", PATHS)
def test_attempt_is_not_forwarded_to_an_engine_that_drains_while_connecting(
    path: Callable[[], Dialect],
) -> None:
    with running_harness(path) as harness:
        harness.step(CHANGE_LOG, "since", "1")
        harness.poll.delays_connects = True
        send_requests(harness)
        harness.step(CHANGE_LOG, "says", "2 W1 draining")
        harness.step(CHANGE_LOG, "says", "3 W2 draining")
        harness.poll.release()
        harness.wait(0.05)
        assert forwarded_attempts(harness) == 0
