"""Tests of the drain decisions."""

from __future__ import annotations

import pytest

from lilacfront.operations.drain import PAUSE_DEADLINES, ConnectionStatus, Drain, DrainAction

STARTED_AT = 100.0


def status(connected: float, last_request: float, busy: bool, partial: bool = False) -> ConnectionStatus:
    """Build a status from times relative to the start of the drain.

    A negative `last_request` is used as it is, and means that there was no request.
    """
    last_request_at = last_request if last_request < 0 else STARTED_AT + last_request
    return ConnectionStatus(STARTED_AT + connected, last_request_at, busy, partial)


@pytest.mark.parametrize(
    ("elapsed", "connection", "action"),
    [
        pytest.param(0.1, status(-9, -5, False), DrainAction.KEEP, id="idle-before-deadline"),
        pytest.param(0.5, status(-9, -5, False), DrainAction.CLOSE, id="idle"),
        pytest.param(0.5, status(0.1, -1, False), DrainAction.KEEP, id="first-request-expected"),
        pytest.param(1.2, status(0.1, -1, False), DrainAction.CLOSE, id="first-request-timeout"),
        pytest.param(1.2, status(-9, -5, False, partial=True), DrainAction.KEEP, id="partial-message"),
        pytest.param(3.0, status(-9, -5, True), DrainAction.KEEP, id="busy"),
        pytest.param(3.8, status(-9, 0.1, True), DrainAction.KEEP, id="long-running-request"),
        pytest.param(3.8, status(-9, 2.2, True), DrainAction.FAIL_PENDING, id="recent-request"),
        pytest.param(3.8, status(3.7, -1, False), DrainAction.CLOSE, id="new-connection-after-abort"),
        pytest.param(
            3.8, status(-9, -5, False, partial=True), DrainAction.CLOSE, id="partial-message-after-abort"
        ),
    ],
)
def test_action_for_a_connection_during_a_pause(
    elapsed: float, connection: ConnectionStatus, action: DrainAction
) -> None:
    assert Drain(STARTED_AT, PAUSE_DEADLINES).decide(STARTED_AT + elapsed, connection) is action


def test_late_request_in_drain_gets_retry_after() -> None:
    drain = Drain(STARTED_AT, PAUSE_DEADLINES)
    assert drain.retry_after_s(102.0, 1.0) is None
    retry_after_s = drain.retry_after_s(103.2, 1.0)
    assert retry_after_s is not None
    assert 0.4 < retry_after_s < 0.6


def test_after_drain_requests_are_rejected_only_on_older_connections() -> None:
    drain = Drain(STARTED_AT, PAUSE_DEADLINES)
    assert drain.retry_after_s(104.5, 1.0) == 0.0
    assert drain.retry_after_s(104.5, 104.0) is None
