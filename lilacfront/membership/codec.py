"""Wire format of messages between front ends. No I/O.

This module encodes and decodes version 2. A message is a header and any number of items. Each item has a kind
and a length, so items of an unknown kind are skipped. Version 1, implemented by `load_gossip`, consists of
load reports without a header. Front ends of version 1 drop datagrams with another version in the first byte.

    header  version, flags, key, sender (2), incarnation (4), sequence (4), seconds (4)     17 bytes
    item    kind, length, body of that length
    tag     16 bytes, keyed BLAKE2b of all bytes before it; present if flag 1 is set

Fields without a size are one byte. All numbers are big-endian.
"""

from __future__ import annotations

import hmac
import struct
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from lilacfront.errors import LilacfrontError
from lilacfront.membership.messages import (
    STATES,
    Ack,
    BitmapBlock,
    ChunkRequest,
    CompactUpdate,
    FleetSizeReport,
    Item,
    LoadReports,
    MemberBitmap,
    MemberState,
    MemberUpdate,
    Message,
    OutlierReport,
    Ping,
    PingRequest,
    Probe,
    StateChunk,
    StateDigest,
)

MAX_DATAGRAM_BYTES = 256  # the platform voids a run if a datagram is longer
VERSION = 2
FLAG_TAGGED = 1
TAG_BYTES = 16
ITEM_HEADER_BYTES = 2
LOW_BITS_MASK = 0x3F  # bits of the incarnation in a compact update
STATE_SHIFT = 6  # position of the state in a compact update, above the low bits of the incarnation
SEQ_MASK = 0xFFFFFFFF
HEADER = struct.Struct(">BBBHIII")
UPDATE = struct.Struct(">HIB")
COMPACT_UPDATE = struct.Struct(">HB")
PROBE = struct.Struct(">IH")
OUTLIER_ENTRY = struct.Struct(">IBB")
BITMAP_BLOCK = struct.Struct(">BHB")
FLEET_SIZE_REPORT = struct.Struct(">H")
DIGEST = struct.Struct(">BI")
OFFER = struct.Struct(">BIH")
CHUNK = struct.Struct(">BIH")


class CodecError(LilacfrontError, ValueError):
    """A datagram that is no valid message; the admin command PEERS shows the text as the reason."""


# ---- item bodies ------------------------------------------------------------------------------
def _encode_probe(item: Probe) -> bytes:
    match item:
        case Ping(sequence, member) | Ack(sequence, member) | PingRequest(sequence, member):
            return PROBE.pack(sequence, member)


def _decode_ping(body: bytes) -> list[Item]:
    return [Ping(*PROBE.unpack(body))]


def _decode_ack(body: bytes) -> list[Item]:
    return [Ack(*PROBE.unpack(body))]


def _decode_ping_request(body: bytes) -> list[Item]:
    return [PingRequest(*PROBE.unpack(body))]


def _encode_update(item: MemberUpdate) -> bytes:
    return UPDATE.pack(item.member, item.incarnation, item.state)


def _decode_updates(body: bytes) -> list[Item]:
    """Decode updates; those with an unknown state, of a later version, are skipped."""
    return [
        MemberUpdate(member, incarnation, STATES[state])
        for member, incarnation, state in UPDATE.iter_unpack(body)
        if state <= MemberState.LEFT
    ]


def _encode_compact_update(item: CompactUpdate) -> bytes:
    return COMPACT_UPDATE.pack(item.member, item.state << STATE_SHIFT | item.low_bits)


def _decode_compact_updates(body: bytes) -> list[Item]:
    return [
        CompactUpdate(member, packed & LOW_BITS_MASK, STATES[packed >> STATE_SHIFT])
        for member, packed in COMPACT_UPDATE.iter_unpack(body)
    ]


def _encode_load_reports(item: LoadReports) -> bytes:
    return item.data


def _decode_load_reports(body: bytes) -> list[Item]:
    return [LoadReports(body)]


def _encode_outlier_report(item: OutlierReport) -> bytes:
    return b"".join(OUTLIER_ENTRY.pack(*entry) for entry in item.entries)


def _decode_outlier_report(body: bytes) -> list[Item]:
    return [OutlierReport(tuple(OUTLIER_ENTRY.iter_unpack(body)))]


