"""Engine selection by table group, load and zone."""

from __future__ import annotations

from dataclasses import replace

from helpers import (
    LONG,
    SECOND_US,
    SHORT,
    end_attempt,
    end_with_load,
    endpoints,
    forwards,
    make_router,
    make_routers,
    policy_settings,
    receive_request,
)

from lilacfront.decisions.events import AttemptResult
from lilacfront.decisions.settings import Idempotency


def test_data_loads_and_readers_search_the_order_from_opposite_ends() -> None:
    load = replace(LONG, is_load=True, idempotency=Idempotency.NOT_IDEMPOTENT)
    router = make_router(policy_settings(replace(SHORT, waits_for_loads=True), load), endpoints(6))
    (reader,) = forwards(receive_request(router, 0, 1, table_group=5))
    (writer,) = forwards(
        receive_request(router, 0, 2, class_index=1, time_left_us=20 * SECOND_US, table_group=5)
    )
    order = [e.number for e in router.selection.orders[5]]
    assert order.index(reader.engine) < 2
    assert order.index(writer.engine) >= 4


def test_the_engine_in_the_own_zone_is_selected_if_traffic_across_zones_has_a_price() -> None:
    def selected(zone: int, price: float) -> int:
        fleet = tuple(replace(e, zone=e.engine % 2) for e in endpoints(2))
        router = make_router(policy_settings(zone=zone, cross_zone_price=price), fleet)
        for engine, threads in zip(router.state.engines.values(), (4, 5), strict=True):
            engine.concurrency.used += threads
            router.pooled_limit.concurrency.used += threads
        (send,) = forwards(receive_request(router, 0, 1))
        return send.engine

    assert (selected(0, 0.04), selected(1, 0.04)) == (2, 1)
    assert (selected(0, 0.0), selected(1, 0.0)) == (1, 1)


def test_a_retry_goes_to_another_engine_even_if_its_load_is_higher() -> None:
    router = make_router(policy_settings(), endpoints(2))
    (send,) = forwards(receive_request(router, 0, 1))
    other = router.state.engines[3 - send.engine]
    other.concurrency.used += 6
    router.pooled_limit.concurrency.used += 6
    (retry,) = forwards(end_attempt(router, 1000, send, AttemptResult.ERROR))
    assert retry.engine == other.number


def test_requests_spill_over_to_the_next_engine_below_the_mean_load() -> None:
    router = make_routers(200, endpoints(10), SHORT)[0]
    end_attempt(
        router,
        100 * SECOND_US + 1,
        forwards(receive_request(router, 100 * SECOND_US, 1, table_group=5))[0],
        AttemptResult.OK,
    )
    router.demand.total = 100.0  # so that the demand for this group is low
    start = router.selection.start_index(5, 10)
    engines = router.selection.orders[5][start:] + router.selection.orders[5][:start]
    for index, engine in enumerate(engines):
        router.loads.record(engine, 2.5 if index < 2 else 0.5)
    (send,) = forwards(receive_request(router, 101 * SECOND_US, 2, table_group=5))
    assert send.engine == engines[2].number
    router.loads.record(engines[0], 9.0)
    receive_request(router, 101 * SECOND_US, 3, table_group=6)
    assert engines[0].concurrency.used == 0
    assert not router.capacity.has_capacity(engines[0], router.state.requests[3])
    assert router.capacity.has_capacity(engines[4], router.state.requests[3])


def test_gateways_spread_a_table_group_over_more_engines_at_higher_demand() -> None:
    def engines_used(is_hot: bool) -> set[int]:
        used = set()
        for router in make_routers(200, endpoints(20), SHORT)[::10]:
            for n in range(40):
                now = 100 * SECOND_US + n * 300_000
                for send in forwards(
                    receive_request(router, now, n, table_group=5 if is_hot and n % 2 else 10 + n)
                ):
                    end_with_load(router, now + 20_000, send, 6.0)
            used |= {s.engine for s in forwards(receive_request(router, 120 * SECOND_US, 99, table_group=5))}
        return used

    assert len(engines_used(False)) <= 3
    assert len(engines_used(True)) >= 6


def test_many_gateways_use_other_zones_only_if_their_own_has_no_capacity() -> None:
    zones = tuple(replace(one, zone=one.engine % 4) for one in endpoints(40))
    for price, gateway_count, is_own_zone_only in ((0.04, 200, True), (0.0, 200, False), (0.04, 3, False)):
        router = make_routers(gateway_count, zones, SHORT, cross_zone_price=price, zone=1)[0]
        selected = set()
        for n in range(40):
            now = 100 * SECOND_US + n * 300_000
            for send in forwards(receive_request(router, now, n, table_group=n)):
                end_with_load(router, now + 60_000, send, 6.0)
                selected.add(send.engine % 4)
        assert (selected == {1}) is is_own_zone_only
    router = make_routers(200, zones, SHORT, cross_zone_price=0.04, zone=1)[0]
    for engine in router.state.ready_engines:  # only engines in other zones have capacity
        router.loads.record(engine, 9.0 if engine.endpoint.zone == 1 else 0.5)
    selected = {
        s.engine % 4
        for n in range(20)
        for s in forwards(receive_request(router, 101 * SECOND_US, n, table_group=n))
    }
    assert selected
    assert 1 not in selected
    router = make_routers(200, zones, SHORT, cross_zone_price=0.04, zone=1)[0]
    for engine in router.state.ready_engines:  # all engines in its own zone are ejected
        if engine.endpoint.zone == 1:
            router.outliers.eject(engine, 60 * SECOND_US)
    selected = {
        s.engine % 4
        for n in range(5)
        for s in forwards(receive_request(router, 101 * SECOND_US, n, table_group=n))
    }
    assert selected
    assert 1 not in selected


def test_a_gateway_in_a_zone_without_engines_uses_all_other_zones() -> None:
    zones = tuple(replace(one, zone=7 + one.engine % 3) for one in endpoints(30))
    router = make_routers(200, zones, SHORT, cross_zone_price=0.04, zone=1)[0]
    selected = set()
    for now in range(101 * SECOND_US, 113 * SECOND_US, SECOND_US // 2):
        for send in forwards(receive_request(router, now, now, table_group=now)):
            selected.add(send.engine % 3)
            end_with_load(router, now + 1000, send, 6.0)
    assert selected == {0, 1, 2}


def test_data_loads_search_from_the_end_of_their_own_zone() -> None:
    load = replace(LONG, is_load=True, waits_for_loads=True, idempotency=Idempotency.NOT_IDEMPOTENT)
    zones = tuple(replace(one, zone=one.engine % 4) for one in endpoints(40))
    router = make_routers(200, zones, SHORT, load, cross_zone_price=0.04, zone=1)[0]
    # The demand for this group is low.
    router.demand.total, router.demand.updated_at_us = 100.0, 101 * SECOND_US
    read_engine = forwards(receive_request(router, 101 * SECOND_US, 1, table_group=5))[0].engine
    load_engine = forwards(
        receive_request(router, 101 * SECOND_US, 2, class_index=1, time_left_us=20 * SECOND_US, table_group=5)
    )[0].engine
    local_engines = [e.number for e in router.selection.orders[5] if e.endpoint.zone == 1]
    assert local_engines.index(read_engine) < 3
    assert local_engines.index(load_engine) >= len(local_engines) - 3
