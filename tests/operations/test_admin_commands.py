"""Tests of the admin commands and their answers."""

from __future__ import annotations

import pytest

from lilacfront.operations.admin_commands import AdminCommands
from lilacfront.operations.admin_protocol import AdminResponse, parse_request
from lilacfront.operations.lifecycle import LifecycleStage
from lilacfront.operations.operator_state import MAX_KNOWN_IDS, OperatorState
from lilacfront.operations.state_record import OperatorDirective


class Process:
    """A process that knows two warehouses, and records the directives issued by commands."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.current_stage = LifecycleStage.READY
        self.issued: list[OperatorDirective] = []
        self.state = OperatorState("a", lambda: self.now)
        self.state.record_listed(["s-1", "s-2"])
        self._commands = AdminCommands(self.state, self)

    def stage(self) -> LifecycleStage:
        return self.current_stage

    def status_details(self) -> str:
        return ""

    def member_lines(self) -> list[str] | None:
        return None

    def issue_directive(self, target: str, active: bool) -> None:
        self.issued += self.state.set_active(target, active)

    def execute(self, line: str) -> AdminResponse:
        return self._commands.execute(parse_request(line.encode()))


@pytest.fixture
def process() -> Process:
    return Process()


def test_suspend_and_restore_are_idempotent_and_reject_unknown_ids(process: Process) -> None:
    assert [process.execute(f"SUSPEND {target}").ok for target in ("s-1", "s-1", "s-9")] == [
        True,
        True,
        False,
    ]
    assert process.state.suspended == ["s-1"]
    assert len(process.issued) == 1
    assert "left out: s-1" in process.execute("STATUS").text
    assert [process.execute(f"RESTORE {target}").ok for target in ("s-1", "s-1", "s-9")] == [
        True,
        True,
        False,
    ]
    assert process.state.suspended == []
    assert [directive.active for directive in process.issued] == [True, False]


def test_suspended_warehouse_with_forgotten_id_can_be_restored(process: Process) -> None:
    process.execute("SUSPEND s-2")
    process.state.record_listed(f"t-{number}" for number in range(MAX_KNOWN_IDS))
    assert process.execute("RESTORE s-2").ok
    assert not process.execute("SUSPEND s-2").ok


@pytest.mark.parametrize("stage", LifecycleStage)
def test_status_is_ok_only_when_this_process_is_ready(process: Process, stage: LifecycleStage) -> None:
    process.current_stage = stage
    assert process.execute("STATUS").ok is (stage is LifecycleStage.READY)


def test_pause_and_resume_may_be_repeated(process: Process) -> None:
    assert process.execute("RESUME").ok
    assert not process.state.paused  # RESUME without a pause changes nothing
    assert process.execute("PAUSE").ok
    assert process.execute("PAUSE").ok
    assert process.state.paused
    assert process.state.paused_at == 1000.0
    assert process.execute("RESUME").ok
    assert not process.state.paused
