"""Converts rows of ClickHouse's query log (clickhouse.com/docs, "system.query_log" and "Formats")."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Any

from lilacfront.errors import LilacfrontError
from lilacfront.load.trace import RecordedRequest

# Row types of executed statements, by name and by number in the column's Enum8. 'QueryStart' is not one of
# them: the statement would count twice.
FINISHED_TYPES = frozenset(("QueryFinish", "ExceptionWhileProcessing", "2", "4"))
UNFINISHED_TYPES = frozenset(("QueryStart", "ExceptionBeforeStart", "1", "3"))
TIME_COLUMNS = (
    "query_start_time_microseconds",
    "query_start_time",
    "event_time_microseconds",
    "event_time",
)
MAX_SHOWN_CHARACTERS = 40  # of an invalid value in an error message
_DATE_TIME = re.compile(r"(\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d)(?:\.(\d{1,9}))?\Z")
_UNIX_TIME = re.compile(r"\d{1,12}(\.\d{1,9})?")


class UnusableRowError(LilacfrontError, ValueError):
    """An invalid row; `read_requests` counts it and keeps the message."""


class SkippedRowError(LilacfrontError):
    """A row that represents no client request; the message is the reason that it is counted under."""


def request_of_row(row: dict[str, Any]) -> RecordedRequest:
    """Converts a row of the query log.

    Raises:
        UnusableRowError: The row is invalid.
        SkippedRowError: The row represents no client request.
    """
    row_type = str(row.get("type", "QueryFinish"))
    if row_type in UNFINISHED_TYPES:
        raise SkippedRowError("not a finished statement")
    if row_type not in FINISHED_TYPES:
        raise UnusableRowError(f"unknown row type {row_type!r}")
    if str(row.get("is_initial_query", "1")) in ("0", "False", "false"):
        raise SkippedRowError("not an initial query")
    statement = row.get("query")
    if not isinstance(statement, str) or not statement.strip():
        raise UnusableRowError("column query is missing or empty")
    at_s = _start_time(row)
    duration_ms = _duration_ms(row)
    user = row.get("initial_user") or row.get("user") or ""
    return RecordedRequest(at_s, statement, "", str(user), duration_ms)


def _start_time(row: dict[str, Any]) -> float:
    column = next((name for name in TIME_COLUMNS if name in row), None)
    if column is None:
        raise UnusableRowError(f"no time column; expected one of {', '.join(TIME_COLUMNS)}")
    unix_s = _unix_seconds(row[column])
    if unix_s is None:
        raise UnusableRowError(f"{column}: {str(row[column])[:MAX_SHOWN_CHARACTERS]!r} is not a time")
    return unix_s


def _duration_ms(row: dict[str, Any]) -> float | None:
    value = row.get("query_duration_ms")
    try:
        return float(value) if value is not None else None
    except (TypeError, ValueError):
        shown = str(value)[:MAX_SHOWN_CHARACTERS]
        raise UnusableRowError(f"query_duration_ms: {shown!r} is not a number") from None


def _unix_seconds(value: Any) -> float | None:
    """Parses a DateTime or DateTime64 in UTC, or a number; returns None for any other value."""
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, str):
        return None
    match = _DATE_TIME.match(value)
    if match is None:
        return float(value) if _UNIX_TIME.fullmatch(value) else None
    try:
        seconds = datetime.fromisoformat(match[1]).replace(tzinfo=UTC).timestamp()
    except ValueError:
        return None
    return seconds + float("0." + (match[2] or "0"))
