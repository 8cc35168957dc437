"""Tests that encoded data, admin answers and drain decisions are the same as in released versions.

The fixtures were recorded with a released version. A difference means that this version can't exchange data
with running processes or stored files of that version.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lilacfront.operations.admin_commands import AdminCommands
from lilacfront.operations.admin_protocol import AdminRequestError, AdminResponse, failure, parse_request
from lilacfront.operations.connection_transfer import TransferChannel, TransferSocket
from lilacfront.operations.drain import (
    PAUSE_DEADLINES,
    ConnectionStatus,
    Drain,
    DrainAction,
    DrainDeadlines,
    handover_deadlines,
    shutdown_deadlines,
)
from lilacfront.operations.lifecycle import LifecycleStage
from lilacfront.operations.operator_state import OperatorState
from lilacfront.operations.state_directory import StateDirectory
from lilacfront.operations.state_record import (
    LearnedClass,
    LearnedEngine,
    LearnedState,
    OperatorDirective,
    ProcessState,
    decode_state,
    encode_state,
)
from lilacfront.operations.transfer_messages import (
    AnswerReady,
    ConnectionPassed,
    Message,
    RequestCancelled,
    StateAnnouncement,
    decode_message,
    encode_message,
)
from lilacfront.sched import Loop

FIXTURES = Path(__file__).parent.parent / "fixtures" / "operations"
FULL_STATE = ProcessState(
    front_end="n/0",
    token="1a2b-17f0",
    stage="leaving",
    saved_at_s=1700000000.125,
    change_log_seq=42,
    directives=(
        OperatorDirective("s-1", 1, "1a2b-17f0", True, 1000.25, 1000.25),
        OperatorDirective("", 2, "1a2c-17f1", False, 1001.5, 1002.75),
        OperatorDirective("größe-7", 3, "1a2b-17f0", False, 999.0, 1003.0),
    ),
    learned=LearnedState(
        (LearnedClass(30, 400000.0, 380000.5, 250000.25), LearnedClass(0, 0.0, 0.0, 0.0)),
        (LearnedEngine(17, 1700000000000000, 12.5, 1.25), LearnedEngine(2, 0, 4.0, 0.0)),
    ),
)
MINIMAL_STATE = ProcessState(front_end="", token="a", stage="starting", saved_at_s=0.0)
STATES = {"state-full.json": FULL_STATE, "state-bare.json": MINIMAL_STATE}
MESSAGES: dict[str, Message] = {
    "connection_passed": ConnectionPassed(
        7, b"\x80\x01\x00\x01half", ((1, b"000000000000000a"), (-2, b"")), True
    ),
    "connection_passed_idle": ConnectionPassed(1, b"", (), False),
    "connection_passed_ordered": ConnectionPassed(
        7, b"", ((1, b"000000000000000a"),), True, ((1, 0x8F3A9C21E0B4D655),)
    ),
    "answer_ready": AnswerReady(7, 1, b"\x80\x01\x00\x02whole"),
    "request_cancelled": RequestCancelled(7, 3),
    "connection_cancelled": RequestCancelled(7),
    "state_announcement": StateAnnouncement(FULL_STATE),
    "state_announcement_bare": StateAnnouncement(MINIMAL_STATE),
}


def load_json(name: str) -> Any:
    """Return the content of a JSON fixture."""
    return json.loads((FIXTURES / name).read_text())


@pytest.mark.parametrize("name", STATES)
def test_state_file_is_read_and_written_byte_for_byte(name: str) -> None:
    data = (FIXTURES / name).read_bytes()
    state = decode_state(data, STATES[name].front_end)
    assert state == STATES[name]
    assert encode_state(state) == data


@pytest.mark.parametrize("name", MESSAGES)
def test_message_between_processes_is_read_and_written_byte_for_byte(name: str) -> None:
    data = bytes.fromhex(load_json("messages.json")[name])
    message = decode_message(data)
    assert message == MESSAGES[name]
    assert encode_message(message) == data


def test_every_pinned_message_is_checked() -> None:
    assert set(load_json("messages.json")) == set(MESSAGES)


class AdminReplay:
    """Executes the admin requests of the fixture in order, one second apart.

    Each row contains the state of the process in which its request is executed.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.row: dict[str, Any] = {}
        self.state = OperatorState("a", lambda: self.now)
        self.state.record_listed([f"s-{number}" for number in range(1, 12)])
        self._commands = AdminCommands(self.state, self)

    def stage(self) -> LifecycleStage:
        return LifecycleStage(self.row["stage"])

    def status_details(self) -> str:
        return str(self.row["note"])

    def member_lines(self) -> list[str] | None:
        lines: list[str] | None = self.row["peers"]
        return lines

    def issue_directive(self, target: str, active: bool) -> None:
        self.state.set_active(target, active)

    def execute(self, row: dict[str, Any]) -> AdminResponse:
        self.now += 1
        self.row = row
        try:
            return self._commands.execute(parse_request(bytes.fromhex(row["line"])))
        except AdminRequestError as error:
            return failure(str(error))


def test_admin_answers_and_directives_match_the_fixture() -> None:
    replay = AdminReplay()
    for row in load_json("admin.json"):
        assert replay.execute(row).encode() == bytes.fromhex(row["answer"]), bytes.fromhex(row["line"])
        directives = [msgspec.to_builtins(directive) for directive in replay.state.directives.values()]
        assert directives == row["directives"]


class NullObserver:
    """Ignores the messages and the closing of channels."""

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None: ...
    def on_channel_closed(self, channel: TransferChannel) -> None: ...


def test_file_names_in_state_directory_match_the_fixture(tmp_path: Path) -> None:
    expected = load_json("files.json")
    loop = Loop()
    first = StateDirectory(str(tmp_path), "n/0 ä", "1a2b-17f0")
    first.save(FULL_STATE)
    second = StateDirectory(str(tmp_path), "n" * 80, "b")
    second.save(MINIMAL_STATE)
    transfer_socket = TransferSocket(loop, str(tmp_path), "1a2b-17f0", NullObserver())
    assert sorted(os.listdir(tmp_path)) == expected["running"]
    first.close()
    transfer_socket.close()
    assert sorted(os.listdir(tmp_path)) == expected["ended"]
    second.close()
    loop.close()


DEADLINES: dict[str, DrainDeadlines] = {
    "pause": PAUSE_DEADLINES,
    "shutdown": shutdown_deadlines(0.8, 3.5),
    "handover": handover_deadlines(5.7, True),
    "handover_alone": handover_deadlines(5.7, False),
}
ACTIONS = {"keep": DrainAction.KEEP, "close": DrainAction.CLOSE, "give up": DrainAction.FAIL_PENDING}


@pytest.mark.parametrize("kind", DEADLINES)
def test_drain_decisions_match_the_fixture(kind: str) -> None:
    started_at = 100.0
    drain = Drain(started_at, DEADLINES[kind])
    checked_rows = 0
    for name, elapsed, connected, last_request, busy, partial, action, retry_after_s in load_json(
        "drain.json"
    ):
        if name != kind:
            continue
        checked_rows += 1
        last_request_at = last_request if last_request < 0 and not busy else started_at + last_request
        connection = ConnectionStatus(started_at + connected, last_request_at, busy, partial)
        assert drain.decide(started_at + elapsed, connection) is ACTIONS[action]
        assert drain.retry_after_s(started_at + elapsed, started_at + connected) == retry_after_s
    assert checked_rows == 153
