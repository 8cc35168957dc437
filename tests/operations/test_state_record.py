"""Tests of the format of state files."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lilacfront.operations.state_record import (
    OperatorDirective,
    ProcessState,
    ProcessStateError,
    decode_state,
    encode_state,
)


@pytest.fixture
def data(make_state: Callable[..., ProcessState]) -> bytes:
    """The content of a valid state file of front end `n0`."""
    return encode_state(make_state("a", OperatorDirective("s-1", 1, "a", True, 1.0, 1.0)))


def test_damaged_file_is_rejected(data: bytes) -> None:
    assert decode_state(data, "n0").directives[0].target == "s-1"
    for index in range(len(data)):
        truncated = data[:index]
        bit_flipped = data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]
        extended = data + data[: index + 1]
        for damaged in (truncated, bit_flipped, extended):
            with pytest.raises(ProcessStateError):
                decode_state(damaged, "n0")


def test_file_of_another_front_end_is_rejected(data: bytes) -> None:
    with pytest.raises(ProcessStateError, match="state of another front end, 'n0'"):
        decode_state(data, "n1")


def test_file_of_another_version_is_rejected(data: bytes) -> None:
    with pytest.raises(ProcessStateError, match="unsupported version 2, expected 1"):
        decode_state(data.replace(b" 1 ", b" 2 ", 1), "n0")
