"""Pinned decisions: the actions for seeded event streams must match the recorded digests exactly."""

from __future__ import annotations

from dataclasses import replace
from functools import cache

import pytest
from event_stream_model import ACTION_CODES, Stream
from event_streams import FleetRun, run_stream
from helpers import KEYED, LIMITS, LONG, RULES, SHORT, UNSAFE, policy_settings

from lilacfront.decisions.events import AttemptResult
from lilacfront.decisions.settings import DeduplicationScope, PolicySettings, RequestClass, TenantQuota

COLD_RULES = replace(
    RULES,
    overload_factor=2.5,
    cold_capacity_fraction=0.3,
    overload_window_us=1_500_000,
    warm_up_us=14_000_000,
)
RETRY_BUDGET_RULES = replace(
    COLD_RULES, retry_budget_window_us=5_000_000, retry_budget_min=2.0, retry_budget_ratio=0.25
)
ORDERING_GAP_RULES = replace(RETRY_BUDGET_RULES, ordering_gap_us=300_000, poll_deadline_us=4_000_000)
DATA_LOAD = replace(UNSAFE, is_load=True, waits_for_loads=True)
ALL_CLASSES = (
    SHORT,
    replace(LONG, latency_objective_stretch=1.5),
    KEYED,
    replace(KEYED, deduplication_scope=DeduplicationScope.CELL),
    replace(KEYED, deduplication_scope=DeduplicationScope.ZONE, is_load=True, waits_for_loads=True),
    UNSAFE,
    replace(SHORT, is_ordered=True, late_weight=0.3),
    replace(LONG, allowed_zones=(0,)),
    replace(LONG, allowed_machine_types=(0,)),
    replace(SHORT, is_streamed=True, priority_weight=3.0),
)
TENANTS = (TenantQuota(4.0), TenantQuota(30.0))


def mixed_settings(*classes: RequestClass, **changes: object) -> PolicySettings:
    return policy_settings(*(classes or ALL_CLASSES), machine_type_cores=(8.0, 12.0), **changes)


