"""Runs a load plan in `plan.workers` processes and merges their measurements.

The parent process starts the workers, reports progress and merges the results. Each worker receives the plan
over a pipe, generates its share of the schedule, and starts at a time that the parent sets on the system's
monotonic clock, which does not jump when the wall clock is set.
"""

from __future__ import annotations

import multiprocessing
import secrets
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from datetime import UTC, datetime
from multiprocessing.connection import Connection, wait
from pathlib import Path
from typing import Any, Protocol

import msgspec

from lilacfront.errors import LilacfrontError
from lilacfront.load.measurements import WorkerMeasurements
from lilacfront.load.plan import Plan, parse, parse_address
from lilacfront.load.result import PLAN_FILE, RESULT_FILE, Result, merge_results, write_result
from lilacfront.load.schedule import planned_duration_s
from lilacfront.load.worker import PROGRESS_INTERVAL_S, Progress, WorkerStart, run_worker

WORKER_START_TIMEOUT_S = 60.0
WORKER_EXIT_TIMEOUT_S = 5.0
START_DELAY_S = 0.2  # from sending the start time to the start, so that every worker has received it
STOP = b"stop"


class RunError(LilacfrontError, RuntimeError):
    """A run could not be started; the message says why."""


class RunObserver(Protocol):
    """Receives the start and the progress of a run."""

    def started(self, start_time: float) -> None:
        """Receives the start time of the run on the system's monotonic clock."""
        ...

    def progressed(self, elapsed_s: float, planned_s: float, progress: Progress) -> None:
        """Receives the counts of all workers so far."""
        ...


@dataclass(slots=True)
class StartTimeRecorder:
    """A RunObserver that stores the start time and ignores progress."""

    start_time: float = 0.0

    def started(self, start_time: float) -> None:
        """Stores the start time."""
        self.start_time = start_time

    def progressed(self, elapsed_s: float, planned_s: float, progress: Progress) -> None:
        """Ignores progress."""


@dataclass(slots=True)
class _Worker:
    rank: int
    process: Any
    pipe: Connection
    out: Path
    progress: Progress = field(default_factory=lambda: Progress(0, 0, {}))
    measured: WorkerMeasurements | None = None
    failure: str = ""  # why the worker exited without a result; empty if it did not

    @property
    def ended(self) -> bool:
        return self.measured is not None or bool(self.failure)


def run_plan(
    text: bytes, folder: Path, out: Path, targets: list[str], observer: RunObserver | None = None
) -> Result:
    """Runs a plan and writes its result.

    An interrupt (SIGINT or SIGTERM) ends the run early; its result is marked as partial. A second interrupt
    aborts the run without a result.

    Args:
        text: The plan as TOML.
        folder: The directory of the plan; trace files are relative to it.
        out: The directory for the result; created if missing.
        targets: Addresses that replace those of the plan; empty to keep the plan's.
        observer: Receives the start and the progress of the run.

    Raises:
        PlanError: The plan is invalid.
        TraceError: A trace that the plan replays is invalid.
        OSError: A file can't be read or written.
        RunError: `out` already contains a result, or a worker did not start.
    """
    plan = _with_targets(parse(text, folder), targets)
    for n, address in enumerate(plan.target.addresses):
        parse_address(address, f"target.addresses[{n}]")
    planned_s = planned_duration_s(plan, folder)
    if (out / RESULT_FILE).exists():
        raise RunError(f"{out} already contains a result; choose another directory")
    out.mkdir(parents=True, exist_ok=True)
    (out / PLAN_FILE).write_bytes(text)
    workers = _start_workers(plan, folder, out)
    with _cleaning_up(workers), _sigterm_as_interrupt():
        started_at, start_time = _start_run(workers)
        observer = observer or StartTimeRecorder()
        observer.started(start_time)
        interrupted = _wait_for_workers(workers, start_time, planned_s, observer)
    result = merge_results(
        plan,
        [worker.measured for worker in workers if worker.measured is not None],
        started_at=started_at,
        planned_seconds=round(planned_s, 3),
        partial=interrupted,
        worker_failures=[worker.failure for worker in workers if worker.failure],
    )
    write_result(out, result, [worker.out for worker in workers if worker.out.exists()])
    return result


