"""Error answers of the ClickHouse HTTP interface."""

from __future__ import annotations

import pytest

from lilacfront.core.model import Failed, Rejected
from lilacfront.frontends.clickhouse_errors import ErrorCode, encode_error, encode_failure, encode_rejection


def test_error_has_code_and_name_of_clickhouse() -> None:
    answer = encode_error(400, ErrorCode.SYNTAX_ERROR, b"Empty query", keep_alive=True)
    assert b"X-ClickHouse-Exception-Code: 62\r\n" in answer
    assert answer.endswith(b"\r\n\r\nCode: 62. DB::Exception: Empty query. (SYNTAX_ERROR)\n")


def test_error_text_of_an_engine_keeps_its_code() -> None:
    answer = encode_failure(Failed(detail=b"Code: 60. DB::Exception: No table"), keep_alive=True)
    assert b"X-ClickHouse-Exception-Code: 60\r\n" in answer
    assert answer.endswith(b"\r\n\r\nCode: 60. DB::Exception: No table")


def test_answer_to_head_has_no_body() -> None:
    answer = encode_error(405, ErrorCode.BAD_ARGUMENTS, b"No", keep_alive=True, method=b"HEAD")
    assert answer.endswith(b"\r\n\r\n")


@pytest.mark.parametrize(("retry_after_ms", "seconds"), [(0, b"1"), (1000, b"1"), (1001, b"2")])
def test_retry_after_is_rounded_up_to_whole_seconds(retry_after_ms: int, seconds: bytes) -> None:
    answer = encode_rejection(Rejected(retry_after_ms), keep_alive=True)
    assert b"Retry-After: " + seconds + b"\r\n" in answer


def test_rejection_has_the_range_of_the_wait() -> None:
    answer = encode_rejection(Rejected(1000, (50, 12345)), keep_alive=True)
    assert b"X-Lilacfront-Wait: low=0.050, high=12.345\r\n" in answer


def test_exceeded_deadline_is_answered_with_504() -> None:
    answer = encode_failure(Failed(is_deadline_exceeded=True), keep_alive=False)
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert b"Connection: close\r\n" in answer