RETRY_AFTER_LIMITS = replace(LIMITS, may_send_retry_after=True, max_retry_after_us=2_000_000)
GOSSIP_LIMITS = replace(LIMITS, may_gossip=True, max_attempts=5)
STREAMS = (
    Stream("one", 1, 4000, mixed_settings(rules=RETRY_BUDGET_RULES, sets_priorities=True)),
    Stream(
        "one, nothing permitted",
        2,
        3000,
        mixed_settings(limits=replace(LIMITS, max_attempts=2, may_cancel=False)),
    ),
    Stream(
        "one, overload",
        3,
        3000,
        mixed_settings(rules=COLD_RULES, limits=RETRY_AFTER_LIMITS),
        relative_load=2.5,
        table_group_count=5,
    ),
    Stream(
        "one, notes",
        4,
        3000,
        mixed_settings(SHORT, LONG, KEYED, notification_interval_us=200_000),
        faulty_engines=3,
    ),
    Stream(
        "three",
        5,
        5000,
        mixed_settings(gateway_count=3, rules=ORDERING_GAP_RULES, polls_discovery=True),
        (0, 1, 2),
    ),
    Stream(
        "three, tenants",
        6,
        4000,
        mixed_settings(
            gateway_count=3,
            tenants=TENANTS,
            over_quota_weight=0.05,
            rules=ORDERING_GAP_RULES,
            reports_cost=True,
        ),
        (0, 1, 2),
        relative_load=1.5,
    ),
    Stream(
        "three, loads",
        7,
        4000,
        mixed_settings(SHORT, DATA_LOAD, LONG, gateway_count=3, rules=RETRY_BUDGET_RULES),
        (0, 2),
        table_group_count=4,
    ),
    Stream(
        "three, sick",
        8,
        4000,
        mixed_settings(SHORT, LONG, gateway_count=3),
        (1,),
        engine_count=10,
        faulty_engines=7,
    ),
    Stream(
        "three, zones",
        9,
        3000,
        mixed_settings(gateway_count=3, cross_zone_price=0.04, zone=1, rules=COLD_RULES),
        (0, 1),
    ),
    Stream(
        "pooled",
        10,
        5000,
        mixed_settings(
            gateway_count=200,
            limits=GOSSIP_LIMITS,
            rules=RETRY_BUDGET_RULES,
            gossip_price=0.01,
            sets_priorities=True,
        ),
        (0, 57, 199),
        engine_count=20,
        relative_load=0.05,
        faulty_engines=3,
    ),
    Stream(
        "pooled, zones and loads",
        11,
        4000,
        mixed_settings(
            gateway_count=200,
            limits=GOSSIP_LIMITS,
            cross_zone_price=0.04,
            zone=1,
            rules=ORDERING_GAP_RULES,
            gossip_price=0.001,
        ),
        (3, 120),
        engine_count=24,
        zone_count=4,
        relative_load=0.05,
        change_interval_s=1.0,
    ),
    Stream(
        "pooled, overload",
        12,
        4000,
        mixed_settings(
            SHORT,
            LONG,
            DATA_LOAD,
            gateway_count=200,
            rules=COLD_RULES,
            tenants=TENANTS,
            over_quota_weight=0.05,
        ),
        (10, 11),
        relative_load=0.3,
        engine_count=12,
        faulty_engines=4,
    ),
    Stream(
        "pooled, sick",
        13,
        3000,
        mixed_settings(SHORT, KEYED, gateway_count=40, notification_interval_us=200_000, rules=COLD_RULES),
        (4, 5),
        engine_count=12,
        relative_load=0.1,
        faulty_engines=10,
        fault_rate=0.1,
    ),
    Stream(
        "pooled, no reports",
        14,
        3000,
        mixed_settings(SHORT, replace(SHORT, priority_weight=2.0), gateway_count=200, limits=GOSSIP_LIMITS),
        (0,),
        engine_count=10,
        relative_load=0.1,
        has_load_reports=False,
        has_work_estimates=False,
    ),
)
DIGESTS: dict[str, str] = {
    "one": "698c4e491f46d1250005b2994305a1a16c6347bf0c4e3e45b88112741918ea78",
    "one, nothing permitted": "5b6a1ad0959b8da3c8b936830f759213ecf5b96d382b99d99b9ac7638607fb6a",
    "one, overload": "4273c7855724e14b1e711e6fe1454f2f26020c915499c4fddb4d1d49b0d4b977",
    "one, notes": "9d48f7976d965d1b4f4eff8ec82c0f0bd751619efc8ae6607c6d78a441d2c262",
    "three": "a10f4135495277c6a047cd97810638954565c9ee985686885a6f2f7e2934ed17",
    "three, tenants": "6a0094fdc917178ab2148904afb0ebc249281c72fcec7ea5396597547548b466",
    "three, loads": "fef0531d2fc2508408016fb92e1bfb35091bf9c06f271dc9372ea5845226f8c8",
    "three, sick": "29a3ef05348542d08b29d9054d29fcb05ea4a645b341721a5c0a869911ea7adf",
    "three, zones": "3c5a8c2d06004ee3c8dd90b6d3815110d3613eb0265f01f9a12dd9507ad6081a",
    "pooled": "4c864aafdb16d3c7ae6e98f3bf682af293421c5aba575c8897baf63b12ebd28d",
    "pooled, zones and loads": "bae5877185b5e2bac8c3b02424c6b7e454723060f5cb0a0991b07e57871b21d0",
    "pooled, overload": "c1fd65e3ce5a1e4ec93447f11dd289043831aec050b676650fa05aa37f1981d2",
    "pooled, sick": "fdc92d4279d6c5a51b64d0c0f09b6c0d8c79e9b3a45dcdb3dd8b4f75d5e5d28b",
    "pooled, no reports": "4818c421d3634395f40b7e7220d965ce0eea448376cbfd0589af0dafa32c17dd",
}


@cache
def run_stream_once(name: str) -> FleetRun:
    """Return the result of a stream, which is run at most once per process."""
    return run_stream(next(stream for stream in STREAMS if stream.name == name))


@pytest.mark.parametrize("name", [stream.name for stream in STREAMS])
def test_actions_on_a_seeded_stream_match_the_recorded_digest(name: str) -> None:
    assert run_stream_once(name).digest.hexdigest() == DIGESTS[name]


def test_the_streams_cover_every_action_and_every_attempt_result() -> None:
    runs = [run_stream_once(stream.name) for stream in STREAMS]
    assert set().union(*(run.codes for run in runs)) == set(ACTION_CODES.values())
    assert set().union(*(run.results for run in runs)) == set(AttemptResult)
