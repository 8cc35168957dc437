"""Records of the recovery journal and their encoding as MessagePack arrays. No I/O.

The order of the fields, the tags and the types are stored and must not change within one `FORMAT_VERSION`.
The names of classes and fields are not stored.
"""

from __future__ import annotations

from typing import Final

import msgspec

from lilacfront.discovery.endpoint_list import EndpointRecord
from lilacfront.operations.state_record import LearnedClass, OperatorDirective

FORMAT_VERSION: Final = 1
_LIST_TAG: Final = "list"


class EndpointEntry(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of one entry of the endpoint list."""

    instance_id: str
    address: str
    lifecycle: str
    zone: str
    machine_type: str
    cell: int
    weight: float
    started_at_ms: float

    @classmethod
    def from_endpoint(cls, endpoint: EndpointRecord) -> EndpointEntry:
        """Convert an entry of the endpoint list to its stored form."""
        return cls(
            endpoint.instance_id,
            endpoint.host_port,
            endpoint.lifecycle,
            endpoint.zone,
            endpoint.machine_type,
            endpoint.cell,
            endpoint.weight,
            endpoint.started_at_ms,
        )

    def to_endpoint(self, started_at_ms: float | None = None) -> EndpointRecord:
        """Convert to an entry of the endpoint list; `started_at_ms`, if given, replaces the stored time."""
        return EndpointRecord(
            host_port=self.address,
            instance_id=self.instance_id,
            lifecycle=self.lifecycle,
            zone=self.zone,
            machine_type=self.machine_type,
            cell=self.cell,
            weight=self.weight,
            started_at_ms=self.started_at_ms if started_at_ms is None else started_at_ms,
        )


class Record(msgspec.Struct, frozen=True, array_like=True, tag_field="k"):
    """Base of all records; each describes one change of the durable state."""


class JournalHeader(Record, frozen=True, tag="head"):
    """First record of every generation; identifies the front end and site that own the journal."""

    version: int
    name: str
    site: str
    generation: int


class EndpointListRecord(Record, frozen=True, tag=_LIST_TAG):
    """Entries of the endpoint list as of event `seq`; a snapshot replaces all earlier entries.

    `origin` identifies the start that `seq` is counted from; see `CachedEvents.origin`. Older versions ignore
    this field and don't write it.
    """

    seq: int
    is_snapshot: bool
    entries: tuple[EndpointEntry, ...]
    origin: str = ""


class ChangeLogResetRecord(Record, frozen=True, tag="anew"):
    """The change log restarted its event numbers at 1; known endpoints stay until it updates them."""


class DirectiveRecord(Record, frozen=True, tag="word"):
    """An operator's directive to this front end."""

    directive: OperatorDirective


class PeerDirectiveRecord(Record, frozen=True, tag="kept"):
    """Replica of an operator's directive to the peer with the number `owner`."""

    owner: int
    directive: OperatorDirective


class LoadStartedRecord(Record, frozen=True, tag="out"):
    """A load is about to be sent and may run from then on. `started_at` is in Unix seconds."""

    call_id: bytes
    started_at: float


class LoadFinishedRecord(Record, frozen=True, tag="over"):
    """A load has its final answer."""

    call_id: bytes


class IncarnationRecord(Record, frozen=True, tag="life"):
    """The incarnation of this front end in the membership protocol."""

    incarnation: int


class ClassEstimatesRecord(Record, frozen=True, tag="times"):
    """Learned execution times of the request classes. `recorded_at` is in Unix seconds."""

    recorded_at: float
    classes: tuple[LearnedClass, ...]


class CleanShutdownRecord(Record, frozen=True, tag="closed"):
    """The process ended with a graceful shutdown; a later record belongs to another process."""

    closed: bool = True


AnyRecord = (
    JournalHeader
    | EndpointListRecord
    | ChangeLogResetRecord
    | DirectiveRecord
    | PeerDirectiveRecord
    | LoadStartedRecord
    | LoadFinishedRecord
    | IncarnationRecord
    | ClassEstimatesRecord
    | CleanShutdownRecord
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record, without a frame."""
    if isinstance(record, EndpointListRecord) and not record.origin:
        # As older versions write it, without the last field.
        return _ENCODER.encode((_LIST_TAG, record.seq, record.is_snapshot, record.entries))
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> AnyRecord:
    """Decode a record.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid record.
    """
    return _DECODER.decode(data)
