"""Conversion of traces and query logs into one trace: read, filter, classify, sort and scale.

Query logs are read as JSONEachRow or CSVWithNames. Requests are processed as a stream; large sorts use
temporary files.
"""

from __future__ import annotations

import csv
import heapq
import io
import re
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from operator import attrgetter
from pathlib import Path
from typing import Any, BinaryIO, Literal, TextIO

import msgspec

from lilacfront.load.query_log import SkippedRowError, UnusableRowError, request_of_row
from lilacfront.load.trace import (
    MAX_LINE_BYTES,
    RecordedRequest,
    TraceError,
    check_header,
    decode_request,
    encode_request,
    read_lines,
)

SPILL_BYTES = 16 << 20  # size of the requests that are sorted in memory and written to one temporary file
REQUEST_OVERHEAD_BYTES = 200  # estimated memory of a request without its statement
MAX_SHOWN_LINES = 10  # unusable lines whose number and problem are kept

SourceFormat = Literal["own", "json", "csv"]
ClassPatterns = list[tuple[re.Pattern[str], str]]  # the class of the first matching pattern is used

_ROW_DECODER = msgspec.json.Decoder(dict[str, Any])
_BY_TIME = attrgetter("at_s")


@dataclass(slots=True)
class ImportTally:
    """Counts of the lines that were read; every dropped line is counted."""

    read: int = 0
    imported: int = 0
    out_of_order: int = 0  # read after a request with a later time
    # Requests and rows by the reason for skipping them.
    skipped: Counter[str] = field(default_factory=Counter)
    unusable: int = 0
    # The first unusable lines as "FILE, line N: problem".
    shown_lines: list[str] = field(default_factory=list)

    def add_unusable(self, where: str, problem: str) -> None:
        """Counts an unusable line."""
        self.unusable += 1
        if len(self.shown_lines) < MAX_SHOWN_LINES:
            self.shown_lines.append(f"{where}: {problem}")


@dataclass(slots=True, frozen=True)
class RequestFilter:
    """Selects requests; times are in seconds from the start of the source file, before scaling."""

    users: frozenset[str] = frozenset()  # empty: all users
    classes: frozenset[str] = frozenset()  # empty: all classes
    pattern: re.Pattern[str] | None = None  # searched in the statement
    begin_s: float = 0.0
    end_s: float = float("inf")

    def rejection_reason(self, request: RecordedRequest) -> str | None:
        """Returns the reason for skipping a request; None to keep it."""
        if self.users and request.user not in self.users:
            return "another user"
        if self.classes and request.class_name not in self.classes:
            return "another class"
        if self.pattern is not None and self.pattern.search(request.statement) is None:
            return "the pattern is not in the statement"
        if not self.begin_s <= request.at_s < self.end_s:
            return "outside the time wanted"
        return None


@dataclass(slots=True, frozen=True)
class _SourceLine:
    """A line of a source file: a request, a row of the query log, or an error. `where` is file and line."""

    where: str
    content: RecordedRequest | dict[str, Any] | UnusableRowError


def read_requests(path: Path, source_format: SourceFormat, tally: ImportTally) -> Iterator[RecordedRequest]:
    """Yields the valid requests of one file, with the order and times of the file; counts the others."""
    with path.open("rb") as file:
        if source_format == "csv":
            lines = _csv_lines(file, path)
        else:
            lines = _json_lines(file, path, is_query_log=source_format == "json")
        for line in lines:
            tally.read += 1
            try:
                request = _request_of(line)
            except UnusableRowError as error:
                tally.add_unusable(line.where, str(error))
                continue
            except SkippedRowError as reason:
                tally.skipped[str(reason)] += 1
                continue
            yield request


def sort_by_time(
    requests: Iterable[RecordedRequest], tally: ImportTally, spill_bytes: int = SPILL_BYTES
) -> Iterator[RecordedRequest]:
    """Yields the requests ordered by time, using an external merge sort with runs of about `spill_bytes`."""
    with ExitStack() as stack:
        runs: list[BinaryIO] = []
        buffered: list[RecordedRequest] = []
        buffered_bytes = 0
        latest = float("-inf")
        for request in requests:
            tally.out_of_order += request.at_s < latest
            latest = max(latest, request.at_s)
            buffered.append(request)
            buffered_bytes += len(request.statement) + REQUEST_OVERHEAD_BYTES
            if buffered_bytes >= spill_bytes:
                buffered.sort(key=_BY_TIME)
                run = stack.enter_context(tempfile.TemporaryFile())
                run.writelines(encode_request(sorted_request) for sorted_request in buffered)
                run.seek(0)
                runs.append(run)
                buffered = []
                buffered_bytes = 0
        buffered.sort(key=_BY_TIME)
        yield from heapq.merge(
            *((decode_request(line) for line in run) for run in runs), buffered, key=_BY_TIME
        )


