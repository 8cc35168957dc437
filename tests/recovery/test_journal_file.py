"""Journal files: damage and foreign journals are reported, and the only error raised is `StoreError`."""

from collections.abc import Callable

import msgspec
import pytest
from recovery_helpers import directive, endpoint_entry

from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.journal_file import (
    StoreError,
    decode_journal,
    encode_frame,
    encode_journal,
    split_frames,
)
from lilacfront.recovery.records import (
    FORMAT_VERSION,
    AnyRecord,
    DirectiveRecord,
    EndpointListRecord,
    IncarnationRecord,
    JournalHeader,
    LoadStartedRecord,
    decode_record,
    encode_record,
)

HEADER = JournalHeader(FORMAT_VERSION, "n0", "here", 1)
RECORDS = (
    EndpointListRecord(3, True, (endpoint_entry(1), endpoint_entry(2))),
    DirectiveRecord(directive("s-1", 1)),
    LoadStartedRecord(b"x", 2.0),
    IncarnationRecord(7),
)
JOURNAL = encode_journal(HEADER, DurableState().checkpoint()) + b"".join(
    encode_frame(encode_record(record)) for record in RECORDS
)


@pytest.mark.parametrize(
    ("damage", "error"),
    [
        pytest.param(lambda _data: b"", "not a recovery journal", id="empty"),
        pytest.param(lambda _data: b"something else", "not a recovery journal", id="other content"),
        pytest.param(lambda data: data[:20], "no header", id="magic alone"),
        pytest.param(lambda data: data.replace(b"n0", b"n1"), "no header", id="wrong checksum of the header"),
    ],
)
def test_a_file_without_a_usable_header_is_an_error(damage: Callable[[bytes], bytes], error: str) -> None:
    with pytest.raises(StoreError, match=error):
        decode_journal(damage(JOURNAL), "n0", "here")


@pytest.mark.parametrize(
    ("name", "site", "version", "error"),
    [
        ("n1", "here", FORMAT_VERSION, "belongs to another front end, 'n1'"),
        ("n0", "there", FORMAT_VERSION, "belongs to another site, 'there'"),
        ("n0", "here", FORMAT_VERSION + 1, "format version 2, expected 1"),
        ("n0", "here", 0, "format version 0, expected 1"),
    ],
)
def test_a_journal_of_another_owner_site_or_version_is_an_error(
    name: str, site: str, version: int, error: str
) -> None:
    header = JournalHeader(version, name, site, 1)
    data = b"lilacfront-recovery\n" + encode_frame(encode_record(header))
    with pytest.raises(StoreError, match=error):
        decode_journal(data, "n0", "here")


def test_a_complete_journal_is_decoded_without_damage() -> None:
    contents = decode_journal(JOURNAL, "n0", "here")
    assert contents.damage == ""
    assert tuple(contents.records[-len(RECORDS) :]) == RECORDS


def test_truncated_journal_keeps_earlier_records_and_reports_the_offset() -> None:
    contents = decode_journal(JOURNAL[:-1], "n0", "here")
    assert contents.damage.startswith("incomplete from byte ")
    assert tuple(contents.records[1 - len(RECORDS) :]) == RECORDS[:-1]


def test_undecodable_record_ends_the_journal_and_is_reported() -> None:
    contents = decode_journal(JOURNAL + encode_frame(b"junk"), "n0", "here")
    assert contents.damage.startswith("record 7 is unreadable")
    assert tuple(contents.records[-len(RECORDS) :]) == RECORDS


def test_frames_are_split_up_to_the_first_damaged_one() -> None:
    first, second = encode_frame(b"one"), encode_frame(b"two")
    assert split_frames(first + second) == ([b"one", b"two"], len(first + second))
    assert split_frames(first + second[:-1] + b"!") == ([b"one"], len(first))


class ListRecordOfOlderVersion(msgspec.Struct, array_like=True, tag_field="k", tag="list"):
    """A list as it was read before its numbers had an origin."""

    seq: int
    is_snapshot: bool
    entries: list[msgspec.Raw]


def test_list_with_an_origin_is_read_by_this_version_and_older_ones() -> None:
    record: AnyRecord = EndpointListRecord(3, True, (endpoint_entry(1),), "00c41f7a")
    encoded = encode_record(record)
    assert decode_record(encoded) == record
    older = msgspec.msgpack.decode(encoded, type=ListRecordOfOlderVersion)
    assert (older.seq, older.is_snapshot, len(older.entries)) == (3, True, 1)
