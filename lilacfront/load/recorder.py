"""Records latencies without coordinated omission, and the schedule lag of the generator itself.

Every latency is recorded twice: from the due time of the request, and from its last attempt. The first is
the latency of a user who does not wait for the answers to other requests (Tene, "How NOT to Measure Latency";
wrk2). It needs no correction, since the due times are known. A lost request counts with the time until its
timeout, so that the percentiles include it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import BinaryIO

import msgspec

from lilacfront.load.histogram import BucketCounts, encode_histogram, record_latency
from lilacfront.load.measurements import Counters, OutcomeGroup, WorkerMeasurements, WorkerSecond
from lilacfront.load.retry_policy import Outcome

MS_PER_S = 1000


@dataclass(slots=True)
class _Latencies:
    """The latencies of one class with one outcome.

    Attributes:
        intended: Measured from the due time.
        actual: Measured from the last attempt.
    """

    intended: BucketCounts = field(default_factory=dict)
    actual: BucketCounts = field(default_factory=dict)


class Recorder:
    """Collects the measurements of one worker.

    Seconds whose requests have all ended are written to `out`, which bounds the memory.
    """

    def __init__(self, out: BinaryIO, max_timeout_s: float) -> None:
        self.counters = Counters()
        self.outcome_counts: dict[str, int] = {}
        self._out = out
        self._max_timeout_s = max_timeout_s
        self._latencies: dict[tuple[str, Outcome], _Latencies] = {}
        self._seconds: dict[int, WorkerSecond] = {}
        self._lag: BucketCounts = {}

    def record_start(self, due_s: float, lag_s: float) -> None:
        """Records a request that the generator started `lag_s` seconds after its due time."""
        self.counters.sent += 1
        record_latency(self._lag, lag_s)
        second = self._second(due_s)
        second.sent += 1
        second.lag_ms = max(second.lag_ms, lag_s * MS_PER_S)

    def record_outcome(
        self, class_name: str, outcome: Outcome, due_s: float, sent_s: float, now: float
    ) -> None:
        """Records the final outcome of a request; all times are in seconds after the start of the run."""
        key = (class_name, outcome)
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = self._latencies[key] = _Latencies()
        record_latency(latencies.intended, now - due_s)
        record_latency(latencies.actual, now - sent_s)
        second = self._second(due_s)
        record_latency(second.intended, now - due_s)
        name = outcome.value
        self.outcome_counts[name] = self.outcome_counts.get(name, 0) + 1
        second.outcomes[name] = second.outcomes.get(name, 0) + 1

    def flush_complete_seconds(self, now: float) -> None:
        """Writes the seconds whose requests have all ended: those over `max_timeout_s` before `now`."""
        numbers = [number for number in self._seconds if number + 1 + self._max_timeout_s < now]
        self._write(numbers)

    def close(self, rank: int, memory_kb: list[int], now: float) -> WorkerMeasurements:
        """Writes the remaining seconds and returns the totals of the run."""
        self._write(sorted(self._seconds))
        self._out.flush()
        groups = [
            OutcomeGroup(
                class_name=class_name,
                outcome=outcome.value,
                count=sum(latencies.intended.values()),
                intended=encode_histogram(latencies.intended),
                actual=encode_histogram(latencies.actual),
            )
            for (class_name, outcome), latencies in self._latencies.items()
        ]
        return WorkerMeasurements(rank, self.counters, groups, encode_histogram(self._lag), memory_kb, now)

    def _second(self, due_s: float) -> WorkerSecond:
        number = int(due_s)
        second = self._seconds.get(number)
        if second is None:
            second = self._seconds[number] = WorkerSecond(number)
        return second

    def _write(self, numbers: list[int]) -> None:
        for number in numbers:
            self._out.write(msgspec.json.encode(self._seconds.pop(number)) + b"\n")
