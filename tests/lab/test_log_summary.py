"""`lilacfront lab count`: summary of the debug logs of a fleet."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from lilacfront.cli import main

LEVEL_AND_LOGGER = "DEBUG lilacfront.core.request_log: "
ATTEMPT_LINE = (
    "1.5 " + LEVEL_AND_LOGGER + "attempt ended request={} class_index=0 table_group=5 engine=e:1"
    " started_at={} ended_at={} ending={}\n"
)


def test_summary_counts_answers_and_attempts(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text(
        "1.0 "
        + LEVEL_AND_LOGGER
        + "request received request=1 call_id=ab class_index=0 at=10.0 deadline=14.0\n"
        "truncated li\n"
        + ATTEMPT_LINE.format(1, 10.0, 12.0, '"timed out"')
        + ATTEMPT_LINE.format(2, 11.0, 11.5, "completed")
        + "2.0 "
        + LEVEL_AND_LOGGER
        + "request answered request=1 class_index=0 at=12.0 answer=Rejected(250)\n"
    )
    output = CliRunner().invoke(main, ["lab", "count", str(tmp_path)]).output
    assert "class 0 rejected 1" in output
    assert "timed out 1, 2 s total, 2.00 s mean" in output
    assert "abandoned attempts: class 0 1, their engines completed other attempts meanwhile" in output
    assert "second 2: rejected 1" in output
