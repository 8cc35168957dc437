"""Reading of experiment files."""

from __future__ import annotations

from pathlib import Path

import pytest

from lilacfront.experiments.experiment_file import ExperimentError, load

EXPERIMENTS_DIRECTORY = Path(__file__).parent.parent.parent / "deploy" / "experiments"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('engine = "e1"', 'engine = "e9"', "trouble[0].engine: 'e9'"),
        ('name = "report"', 'name = "rep"', "mix[2].class: 'report'"),
        ('teams = "teams.toml"', 'teams = "none.toml"', "none.toml"),
    ],
)
def test_error_in_an_experiment_names_its_key(tmp_path: Path, old: str, new: str, message: str) -> None:
    for path in EXPERIMENTS_DIRECTORY.glob("*.toml"):
        (tmp_path / path.name).write_text(path.read_text().replace(old, new, 1))
    with pytest.raises(ExperimentError) as error:
        load(tmp_path / "cold.toml")
    assert message in str(error.value)
