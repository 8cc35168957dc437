"""Fixtures of the operations tests: process states, and a test bed with real processes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from lilacfront.lab.test_bed import ProcessTestBed
from lilacfront.operations.state_record import OperatorDirective, ProcessState

StateFactory = Callable[..., ProcessState]


@pytest.fixture
def make_state() -> StateFactory:
    """Returns a function that builds the state of a process from its token and directives."""

    def make(token: str, *directives: OperatorDirective, front_end: str = "n0") -> ProcessState:
        return ProcessState(
            front_end=front_end, token=token, stage="ready", saved_at_s=1.0, directives=directives
        )

    return make


@pytest.fixture
def test_bed(tmp_path: Path) -> Iterator[ProcessTestBed]:
    """A test bed with two warehouses and a change log; no process is started yet."""
    processes = ProcessTestBed(tmp_path)
    try:
        yield processes
    finally:
        processes.close()
