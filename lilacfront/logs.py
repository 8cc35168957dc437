"""Structured logging: events with keys and values, on the standard library's `logging`.

`log.warning("change log unusable", seq=7, problem=text)` names what happened and hands over its figures,
so that a reader, or a collector of JSON lines, need not take sentences to pieces. structlog was weighed and
costs the serving path too much (`docs/design/load.md` has the figures).
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, Literal, TextIO

import msgspec

Form = Literal["console", "json"]
LEVELS = ("debug", "info", "warning", "error")
VALUE_MOST = 2000  # characters of one value: what peers send must not fill the log


class Log:
    """A module's logger. Values are of any type; they are written as text, cut to `VALUE_MOST` characters."""

    __slots__ = ("_logger",)

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def _log(self, level: int, event: str, fields: dict[str, object], failed: bool = False) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, event, extra={"fields": fields}, exc_info=failed)

    def debug(self, event: str, **fields: object) -> None:
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        self._log(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """An error with the traceback of the exception in hand."""
        self._log(logging.ERROR, event, fields, failed=True)


def text_of(value: object) -> str:
    """A value on one line of a log; an address, given as host and port, as `host:port`."""
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):
        value = f"{value[0]}:{value[1]}"
    text = value.decode(errors="replace") if isinstance(value, bytes) else str(value)
    return text if len(text) <= VALUE_MOST else text[:VALUE_MOST] + "…"


class ConsoleFormatter(logging.Formatter):
    """`WARNING lilacfront.server: event key=value key="value with blanks"`, for a person."""

    def format(self, record: logging.LogRecord) -> str:
        line = [f"{record.levelname} {record.name}: {record.getMessage()}"]
        for key, value in getattr(record, "fields", {}).items():
            text = text_of(value)
            # Guard: a value that a peer chose must not look like a further line or key.
            plain = text and text.isprintable() and not any(c in text for c in ' "=')
            line.append(f"{key}={text}" if plain else f"{key}={msgspec.json.encode(text).decode()}")
        text = " ".join(line)
        return f"{text}\n{self.formatException(record.exc_info)}" if record.exc_info else text


class JsonFormatter(logging.Formatter):
    """One JSON object a line: `ts` (Unix seconds), `level`, `logger`, `event`, then the event's own keys.

    A key of the event's own that has one of these names is written with an underscore behind it.
    """

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "ts": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        for key, value in getattr(record, "fields", {}).items():
            key = key + "_" if key in line else key
            line[key] = value if isinstance(value, bool | int | float | None) else text_of(value)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class Sparing(logging.Filter):
    """Lets through so many lines a period: a peer must not be able to fill the log."""

    def __init__(self, most: int = 30, period_s: float = 10.0) -> None:
        super().__init__()
        self.most, self.period_s, self.count, self.until, self.dropped = most, period_s, 0, 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if record.created >= self.until:
            if self.dropped:
                record.fields = {**getattr(record, "fields", {}), "lines_left_out": self.dropped}
            self.until, self.count, self.dropped = record.created + self.period_s, 0, 0
        self.count += 1
        self.dropped += self.count > self.most
        return self.count <= self.most


def configure(form: Form = "console", level: str = "warning", stream: TextIO | None = None) -> None:
    """Send the program's log to `stream` (standard error by default). Below `warning` no line is left out."""
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = ConsoleFormatter() if form == "console" else JsonFormatter()
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    if level in ("warning", "error"):
        handler.addFilter(Sparing())
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
