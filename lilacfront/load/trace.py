"""Recorded traces as JSON Lines, read and written as streams.

The first line names the format, `{"format":"lilacfront-trace","version":1}`; each further line is one
request, `{"at":0.25,"class":"lookup","user":"dash","statement":"SELECT 1"}`, with `at` in seconds from the
start of the trace, never decreasing.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, BinaryIO

import msgspec
from msgspec import Meta, field

from lilacfront.errors import LilacfrontError

FORMAT = "lilacfront-trace"
VERSION = 1
MAX_LINE_BYTES = 16 << 20  # a longer line is invalid and is never read into memory as a whole


class TraceError(LilacfrontError, ValueError):
    """An invalid trace; the message names the file and the line."""


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The first line of a trace."""

    format: str
    version: int
    source: str = ""


class RecordedRequest(msgspec.Struct, omit_defaults=True):
    """One recorded request.

    Attributes:
        at_s: The time of the request in seconds from the start of the trace.
        duration_ms: The recorded duration; None if unknown.
    """

    at_s: Annotated[float, Meta(ge=0)] = field(name="at")
    statement: str
    class_name: str = field(default="", name="class")
    user: str = ""
    duration_ms: float | None = field(default=None, name="ms")


_HEADER_DECODER = msgspec.json.Decoder(Header)
_REQUEST_DECODER = msgspec.json.Decoder(RecordedRequest)
_ENCODER = msgspec.json.Encoder()


def read_lines(file: BinaryIO) -> Iterator[tuple[int, bytes | None]]:
    """Yields the lines of a file with their numbers from 1; None for a line over `MAX_LINE_BYTES`."""
    number = 0
    while line := file.readline(MAX_LINE_BYTES + 1):
        number += 1
        if len(line) <= MAX_LINE_BYTES:
            yield number, line
            continue
        while line and not line.endswith(b"\n"):
            line = file.readline(MAX_LINE_BYTES)
        yield number, None


def check_header(line: bytes, where: str) -> None:
    """Checks the first line of a trace.

    Raises:
        TraceError: The format or version is not supported; `where` is the file and line for the message.
        msgspec.MsgspecError: The line is not a header.
    """
    header = _HEADER_DECODER.decode(line)
    if (header.format, header.version) != (FORMAT, VERSION):
        raise TraceError(f"{where}: expected format {FORMAT}, version {VERSION}")


def decode_request(line: bytes) -> RecordedRequest:
    """Decodes one line of a trace; raises msgspec.MsgspecError if it is invalid."""
    return _REQUEST_DECODER.decode(line)


def encode_request(request: RecordedRequest) -> bytes:
    """Encodes a request as one line, including the newline."""
    return _ENCODER.encode(request) + b"\n"


def read_trace(path: Path) -> Iterator[RecordedRequest]:
    """Yields the requests of a trace.

    Raises:
        TraceError: A line is invalid.
    """
    with path.open("rb") as file:
        last_s = 0.0
        for number, line in read_lines(file):
            where = f"{path}, line {number}"
            if line is None:
                raise TraceError(f"{where}: longer than {MAX_LINE_BYTES} bytes")
            try:
                if number == 1:
                    check_header(line, where)
                    continue
                request = decode_request(line)
            except msgspec.MsgspecError as error:
                raise TraceError(f"{where}: {error}") from None
            if request.at_s < last_s:
                raise TraceError(
                    f"{where}: at {request.at_s} is before {last_s} of the previous line;"
                    " `load import` sorts by time"
                )
            last_s = request.at_s
            yield request


def write_trace(requests: Iterable[RecordedRequest], out: BinaryIO, source: str = "") -> int:
    """Writes a trace; returns the number of requests."""
    out.write(_ENCODER.encode(Header(FORMAT, VERSION, source)) + b"\n")
    count = 0
    for request in requests:
        out.write(encode_request(request))
        count += 1
    return count