def _encode_bitmap(item: MemberBitmap) -> bytes:
    blocks = (BITMAP_BLOCK.pack(block.index, block.bits, block.checksum) for block in item.blocks)
    return bytes([item.state]) + b"".join(blocks)


def _decode_bitmap(body: bytes) -> list[Item]:
    """Decode a bitmap; one with an unknown state, of a later version, is skipped."""
    if body[0] > MemberState.LEFT:
        return []
    blocks = tuple(BitmapBlock(*fields) for fields in BITMAP_BLOCK.iter_unpack(body[1:]))
    return [MemberBitmap(STATES[body[0]], blocks)]


def _encode_fleet_size_report(item: FleetSizeReport) -> bytes:
    return FLEET_SIZE_REPORT.pack(item.count)


def _decode_fleet_size_report(body: bytes) -> list[Item]:
    return [FleetSizeReport(*FLEET_SIZE_REPORT.unpack(body))]


def _encode_digest(item: StateDigest) -> bytes:
    offers = (OFFER.pack(*offer) for offer in item.offers)
    return DIGEST.pack(item.stage, item.seq & SEQ_MASK) + b"".join(offers)


def _decode_digest(body: bytes) -> list[Item]:
    stage, seq = DIGEST.unpack_from(body)
    return [StateDigest(stage, seq, tuple(OFFER.iter_unpack(body[DIGEST.size :])))]


def _encode_chunk_request(item: ChunkRequest) -> bytes:
    return CHUNK.pack(item.kind, item.checksum, item.offset)


def _decode_chunk_request(body: bytes) -> list[Item]:
    return [ChunkRequest(*CHUNK.unpack(body))]


def _encode_chunk(item: StateChunk) -> bytes:
    return CHUNK.pack(item.kind, item.checksum, item.offset) + item.data


def _decode_chunk(body: bytes) -> list[Item]:
    kind, checksum, offset = CHUNK.unpack_from(body)
    return [StateChunk(kind, checksum, offset, body[CHUNK.size :])]


@dataclass(slots=True, frozen=True)
class ItemCodec:
    """Encoding of one kind of items.

    Attributes:
        kind: Number of the kind on the wire.
        item: Class of the items.
        encode: Returns the body of an item.
        decode: Returns the items in a body of a valid length.
        length_error: Text of the CodecError for a body of an invalid length.
        fixed_bytes: Length of the fixed part of the body in bytes.
        repeated_bytes: Length of each repeated element after the fixed part; 0 if there are none.
    """

    kind: int
    item: type
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], list[Item]]
    length_error: str
    fixed_bytes: int = 0
    repeated_bytes: int = 0

    def fits(self, length: int) -> bool:
        """Whether this is a valid length of a body."""
        repeated_length = length - self.fixed_bytes
        if self.repeated_bytes == 0:
            return repeated_length == 0
        return repeated_length >= 0 and repeated_length % self.repeated_bytes == 0


# The recorded datagrams in tests/fixtures/membership pin the length errors. Their names for items are: news
# (updates), doubts (outlier report), marks (compact updates), blocks (bitmap), count (fleet size report),
# fetch (chunk request) and part (chunk).
_PROBE_LENGTH_ERROR = "a probe of another length"
_CODECS = (
    ItemCodec(1, Ping, _encode_probe, _decode_ping, _PROBE_LENGTH_ERROR, PROBE.size),
    ItemCodec(2, Ack, _encode_probe, _decode_ack, _PROBE_LENGTH_ERROR, PROBE.size),
    ItemCodec(3, PingRequest, _encode_probe, _decode_ping_request, _PROBE_LENGTH_ERROR, PROBE.size),
    ItemCodec(4, MemberUpdate, _encode_update, _decode_updates, "news of another length", 0, UPDATE.size),
    ItemCodec(5, LoadReports, _encode_load_reports, _decode_load_reports, "", 0, 1),
    ItemCodec(
        6,
        OutlierReport,
        _encode_outlier_report,
        _decode_outlier_report,
        "doubts of another length",
        0,
        OUTLIER_ENTRY.size,
    ),
    ItemCodec(
        7,
        CompactUpdate,
        _encode_compact_update,
        _decode_compact_updates,
        "marks of another length",
        0,
        COMPACT_UPDATE.size,
    ),
    ItemCodec(
        8, MemberBitmap, _encode_bitmap, _decode_bitmap, "blocks of another length", 1, BITMAP_BLOCK.size
    ),
    ItemCodec(
        9,
        FleetSizeReport,
        _encode_fleet_size_report,
        _decode_fleet_size_report,
        "a count of another length",
        FLEET_SIZE_REPORT.size,
    ),
    ItemCodec(
        10, StateDigest, _encode_digest, _decode_digest, "a digest of another length", DIGEST.size, OFFER.size
    ),
    ItemCodec(
        11,
        ChunkRequest,
        _encode_chunk_request,
        _decode_chunk_request,
        "a fetch of another length",
        CHUNK.size,
    ),
    ItemCodec(12, StateChunk, _encode_chunk, _decode_chunk, "a part of another length", CHUNK.size, 1),
)
_BY_KIND = {codec.kind: codec for codec in _CODECS}
_BY_CLASS = {codec.item: codec for codec in _CODECS}
_MERGED = (MemberUpdate, CompactUpdate)  # all updates of a class are encoded as one item, before other items


