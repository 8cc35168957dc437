"""Exploration of all schedules of two faults among three members, and detection of injected defects."""

import os

import pytest

from lilacfront.lab.explore import ScheduleSimulation, all_schedules, find_violations
from lilacfront.lab.explore_cli import explore_all
from lilacfront.lab.injected_defects import DEFECTS
from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.sender import OutgoingDatagram


def test_no_schedule_of_two_faults_violates_a_property() -> None:
    schedule_count, violations = explore_all("none", min(8, os.cpu_count() or 1))
    assert not violations, violations[:3]
    assert schedule_count > 3000


@pytest.mark.parametrize("defect", [name for name in DEFECTS if name != "none"])
def test_injected_defect_is_found(defect: str) -> None:
    schedules = list(all_schedules())[:200]
    assert any(find_violations([schedule], defect) for schedule in schedules)


def test_decreasing_incarnation_is_found() -> None:
    def lower_incarnations(detector: FailureDetector) -> None:
        original_tick = detector.tick

        def lowering_tick(now: float) -> list[OutgoingDatagram]:
            if now > 1.0:
                detector.view.incarnations[1] -= 1
            return original_tick(now)

        detector.tick = lowering_tick  # type: ignore[method-assign]

    violation = ScheduleSimulation(next(all_schedules()), lower_incarnations).find_violation()
    assert violation.startswith("incarnations: ")
