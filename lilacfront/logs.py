"""Structured logging: events with keys and values, based on the standard library's `logging`.

`log.warning("change log unusable", seq=7, problem=text)` passes the event name and its values separately, so
that collectors of JSON lines need not parse sentences. `docs/design/load.md` says why this is not structlog.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, Literal, TextIO

import msgspec

LogFormat = Literal["console", "json"]
LEVELS = ("debug", "info", "warning", "error")
MAX_VALUE_CHARACTERS = 2000  # bounds the log space that a value sent by a peer can take
MAX_LINES_PER_PERIOD = 30
RATE_LIMIT_PERIOD_S = 10.0


class Log:
    """Logger of one module. Values of any type are written as text of at most `MAX_VALUE_CHARACTERS`."""

    __slots__ = ("_logger",)

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def _log(self, level: int, event: str, fields: dict[str, object], failed: bool = False) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, event, extra={"fields": fields}, exc_info=failed)

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that is only needed for debugging."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that operators should see."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure that makes a part of the service unavailable."""
        self._log(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log a failure with the traceback of the exception being handled."""
        self._log(logging.ERROR, event, fields, failed=True)


def format_value(value: object) -> str:
    """Return a value as text, truncated if too long; a host and port tuple becomes `host:port`."""
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):
        value = f"{value[0]}:{value[1]}"
    text = value.decode(errors="replace") if isinstance(value, bytes) else str(value)
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[:MAX_VALUE_CHARACTERS] + "…"


class ConsoleFormatter(logging.Formatter):
    """Formats a record as `WARNING lilacfront.server: event key=value key="value with spaces"`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the traceback if there is one."""
        line = [f"{record.levelname} {record.name}: {record.getMessage()}"]
        for key, value in getattr(record, "fields", {}).items():
            text = format_value(value)
            # Quoting prevents a value sent by a peer from looking like another line or key.
            is_plain = text and text.isprintable() and not any(character in text for character in ' "=')
            line.append(f"{key}={text}" if is_plain else f"{key}={msgspec.json.encode(text).decode()}")
        text = " ".join(line)
        return f"{text}\n{self.formatException(record.exc_info)}" if record.exc_info else text


class JsonFormatter(logging.Formatter):
    """Formats a record as a line of JSON: `ts` (Unix seconds), `level`, `logger`, `event`, the event's keys.

    An underscore is appended to a key of the event that has one of these names.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the object as one line."""
        line: dict[str, Any] = {
            "ts": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        for key, value in getattr(record, "fields", {}).items():
            key = key + "_" if key in line else key
            line[key] = value if isinstance(value, bool | int | float | None) else format_value(value)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class RateLimitFilter(logging.Filter):
    """Limits the number of lines per period, so that a peer can't fill the log.

    The first line after a period with dropped lines has their number in the key `lines_left_out`.
    """

    def __init__(self, max_lines: int = MAX_LINES_PER_PERIOD, period_s: float = RATE_LIMIT_PERIOD_S) -> None:
        super().__init__()
        self.max_lines = max_lines
        self.period_s = period_s
        self._period_end = 0.0
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write the line."""
        if record.created >= self._period_end:
            if self._dropped:
                record.fields = {**getattr(record, "fields", {}), "lines_left_out": self._dropped}
            self._period_end = record.created + self.period_s
            self._lines = 0
            self._dropped = 0
        self._lines += 1
        if self._lines <= self.max_lines:
            return True
        self._dropped += 1
        return False


def configure(
    log_format: LogFormat = "console", level: str = "warning", stream: TextIO | None = None
) -> None:
    """Write the log to `stream`, by default standard error; there is no rate limit at `debug` and `info`."""
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = ConsoleFormatter() if log_format == "console" else JsonFormatter()
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    if level in ("warning", "error"):
        handler.addFilter(RateLimitFilter())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
