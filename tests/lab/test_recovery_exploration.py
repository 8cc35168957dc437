"""Exploration of power losses: all properties hold, and each disabled mechanism violates one."""

import pytest

from lilacfront.lab.recovery_exploration import Mechanisms, Property, explore


def test_properties_hold_on_all_paths_through_a_power_loss() -> None:
    found = explore(8)
    assert found.violations == {}
    assert found.states > 5000


@pytest.mark.parametrize(
    ("mechanisms", "violation"),
    [
        (Mechanisms(directive_replicas=False), Property.DIRECTIVES_SURVIVE),
        (Mechanisms(started_loads=False), Property.LOADS_SENT_ONCE),
        (Mechanisms(list_offers=False), Property.NO_REQUESTS_WHILE_DRAINING),
    ],
)
def test_disabled_mechanism_is_reported_as_a_violation(mechanisms: Mechanisms, violation: Property) -> None:
    assert violation in explore(6, mechanisms).violations
