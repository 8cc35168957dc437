"""Classifies the error responses of ClickHouse by their status and exception code.

The codes are those of ClickHouse's `ErrorCodes.cpp`, the statuses those that its HTTP interface maps them to.
"""

from __future__ import annotations

import re
from enum import IntEnum

from lilacfront.core.model import AttemptEnding
from lilacfront.protocols import http1

STATUS_NOT_IMPLEMENTED = 501
MIN_SERVER_ERROR_STATUS = 500
MAX_CODE_DIGITS = 5
CODE_EXCERPT_BYTES = 200  # start of an error text that is searched for the code
_CODE = re.compile(rb"Code: (\d{1,5})\b")
_FORWARDED_MARK = b"Received from "  # precedes the address of the server that an error comes from


class RejectionCode(IntEnum):
    """The engine is overloaded, and the statement never ran."""

    TOO_MANY_SIMULTANEOUS_QUERIES = 202
    SERVER_OVERLOADED = 745


class EngineErrorCode(IntEnum):
    """Errors of the engine that it may report with a status of the client's errors."""

    TIMEOUT_EXCEEDED = 159
    SOCKET_TIMEOUT = 209
    NETWORK_ERROR = 210
    ABORTED = 236
    MEMORY_LIMIT_EXCEEDED = 241
    TABLE_IS_READ_ONLY = 242
    ALL_CONNECTION_TRIES_FAILED = 279
    QUERY_WAS_CANCELLED = 394
    SYSTEM_ERROR = 425
    KEEPER_EXCEPTION = 999


class StatementErrorCode(IntEnum):
    """Errors that the statement, its data or its user causes on any engine, reported with status 500."""

    CANNOT_PARSE_TEXT = 6
    NO_SUCH_COLUMN_IN_TABLE = 16
    NUMBER_OF_COLUMNS_DOESNT_MATCH = 20
    CANNOT_PARSE_INPUT_ASSERTION_FAILED = 27
    BAD_ARGUMENTS = 36
    NUMBER_OF_ARGUMENTS_DOESNT_MATCH = 42
    ILLEGAL_TYPE_OF_ARGUMENT = 43
    ILLEGAL_COLUMN = 44
    UNKNOWN_FUNCTION = 46
    UNKNOWN_IDENTIFIER = 47
    NOT_IMPLEMENTED = 48
    UNKNOWN_TYPE = 50
    TYPE_MISMATCH = 53
    UNKNOWN_TABLE = 60
    SYNTAX_ERROR = 62
    ARGUMENT_OUT_OF_BOUND = 69
    CANNOT_CONVERT_TYPE = 70
    CANNOT_PARSE_NUMBER = 72
    UNKNOWN_FORMAT = 73
    UNKNOWN_DATABASE = 81
    UNKNOWN_SETTING = 115
    INCORRECT_DATA = 117
    ILLEGAL_DIVISION = 153
    TOO_MANY_ROWS = 158
    READONLY = 164
    ILLEGAL_AGGREGATION = 184
    UNKNOWN_USER = 192
    WRONG_PASSWORD = 193
    REQUIRED_PASSWORD = 194
    NOT_AN_AGGREGATE = 215
    TOO_MANY_BYTES = 307
    CANNOT_INSERT_NULL_IN_ORDINARY_COLUMN = 349
    FUNCTION_THROW_IF_VALUE_IS_NON_ZERO = 395
    TOO_MANY_ROWS_OR_BYTES = 396
    ACCESS_DENIED = 497
    AUTHENTICATION_FAILED = 516


REJECTION_CODES = frozenset(RejectionCode)
ENGINE_ERROR_CODES = frozenset(EngineErrorCode)
STATEMENT_ERROR_CODES = frozenset(StatementErrorCode)


def exception_code(head: http1.Head, text: bytes) -> int | None:
    """Return the exception code of a response with this error text; None if it has none."""
    header = head.get(b"x-clickhouse-exception-code")
    if header.isdigit() and len(header) <= MAX_CODE_DIGITS:
        return int(header)
    match = _CODE.search(text[:CODE_EXCERPT_BYTES])
    return int(match[1]) if match is not None else None


def is_forwarded_error(text: bytes) -> bool:
    """Whether an error text comes from another server, which ran a part of the statement for the engine."""
    return _FORWARDED_MARK in text


def error_ending(status: int, code: int | None, is_forwarded: bool = False) -> AttemptEnding:
    """Return how an attempt ends that an engine answers with an error.

    An unknown code with a server's status counts as an error of the engine, so that an engine with a fault
    that has no entry here is not taken for a healthy one.

    Args:
        status: HTTP status of the response.
        code: Exception code of the response; None if it has none.
        is_forwarded: Whether another server reported the error. If that one has rejected its part, the
            engine may have run others.

    Returns:
        REJECTED, ERROR or STATEMENT_ERROR.
    """
    if code in REJECTION_CODES:
        return AttemptEnding.ERROR if is_forwarded else AttemptEnding.REJECTED
    if code in ENGINE_ERROR_CODES:
        return AttemptEnding.ERROR
    is_client_error = status < MIN_SERVER_ERROR_STATUS or status == STATUS_NOT_IMPLEMENTED
    if is_client_error or code in STATEMENT_ERROR_CODES:
        return AttemptEnding.STATEMENT_ERROR
    return AttemptEnding.ERROR
