"""Import of query logs and traces."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner

from lilacfront.cli import main
from lilacfront.load.trace import RecordedRequest, TraceError, read_trace, write_trace
from lilacfront.load.trace_import import ImportTally, RequestFilter, convert_traces, sort_by_time

QUERY_LOG_ROWS = [
    {"type": "QueryStart", "query": "SELECT 1", "query_start_time": "2026-01-01 00:00:00"},
    {
        "type": "QueryFinish",
        "query": "SELECT 2",
        "query_start_time_microseconds": "2026-01-01 00:00:03.500000",
    },
    {
        "type": "QueryFinish",
        "query": "SELECT 'a\n,b'",
        "query_start_time_microseconds": "2026-01-01 00:00:01.0",
    },
    {"type": "QueryFinish", "query": "SELECT 3", "query_start_time_microseconds": "yesterday"},
    {"type": "QueryFinish", "query": "", "query_start_time_microseconds": "2026-01-01 00:00:04.0"},
    {"type": "Odd", "query": "SELECT 4", "query_start_time_microseconds": "2026-01-01 00:00:04.0"},
    {"type": "QueryFinish", "query": "SELECT 5", "query_start_time_microseconds": "2026-01-01 00:00:05.0"},
]


@pytest.mark.parametrize("form", ["json", "csv"])
def test_query_log_is_sorted_and_every_line_is_counted(tmp_path: Path, form: str) -> None:
    path, out = tmp_path / f"log.{form}", tmp_path / "trace.jsonl"
    if form == "json":
        path.write_text("".join(json.dumps(row) + "\n" for row in QUERY_LOG_ROWS) + '{"cut": \n')
        unusable = [4, 5, 6, 8]
    else:
        import csv

        with path.open("w", newline="") as file:
            names = ["type", "query", "query_start_time_microseconds"]
            writer = csv.DictWriter(file, names, extrasaction="ignore", restval="2026-01-01 00:00:00")
            writer.writeheader()
            writer.writerows(QUERY_LOG_ROWS)
            file.write("QueryFinish,too,many,columns\n")
        unusable = [6, 7, 8, 10]  # the header is line 1, and one statement spans two lines
    result = CliRunner().invoke(main, ["load", "import", str(path), "--out", str(out), "--speed", "2"])
    assert result.exit_code == 0, result.output
    assert [(request.at_s, request.statement) for request in read_trace(out)] == [
        (0.0, "SELECT 'a\n,b'"),
        (1.25, "SELECT 2"),
        (2.0, "SELECT 5"),
    ]
    assert "8 lines read, 3 requests imported, 1 of them out of order" in result.output
    assert "1 skipped: not a finished statement" in result.output
    assert "4 unusable lines" in result.output
    for number in unusable:
        assert f"line {number}: " in result.output


def test_traces_are_joined_filtered_and_sorted_and_decreasing_times_are_rejected(
    tmp_path: Path,
) -> None:
    tally, random = ImportTally(), np.random.default_rng(3)
    shuffled = [RecordedRequest(float(at), f"SELECT {at}") for at in random.permutation(5000)]
    # 50 kB give about twenty sorted runs in temporary files.
    ordered = list(sort_by_time(iter(shuffled), tally, spill_bytes=50_000))
    assert [request.at_s for request in ordered] == list(range(5000))
    assert tally.out_of_order > 0
    first = tmp_path / "a.jsonl"
    with first.open("wb") as out:
        write_trace(
            [RecordedRequest(at, "SELECT 1", user=user) for at, user in [(1, "a"), (2, "b"), (4, "a")]], out
        )
    files: Any = [(first, "own"), (first, "own")]
    for overlay, times in ((False, [0, 3, 3, 6]), (True, [0, 0, 3, 3])):
        tally = ImportTally()
        converted = list(convert_traces(files, RequestFilter(users=frozenset("a")), 1.0, [], tally, overlay))
        assert [request.at_s for request in converted] == times
        assert tally.skipped == {"another user": 2}
    lines = first.read_bytes().splitlines()
    first.write_bytes(b"\n".join([*lines, lines[1]]) + b"\n")
    with pytest.raises(TraceError, match="line 5: at 1"):
        list(read_trace(first))
