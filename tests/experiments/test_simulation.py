"""Simulated experiments with teams and a model of engines."""

from __future__ import annotations

from pathlib import Path

import numpy as np
import pytest

from lilacfront.experiments.experiment_file import load
from lilacfront.experiments.findings import Findings
from lilacfront.experiments.simulation import Simulation

EXPERIMENTS_DIRECTORY = Path(__file__).parent.parent.parent / "deploy" / "experiments"
SHORTENED_S = (
    ("600.0", "300.0"),
    ("480.0", "285.0"),
    ("200.0", "100.0"),
    ("400.0", "200.0"),
    ("60.0", "15.0"),
)


@pytest.fixture(scope="module")
def experiments(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Findings]:
    """Findings of the three experiments in deploy/, shortened from ten minutes to five."""
    folder = tmp_path_factory.mktemp("experiments")
    for path in EXPERIMENTS_DIRECTORY.glob("*.toml"):
        text = path.read_text()
        for long, short in SHORTENED_S:
            text = text.replace(f"seconds = {long}", f"seconds = {short}")
            text = text.replace(f"at_s = {long}", f"at_s = {short}")
        (folder / path.name).write_text(text)
    return {name: Simulation(load(folder / f"{name}.toml")).run() for name in ("calm", "flood", "cold")}


def test_flood_of_one_team_does_not_raise_the_latency_of_others(experiments: dict[str, Findings]) -> None:
    calm, flood = experiments["calm"], experiments["flood"]
    for team in ("customers/acme", "customers/bolt"):
        # The burst takes one of five minutes instead of one of ten, so p99 has a wider margin.
        for percentile, factor in ((50, 1.2), (90, 1.2), (99, 2.0)):
            without_flood = np.percentile(calm.latency[team, "lookup"], percentile)
            assert np.percentile(flood.latency[team, "lookup"], percentile) <= factor * without_flood
    assert flood.outcomes["refused: waited"] + flood.outcomes["refused: late"] > 100
    assert calm.outcomes["refused: waited"] == 0


def test_budget_is_kept_in_every_minute_of_a_flood(experiments: dict[str, Findings]) -> None:
    """The budget is 8 thread-seconds per second, 480 per minute.

    The first two minutes may exceed it by the burst of 40 and by requests that cost more than estimated (5%).
    """
    used = [
        minute.thread_seconds for _, minute in sorted(experiments["flood"].minutes["support/trends"].items())
    ]
    assert used[0] + used[1] <= 2 * 480 + 40 + 0.05 * 960
    assert used[2] == pytest.approx(480, rel=0.05)
    assert used[3] == pytest.approx(480, rel=0.05)


@pytest.mark.parametrize("name", ["calm", "flood", "cold"])
def test_each_request_has_one_outcome_and_most_wait_estimates_are_accurate(
    experiments: dict[str, Findings], name: str
) -> None:
    findings = experiments[name]
    assert sum(findings.outcomes.values()) == findings.sent
    accuracy = findings.accuracy()
    assert accuracy.count > 0.9 * findings.outcomes["served"]
    assert accuracy.accurate_fraction >= 0.85
