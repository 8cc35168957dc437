"""A source of the endpoint list that is late is heard, and one that is dead is noticed in time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count

import pytest
from crossing_harness import answer_at_once, invoke_lookup, running_harness
from late_source import LateSource, change_log_of, etcd_of
from play import Dialect, Etcd, Harness, ThriftResp

TOLD_S = 7.0  # after this time a change counts as told, whether it arrived or not
TOLD_AFTER_BREAK_S = 2.0  # after this time, from when connections to the source can be established again
TOLD_AFTER_SILENCE_S = 4.0  # after this time, on a connection that has died without an end
GRACE_S = 0.55  # within which nothing new may be sent to a draining warehouse
LOOKUP_INTERVAL_S = 0.05
QUIET_S = 4.0
LOOKUPS = 40


@dataclass(slots=True, frozen=True)
class SourceKind:
    """A kind of source and the path that uses it."""

    dialect: Callable[[], Dialect]
    place: Callable[..., LateSource]


CHANGE_LOG = SourceKind(ThriftResp, change_log_of)
ETCD = SourceKind(Etcd, etcd_of)
KINDS = [pytest.param(CHANGE_LOG, id="change-log"), pytest.param(ETCD, id="etcd")]


class Lookups:
    """Sends lookups from one client."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness
        self._numbers: Iterator[int] = count(1)
        answer_at_once(harness)
        self._client = harness.connect_client("C1")

    def send_for(self, seconds: float) -> None:
        """Send lookups at an even rate."""
        for _ in range(round(seconds / LOOKUP_INTERVAL_S)):
            self._harness.send(self._client, invoke_lookup(next(self._numbers)))
            self._harness.wait(LOOKUP_INTERVAL_S)

    def sent_to_draining(self) -> int:
        """Send more lookups; returns how many of them reach the warehouse that drains."""
        warehouse = self._harness.actors["W1"]
        warehouse.received = b""
        self.send_for(LOOKUPS * LOOKUP_INTERVAL_S)
        return warehouse.received.count(b"$2\r\ndo\r\n")


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("before_drain_s", [0.0, 1.0, 5.0])
@pytest.mark.parametrize("delay_s", [0.5, 1.7, 1.9, 2.5, 4.0, 5.0, 6.9])
def test_source_that_becomes_late_is_heard(kind: SourceKind, delay_s: float, before_drain_s: float) -> None:
    """Guards against a source that is given up before its answer arrives, again and again (review/9)."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        lookups = Lookups(harness)
        lookups.send_for(QUIET_S)
        source.delay_s = delay_s
        lookups.send_for(before_drain_s)
        assert lookups.sent_to_draining()
        source.drain()
        lookups.send_for(TOLD_S + GRACE_S)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("delay_s", [1.9, 2.5, 5.0, 6.9])
def test_source_that_is_late_from_the_start_is_heard(kind: SourceKind, delay_s: float) -> None:
    """Guards against a first answer that is never waited for."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        source.delay_s = delay_s
        harness.wait(3 * delay_s)
        lookups = Lookups(harness)
        assert lookups.sent_to_draining()
        source.drain()
        lookups.send_for(TOLD_S + GRACE_S)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("before_drain_s", [0.0, 0.5, 2.0, 4.5])
@pytest.mark.parametrize("delay_s", [2.5, 4.0, 5.0, 6.9])
def test_drain_while_the_first_list_is_late_is_heard(
    kind: SourceKind, delay_s: float, before_drain_s: float
) -> None:
    """Guards against a list and a watch of etcd that follow each other, so that their delays add up."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness, delay_s)
        harness.wait(before_drain_s)
        lookups = Lookups(harness)
        source.drain()
        lookups.send_for(TOLD_S + GRACE_S)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("after_silence_s", [0.0, 0.9])
@pytest.mark.parametrize("quiet_s", [1.0, 4.0])
def test_dead_connection_is_noticed_in_time(kind: SourceKind, quiet_s: float, after_silence_s: float) -> None:
    """Guards against a drain that is not noticed because the connection is silent and open."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        lookups = Lookups(harness)
        lookups.send_for(quiet_s)
        assert lookups.sent_to_draining()
        source.silence_connections()
        lookups.send_for(after_silence_s)
        source.drain()
        lookups.send_for(TOLD_AFTER_SILENCE_S - after_silence_s + GRACE_S)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("connect_s", [0.6, 1.5, 3.0])
def test_source_whose_connections_come_up_late_is_heard(kind: SourceKind, connect_s: float) -> None:
    """Guards against connects that are given up before they complete, again and again."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        lookups = Lookups(harness)
        lookups.send_for(QUIET_S)
        assert lookups.sent_to_draining()
        harness.poll.delays_connects = True
        source.close_connections()
        source.drain()
        begun_at: dict[int, float] = {}
        for _ in range(round((TOLD_S + GRACE_S) / LOOKUP_INTERVAL_S)):
            lookups.send_for(LOOKUP_INTERVAL_S)
            delayed = harness.poll.delayed_descriptors
            begun_at = {descriptor: begun_at.get(descriptor, harness.clock.now) for descriptor in delayed}
            for descriptor, began in begun_at.items():
                if harness.clock.now - began >= connect_s:
                    delayed.discard(descriptor)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("outage_s", [0.5, 3.0, 8.0, 20.0, 33.0])
def test_source_that_is_back_is_asked_in_time(kind: SourceKind, outage_s: float) -> None:
    """Guards against a backoff that hides what changed while the source could not be reached."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        lookups = Lookups(harness)
        lookups.send_for(QUIET_S)
        assert lookups.sent_to_draining()
        source.stop()
        source.drain()
        lookups.send_for(outage_s)
        source.resume()
        lookups.send_for(TOLD_AFTER_BREAK_S + GRACE_S)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("outage_s", [2.0, 6.0, 10.0, 14.0, 16.0, 20.0, 31.0])
@pytest.mark.parametrize("delay_s", [0.5, 2.5, 4.0])
def test_source_that_is_late_after_an_outage_without_an_end_is_heard(
    kind: SourceKind, delay_s: float, outage_s: float
) -> None:
    """Guards against dead connections that take the place of the one on which the answer is on its way."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        lookups = Lookups(harness)
        lookups.send_for(QUIET_S)
        source.silence_connections()
        source.silences_new_connections = True
        lookups.send_for(outage_s)
        assert lookups.sent_to_draining()
        source.silences_new_connections = False
        source.delay_s = delay_s
        source.drain()
        lookups.send_for(TOLD_S + GRACE_S)
        assert not lookups.sent_to_draining()


@pytest.mark.parametrize("kind", KINDS)
def test_silent_connections_are_bounded_in_number_and_rate(kind: SourceKind) -> None:
    """Guards against connections that pile up, or are opened in a loop, while the source says nothing."""
    with running_harness(kind.dialect) as harness:
        source = kind.place(harness)
        source.delay_s = 1000.0
        harness.wait(30.0)
        assert source.open_connections <= 5
        assert source.connects <= 30 / 1.7 + 2
