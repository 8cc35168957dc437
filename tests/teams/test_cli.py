"""Tests of the command `lilacfront teams check`."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner
from team_builders import TEAMS_FILE

from lilacfront.cli import main

SHIPPED_TEAMS = Path(__file__).parent.parent.parent / "deploy" / "experiments" / "teams.toml"


def test_check_prints_the_tree() -> None:
    result = CliRunner().invoke(main, ["teams", "check", str(SHIPPED_TEAMS)])
    assert result.exit_code == 0
    assert "  trends: weight 1, budget 8, burst 40" in result.output


def test_check_names_the_invalid_key(tmp_path: Path) -> None:
    (tmp_path / "bad.toml").write_text(TEAMS_FILE.replace("weight = 3.0", "weight = -1"))
    result = CliRunner().invoke(main, ["teams", "check", str(tmp_path / "bad.toml")])
    assert result.exit_code == 1
    assert "team[1].weight" in result.output
