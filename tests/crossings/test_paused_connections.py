"""Events that occur while a client's connection is paused for 0.8 s because of invalid requests."""

from __future__ import annotations

import struct

import pytest
from crossing_harness import (
    AFTER_DISCONNECT_S,
    CLOSES,
    FOLLOW_UP_TAGS,
    STATEMENT,
    TAGS,
    Disconnect,
    delay_retries,
    disconnect_clients,
    forwarded_attempts,
    invoke_lookup,
    running_harness,
    send_raw,
    send_requests,
)
from play import Harness, ThriftResp

from lilacfront.protocols import thrift

FURTHER_REQUESTS = range(24, 27)


def unknown_class_request(number: int) -> bytes:
    """Encode a request that is rejected, because its request class is not configured."""
    return thrift.encode_invoke(number, {b"op": b"none", b"call": b"%016x" % number}, b"select 1")


def pause_connection(harness: Harness) -> None:
    """Send three valid requests, then enough invalid ones to pause the connection."""
    send_requests(harness, on_one_connection=True)
    assert forwarded_attempts(harness) == 3
    harness.send(harness.actors["C1"], b"".join(unknown_class_request(20 + n) for n in range(4)))


def fill_paused_connection(harness: Harness) -> None:
    """Pause the connection and send three more valid requests, which must not be forwarded meanwhile."""
    pause_connection(harness)
    for tag in FOLLOW_UP_TAGS:
        harness.step("C1", "ask", f"{tag} lookup 4000 {STATEMENT}")
    harness.wait(0.05)
    assert forwarded_attempts(harness) == 3
    harness.actors["C1"].received = b""


@pytest.mark.parametrize("how", [Disconnect.NONE, *CLOSES, Disconnect.ABORT])
@pytest.mark.parametrize("has_unread", [False, True], ids=["nothing unread", "unread requests"])
def test_client_that_disconnects_a_paused_connection_is_not_retried(
    how: Disconnect, has_unread: bool
) -> None:
    """A disconnect must be detected during the pause. In the control case the requests are forwarded."""
    with running_harness(ThriftResp) as harness:
        pause_connection(harness)
        delay_retries(harness)
        if has_unread:
            send_raw(harness, 0, b"".join(invoke_lookup(number) for number in FURTHER_REQUESTS))
            if how is Disconnect.ABORT:
                send_raw(harness, 0, b"".join(thrift.encode_abort(number) for number in FURTHER_REQUESTS))
        disconnect_clients(harness, how, on_one_connection=True)
        harness.wait(AFTER_DISCONNECT_S)
        harness.poll.release()
        harness.wait(1.0)
        if how is Disconnect.NONE:
            assert forwarded_attempts(harness) >= (9 if has_unread else 6)
        else:
            assert forwarded_attempts(harness) == 3


def test_requests_received_during_a_pause_are_rejected_when_malformed_bytes_follow() -> None:
    """Each complete request must get a complete answer, and none may be forwarded."""
    with running_harness(ThriftResp) as harness:
        fill_paused_connection(harness)
        harness.send(harness.actors["C1"], b"\x00\x00\x00\x04\xff\xff\xff\xff")
        harness.wait(0.05)
        for tag in FOLLOW_UP_TAGS:
            harness.step("C1", "refused", f"{tag} 800")
        assert forwarded_attempts(harness) == 3


def test_requests_received_during_a_pause_are_answered_when_the_connection_times_out() -> None:
    with running_harness(ThriftResp) as harness:
        fill_paused_connection(harness)
        slot = next(iter(harness.server.listeners[0].slots))
        slot.fail_pending()
        harness.turn()
        received = harness.actors["C1"].received
        for tag in TAGS + FOLLOW_UP_TAGS:
            number = struct.pack(">I", ThriftResp.sequence_number(tag))
            assert received.count(b"\x00\x00\x00\x06invoke" + number) == 1
