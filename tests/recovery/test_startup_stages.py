"""Startup stages: the time at which each begins, and that every stage ends."""

from dataclasses import fields

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacfront.decisions.settings import Idempotency, RequestClass
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.recovery.startup_stages import (
    RecoveryStage,
    StartupConditions,
    StartupStages,
    admission_stages,
)

SETTINGS = RecoverySettings(
    directory="x", confirm_timeout_s=10.0, short_reads_stage_s=3.0, idempotent_stage_s=2.0
)
MAX_TOTAL_S = (
    SETTINGS.restore_timeout_s
    + SETTINGS.confirm_timeout_s
    + SETTINGS.short_reads_stage_s
    + 2 * SETTINGS.idempotent_stage_s
)
STEP_S = 0.05
READY = StartupConditions(restored=True, endpoints_confirmed=True)


@pytest.mark.parametrize(
    ("conditions", "expected"),
    [
        pytest.param(
            StartupConditions(restored=True, endpoints_confirmed=True, planned_restart=True),
            {RecoveryStage.OPEN: 0.0},
            id="planned restart",
        ),
        pytest.param(
            StartupConditions(restored=True, endpoints_confirmed=True, peer_serving=True, has_peers=True),
            {RecoveryStage.OPEN: 0.0},
            id="a peer serves",
        ),
        pytest.param(
            READY,
            {RecoveryStage.SHORT_READS: 0.0, RecoveryStage.IDEMPOTENT: 3.0, RecoveryStage.OPEN: 5.0},
            id="power loss",
        ),
        pytest.param(
            StartupConditions(restored=True, endpoints_confirmed=True, has_peers=True),
            {RecoveryStage.SHORT_READS: 0.5, RecoveryStage.OPEN: 5.5},
            id="silent peers",
        ),
        pytest.param(
            StartupConditions(restored=True, endpoints_confirmed=True, directives_agree=False),
            {RecoveryStage.IDEMPOTENT: 3.0, RecoveryStage.OPEN: 7.0},
            id="a peer has other directives",
        ),
        pytest.param(
            StartupConditions(restored=True),
            {RecoveryStage.SHORT_READS: 10.0, RecoveryStage.OPEN: 15.0},
            id="no change log",
        ),
        pytest.param(
            StartupConditions(restored=True, planned_restart=True),
            {RecoveryStage.OPEN: 10.0},
            id="planned restart without a change log",
        ),
        pytest.param(
            StartupConditions(),
            {RecoveryStage.CONFIRMING: 2.0, RecoveryStage.OPEN: 17.0},
            id="no disk and no change log",
        ),
    ],
)
def test_each_stage_begins_in_time(
    conditions: StartupConditions, expected: dict[RecoveryStage, float]
) -> None:
    stages = StartupStages(SETTINGS, 0.0)
    began: dict[RecoveryStage, float] = {}
    for step in range(400):
        began.setdefault(stages.advance(step * STEP_S, conditions), step * STEP_S)
    for stage, at in expected.items():
        assert abs(began[stage] - at) < 0.11, began
    assert stages.endpoints_stale is not conditions.endpoints_confirmed


@pytest.fixture
def stages_at_short_reads() -> StartupStages:
    """Stages after a power loss, in the stage SHORT_READS since time 0."""
    stages = StartupStages(SETTINGS, 0.0)
    assert stages.advance(0.0, READY) is RecoveryStage.SHORT_READS
    return stages


def test_engines_count_as_cold_after_a_power_loss(stages_at_short_reads: StartupStages) -> None:
    assert stages_at_short_reads.fleet_outage


def test_earliest_start_of_later_stages(stages_at_short_reads: StartupStages) -> None:
    assert stages_at_short_reads.earliest_start(RecoveryStage.IDEMPOTENT, 1.0) == 3.0
    assert stages_at_short_reads.earliest_start(RecoveryStage.OPEN, 1.0) == 5.0


def test_serving_peer_opens_service_at_once(stages_at_short_reads: StartupStages) -> None:
    serving = StartupConditions(restored=True, endpoints_confirmed=True, peer_serving=True)
    assert stages_at_short_reads.advance(0.2, serving) is RecoveryStage.OPEN


def test_classes_are_admitted_by_length_and_idempotency() -> None:
    classes = (
        RequestClass(800_000, 4_000_000, 1.0, 1, Idempotency.IDEMPOTENT),
        RequestClass(1_500_000, 20_000_000, 6.0, 4, Idempotency.IDEMPOTENT),
        RequestClass(4_000_000, 20_000_000, 5.0, 2, Idempotency.NOT_IDEMPOTENT),
    )
    assert admission_stages(classes) == (
        RecoveryStage.SHORT_READS,
        RecoveryStage.IDEMPOTENT,
        RecoveryStage.OPEN,
    )


CONDITIONS = st.builds(
    StartupConditions, **{condition.name: st.booleans() for condition in fields(StartupConditions)}
)


@given(st.lists(st.tuples(st.floats(0, 2), CONDITIONS), max_size=60))
def test_stages_never_go_back_and_all_of_them_end(history: list[tuple[float, StartupConditions]]) -> None:
    stages = StartupStages(SETTINGS, 0.0)
    now = 0.0
    previous = RecoveryStage.RESTORING
    for pause, conditions in history:
        now += pause
        stage = stages.advance(now, conditions)
        assert stage >= previous
        previous = stage
    assert stages.advance(now + MAX_TOTAL_S, StartupConditions()) is not RecoveryStage.RESTORING
    for turn in range(1, 6):
        stages.advance(now + turn * MAX_TOTAL_S, StartupConditions(directives_agree=False))
    assert stages.stage is RecoveryStage.OPEN