def _with_targets(plan: Plan, targets: list[str]) -> Plan:
    if not targets:
        return plan
    return msgspec.structs.replace(plan, target=msgspec.structs.replace(plan.target, addresses=targets))


def _start_workers(plan: Plan, folder: Path, out: Path) -> list[_Worker]:
    context = multiprocessing.get_context("spawn")
    run_token = secrets.token_hex(4)
    workers = []
    for rank in range(plan.workers):
        parent_end, worker_end = context.Pipe()
        seconds_file = out / f"seconds-{rank}.jsonl"
        start = WorkerStart(plan, str(folder), run_token, rank, plan.workers, str(seconds_file))
        arguments = (worker_end, msgspec.msgpack.encode(start))
        process = context.Process(target=run_worker, args=arguments, daemon=True)
        process.start()
        worker_end.close()
        workers.append(_Worker(rank, process, parent_end, seconds_file))
    return workers


@contextmanager
def _sigterm_as_interrupt() -> Iterator[None]:
    """Makes SIGTERM raise KeyboardInterrupt, as SIGINT does."""
    previous = signal.signal(signal.SIGTERM, _raise_interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous)


def _raise_interrupt(*_: object) -> None:
    raise KeyboardInterrupt


@contextmanager
def _cleaning_up(workers: list[_Worker]) -> Iterator[None]:
    """Closes the pipes and waits for all workers; kills those that run longer than WORKER_EXIT_TIMEOUT_S."""
    try:
        yield
    finally:
        for worker in workers:
            worker.pipe.close()
            worker.process.join(WORKER_EXIT_TIMEOUT_S)
            if worker.process.is_alive():
                worker.process.kill()
                worker.process.join()


def _start_run(workers: list[_Worker]) -> tuple[str, float]:
    """Starts all workers at the same time; returns the start as ISO 8601 text and on the monotonic clock."""
    start_deadline = time.monotonic() + WORKER_START_TIMEOUT_S
    for worker in workers:
        try:
            if not worker.pipe.poll(max(0.0, start_deadline - time.monotonic())):
                raise RunError(f"worker {worker.rank} was not ready within {WORKER_START_TIMEOUT_S:g} s")
            worker.pipe.recv_bytes()
        except EOFError:
            raise RunError(f"worker {worker.rank} exited before the start") from None
    start_time = time.monotonic() + START_DELAY_S
    for worker in workers:
        worker.pipe.send_bytes(repr(start_time).encode())
    return datetime.now(UTC).isoformat(timespec="milliseconds"), start_time


def _wait_for_workers(
    workers: list[_Worker], start_time: float, planned_s: float, observer: RunObserver
) -> bool:
    """Receives messages until all workers have ended; returns whether the run was interrupted."""
    interrupted = False
    while not all(worker.ended for worker in workers):
        try:
            _receive(workers)
            observer.progressed(time.monotonic() - start_time, planned_s, _total_progress(workers))
        except KeyboardInterrupt:
            if interrupted:
                raise
            interrupted = True
            for worker in workers:
                with suppress(OSError):  # the worker may have exited and closed its end of the pipe
                    worker.pipe.send_bytes(STOP)
    return interrupted


def _receive(workers: list[_Worker]) -> None:
    """Waits up to `PROGRESS_INTERVAL_S` for messages of the workers and stores them."""
    by_pipe = {worker.pipe: worker for worker in workers if not worker.ended}
    for pipe in wait(list(by_pipe), PROGRESS_INTERVAL_S):
        assert isinstance(pipe, Connection)
        worker = by_pipe[pipe]
        try:
            message = msgspec.msgpack.decode(pipe.recv_bytes(), type=Progress | WorkerMeasurements)
        except (EOFError, OSError):
            worker.process.join(WORKER_EXIT_TIMEOUT_S)
            exit_code = worker.process.exitcode
            worker.failure = f"worker {worker.rank} exited with code {exit_code} and without a result"
            continue
        if isinstance(message, Progress):
            worker.progress = message
        else:
            worker.measured = message


def _total_progress(workers: list[_Worker]) -> Progress:
    total = Progress(0, 0, {})
    for worker in workers:
        total.sent += worker.progress.sent
        total.open += worker.progress.open
        for name, count in worker.progress.outcomes.items():
            total.outcomes[name] = total.outcomes.get(name, 0) + count
    return total
