"""`lilacfront lab count`: summarizes the debug logs of a fleet, one file per front end.

The logs are in the console format that `--log-level debug` writes; any text may precede the level in a line.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import click

EVENT_PATTERN = re.compile(
    r"\bDEBUG [\w.]+: (request received|attempt ended|request answered)"
    r"((?: \w+=(?:\"(?:[^\"\\]|\\.)*\"|\S+))+)\s*$"
)
FIELD_PATTERN = re.compile(r" (\w+)=(?:\"((?:[^\"\\]|\\.)*)\"|(\S+))")
ABANDONED_ENDINGS = ("cancelled", "timed out")
BUSIEST_DIVISOR = 8  # the busiest eighth of the front ends is reported separately

EventFields = dict[str, str]


@dataclass(slots=True, frozen=True)
class LogEvent:
    """A logged request, attempt or answer.

    Attributes:
        name: The event's name.
        fields: Its keys and values, without quotes.
    """

    name: str
    fields: EventFields


def parse_events(lines: Iterable[str]) -> Iterator[LogEvent]:
    """Parse the requests, attempts and answers in a log; other lines and truncated lines are skipped."""
    for line in lines:
        match = EVENT_PATTERN.search(line)
        if match is not None:
            fields = {key: quoted or plain for key, quoted, plain in FIELD_PATTERN.findall(match[2])}
            yield LogEvent(match[1], fields)


@dataclass(slots=True, frozen=True)
class AbandonedAttempt:
    """An attempt that was cancelled or timed out; times in seconds on the engines' common clock."""

    class_index: str
    engine: str
    started_at: float
    ended_at: float


@dataclass(slots=True)
class LogSummary:
    """Counts of a fleet's requests, attempts and answers.

    Attributes:
        answers: Number of requests by class and kind of answer.
        endings: Number of attempts by class and ending.
        attempt_seconds: Total duration of attempts in seconds, by class and ending.
        by_second: Number of requests (`received`) and of answers by kind, for each second.
        by_front_end: Number of requests (`received`) and of answers by kind, for each front end.
        table_groups: Number of completed attempts by engine and table group.
    """

    answers: Counter[tuple[str, str]] = field(default_factory=Counter)
    endings: Counter[tuple[str, str]] = field(default_factory=Counter)
    attempt_seconds: dict[tuple[str, str], float] = field(default_factory=lambda: defaultdict(float))
    by_second: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    by_front_end: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    table_groups: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    _completed_at: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    _abandoned: list[AbandonedAttempt] = field(default_factory=list)

    def record(self, front_end: str, event: LogEvent) -> None:
        """Count an event of a front end's log."""
        match event.name:
            case "request received":
                self._count(front_end, event.fields, "received")
            case "request answered":
                answer = event.fields["answer"].split("(")[0].lower()
                self.answers[event.fields["class_index"], answer] += 1
                self._count(front_end, event.fields, answer)
            case _:
                self._record_attempt(event.fields)

    def _count(self, front_end: str, fields: EventFields, kind: str) -> None:
        self.by_second[int(float(fields["at"]))][kind] += 1
        self.by_front_end[front_end][kind] += 1

    def _record_attempt(self, fields: EventFields) -> None:
        started_at = float(fields["started_at"])
        ended_at = float(fields["ended_at"])
        engine = fields["engine"]
        class_index = fields["class_index"]
        ending = fields["ending"]
        self.endings[class_index, ending] += 1
        self.attempt_seconds[class_index, ending] += ended_at - started_at
        if ending == "completed":
            self._completed_at[engine].append(ended_at)
            self.table_groups[engine][fields["table_group"]] += 1
        elif ending in ABANDONED_ENDINGS:
            self._abandoned.append(AbandonedAttempt(class_index, engine, started_at, ended_at))

    def abandoned_attempts(self) -> Counter[tuple[str, bool]]:
        """Count abandoned attempts by class and whether their engine completed others in the same period."""
        counts: Counter[tuple[str, bool]] = Counter()
        for times in self._completed_at.values():
            times.sort()
        for attempt in self._abandoned:
            times = self._completed_at.get(attempt.engine, [])
            completed_others = bisect_right(times, attempt.ended_at) > bisect_left(times, attempt.started_at)
            counts[attempt.class_index, completed_others] += 1
        return counts


def report_lines(summary: LogSummary) -> Iterator[str]:
    """Format the summary as lines of text."""
    answers = [
        f"class {class_index} {answer} {number}"
        for (class_index, answer), number in sorted(summary.answers.items())
    ]
    yield "answers: " + ", ".join(answers)
    yield from _attempt_lines(summary)
    yield from _table_group_lines(summary)
    yield from _front_end_lines(summary)
    yield from _second_lines(summary)


def _attempt_lines(summary: LogSummary) -> Iterator[str]:
    for (class_index, ending), number in sorted(summary.endings.items()):
        seconds = summary.attempt_seconds[class_index, ending]
        mean_s = seconds / number
        yield f"attempts: class {class_index} {ending} {number}, {seconds:.0f} s total, {mean_s:.2f} s mean"
    for (class_index, completed_others), number in sorted(summary.abandoned_attempts().items()):
        others = "other attempts" if completed_others else "no other attempt"
        yield f"abandoned attempts: class {class_index} {number}, their engines completed {others} meanwhile"


def _table_group_lines(summary: LogSummary) -> Iterator[str]:
    """Format the mean over engines of the effective number of table groups (inverse Simpson index)."""
    effective_numbers = [
        1 / sum((number / counts.total()) ** 2 for number in counts.values())
        for counts in summary.table_groups.values()
    ]
    if effective_numbers:
        mean = sum(effective_numbers) / len(effective_numbers)
        yield f"effective table groups per engine: {mean:.1f}"


def _front_end_lines(summary: LogSummary) -> Iterator[str]:
    by_load = sorted(summary.by_front_end.values(), key=lambda counts: -counts["received"])
    split = len(by_load) // BUSIEST_DIVISOR
    for name, front_ends in (("busiest eighth", by_load[:split]), ("others", by_load[split:])):
        received = sum(counts["received"] for counts in front_ends)
        rejected = sum(counts["rejected"] for counts in front_ends)
        fraction = rejected / max(1, received)
        yield f"{name}: {len(front_ends)} front ends, received {received}, fraction rejected {fraction:.3f}"


def _second_lines(summary: LogSummary) -> Iterator[str]:
    first = min(summary.by_second, default=0)
    for second, counts in sorted(summary.by_second.items()):
        cells = ", ".join(f"{kind} {number}" for kind, number in sorted(counts.items()))
        yield f"second {second - first}: {cells}"


@click.command()
@click.argument("logs", type=click.Path(exists=True, file_okay=False, path_type=Path))
def count(logs: Path) -> None:
    """Summarize the debug logs of a fleet in a directory, with one *.log file per front end."""
    summary = LogSummary()
    for path in sorted(logs.glob("*.log")):
        with path.open(errors="replace") as file:
            for event in parse_events(file):
                summary.record(path.stem, event)
    for line in report_lines(summary):
        click.echo(line)
