"""Converts a request of the ClickHouse HTTP interface into a `Request`."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from lilacfront.core.model import Request, RequestClient
from lilacfront.core.statement import MAX_READ_STATEMENT_BYTES, is_read, table_group
from lilacfront.frontends.clickhouse_errors import ErrorCode, InvalidQueryError
from lilacfront.frontends.clickhouse_services import ClickHouseServices
from lilacfront.protocols import http1

DEADLINE_MARGIN_S = 0.012  # time for sending the answer
MAX_TIMEOUT_DIGITS = 9  # digits of `max_execution_time`; any further ones are ignored
UNIQUE_PARAMETERS = (b"query", b"query_id", b"database", b"session_id")


@dataclass(slots=True, frozen=True)
class Target:
    """The target of an HTTP request.

    Attributes:
        path: The path, still percent-encoded.
        parameters: The decoded values of each query parameter.
    """

    path: bytes
    parameters: dict[bytes, list[bytes]]

    @classmethod
    def parse(cls, target: bytes) -> Target:
        """Parse the target of a request line."""
        path, _, query = target.partition(b"?")
        parameters: dict[bytes, list[bytes]] = {}
        for pair in filter(None, query.split(b"&")):
            name, _, value = pair.partition(b"=")
            parameters.setdefault(_decode(name), []).append(_decode(value))
        return cls(path, parameters)

    def first(self, name: bytes, default: bytes = b"") -> bytes:
        """Return the first value of a parameter."""
        return self.parameters.get(name, [default])[0]

    def __contains__(self, name: bytes) -> bool:
        return name in self.parameters


def _decode(text: bytes) -> bytes:
    return unquote_to_bytes(text.replace(b"+", b" "))


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A complete HTTP request as received."""

    head: http1.Head
    body: bytes
    target: Target

    @property
    def is_ping(self) -> bool:
        """Whether this is a health check of this process."""
        if self.target.path == b"/ping":
            return True
        reads_root = self.target.path == b"/" and self.head.method in (b"GET", b"HEAD")
        return reads_root and b"query" not in self.target

    @property
    def user(self) -> bytes:
        """Name of the user. It only selects the request class and the team; engines authenticate the user."""
        if user := self.head.get(b"x-clickhouse-user"):
            return user
        scheme, _, credentials = self.head.get(b"authorization").partition(b" ")
        if scheme.lower() == b"basic":
            try:
                return base64.b64decode(credentials, validate=True).partition(b":")[0]
            except (binascii.Error, ValueError):
                return b""
        return self.target.first(b"user")

    @property
    def has_opaque_body(self) -> bool:
        """Whether the body is encoded, so that it can't be read as a part of the statement."""
        if self.head.get(b"content-encoding") or b"decompress" in self.target:
            return True
        return self.head.get(b"content-type").lower().startswith(b"multipart/")

    def statement(self) -> bytes:
        """Return the part of the statement that is needed to classify it."""
        query = self.target.first(b"query")
        if not self.body or self.has_opaque_body:
            return query
        # A longer statement is never a read, so no more of a large body is needed.
        start = self.body[: MAX_READ_STATEMENT_BYTES + 1]
        return query + b"\n" + start if query else start


def parse_request(http_request: HttpRequest, services: ClickHouseServices, client: RequestClient) -> Request:
    """Return the `Request` of an HTTP request; its deadline counts from now.

    Raises:
        InvalidQueryError: The request is invalid or not supported.
    """
    head, target = http_request.head, http_request.target
    _check_form(head, target)
    statement = http_request.statement()
    if not statement.strip() and not http_request.body:
        raise InvalidQueryError(400, ErrorCode.SYNTAX_ERROR, b"Empty query")
    has_unknown_part = bool(http_request.body) and http_request.has_opaque_body
    reads = is_read(statement) and not has_unknown_part
    if head.method == b"GET" and not reads:
        raise InvalidQueryError(
            500, ErrorCode.READONLY, b"Cannot execute this query by GET, which only reads; use POST"
        )
    user = http_request.user
    class_index = services.classifier.classify(statement, user, reads)
    timeout_s = _timeout_s(target, services.classifier.deadlines_s[class_index])
    return Request(
        services.next_call_id(),
        class_index,
        services.loop.now + max(timeout_s - DEADLINE_MARGIN_S, timeout_s / 2),
        http_request.body,
        _table_group(statement, head, target),
        head,
        target.first(b"query_id"),
        user,
        head.headers,
        statement,
        client=client,
    )


def _check_form(head: http1.Head, target: Target) -> None:
    if target.path != b"/":
        raise InvalidQueryError(404, ErrorCode.BAD_ARGUMENTS, b"There is nothing at this path")
    if head.method not in (b"GET", b"POST"):
        raise InvalidQueryError(405, ErrorCode.BAD_ARGUMENTS, b"Only GET and POST are served here")
    if any(len(target.parameters.get(name, [])) > 1 for name in UNIQUE_PARAMETERS):
        raise InvalidQueryError(400, ErrorCode.BAD_ARGUMENTS, b"A parameter is given twice")
    if b"session_id" in target:
        raise InvalidQueryError(
            501,
            ErrorCode.NOT_IMPLEMENTED,
            b"session_id is not served here: requests of one session would meet different warehouses",
        )


def _timeout_s(target: Target, class_deadline_s: float) -> float:
    """Return `max_execution_time` if it is shorter than the deadline of the class, else the deadline."""
    limit = target.first(b"max_execution_time")
    if limit.isdigit() and 0 < int(limit[:MAX_TIMEOUT_DIGITS]) < class_deadline_s:
        return float(limit[:MAX_TIMEOUT_DIGITS])
    return class_deadline_s


def _table_group(statement: bytes, head: http1.Head, target: Target) -> int:
    """Return the table group of the statement, or a group for its database if it names no table."""
    group = table_group(statement)
    if group:
        return group
    database = target.first(b"database", head.get(b"x-clickhouse-database"))
    return table_group(database + b".t")
