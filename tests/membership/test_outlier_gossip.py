"""Outlier gossip: sent entries, the quorum of reports, and its effect on routing decisions."""

from dataclasses import replace

import pytest
from helpers import SHORT, end_attempt, endpoints, forwards, make_router, policy_settings, receive_request

from lilacfront.decisions.actions import Forward
from lilacfront.decisions.events import AttemptResult
from lilacfront.decisions.router import RequestRouter
from lilacfront.membership.outlier_gossip import REPORT_LIFETIME_US, OutlierGossip, OutlierReason

US_PER_MS, US_PER_S = 1000, 1_000_000
ZONES = {engine: engine % 3 for engine in range(1, 31)}


@pytest.fixture
def gossip() -> OutlierGossip:
    return enabled_gossip()


def enabled_gossip() -> OutlierGossip:
    gossip = OutlierGossip(enabled=True)
    gossip.set_engines(ZONES)
    return gossip


@pytest.fixture
def failing() -> OutlierGossip:
    """The outlier gossip of a front end that couldn't reach engine 4 at 10 s."""
    gossip = enabled_gossip()
    gossip.record_failure(4, OutlierReason.UNREACHABLE, 10 * US_PER_S)
    return gossip


def test_engine_is_an_outlier_after_a_quorum_of_reports(
    gossip: OutlierGossip, failing: OutlierGossip
) -> None:
    for reporter, outliers in ((1, set()), (1, set()), (2, {4})):
        gossip.receive(reporter, failing.entries_to_send(10 * US_PER_S), 10 * US_PER_S)
        gossip.evaluate(10 * US_PER_S, 8)
        assert gossip.outliers == outliers


def test_outlier_is_blocked_except_for_one_trial_until_it_responds(
    gossip: OutlierGossip, failing: OutlierGossip
) -> None:
    for reporter in (1, 2):
        gossip.receive(reporter, failing.entries_to_send(10 * US_PER_S), 10 * US_PER_S)
    gossip.evaluate(10 * US_PER_S, 8)
    assert gossip.blocks(4, False, 10 * US_PER_S)
    assert not gossip.blocks(4, True, 10 * US_PER_S)
    assert not gossip.blocks(5, False, 10 * US_PER_S)
    gossip.record_trial(4, 10 * US_PER_S)
    assert gossip.blocks(4, True, 10 * US_PER_S + 100 * US_PER_MS)
    gossip.record_success(4, 10 * US_PER_S + 200 * US_PER_MS)
    gossip.evaluate(11 * US_PER_S, 8)
    assert not gossip.outliers  # its response is later than the reported failures


def test_report_expires(gossip: OutlierGossip, failing: OutlierGossip) -> None:
    for reporter in (1, 2):
        gossip.receive(reporter, failing.entries_to_send(10 * US_PER_S), 10 * US_PER_S)
    gossip.evaluate(10 * US_PER_S + REPORT_LIFETIME_US, 8)
    assert not gossip.outliers
    assert not failing.entries_to_send(10 * US_PER_S + REPORT_LIFETIME_US)


def test_false_reports_of_a_fifth_of_the_members_are_ignored(gossip: OutlierGossip) -> None:
    engines = ((engine, int(OutlierReason.UNREACHABLE), 0) for engine in range(1, 13))
    false_entries = (*engines, (1, int(OutlierReason.ZONE), 0))
    for now in range(10, 20):
        for reporter in range(8):
            gossip.receive(reporter, false_entries, now * US_PER_S)
        gossip.evaluate(now * US_PER_S, 40)
        assert not gossip.outliers
        assert not gossip.outlier_zones


def test_reports_of_more_than_half_of_the_engines_are_ignored(gossip: OutlierGossip) -> None:
    entries = tuple((engine, int(OutlierReason.FAILING), 0) for engine in range(1, 31))
    for reporter in range(40):
        gossip.receive(reporter, entries, 20 * US_PER_S)
    gossip.evaluate(20 * US_PER_S, 40)
    assert not gossip.outliers


