"""Seeded runs of the baseline failure detectors, compared with recorded results."""

import json
from pathlib import Path

import pytest

from lilacfront.lab.baseline_detectors import DETECTORS
from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.lab.members import TierSimulation
from lilacfront.lab.members_cli import row

FIXTURE = Path(__file__).parent.parent / "fixtures" / "membership" / "detectors.json"
ROWS: dict[str, str] = json.loads(FIXTURE.read_text())
FAULTS = [
    Fault(at_s=8.0, action="kill", targets=[2]),
    Fault(at_s=9.0, action="stop", targets=[5]),
    Fault(at_s=12.0, action="continue", targets=[5]),
    Fault(at_s=13.0, action="start", targets=[2]),
]


def test_every_detector_has_a_recorded_row() -> None:
    assert list(ROWS) == list(DETECTORS)


@pytest.mark.parametrize("name", DETECTORS)
def test_seeded_run_gives_the_recorded_row(name: str) -> None:
    script = FaultScript(members=8, duration_s=20.0, loss_fraction=0.05, faults=FAULTS)
    outcomes = [TierSimulation(script, seed, DETECTORS[name]).run() for seed in (1, 2)]
    assert row(name, outcomes) == ROWS[name]
