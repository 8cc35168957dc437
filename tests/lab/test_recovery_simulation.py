"""Simulation of power losses: service recovers, and runs with the same seed give the same result."""

import pytest

from lilacfront.lab.recovery_scenario import PowerLoss, SimulationResult, Strategy
from lilacfront.lab.recovery_simulation import PowerLossSimulation

SEED = 5


def simulate(strategy: Strategy) -> SimulationResult:
    loss = PowerLoss(front_ends=3, warehouses=4, seconds=30.0)
    return PowerLossSimulation(loss, strategy, SEED).run()


@pytest.mark.parametrize("strategy", Strategy)
def test_service_recovers_without_a_warehouse_failure(strategy: Strategy) -> None:
    result = simulate(strategy)
    assert result.recovered_s < 25.0
    assert result.warehouse_failures == 0
    assert result.lost_fraction < 0.2


@pytest.mark.parametrize("strategy", Strategy)
def test_same_seed_gives_the_same_result(strategy: Strategy) -> None:
    first, second = simulate(strategy), simulate(strategy)
    assert first.curve == second.curve
    assert first.warehouse_failures == second.warehouse_failures
