"""Simulated tiers of failure detectors on a virtual clock, with injected faults."""

from typing import Any

import pytest

from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.lab.members import TierSimulation
from lilacfront.lab.score import Outcome


def simulate(members: int, seconds: float, *faults: Fault, seed: int = 1, **changes: Any) -> Outcome:
    return TierSimulation(
        FaultScript(members=members, duration_s=seconds, faults=list(faults), **changes), seed
    ).run()


@pytest.mark.parametrize("members", [3, 50])
def test_crash_is_detected_within_5_s_with_10_percent_message_loss(members: int) -> None:
    outcome = simulate(members, 20, Fault(at_s=10, action="kill", targets=[1]), loss_fraction=0.1)
    assert len(outcome.detection_times) == members - 1
    assert not outcome.undetected
    assert max(outcome.detection_times) <= 5.0


def test_one_way_cut_between_two_members_declares_no_member_dead() -> None:
    outcome = simulate(
        12, 70, Fault(at_s=5, action="cut", targets=[2], destinations=[7], bidirectional=False)
    )
    assert not outcome.false_positive_times
    assert outcome.convergence_time < 1.0


def test_member_without_incoming_messages_declares_no_member_dead() -> None:
    cut = Fault(at_s=5, action="cut", targets=list(range(1, 12)), destinations=[0], bidirectional=False)
    simulation = TierSimulation(FaultScript(members=12, duration_s=40, faults=[cut]), 1)
    simulation.run()
    isolated_member = simulation.hosts[0].member
    assert isolated_member is not None
    assert not isolated_member.failed_members()


def test_paused_member_refutes_within_2_s_and_declares_no_member_dead() -> None:
    outcome = simulate(
        12, 40, Fault(at_s=10, action="stop", targets=[4]), Fault(at_s=13, action="continue", targets=[4])
    )
    assert outcome.longest_false_positive_after_fault <= 2.0
    assert outcome.convergence_time <= 8.0
    assert min(lowest for at, _, lowest, _ in outcome.live_counts if at > 20) == 12


def test_simultaneous_crash_of_70_percent_is_detected_within_5_s() -> None:
    outcome = simulate(100, 16, Fault(at_s=10, action="kill", target_fraction=0.7))
    assert not outcome.undetected
    assert not outcome.false_positive_times
    live, highest = next((live, highest) for at, live, _, highest in outcome.live_counts if at >= 15)
    assert highest <= 1.1 * live


def test_member_restarted_with_its_clock_set_back_is_alive_again() -> None:
    restart = Fault(at_s=10.05, action="start", targets=[4], clock_offset_s=-86400.0)
    outcome = simulate(12, 30, Fault(at_s=10, action="kill", targets=[4]), restart)
    assert outcome.convergence_time <= 10.0
    assert outcome.live_counts[-1][1:] == (12, 12, 12)


def test_halves_of_a_partition_merge_after_changes_on_both_sides() -> None:
    outcome = simulate(
        12,
        40,
        Fault(at_s=5, action="cut", targets=list(range(6))),
        Fault(at_s=10, action="kill", targets=[1, 8]),
        Fault(at_s=12, action="start", targets=[8]),
        Fault(at_s=13, action="leave", targets=[9]),
        Fault(at_s=20, action="heal"),
    )
    assert outcome.convergence_time <= 5.0
    assert outcome.live_counts[-1][1:] == (10, 10, 10)


@pytest.mark.parametrize("lie", ["all dead", "dead live"])
def test_false_updates_of_one_member_are_tolerated(lie: Any) -> None:
    outcome = simulate(
        12, 40, Fault(at_s=5, action="lie", targets=[3], lie=lie), Fault(at_s=15, action="kill", targets=[6])
    )
    assert not outcome.undetected
    assert all(duration_s < 1.0 for duration_s in outcome.false_positive_times)
    assert outcome.live_counts[-1][1] == outcome.live_counts[-1][2] == outcome.live_counts[-1][3] == 11


def test_largest_tier_stays_within_the_rate_limit() -> None:
    outcome = simulate(1024, 4, loss_fraction=0.1)
    assert outcome.max_bytes_per_s < 2 * 1900  # bursts of up to two seconds of the rate are allowed
