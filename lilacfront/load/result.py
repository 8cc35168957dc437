"""The result of a run: `result.json` and `seconds.jsonl` in its directory. `docs/load.md` describes both.

Readers must ignore unknown keys; an incompatible change increments `VERSION`.
"""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from typing import Any

import msgspec
from msgspec import field

from lilacfront.errors import LilacfrontError
from lilacfront.load.histogram import merge_histograms, percentiles_ms
from lilacfront.load.measurements import Counters, OutcomeGroup, Second, WorkerMeasurements, merge_seconds
from lilacfront.load.plan import Plan, ValidityBounds
from lilacfront.load.retry_policy import Outcome

VERSION = 1
RESULT_FILE = "result.json"
SECONDS_FILE = "seconds.jsonl"
PLAN_FILE = "plan.toml"
KB_PER_MB = 1024

Percentiles = dict[str, float | None]


class ResultError(LilacfrontError, ValueError):
    """A result is missing or invalid; the message names the file."""


class Latency(msgspec.Struct):
    """Percentiles of the latency in milliseconds; None if there were no requests.

    Attributes:
        intended: Measured from the due time of a request.
        actual: Measured from its last attempt.
    """

    intended: Percentiles
    actual: Percentiles


class Histograms(msgspec.Struct):
    """Latency histograms in microseconds, in HdrHistogram's V2 encoding and base64; see `Latency`."""

    intended: str
    actual: str


class Breakdown(msgspec.Struct):
    """The figures of all requests of one class, or of one outcome."""

    sent: int
    outcomes: dict[str, int]
    latency_ms: Latency
    histograms: Histograms


class Result(msgspec.Struct, kw_only=True):
    """All figures of a run: the content of `result.json`."""

    version: int = VERSION
    target: dict[str, Any]
    seed: int
    workers: int
    started_at: str  # ISO 8601, UTC
    seconds: float  # from the start to the last outcome
    planned_seconds: float
    sent: int
    answered: int
    attempts: int
    unfinished: int
    outcomes: dict[str, int]
    is_void: bool = field(name="void")
    void_reasons: list[str]
    partial: bool  # the run was interrupted, or a worker exited without a result
    latency_ms: Latency
    schedule_lag_ms: Percentiles
    checks: dict[str, int]  # the number of unexpected answers by kind; see `Counters`
    classes: dict[str, Breakdown]
    by_outcome: dict[str, Breakdown]
    histograms: Histograms
    memory_mb: list[float]  # resident memory of all workers together, sampled at regular intervals


def void_reasons(
    bounds: ValidityBounds, counters: Counters, lag: Percentiles, worker_failures: list[str]
) -> list[str]:
    """Returns the reasons why a run is no valid measurement of its target; empty for a valid run."""
    reasons = list(worker_failures)
    for name, bound_ms in (("p99", bounds.lag_p99_ms), ("max", bounds.lag_max_ms)):
        lag_ms = lag[name]
        if lag_ms is not None and lag_ms > bound_ms:
            reasons.append(
                f"the generator could not keep up: schedule lag {name} {lag_ms:.1f} ms, over {bound_ms:g} ms"
            )
    if counters.overflowed:
        reasons.append(f"{counters.overflowed} requests were dropped: too many were waiting for a connection")
    return reasons


def merge_results(
    plan: Plan,
    measurements: list[WorkerMeasurements],
    *,
    started_at: str,
    planned_seconds: float,
    partial: bool,
    worker_failures: list[str],
) -> Result:
    """Merges the measurements of the workers into the result of the run."""
    counters = Counters()
    for worker in measurements:
        counters.add(worker.counters)
    lag = percentiles_ms(merge_histograms(worker.lag for worker in measurements))
    groups = [group for worker in measurements for group in worker.groups]
    total = _breakdown(groups)
    reasons = void_reasons(plan.bounds, counters, lag, worker_failures)
    return Result(
        target=msgspec.to_builtins(plan.target),
        seed=plan.seed,
        workers=plan.workers,
        started_at=started_at,
        seconds=round(max((worker.ended_at for worker in measurements), default=0.0), 3),
        planned_seconds=planned_seconds,
        sent=counters.sent,
        answered=counters.answered,
        attempts=counters.attempts,
        unfinished=counters.unfinished,
        outcomes=total.outcomes,
        is_void=bool(reasons),
        void_reasons=reasons,
        partial=partial or bool(worker_failures),
        latency_ms=total.latency_ms,
        schedule_lag_ms=lag,
        checks=counters.checks(),
        classes=_by_class(groups),
        by_outcome=_by_outcome(groups),
        histograms=total.histograms,
        memory_mb=_total_memory_mb(measurements),
    )


def write_result(folder: Path, result: Result, worker_files: list[Path]) -> None:
    """Merges the workers' measurements by second into one file, deletes theirs, and writes the result."""
    with ExitStack() as stack:
        opened = [stack.enter_context(path.open("rb")) for path in worker_files]
        with (folder / SECONDS_FILE).open("wb") as out:
            for second in merge_seconds(list(opened)):
                out.write(msgspec.json.encode(second) + b"\n")
    for path in worker_files:
        path.unlink()
    # Written last and atomically: if this file exists, the result is complete.
    temporary = folder / (RESULT_FILE + ".new")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2) + b"\n")
    temporary.replace(folder / RESULT_FILE)


def read_result(folder: Path) -> tuple[Result, list[Second]]:
    """Reads the result of a run and its measurements by second.

    Raises:
        ResultError: The result is missing, invalid or of another version.
    """
    path = folder / RESULT_FILE
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
        with (folder / SECONDS_FILE).open("rb") as lines:
            decoder = msgspec.json.Decoder(Second)
            seconds = [decoder.decode(line) for line in lines]
    except OSError as error:
        raise ResultError(str(error)) from None
    except msgspec.MsgspecError as error:
        raise ResultError(f"{path}: {error}") from None
    if result.version != VERSION:
        raise ResultError(f"{path}: version {result.version} is not supported; expected {VERSION}")
    return result, seconds


def _breakdown(groups: list[OutcomeGroup]) -> Breakdown:
    outcomes = dict.fromkeys((outcome.value for outcome in Outcome), 0)
    for group in groups:
        outcomes[group.outcome] += group.count
    intended = merge_histograms(group.intended for group in groups)
    actual = merge_histograms(group.actual for group in groups)
    return Breakdown(
        sum(outcomes.values()),
        outcomes,
        Latency(percentiles_ms(intended), percentiles_ms(actual)),
        Histograms(intended.encode().decode(), actual.encode().decode()),
    )


def _by_class(groups: list[OutcomeGroup]) -> dict[str, Breakdown]:
    names = sorted({group.class_name for group in groups})
    return {name: _breakdown([group for group in groups if group.class_name == name]) for name in names}


def _by_outcome(groups: list[OutcomeGroup]) -> dict[str, Breakdown]:
    return {
        outcome.value: _breakdown([group for group in groups if group.outcome == outcome.value])
        for outcome in Outcome
    }


def _total_memory_mb(measurements: list[WorkerMeasurements]) -> list[float]:
    samples = zip(*(worker.memory_kb for worker in measurements), strict=False)
    return [round(sum(sample) / KB_PER_MB, 1) for sample in samples]
