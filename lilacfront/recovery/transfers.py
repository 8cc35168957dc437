"""Chunked transfers of state from peers, driven by the receiver. No I/O; times are in seconds."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from lilacfront.membership.messages import ChunkRequest, StateChunk

MAX_TRANSFERS: Final = 16  # concurrent transfers; together at most 1 MiB
CHUNK_RETRY_S: Final = 0.4  # seconds until a missing chunk is requested again
STALL_TIMEOUT_S: Final = 10.0  # seconds without a chunk until a transfer ends; the peer's state has changed


@dataclass(slots=True)
class _Transfer:
    """One transfer in progress."""

    checksum: int
    size: int
    requested_at: float
    received_at: float
    data: bytearray = field(default_factory=bytearray)


class InboundTransfers:
    """The transfers in progress, at most one per peer and kind of state."""

    def __init__(self) -> None:
        self._transfers: dict[tuple[int, int], _Transfer] = {}

    @property
    def count(self) -> int:
        """Number of transfers in progress."""
        return len(self._transfers)

    def start(self, now: float, peer: int, kind: int, checksum: int, size: int) -> Iterator[ChunkRequest]:
        """Start a transfer and yield the request for its first chunk.

        Does nothing if the same state is already being transferred, or if too many transfers are in progress.
        """
        current = self._transfers.get((peer, kind))
        if current is not None and current.checksum == checksum:
            return
        if size <= 0 or (current is None and len(self._transfers) >= MAX_TRANSFERS):
            return
        self._transfers[peer, kind] = _Transfer(checksum, size, now, now)
        yield ChunkRequest(kind, checksum, 0)

    def receive(self, now: float, peer: int, chunk: StateChunk) -> ChunkRequest | bytes | None:
        """Accept a chunk; returns the request for the next one, or the complete state.

        Drops chunks that were not requested and states with a wrong checksum, and returns None for them.
        """
        key = (peer, chunk.kind)
        transfer = self._transfers.get(key)
        if transfer is None or transfer.checksum != chunk.checksum:
            return None
        if chunk.offset != len(transfer.data) or not chunk.data:
            return None
        transfer.data += chunk.data
        transfer.requested_at = now
        transfer.received_at = now
        if len(transfer.data) < transfer.size:
            return ChunkRequest(chunk.kind, chunk.checksum, len(transfer.data))
        del self._transfers[key]
        state = bytes(transfer.data)
        return state if zlib.crc32(state) == chunk.checksum else None

    def expire(self, now: float) -> set[int]:
        """Drop the transfers without a chunk for `STALL_TIMEOUT_S`; returns their peers."""
        stalled = [
            key for key, transfer in self._transfers.items() if now - transfer.received_at >= STALL_TIMEOUT_S
        ]
        for key in stalled:
            del self._transfers[key]
        return {peer for peer, _ in stalled}

    def collect_retries(self, now: float) -> list[tuple[int, ChunkRequest]]:
        """Requests for chunks that did not arrive within `CHUNK_RETRY_S`, each with its peer."""
        requests: list[tuple[int, ChunkRequest]] = []
        for (peer, kind), transfer in self._transfers.items():
            if now - transfer.requested_at >= CHUNK_RETRY_S:
                transfer.requested_at = now
                requests.append((peer, ChunkRequest(kind, transfer.checksum, len(transfer.data))))
        return requests
