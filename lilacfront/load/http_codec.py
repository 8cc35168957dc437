"""The client side of ClickHouse's HTTP interface: one open request per connection.

A query id consists of the run's eight hex digits and the request's number: `0badcafe-17`.
"""

from __future__ import annotations

import base64
import re
from collections.abc import Callable
from urllib.parse import quote

from lilacfront.load.client_codecs import (
    MAX_REMEMBERED_REQUESTS,
    SERVED,
    WRONG,
    Answer,
    ClientProtocolError,
    StrayAnswer,
)
from lilacfront.load.retry_policy import AttemptEnd, AttemptResult
from lilacfront.load.schedule import RequestProfile
from lilacfront.protocols import http1

MAX_RESULT_BYTES = 64 << 20  # a longer result is a protocol error
MAX_COMPARED_BYTES = 1 << 20  # the part of a result that is kept for the comparison with the expected one
STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
OVERLOAD_EXCEPTION_CODES = (b"202", b"745")  # TOO_MANY_SIMULTANEOUS_QUERIES, SERVER_OVERLOADED
USER_SAFE_CHARACTERS = " !#$&'()*+,/:;=?@[]"  # not percent-encoded in a header
_RETRY_AFTER = re.compile(rb"\d{1,6}\Z")


class HttpClientCodec:
    """The codec of one connection; `passwords` maps the name of an environment variable to a password."""

    def __init__(self, host: str, run: str, passwords: Callable[[str], str]) -> None:
        self.open_requests: dict[int, RequestProfile] = {}
        self._host = host.encode()
        self._run = run.encode()
        self._passwords = passwords
        self._parser = http1.Parser(responses=True)
        self._head: http1.Head | None = None
        self._body = b""
        self._body_bytes = 0
        self._has_requested = False
        self._closing = False
        self._headers: dict[RequestProfile, bytes] = {}

    @property
    def capacity(self) -> int:
        """The number of further requests that may be sent now."""
        return 0 if self.open_requests or self._closing else 1

    @property
    def closing(self) -> bool:
        """Whether the connection is closed once the open request has ended."""
        return self._closing

    def request(self, number: int, profile: RequestProfile, statement: bytes, ttl_s: float) -> bytes:
        """Opens a request and returns its bytes."""
        headers = self._headers.get(profile)
        if headers is None:
            headers = self._headers[profile] = self._encode_headers(profile)
            if len(self._headers) > MAX_REMEMBERED_REQUESTS:
                self._headers.clear()  # bounds the memory if a trace has very many users
        self.open_requests[number] = profile
        self._has_requested = True
        seconds = max(1, int(ttl_s))
        return b"POST /?query_id=%s-%d&max_execution_time=%d HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s" % (
            self._run,
            number,
            seconds,
            headers,
            len(statement),
            statement,
        )

    def cancel(self, number: int) -> bytes | None:
        """Cancels the open request; the caller must close the connection."""
        self.open_requests.pop(number, None)
        self._closing = True
        return None

    def feed(self, data: bytes) -> list[Answer]:
        """Parses received bytes."""
        try:
            return self._handle_parts(self._parser.feed(data))
        except http1.HttpError as error:
            raise ClientProtocolError(str(error)) from None

    def eof(self) -> list[Answer]:
        """Handles the end of the connection, which completes a body without a length."""
        return self._handle_parts(self._parser.end_of_stream()) if self._parser.is_in_unframed_body else []

    def _encode_headers(self, profile: RequestProfile) -> bytes:
        lines = b"Host: %s\r\n" % self._host
        if profile.password_env:
            credentials = f"{profile.user}:{self._passwords(profile.password_env)}".encode()
            lines += b"Authorization: Basic %s\r\n" % base64.b64encode(credentials)
        elif profile.user:
            lines += b"X-ClickHouse-User: %s\r\n" % quote(profile.user, safe=USER_SAFE_CHARACTERS).encode()
        return lines

    def _handle_parts(self, parts: list[http1.Part]) -> list[Answer]:
        answers: list[Answer] = []
        for part in parts:
            match part:
                case http1.Head():
                    self._head = part
                    self._body = b""
                    self._body_bytes = 0
                    self._closing = self._closing or not part.keep_alive
                case http1.Body(data):
                    self._body_bytes += len(data)
                    if self._body_bytes > MAX_RESULT_BYTES:
                        raise ClientProtocolError(f"result is longer than {MAX_RESULT_BYTES} bytes")
                    if len(self._body) < MAX_COMPARED_BYTES:
                        self._body += data
                case http1.End():
                    answers.append(self._complete_answer())
        return answers

    def _complete_answer(self) -> Answer:
        head = self._head
        assert head is not None
        if not self.open_requests:
            return Answer(None, WRONG, StrayAnswer.DUPLICATE if self._has_requested else StrayAnswer.UNKNOWN)
        number, profile = self.open_requests.popitem()
        echoed_id = head.get(b"x-clickhouse-query-id")
        if echoed_id and echoed_id != b"%s-%d" % (self._run, number):
            return Answer(number, WRONG)
        exception_code = head.get(b"x-clickhouse-exception-code")
        if head.status == STATUS_OK:
            is_expected = not exception_code and profile.expected_result in (None, self._body)
            return Answer(number, SERVED if is_expected else WRONG)
        retry_after = head.get(b"retry-after")
        retry_after_s = float(retry_after) if _RETRY_AFTER.match(retry_after) else None
        is_rejected = exception_code in OVERLOAD_EXCEPTION_CODES or head.status == STATUS_TOO_MANY_REQUESTS
        end = AttemptEnd.REJECTED if is_rejected else AttemptEnd.ERROR
        return Answer(number, AttemptResult(end, retry_after_s))
