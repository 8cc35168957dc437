"""Tests of parsing and encoding the admin protocol."""

from __future__ import annotations

import pytest

from lilacfront.operations.admin_protocol import (
    AdminRequest,
    AdminRequestError,
    AdminResponse,
    Command,
    failure,
    parse_request,
)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"STATUS", AdminRequest(Command.STATUS)),
        (b"  suspend  s-00c41f7a ", AdminRequest(Command.SUSPEND, "s-00c41f7a")),
        (b"RESTORE s-1", AdminRequest(Command.RESTORE, "s-1")),
    ],
)
def test_line_is_parsed_as_a_request(line: bytes, expected: AdminRequest) -> None:
    assert parse_request(line) == expected


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"", "empty call"),
        (b"REBOOT", "no call 'REBOOT'"),
        (b"SUSPEND", "takes one warehouse's id, 0 were given"),
        (b"RESTORE a b", "takes one warehouse's id, 2 were given"),
        (b"PAUSE now", "takes nothing behind it"),
        (b"SUSPEND \xff\xfe", "byte 8 of the call is no UTF-8"),
        (b"x" * 300, "at most 256 bytes"),
    ],
)
def test_malformed_line_is_answered_with_one_line_error(line: bytes, reason: str) -> None:
    with pytest.raises(AdminRequestError) as raised:
        parse_request(line)
    assert reason in str(raised.value)
    answer = failure(str(raised.value)).encode()
    assert answer.startswith(b"fail ")
    assert answer.count(b"\n") == 1


def test_control_characters_in_an_answer_are_replaced() -> None:
    assert AdminResponse(True, "a\nb", ("c\rd",)).encode() == b"ok a?b\nc?d\n"
