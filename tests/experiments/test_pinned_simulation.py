"""Findings of the experiments in deploy/, shortened to a minute, compared with recorded digests."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
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
# Prints the digest of an experiment: its arguments are this file, a folder and the name of the experiment.
PRINT_DIGEST = """
import importlib.util, pathlib, sys
spec = importlib.util.spec_from_file_location("pinned_simulation", sys.argv[1])
module = importlib.util.module_from_spec(spec)
spec.loader.exec_module(module)
print(module.digest_of_findings(pathlib.Path(sys.argv[2]), sys.argv[3]))
"""
DIGESTS = {
    "calm": "6812a7dccab3d94c750138ad191e6dc59104401f003dfb5f85fa357f0c0486a9",
    "flood": "b741754edb61b86b52b7e128cbd6e93eda454e41c6943847a2a62c88e67fbd79",
    "cold": "cdd36816c34dbcbcd958b3e49a4991c6dce02e6018da5ee822c19ea3b762fdbd",
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


# Issue 42: the digests held only on processors with AVX-512, whose exp in numpy rounds otherwise.
@pytest.mark.parametrize("disabled_features", ["X86_V4", "X86_V3 X86_V4"])
def test_digest_is_the_same_without_vector_instructions(tmp_path: Path, disabled_features: str) -> None:
    environment = os.environ | {"NPY_DISABLE_CPU_FEATURES": disabled_features}
    command = [sys.executable, "-c", PRINT_DIGEST, __file__, str(tmp_path), "calm"]
    printed = subprocess.run(command, env=environment, stdout=subprocess.PIPE, check=True, text=True)
    assert printed.stdout.strip() == DIGESTS["calm"]
