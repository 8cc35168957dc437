"""Tests of starting and ending drains."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.drain import PAUSE_DEADLINES, Drain, handover_deadlines, shutdown_deadlines
from lilacfront.operations.draining import DrainController
from lilacfront.sched import Loop

SHUTDOWN_DEADLINES = shutdown_deadlines(0.8, 3.5)


class RecordingTarget:
    """Records the calls of a `DrainController`."""

    def __init__(self) -> None:
        self.drains: list[Drain | None] = []
        self.accepting: list[bool] = []

    def set_drain(self, drain: Drain | None) -> None:
        self.drains.append(drain)

    def set_accepting(self, accepting: bool) -> None:
        self.accepting.append(accepting)

    def transfer_connections(self, successor: TransferChannel) -> None:
        raise AssertionError(f"connections were transferred to {successor} without a successor")


@pytest.fixture
def target() -> RecordingTarget:
    return RecordingTarget()


@pytest.fixture
def controller(target: RecordingTarget) -> Iterator[DrainController]:
    loop = Loop(lambda: 100.0)
    yield DrainController(loop, target)
    loop.close()


def test_pause_drains_from_its_command_until_resume(
    controller: DrainController, target: RecordingTarget
) -> None:
    controller.pause(99.0)
    controller.resume()
    assert target.drains == [Drain(99.0, PAUSE_DEADLINES), None]


def test_shutdown_keeps_the_drain_of_a_pause(controller: DrainController, target: RecordingTarget) -> None:
    controller.pause(99.0)
    controller.begin_shutdown()
    controller.shut_down(SHUTDOWN_DEADLINES)
    assert target.drains == [Drain(99.0, PAUSE_DEADLINES)]


def test_pause_and_resume_are_ignored_during_shutdown(
    controller: DrainController, target: RecordingTarget
) -> None:
    controller.begin_shutdown()
    controller.shut_down(SHUTDOWN_DEADLINES)
    controller.pause(100.0)
    controller.resume()
    assert target.drains == [Drain(100.0, SHUTDOWN_DEADLINES)]


def test_hand_over_without_a_channel_stops_accepting_and_drains(
    controller: DrainController, target: RecordingTarget
) -> None:
    controller.begin_shutdown()
    controller.hand_over(None, 5.7)
    controller.set_accepting(False)  # stopped already, so the target is not called again
    assert target.accepting == [False]
    assert target.drains == [Drain(100.0, handover_deadlines(5.7, transferred=False))]