# ---- messages ---------------------------------------------------------------------------------
def max_items_bytes(tagged: bool) -> int:
    """Maximum total size of the items in one message."""
    return MAX_DATAGRAM_BYTES - HEADER.size - (TAG_BYTES if tagged else 0)


def item_size(item: Item) -> int:
    """Encoded size of a single item, including its header."""
    return ITEM_HEADER_BYTES + len(_BY_CLASS[type(item)].encode(item))


def encode(message: Message, key: tuple[int, bytes] | None = None) -> bytes:
    """Encode a message, with a tag if a key is given. The caller ensures that the items fit."""
    flags, key_id = (0, 0) if key is None else (FLAG_TAGGED, key[0])
    header = HEADER.pack(
        VERSION, flags, key_id, message.sender, message.incarnation, message.sequence, message.sent_at_s
    )
    data = header + b"".join(_encoded_items(message.items))
    if key is not None:
        data += blake2b(data, key=key[1], digest_size=TAG_BYTES).digest()
    return data


def _encoded_items(items: tuple[Item, ...]) -> Iterable[bytes]:
    for merged in _MERGED:
        codec = _BY_CLASS[merged]
        if body := b"".join([codec.encode(item) for item in items if type(item) is merged]):
            yield bytes([codec.kind, len(body)]) + body
    for item in items:
        if type(item) not in _MERGED:
            codec = _BY_CLASS[type(item)]
            body = codec.encode(item)
            yield bytes([codec.kind, len(body)]) + body


def decode(data: bytes, keys: Mapping[int, bytes] | None = None) -> Message:
    """Decode a message.

    Args:
        data: A datagram.
        keys: Keys by their numbers. If there are any, the message must have a valid tag of one of them.

    Raises:
        CodecError: The datagram is malformed or has another version, no tag or an invalid tag.
    """
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise CodecError(f"{len(data)} bytes")
    version, flags, key_id, sender, incarnation, sequence, sent_at_s = HEADER.unpack_from(data)
    if version != VERSION:
        raise CodecError(f"version {version}")
    end = len(data) - (TAG_BYTES if flags & FLAG_TAGGED else 0)
    if keys:
        if not flags & FLAG_TAGGED or end < HEADER.size:
            raise CodecError("no tag")
        _check_tag(data, end, keys.get(key_id), key_id)
    items = _decode_items(data, end)
    return Message(sender, incarnation, sequence, sent_at_s, items, key_id if keys else None)


def _check_tag(data: bytes, end: int, secret: bytes | None, key_id: int) -> None:
    if secret is None:
        raise CodecError(f"no key {key_id}")
    expected = blake2b(data[:end], key=secret, digest_size=TAG_BYTES).digest()
    if not hmac.compare_digest(expected, data[end:]):
        raise CodecError("the tag does not fit")


def _decode_items(data: bytes, end: int) -> tuple[Item, ...]:
    items: list[Item] = []
    start = HEADER.size
    while start < end:
        body_start = start + ITEM_HEADER_BYTES
        if body_start > end or body_start + data[start + 1] > end:
            raise CodecError("an item that is not whole")
        kind, length = data[start], data[start + 1]
        start = body_start + length
        codec = _BY_KIND.get(kind)
        if codec is None:
            continue
        if not codec.fits(length):
            raise CodecError(codec.length_error)
        items += codec.decode(data[body_start:start])
    return tuple(items)
