"""Format of a journal file: a magic line, then records in frames with checksums. No I/O."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from lilacfront.errors import LilacfrontError
from lilacfront.recovery.records import (
    FORMAT_VERSION,
    AnyRecord,
    JournalHeader,
    decode_record,
    encode_record,
)

MAGIC: Final = b"lilacfront-recovery\n"
MAX_RECORD_BYTES: Final = 64 << 20  # a list of 65,536 engines takes about 10 MB
_FRAME_HEADER: Final = struct.Struct(">II")  # length, CRC-32 of length and record
_LENGTH_BYTES: Final = 4
_MAX_OWNER_CHARACTERS: Final = 40  # limit for names in error messages


class StoreError(LilacfrontError):
    """A file or directory of the recovery store that can't be used."""


@dataclass(frozen=True, slots=True)
class JournalContents:
    """Decoded contents of one journal file.

    Attributes:
        records: The header and all records before the first damaged one.
        damage: Description of the first damage; empty for an intact file.
    """

    records: list[AnyRecord]
    damage: str


def encode_frame(record: bytes) -> bytes:
    """Wrap an encoded record in a frame."""
    size = len(record).to_bytes(_LENGTH_BYTES, "big")
    checksum = zlib.crc32(record, zlib.crc32(size))
    return size + checksum.to_bytes(4, "big") + record


def split_frames(data: bytes) -> tuple[list[bytes], int]:
    """Split data into records; returns those before the first damaged frame, and the offset of that frame."""
    records: list[bytes] = []
    offset = 0
    while offset + _FRAME_HEADER.size <= len(data):
        size, checksum = _FRAME_HEADER.unpack_from(data, offset)
        start = offset + _FRAME_HEADER.size
        end = start + size
        if size > MAX_RECORD_BYTES or end > len(data):
            break
        record = data[start:end]
        if zlib.crc32(record, zlib.crc32(data[offset : offset + _LENGTH_BYTES])) != checksum:
            break
        records.append(record)
        offset = end
    return records, offset


def encode_journal(header: JournalHeader, checkpoint: Iterable[AnyRecord]) -> bytes:
    """Encode a new generation: its header and a checkpoint of the state."""
    return MAGIC + b"".join(encode_frame(encode_record(record)) for record in (header, *checkpoint))


def _check_header(record: AnyRecord, name: str, site: str) -> None:
    if not isinstance(record, JournalHeader):
        raise StoreError("no header")
    if record.version != FORMAT_VERSION:
        raise StoreError(f"format version {record.version}, expected {FORMAT_VERSION}")
    if record.name != name:
        raise StoreError(f"belongs to another front end, {record.name[:_MAX_OWNER_CHARACTERS]!r}")
    if record.site != site:
        raise StoreError(f"belongs to another site, {record.site[:_MAX_OWNER_CHARACTERS]!r}")


def decode_journal(data: bytes, name: str, site: str) -> JournalContents:
    """Decode one journal file of the front end `name` at `site`.

    Raises:
        StoreError: The file is not a journal, or belongs to another version, front end or site.
    """
    if not data.startswith(MAGIC):
        raise StoreError("not a recovery journal")
    frames, end = split_frames(data[len(MAGIC) :])
    records: list[AnyRecord] = []
    damage = "" if end == len(data) - len(MAGIC) else f"incomplete from byte {end + len(MAGIC)} on"
    for number, frame in enumerate(frames):
        try:
            record = decode_record(frame)
        except msgspec.MsgspecError as error:
            if number == 0:
                raise StoreError(f"unreadable header: {error}") from error
            damage = f"record {number} is unreadable: {error}"
            break
        if number == 0:
            _check_header(record, name, site)
        records.append(record)
    if not records:
        raise StoreError("no header")
    return JournalContents(records, damage)
