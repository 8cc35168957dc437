"""Error answers of the ClickHouse HTTP interface, in the format that its clients read."""

from __future__ import annotations

import math
import re
from enum import IntEnum

from lilacfront.core.model import Failed, Rejected
from lilacfront.errors import LilacfrontError
from lilacfront.protocols import http1

_CODE = re.compile(rb"Code: (\d{1,5})\b")


class ErrorCode(IntEnum):
    """The error codes that are used here, as ClickHouse defines them."""

    BAD_ARGUMENTS = 36
    NOT_IMPLEMENTED = 48
    SYNTAX_ERROR = 62
    TIMEOUT_EXCEEDED = 159
    READONLY = 164
    TOO_MANY_SIMULTANEOUS_QUERIES = 202
    NETWORK_ERROR = 210
    SERVER_OVERLOADED = 745


# Clients take these for "never ran": they may send the request again.
REJECTION_CODES = frozenset((ErrorCode.TOO_MANY_SIMULTANEOUS_QUERIES, ErrorCode.SERVER_OVERLOADED))


class InvalidQueryError(LilacfrontError):
    """A request that this front end does not serve.

    Attributes:
        status: HTTP status of the answer.
        code: ClickHouse error code of the answer.
        text: Error text for the client.
    """

    def __init__(self, status: int, code: ErrorCode, text: bytes) -> None:
        super().__init__(text.decode())
        self.status = status
        self.code = code
        self.text = text


def encode_text(
    status: int, text: bytes, headers: http1.Headers, keep_alive: bool, method: bytes = b""
) -> bytes:
    """Return a complete answer; the answer to a HEAD request has no body."""
    headers = [*headers, (b"Content-Length", b"%d" % len(text))]
    if not keep_alive:
        headers.append((b"Connection", b"close"))
    return http1.response(status, headers) + (b"" if method == b"HEAD" else text)


def encode_error(
    status: int,
    code: ErrorCode,
    text: bytes,
    keep_alive: bool,
    method: bytes = b"",
    extra_headers: http1.Headers | None = None,
) -> bytes:
    """Return an error answer; an error text that an engine formatted keeps the engine's code."""
    number = int(code)
    if (match := _CODE.match(text)) is not None:
        number = int(match[1])
    else:
        text = b"Code: %d. DB::Exception: %s. (%s)\n" % (number, text, code.name.encode())
    headers = [
        (b"Content-Type", b"text/plain; charset=UTF-8"),
        (b"X-ClickHouse-Exception-Code", b"%d" % number),
    ]
    return encode_text(status, text, [*headers, *(extra_headers or [])], keep_alive, method)


def encode_rejection(answer: Rejected, keep_alive: bool) -> bytes:
    """Return the answer to a rejected request."""
    retry_after_s = max(1, math.ceil(answer.retry_after_ms / 1000))
    headers = [(b"Retry-After", b"%d" % retry_after_s)]
    if answer.wait_range_ms is not None:
        low_ms, high_ms = answer.wait_range_ms
        low = b"%d.%03d" % divmod(low_ms, 1000)
        high = b"%d.%03d" % divmod(high_ms, 1000)
        headers.append((b"X-Lilacfront-Wait", b"low=%s, high=%s" % (low, high)))
    text = b"All warehouses are busy; try again after a while"
    return encode_error(503, ErrorCode.TOO_MANY_SIMULTANEOUS_QUERIES, text, keep_alive, extra_headers=headers)


def encode_failure(answer: Failed, keep_alive: bool) -> bytes:
    """Return the answer to a failed request, with the engine's error unless it reads like a rejection."""
    if answer.is_deadline_exceeded:
        return encode_error(504, ErrorCode.TIMEOUT_EXCEEDED, b"No warehouse answered in time", keep_alive)
    match = _CODE.match(answer.detail)
    is_usable = match is not None and int(match[1]) not in REJECTION_CODES
    text = answer.detail if is_usable else b"The request failed at its warehouse"
    return encode_error(500, ErrorCode.NETWORK_ERROR, text, keep_alive)
