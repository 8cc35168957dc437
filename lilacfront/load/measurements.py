"""The measurements of workers: the message to the parent process, and the figures by second in files."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec
from msgspec import field

from lilacfront.load.histogram import BucketCounts, encode_histogram

Key = TypeVar("Key")


class OutcomeGroup(msgspec.Struct):
    """The requests of one class with one outcome.

    Attributes:
        count: The number of requests.
        intended: The encoded histogram of latencies from the due time.
        actual: The encoded histogram of latencies from the last attempt.
    """

    class_name: str = field(name="cls")
    outcome: str
    count: int
    intended: str
    actual: str


class WorkerSecond(msgspec.Struct):
    """The measurements of one worker for the requests that were due in one second of the run."""

    second: int
    sent: int = 0
    outcomes: dict[str, int] = {}
    intended: BucketCounts = {}  # latencies from the due time, for all outcomes
    lag_ms: float = 0.0  # the largest schedule lag


class Second(msgspec.Struct):
    """The sum of the `WorkerSecond` of all workers, with an encoded histogram."""

    second: int
    sent: int
    outcomes: dict[str, int]
    intended: str
    lag_ms: float


class Counters(msgspec.Struct):
    """Counts over a whole run; the last four count unexpected answers."""

    sent: int = 0
    attempts: int = 0
    answered: int = 0
    unfinished: int = 0  # still open when the run was interrupted
    overflowed: int = 0  # dropped because too many requests waited for a connection
    late_answers: int = field(default=0, name="late")  # arrived after the timeout of their request
    duplicate_answers: int = field(default=0, name="second")  # to a request that was already answered
    unknown_answers: int = field(default=0, name="unknown")  # to no request of this connection
    # Belong to another request, or differ from the expected result.
    wrong_answers: int = field(default=0, name="wrong")

    def add(self, other: Counters) -> None:
        """Adds the counts of another worker."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def checks(self) -> dict[str, int]:
        """Returns the counts of unexpected answers, by their names in results."""
        return {
            "late": self.late_answers,
            "second": self.duplicate_answers,
            "unknown": self.unknown_answers,
            "wrong": self.wrong_answers,
        }


class WorkerMeasurements(msgspec.Struct, tag="Measured"):
    """All measurements of one worker except those by second, which are in a file."""

    rank: int
    counters: Counters
    groups: list[OutcomeGroup]
    lag: str  # the encoded histogram of the schedule lag
    memory_kb: list[int]  # resident memory, sampled at regular intervals
    ended_at: float  # seconds after the start of the run


def merge_seconds(parts: list[Iterable[bytes]]) -> Iterator[Second]:
    """Merges the workers' files of `WorkerSecond` lines; yields each second once, in order."""
    decoder = msgspec.json.Decoder(WorkerSecond)
    merged: dict[int, WorkerSecond] = {}
    for part in parts:
        for line in part:
            second = decoder.decode(line)
            total = merged.setdefault(second.second, second)
            if total is second:
                continue
            total.sent += second.sent
            total.lag_ms = max(total.lag_ms, second.lag_ms)
            _add_counts(total.outcomes, second.outcomes)
            _add_counts(total.intended, second.intended)
    for number in sorted(merged):
        total = merged.pop(number)
        histogram = encode_histogram(total.intended)
        yield Second(number, total.sent, total.outcomes, histogram, round(total.lag_ms, 3))


def _add_counts(total: dict[Key, int], more: dict[Key, int]) -> None:
    for key, count in more.items():
        total[key] = total.get(key, 0) + count