def convert_traces(
    files: Iterable[tuple[Path, SourceFormat]],
    request_filter: RequestFilter,
    speed: float,
    class_patterns: ClassPatterns,
    tally: ImportTally,
    overlay: bool = False,
) -> Iterator[RecordedRequest]:
    """Reads, filters, classifies, sorts and scales the requests of files.

    Times are relative to the first request of a file. Each file starts at the last request of the previous
    file; with `overlay` all files start at time 0.
    """
    converter = _Converter(request_filter, speed, class_patterns, tally)
    if overlay:
        yield from heapq.merge(
            *(converter.convert(path, source_format) for path, source_format in files), key=_BY_TIME
        )
        return
    offset_s = 0.0
    last_s = 0.0
    for path, source_format in files:
        for request in converter.convert(path, source_format):
            request.at_s += offset_s
            last_s = request.at_s
            yield request
        offset_s = last_s


@dataclass(slots=True)
class _Converter:
    request_filter: RequestFilter
    speed: float
    class_patterns: ClassPatterns
    tally: ImportTally

    def convert(self, path: Path, source_format: SourceFormat) -> Iterator[RecordedRequest]:
        first_s: float | None = None
        requests = read_requests(path, source_format, self.tally)
        for request in sort_by_time(map(self._set_class, requests), self.tally):
            if first_s is None:
                first_s = request.at_s
            request.at_s -= first_s
            reason = self.request_filter.rejection_reason(request)
            if reason is not None:
                self.tally.skipped[reason] += 1
                continue
            self.tally.imported += 1
            request.at_s = round((request.at_s - self.request_filter.begin_s) / self.speed, 9)
            yield request

    def _set_class(self, request: RecordedRequest) -> RecordedRequest:
        if not request.class_name:
            matching = (name for pattern, name in self.class_patterns if pattern.search(request.statement))
            request.class_name = next(matching, "")
        return request


def _request_of(line: _SourceLine) -> RecordedRequest:
    if isinstance(line.content, UnusableRowError):
        raise line.content
    if isinstance(line.content, RecordedRequest):
        return line.content
    return request_of_row(line.content)


def _json_lines(file: BinaryIO, path: Path, is_query_log: bool) -> Iterator[_SourceLine]:
    for number, line in read_lines(file):
        where = f"{path}, line {number}"
        if line is None:
            yield _SourceLine(where, UnusableRowError(f"longer than {MAX_LINE_BYTES} bytes"))
            continue
        if not line.strip():
            continue
        try:
            if is_query_log:
                yield _SourceLine(where, _ROW_DECODER.decode(line))
            elif number == 1 and b'"format"' in line:
                check_header(line, where)
            else:
                yield _SourceLine(where, decode_request(line))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            yield _SourceLine(where, UnusableRowError(str(error)))


def _csv_lines(file: BinaryIO, path: Path) -> Iterator[_SourceLine]:
    csv.field_size_limit(MAX_LINE_BYTES)
    text: TextIO = io.TextIOWrapper(file, "utf-8", errors="surrogateescape", newline="")
    reader = csv.reader(text)
    names = next(reader, [])
    if "query" not in names:
        raise TraceError(f"{path}, line 1: not a query log in CSVWithNames: column `query` is missing")
    while True:
        where = f"{path}, line {reader.line_num + 1}"
        try:
            row = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            yield _SourceLine(where, UnusableRowError(str(error)))
            continue
        if row:
            yield _SourceLine(where, _csv_content(row, names))


def _csv_content(row: list[str], names: list[str]) -> dict[str, Any] | UnusableRowError:
    if len(row) != len(names):
        return UnusableRowError(f"{len(row)} columns; the header has {len(names)}")
    # The code points by which the error handler `surrogateescape` replaces invalid bytes.
    if any("\udc80" <= char <= "\udcff" for cell in row for char in cell):
        return UnusableRowError("invalid UTF-8")
    return dict(zip(names, row, strict=True))
