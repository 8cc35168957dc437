"""The `load` commands and the worker processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from load_builders import SIMPLE_PLAN, plan

from lilacfront.cli import main
from lilacfront.lab.process import StandInProcesses
from lilacfront.load.plan import parse
from lilacfront.load.schedule import schedule
from lilacfront.load.worker import WorkerStart, run_worker


def command(*args: str) -> list[str]:
    return [sys.executable, "-m", "lilacfront", "load", *args]


def write_plan(folder: Path, text: str, address: str) -> Path:
    # Bounds that a slow machine does not exceed: the tests don't depend on its speed.
    path = folder / "plan.toml"
    bounds = "\n[bounds]\nlag_p99_ms = 60000.0\nlag_max_ms = 60000.0\n"
    path.write_text(text.replace("127.0.0.1:8123", address) + bounds)
    return path


def test_run_writes_a_result_and_its_trace_replays_the_same_schedule(tmp_path: Path) -> None:
    text = SIMPLE_PLAN.replace("workers = 1", "workers = 2").replace("seconds = 20.0", "seconds = 1.0")
    out = tmp_path / "out"
    with StandInProcesses(b"", 1, tmp_path) as servers:
        path = write_plan(tmp_path, text, servers.addresses[0])
        done = subprocess.run(command("run", str(path), "--out", str(out)), capture_output=True, timeout=120)
        assert done.returncode == 0, done.stderr
        second_run = CliRunner().invoke(main, ["load", "run", str(path), "--out", str(out)])
        assert second_run.exit_code == 1
        assert "already contains a result" in second_run.output
    result = json.loads((out / "result.json").read_bytes())
    expected = len(list(schedule(parse(path.read_bytes()))))
    assert result["sent"] == result["answered"] == result["outcomes"]["served"] == expected
    assert not result["void"]
    assert not result["partial"]
    assert set(result["latency_ms"]["intended"]) == {"p50", "p90", "p99", "p999", "max"}
    assert len((out / "seconds.jsonl").read_bytes().splitlines()) == 1
    trace = tmp_path / "trace.jsonl"
    runner = CliRunner()
    for args in (["export", str(out), "--out", str(trace)], ["report", str(out), str(out)]):
        command_result = runner.invoke(main, ["load", *args])
        assert command_result.exit_code == 0, command_result.output
    assert "not compared: fewer than 10 seconds" in (out / "report.html").read_text()
    phase = f'[[phases]]\nshape = "trace"\nfile = "{trace.name}"\n'
    (tmp_path / "again.toml").write_text(SIMPLE_PLAN.partition("[[phases]]")[0] + phase)
    replayed = parse((tmp_path / "again.toml").read_bytes(), tmp_path)
    original = [
        (round(request.due_s, 9), request.statement) for request in schedule(parse(path.read_bytes()))
    ]
    assert [(request.due_s, request.statement) for request in schedule(replayed, tmp_path)] == original


@pytest.mark.parametrize("end", ["interrupt", "dead worker"])
def test_interrupted_run_writes_a_partial_result(tmp_path: Path, end: str) -> None:
    text = SIMPLE_PLAN.replace("workers = 1", "workers = 2").replace("seconds = 20.0", "seconds = 600.0")
    out = tmp_path / "out"
    with StandInProcesses(b"", 1, tmp_path) as servers:
        path = write_plan(tmp_path, text, servers.addresses[0])
        with subprocess.Popen(command("run", str(path), "--out", str(out))) as program:
            deadline = time.monotonic() + 60
            while not servers.record_paths[0].stat().st_size:
                assert time.monotonic() < deadline, "the stand-in received no request within 60 s"
                time.sleep(0.05)
            if end == "interrupt":
                program.send_signal(signal.SIGINT)
            else:
                children = Path(f"/proc/{program.pid}/task/{program.pid}/children").read_text().split()
                workers = [
                    pid for pid in children if b"spawn_main" in Path(f"/proc/{pid}/cmdline").read_bytes()
                ]
                os.kill(int(workers[0]), signal.SIGKILL)
                time.sleep(0.2)
                program.send_signal(signal.SIGINT)
            code = program.wait(60)
    result = json.loads((out / "result.json").read_bytes())
    assert result["partial"]
    assert result["sent"] == sum(result["outcomes"].values()) + result["unfinished"]
    assert code == (130 if end == "interrupt" else 3)
    assert result["void"] == (end == "dead worker")


def test_worker_exits_when_its_parent_exits(tmp_path: Path) -> None:
    import multiprocessing

    context = multiprocessing.get_context("spawn")
    parent_end, worker_end = context.Pipe()
    start = WorkerStart(plan(seconds=600.0), str(tmp_path), "0badcafe", 0, 1, str(tmp_path / "out"))
    process = context.Process(
        target=run_worker, args=(worker_end, msgspec.msgpack.encode(start)), daemon=True
    )
    process.start()
    worker_end.close()
    assert parent_end.recv_bytes() == b"ready"
    parent_end.send_bytes(repr(time.monotonic()).encode())
    parent_end.close()
    process.join(60)
    assert process.exitcode is not None
