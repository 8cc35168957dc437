"""Encoding and decoding of messages between front ends."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacfront.membership import codec
from lilacfront.membership.codec import CodecError
from lilacfront.membership.messages import (
    Ack,
    BitmapBlock,
    CompactUpdate,
    FleetSizeReport,
    LoadReports,
    MemberBitmap,
    MemberState,
    MemberUpdate,
    Message,
    OutlierReport,
    Ping,
    PingRequest,
)

KEYS = {3: b"k" * 32, 4: b"l" * 32}
ITEMS = (
    Ping(7, 1),
    Ack(8, 2),
    PingRequest(9, 3),
    MemberUpdate(5, 1_800_000_000, MemberState.SUSPECT),
    MemberUpdate(6, 2, MemberState.LEFT),
    CompactUpdate(9, 33, MemberState.DEAD),
    LoadReports(b"\1" * 12),
    OutlierReport(((0xDEADBEEF, 2, 30),)),
    MemberBitmap(MemberState.DEAD, (BitmapBlock(0, 0b1001, 7), BitmapBlock(63, 1, 255))),
    FleetSizeReport(1024),
)
MESSAGE = Message(4, 1_800_000_000, 77, 1_800_000_123, ITEMS)


def test_encoded_message_decodes_to_itself() -> None:
    encoded = codec.encode(MESSAGE)
    assert len(encoded) <= codec.MAX_DATAGRAM_BYTES
    decoded = codec.decode(encoded)
    assert set(decoded.items) == set(ITEMS)
    assert (decoded.sender, decoded.incarnation, decoded.sequence, decoded.sent_at_s, decoded.key_id) == (
        4,
        1_800_000_000,
        77,
        1_800_000_123,
        None,
    )


def test_unknown_kinds_and_states_are_skipped() -> None:
    later = codec.encode(MESSAGE) + bytes([99, 3]) + b"new" + bytes([4, 7]) + codec.UPDATE.pack(1, 2, 9)
    assert set(codec.decode(later).items) == set(ITEMS)


def test_other_version_is_an_error_that_names_it() -> None:
    with pytest.raises(CodecError, match="version 1"):
        codec.decode(b"\1" + codec.encode(MESSAGE)[1:])


def test_truncated_message_decodes_or_raises_codec_error() -> None:
    encoded = codec.encode(MESSAGE)
    for length in range(len(encoded)):
        with contextlib.suppress(CodecError):
            codec.decode(encoded[:length])


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_or_raise_codec_error(data: bytes) -> None:
    for prefix in (b"", bytes([codec.VERSION])):
        for keys in (None, KEYS):
            with contextlib.suppress(CodecError):
                codec.decode(prefix + data, keys)


def test_tag_of_any_key_is_accepted() -> None:
    assert codec.decode(codec.encode(MESSAGE, (4, KEYS[4])), KEYS).key_id == 4


def test_changing_any_byte_of_a_tagged_message_is_an_error() -> None:
    tagged = codec.encode(MESSAGE, (4, KEYS[4]))
    for index in range(len(tagged)):
        with pytest.raises(CodecError):
            codec.decode(tagged[:index] + bytes([tagged[index] ^ 1]) + tagged[index + 1 :], KEYS)


@pytest.mark.parametrize(
    "key", [None, (4, b"x" * 32), (9, b"x" * 32)], ids=["no tag", "wrong secret", "unknown key number"]
)
def test_message_without_a_valid_tag_is_an_error_if_there_are_keys(key: tuple[int, bytes] | None) -> None:
    with pytest.raises(CodecError):
        codec.decode(codec.encode(MESSAGE, key), KEYS)
