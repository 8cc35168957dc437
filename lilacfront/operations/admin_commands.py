"""Executes the commands of the admin protocol and formats the answers. No I/O."""

from __future__ import annotations

from typing import Protocol

from lilacfront.operations.admin_protocol import AdminRequest, AdminResponse, Command, failure
from lilacfront.operations.lifecycle import LifecycleStage
from lilacfront.operations.operator_state import MAX_SUSPENDED, OperatorState
from lilacfront.operations.state_record import PAUSE_TARGET

MAX_LISTED_IDS = 8  # largest number of suspended warehouses in an answer to STATUS
MAX_QUOTED_CHARACTERS = 80  # longest part of an unknown id in an answer


class CommandContext(Protocol):
    """Interface of the commands to the process."""

    def stage(self) -> LifecycleStage:
        """Return the lifecycle stage of this process."""

    def status_details(self) -> str:
        """Return the text that STATUS appends to the stage and the suspended warehouses; may be empty."""

    def member_lines(self) -> list[str] | None:
        """Return a summary line and a line for each front end, for PEERS; None without membership."""

    def issue_directive(self, target: str, active: bool) -> None:
        """Issue an operator directive, apply it and publish it."""


class AdminCommands:
    """Executes admin commands for one process."""

    def __init__(self, state: OperatorState, context: CommandContext) -> None:
        self._state = state
        self._context = context

    def execute(self, request: AdminRequest) -> AdminResponse:
        """Execute a command and return its answer."""
        match request.command:
            case Command.STATUS:
                return self._status()
            case Command.PEERS:
                return self._peers()
            case Command.SUSPEND:
                return self._suspend(request.warehouse_id)
            case Command.RESTORE:
                return self._restore(request.warehouse_id)
            case Command.PAUSE:
                self._context.issue_directive(PAUSE_TARGET, True)
                return AdminResponse(True, "draining; clients are sent away")
            case Command.RESUME:
                return self._resume()

    def _status(self) -> AdminResponse:
        stage = self._context.stage()
        text = stage.value
        if suspended := self._state.suspended:
            unlisted_count = len(suspended) - MAX_LISTED_IDS
            rest = f" and {unlisted_count} more" if unlisted_count > 0 else ""
            text += f"; left out: {', '.join(suspended[:MAX_LISTED_IDS])}{rest}"
        text += self._context.status_details()
        return AdminResponse(stage is LifecycleStage.READY, text)

    def _peers(self) -> AdminResponse:
        lines = self._context.member_lines()
        if lines is None:
            return failure("this front end does not follow the others")
        return AdminResponse(True, lines[0], tuple(lines[1:]))

    def _suspend(self, warehouse_id: str) -> AdminResponse:
        if self._state.is_suspended(warehouse_id):
            return AdminResponse(True, f"{warehouse_id} is left out already")
        if not self._state.is_known(warehouse_id):
            return _unknown(warehouse_id)
        if len(self._state.suspended) >= MAX_SUSPENDED:
            return failure(f"{MAX_SUSPENDED} warehouses are left out already")
        self._context.issue_directive(warehouse_id, True)
        return AdminResponse(True, f"{warehouse_id} is left out")

    def _restore(self, warehouse_id: str) -> AdminResponse:
        if self._state.is_suspended(warehouse_id):
            self._context.issue_directive(warehouse_id, False)
            return AdminResponse(True, f"{warehouse_id} is used again")
        if not self._state.is_known(warehouse_id):
            return _unknown(warehouse_id)
        return AdminResponse(True, f"{warehouse_id} was not left out")

    def _resume(self) -> AdminResponse:
        self._context.issue_directive(PAUSE_TARGET, False)
        if self._context.stage() is LifecycleStage.SHUTTING_DOWN:
            return AdminResponse(True, "no longer paused, but this process is leaving")
        return AdminResponse(True, "taking clients")


def _unknown(warehouse_id: str) -> AdminResponse:
    return failure(f"no warehouse has the id {warehouse_id[:MAX_QUOTED_CHARACTERS]}")
