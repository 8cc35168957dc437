"""Encoding of the state that front ends exchange: directives and lists of ready engines. No I/O.

The encoding is canonical: equal states have equal bytes, so front ends can compare checksums.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from lilacfront.discovery.endpoint_list import engine_number
from lilacfront.operations.state_record import OperatorDirective

SHORT_ID_MASK: Final = 0xFFFFFFFF  # engine numbers and event numbers are sent with 32 bits

_DIRECTIVES = msgspec.msgpack.Decoder(list[OperatorDirective])
_READY_LIST = msgspec.msgpack.Decoder(tuple[int, list[int]])


@dataclass(frozen=True, slots=True)
class ReadyList:
    """Engines that one front end's endpoint list shows as ready.

    Attributes:
        seq: Number of the last change log event that the endpoint list includes.
        instance_ids: Instance ids of the engines.
    """

    seq: int
    instance_ids: Iterable[str]


def short_id(instance_id: str) -> int:
    """The low 32 bits of an engine's number, as sent to peers."""
    return engine_number(instance_id) & SHORT_ID_MASK


def encode_directives(directives: Iterable[OperatorDirective]) -> bytes:
    """Encode directives in the order of their targets."""
    return msgspec.msgpack.encode(sorted(directives, key=lambda directive: directive.target))


def decode_directives(data: bytes) -> list[OperatorDirective]:
    """Decode directives.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid encoding.
    """
    return _DIRECTIVES.decode(data)


def encode_ready_list(ready: ReadyList) -> bytes:
    """Encode the event number of a ready list and the short ids of its engines."""
    return msgspec.msgpack.encode((ready.seq, sorted(map(short_id, ready.instance_ids))))


def decode_ready_list(data: bytes) -> tuple[int, set[int]]:
    """Decode the event number of a ready list and the short ids of its engines.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid encoding.
    """
    seq, short_ids = _READY_LIST.decode(data)
    return seq, set(short_ids)
