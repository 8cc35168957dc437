"""Findings of the experiments in deploy/, shortened to a minute, compared with recorded digests."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest

from lilacfront.experiments.experiment_file import load
from lilacfront.experiments.simulation import Simulation

EXPERIMENTS_DIRECTORY = Path(__file__).parent.parent.parent / "deploy" / "experiments"
SHORTENED_SETTINGS = (
    ("seconds = 600.0", "seconds = 60.0"),
    ("seconds = 480.0", "seconds = 40.0"),
    ("at_s = 200.0", "at_s = 10.0"),
    ("at_s = 400.0", "at_s = 35.0"),
    ("at_s = 60.0", "at_s = 5.0"),
)
DIGESTS = {
    "calm": "7040ceadfe76ee07ec8864ab97214f71cd8c664c44aec7babee94a4136926e25",
    "flood": "1c54fd91921bc2e43dce76bcaf92ea96d30ea127aea1ff0605f8f68639e8f88e",
    "cold": "286bab5820b428cce26fd9a771e7792028b99de95df461a81748372b68e7c2bc",
}


def digest_of_findings(folder: Path, name: str) -> str:
    for path in EXPERIMENTS_DIRECTORY.glob("*.toml"):
        text = path.read_text()
        for long, short in SHORTENED_SETTINGS:
            text = text.replace(long, short)
        (folder / path.name).write_text(text)
    findings = Simulation(load(folder / f"{name}.toml")).run()
    minutes = {
        team: {
            minute: (figure.thread_seconds, figure.served, figure.rejected)
            for minute, figure in by_minute.items()
        }
        for team, by_minute in findings.minutes.items()
    }
    waits = [
        (
            wait.arrived_at,
            wait.team,
            wait.estimate.likely,
            wait.estimate.low,
            wait.estimate.high,
            wait.actual_s,
        )
        for wait in findings.waits
    ]
    accuracy = findings.accuracy()
    all_findings = (
        findings.sent,
        sorted(findings.outcomes.items()),
        sorted(findings.latency.items()),
        sorted(minutes.items()),
        waits,
        (accuracy.accurate_fraction, accuracy.within_bounds_fraction, accuracy.count),
    )
    return hashlib.sha256(repr(all_findings).encode()).hexdigest()


@pytest.mark.parametrize(("name", "digest"), DIGESTS.items())
def test_findings_match_the_recorded_digest(tmp_path: Path, name: str, digest: str) -> None:
    assert digest_of_findings(tmp_path, name) == digest