def test_unknown_and_expired_entries_are_skipped(gossip: OutlierGossip) -> None:
    unknown_engine, unknown_reason, expired, unknown_zone = (99, 1, 0), (5, 77, 0), (5, 1, 255), (9, 4, 0)
    gossip.receive(3, (unknown_engine, unknown_reason, expired, unknown_zone), 20 * US_PER_S)
    assert not gossip._reports


def test_failed_zone_is_one_entry_and_recovers_with_one_response(gossip: OutlierGossip) -> None:
    reporters = [enabled_gossip() for _ in range(3)]
    gossip.record_success(3, 9 * US_PER_S)
    for member, reporter in enumerate(reporters):
        reporter.record_success(3 + 3 * member, 9 * US_PER_S)
        for engine in (6 + 3 * member, 12 + 3 * member):
            reporter.record_failure(engine, OutlierReason.UNREACHABLE, 10 * US_PER_S)
        reporter.record_failure(1, OutlierReason.UNRESPONSIVE, 10 * US_PER_S)
        sent = reporter.entries_to_send(10 * US_PER_S)
        assert sent == ((0, int(OutlierReason.ZONE), 0), (1, int(OutlierReason.UNRESPONSIVE), 0))
        gossip.receive(member, sent, 10 * US_PER_S)
    gossip.evaluate(10 * US_PER_S, 6)
    assert gossip.outlier_zones == {0}
    assert gossip.outliers == {engine for engine in ZONES if engine % 3 == 0} | {1}
    gossip.record_success(27, 11 * US_PER_S)
    gossip.evaluate(11 * US_PER_S, 6)
    assert not gossip.outlier_zones
    assert gossip.outliers == {1}


def test_number_of_stored_reports_is_limited(gossip: OutlierGossip) -> None:
    for reporter in range(1024):
        gossip.receive(reporter, tuple((engine, 1, 0) for engine in range(1, 200)), US_PER_S)
    assert len(gossip._reports) <= 30
    assert max(len(reporters) for reporters in gossip._reports.values()) <= 64
    gossip.set_engines({1: 0})
    assert len(gossip._reports) <= 1


# ---- routing decisions ------------------------------------------------------------------------
def router_with_outlier(gateway_count: int) -> RequestRouter:
    """The router of one of `gateway_count` gateways, for which engine 1 is an outlier."""
    settings = policy_settings(SHORT, replace(SHORT, threads=4), gateway_count=gateway_count)
    router = make_router(settings, endpoints(4))
    router.state.outlier_gossip.enabled = True
    for reporter in (1, 2):
        router.state.outlier_gossip.receive(reporter, ((1, int(OutlierReason.UNRESPONSIVE), 0),), US_PER_S)
    router.state.outlier_gossip.evaluate(US_PER_S, 5)
    assert router.state.outlier_gossip.outliers == {1}
    return router


def forward_30_requests(router: RequestRouter, class_index: int = 0) -> list[Forward]:
    """The forwards for 30 requests, which arrive 1 ms apart."""
    return [
        forward
        for number in range(30)
        for forward in forwards(
            receive_request(
                router, US_PER_S + number * US_PER_MS, number, class_index=class_index, table_group=number
            )
        )
    ]


@pytest.mark.parametrize("gateway_count", [1, 200])
def test_outlier_receives_no_long_requests(gateway_count: int) -> None:
    router = router_with_outlier(gateway_count)
    assert not any(forward.engine == 1 for forward in forward_30_requests(router, class_index=1))


@pytest.mark.parametrize("gateway_count", [1, 200])
def test_outlier_receives_one_short_read_until_it_responds(gateway_count: int) -> None:
    router = router_with_outlier(gateway_count)
    running = forward_30_requests(router)
    trials = [forward for forward in running if forward.engine == 1]
    assert len(trials) == 1
    assert len(running) > 10 * len(trials)
    served = set()
    for number in range(100, 140):
        running += forwards(receive_request(router, number * 300 * US_PER_MS, number, table_group=number))
        while running:  # the end of an attempt may forward a queued request
            forward = running.pop(0)
            served.add(forward.engine)
            running += forwards(
                end_attempt(router, (number * 300 + 60) * US_PER_MS, forward, AttemptResult.OK)
            )
    assert not router.state.outlier_gossip.outliers
    assert served == {1, 2, 3, 4}
