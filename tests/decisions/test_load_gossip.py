"""Gossip of engines' load reports between front ends."""

from typing import Any

import pytest
from helpers import (
    LIMITS,
    SHORT,
    end_attempt,
    endpoints,
    forwards,
    make_router,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.actions import SendPeerMessage
from lilacfront.decisions.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    LoadReport,
    PeerMessageReceived,
)
from lilacfront.decisions.load_gossip import AGE_UNIT_US, ENTRY, MAX_AGE_UNITS, VERSION
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings import PolicyLimits
from lilacfront.membership.codec import MAX_DATAGRAM_BYTES

SECOND_US = 1_000_000
GOSSIPING = PolicyLimits(max_attempts=4, may_cancel=True, may_gossip=True)


def router(count: int, index: int, endpoints: tuple[Endpoint, ...], **changes: Any) -> RequestRouter:
    """Return the router of the gateway with this index among `count` gateways."""
    settings = policy_settings(SHORT, gateway_count=count, gateway_index=index, **changes)
    return make_router(settings, endpoints, 100 * SECOND_US)


def messages_sent(gateway: RequestRouter, now: int, requests: int) -> list[SendPeerMessage]:
    """Send requests, each answered at once with a load of 24, and return the gossip messages."""
    sent: list[SendPeerMessage] = []
    for n in range(requests):
        actions = receive_request(gateway, now + n, now + n, table_group=n)
        sent += [action for action in actions if isinstance(action, SendPeerMessage)]
        for forward in forwards(actions):
            end_attempt(gateway, now + n, forward, AttemptResult.OK, report=LoadReport(in_flight=24.0))
    return sent


def test_load_reports_reach_gateways_that_sent_the_engines_nothing() -> None:
    sender, receiver = (router(200, n, endpoints(10), limits=GOSSIPING, gossip_price=0.01) for n in (7, 3))
    sent = messages_sent(sender, 101 * SECOND_US, 40)
    assert len(sent) == 10
    assert all(len(message.data) <= MAX_DATAGRAM_BYTES for message in sent)
    assert all(message.peer is not None and message.peer != 7 for message in sent)
    assert all(message.peer is not None and 0 <= message.peer < 200 for message in sent)
    receiver.handle(102 * SECOND_US, PeerMessageReceived(7, sent[-1].data))
    reported = [engine for engine in receiver.state.engines.values() if engine.reported_load >= 0]
    assert len(reported) >= 4
    assert all(engine.reported_load == 3.0 for engine in reported)
    # A newer report of its own is kept; the others are recorded with the age that the message states.
    own_report = reported[0]
    receiver.loads.record(own_report, 0.5)
    receiver.handle(102 * SECOND_US, PeerMessageReceived(7, sent[-1].data))
    assert own_report.reported_load == 0.5
    assert all(engine.reported_at_us <= 102 * SECOND_US - AGE_UNIT_US for engine in reported[1:])


@pytest.mark.parametrize(
    ("gateway_count", "limits", "price", "message_count"),
    [
        (200, GOSSIPING, 0.0, 10),
        (200, GOSSIPING, 0.01, 7),
        (200, GOSSIPING, 0.3, 0),
        (200, LIMITS, 0.01, 0),
        (3, GOSSIPING, 0.01, 0),
    ],
)
def test_messages_are_sent_only_if_permitted_and_needed_and_within_their_cost_limit(
    gateway_count: int, limits: PolicyLimits, price: float, message_count: int
) -> None:
    gateway = router(gateway_count, 0, endpoints(10), limits=limits, gossip_price=price)
    assert len(messages_sent(gateway, 101 * SECOND_US, 30)) == message_count


def test_a_message_contains_the_most_recent_reports_that_fit() -> None:
    gateway = router(1024, 0, endpoints(1024), limits=GOSSIPING)
    for number in range(1, 1025):
        gateway.state.now_us = 100 * SECOND_US + number * 1000
        gateway.loads.record(gateway.state.engines[number], 1.0)
    (message,) = messages_sent(gateway, 102 * SECOND_US, 3)
    numbers = [number for number, _, _ in ENTRY.iter_unpack(message.data[1:])]
    assert len(message.data) == 253
    assert len(set(numbers)) == 42
    assert min(numbers[3:]) > 1024 - 42


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff" * 256,
        bytes([VERSION + 1]) + ENTRY.pack(1, 0, 9),
        bytes([VERSION]) + ENTRY.pack(1, 0, 9)[:-1],
        bytes([VERSION]) + ENTRY.pack(99, 0, 9),  # not a listed engine
        bytes([VERSION]) + ENTRY.pack(1, MAX_AGE_UNITS + 1, 9),
        bytes([VERSION]) + ENTRY.pack(1, 0, 9) * 43,  # longer than MAX_DATAGRAM_BYTES
    ],
)
def test_malformed_and_unusable_messages_are_ignored(data: bytes) -> None:
    gateway = router(200, 0, endpoints(10), limits=GOSSIPING)
    assert gateway.handle(101 * SECOND_US, PeerMessageReceived(1, data)) == []
    assert all(engine.reported_load < 0 for engine in gateway.state.engines.values())


def test_reports_of_engines_with_the_same_short_number_are_ignored() -> None:
    listed = (
        Endpoint(5, EndpointState.READY),
        Endpoint(5 + (1 << 32), EndpointState.READY),
        *endpoints(4),
    )
    gateway = router(200, 0, listed, limits=GOSSIPING)
    gateway.handle(101 * SECOND_US, PeerMessageReceived(1, bytes([VERSION]) + ENTRY.pack(5, 0, 9)))
    assert all(engine.reported_load < 0 for engine in gateway.state.engines.values())
