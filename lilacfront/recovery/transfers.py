"""Transfers of state from peers in chunks, each asked for by the receiver. No I/O; times are seconds."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from lilacfront.membership.messages import ChunkRequest, StateChunk

MAX_TRANSFERS: Final = 16  # at once: a megabyte
RETRY_AFTER_S: Final = 0.4  # until a missing chunk is asked for again
GIVE_UP_AFTER_S: Final = 10.0  # without a chunk: the peer no longer has what it offered


@dataclass(slots=True)
class _Transfer:
    """One state on its way from a peer."""

    checksum: int
    size: int
    asked_at: float
    received_at: float
    data: bytearray = field(default_factory=bytearray)


class InboundTransfers:
    """The transfers under way, at most one for each peer and kind of state."""

    def __init__(self) -> None:
        self._transfers: dict[tuple[int, int], _Transfer] = {}

    @property
    def count(self) -> int:
        """How many transfers are under way."""
        return len(self._transfers)

    def start(self, now: float, peer: int, kind: int, checksum: int, size: int) -> Iterator[ChunkRequest]:
        """Ask a peer for the first chunk of a state, unless it is on its way or too many others are."""
        current = self._transfers.get((peer, kind))
        if current is not None and current.checksum == checksum:
            return
        if size <= 0 or (current is None and len(self._transfers) >= MAX_TRANSFERS):
            return
        self._transfers[peer, kind] = _Transfer(checksum, size, now, now)
        yield ChunkRequest(kind, checksum, 0)

    def receive(self, now: float, peer: int, chunk: StateChunk) -> ChunkRequest | bytes | None:
        """Take in a chunk; returns the request for the next one, or the state once it is complete.

        A chunk that nobody asked for and a state whose checksum does not fit are dropped: the result is None.
        """
        key = (peer, chunk.kind)
        transfer = self._transfers.get(key)
        if transfer is None or transfer.checksum != chunk.checksum:
            return None
        if chunk.offset != len(transfer.data) or not chunk.data:
            return None
        transfer.data += chunk.data
        transfer.asked_at = now
        transfer.received_at = now
        if len(transfer.data) < transfer.size:
            return ChunkRequest(chunk.kind, chunk.checksum, len(transfer.data))
        del self._transfers[key]
        state = bytes(transfer.data)
        return state if zlib.crc32(state) == chunk.checksum else None

    def expire(self, now: float) -> set[int]:
        """Drop the transfers that have stalled for too long; returns their peers."""
        stalled = [
            key for key, transfer in self._transfers.items() if now - transfer.received_at >= GIVE_UP_AFTER_S
        ]
        for key in stalled:
            del self._transfers[key]
        return {peer for peer, _ in stalled}

    def retries_due(self, now: float) -> list[tuple[int, ChunkRequest]]:
        """Requests for chunks that did not come, and the peers to send them to."""
        requests: list[tuple[int, ChunkRequest]] = []
        for (peer, kind), transfer in self._transfers.items():
            if now - transfer.asked_at >= RETRY_AFTER_S:
                transfer.asked_at = now
                requests.append((peer, ChunkRequest(kind, transfer.checksum, len(transfer.data))))
        return requests
