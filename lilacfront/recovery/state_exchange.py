"""Anti-entropy between front ends: digests of the state, and transfers where the state differs. No I/O.

1. Each front end sends digests with checksums of the directives to it and of its list of ready engines.
2. A peer whose replica of the directives has another checksum fetches the directives and merges them by
   revision. If its replica still differs afterwards, it offers the replica to the front end.
3. A front end applies an offered replica only while it recovers; after that its own directives are
   authoritative.
4. A recovering front end fetches a ready list with a higher event number than its own list has.

All messages are idempotent. Lost chunks are requested again, and no call blocks.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, Protocol

import msgspec

from lilacfront.membership.codec import DIGEST, ITEM_HEADER_BYTES, OFFER
from lilacfront.membership.messages import (
    ChunkRequest,
    Item,
    PiggybackItem,
    StateChunk,
    StateDigest,
    StateKind,
)
from lilacfront.membership.piggyback import Piggyback
from lilacfront.operations.state_record import OperatorDirective
from lilacfront.recovery.state_encoding import (
    SHORT_ID_MASK,
    ReadyList,
    decode_directives,
    decode_ready_list,
    encode_directives,
    encode_ready_list,
)
from lilacfront.recovery.transfers import InboundTransfers

MAX_STATE_BYTES: Final = 0xFFFF  # longer encodings of one kind of state are not offered
MAX_CHUNK_BYTES: Final = 180  # bytes of state in one chunk
REFETCH_PAUSE_S: Final = 2.0  # seconds until a peer's directives are refetched if the replica still differs
PEER_STAGE_TTL_S: Final = 2.0  # seconds for which a received stage of a peer is valid
OFFERS_PER_DIGEST: Final = 2
_ANY_PEER: Final = -1  # stands for the peer where the state is the same for all peers
_NO_CHECKSUM: Final = -1  # differs from every CRC-32


class ExchangedState(Protocol):
    """Access of the exchange to the state of one front end."""

    def stage_number(self) -> int:
        """Number of the current recovery stage."""
        ...

    def recovering(self) -> bool:
        """Whether directives and ready lists from peers are applied."""
        ...

    def own_directives(self) -> Iterable[OperatorDirective]:
        """Directives to this front end."""
        ...

    def peer_directives(self) -> Mapping[int, Mapping[str, OperatorDirective]]:
        """Replicas of the directives to each peer, by the peer's number and the directive's target."""
        ...

    def ready_list(self) -> ReadyList:
        """The engines that this front end's endpoint list shows as ready."""
        ...

    def merge_peer_directives(self, owner: int, directives: list[OperatorDirective]) -> None:
        """Merge directives to a peer into the replica of them."""
        ...

    def restore_own_directives(self, directives: list[OperatorDirective]) -> None:
        """Apply directives to this front end from the replica of a peer."""
        ...

    def apply_peer_ready_list(self, peer: int, seq: int, short_ids: set[int]) -> None:
        """Stop sending to engines that a peer's newer list does not show as ready."""
        ...


class StateExchange(Piggyback):
    """One front end's side of the exchange; its items travel in messages of the membership protocol.

    Attributes:
        peer_stages: The stage of each peer and when it was received.
        disagreeing_peers: Peers whose replica of this front end's directives differs and is being fetched.
    """

    def __init__(self, state: ExchangedState) -> None:
        self.peer_stages: dict[int, tuple[int, float]] = {}
        self.disagreeing_peers: set[int] = set()
        self._state = state
        self._transfers = InboundTransfers()
        # By peer: checksum of directives that were merged but left the replica different; end of the pause.
        self._unresolved_fetches: dict[int, tuple[int, float]] = {}
        self._encoded: dict[tuple[StateKind, int], bytes] = {}

    @property
    def active_transfers(self) -> int:
        """Number of transfers from peers in progress."""
        return self._transfers.count

    def invalidate(self) -> None:
        """Discard the cached encodings, because the state may have changed."""
        self._encoded.clear()

    def any_peer_at_stage(self, now: float, stage: int) -> bool:
        """Whether a peer reported this stage or a later one within the last `PEER_STAGE_TTL_S`."""
        return any(
            peer_stage >= stage and now - received_at < PEER_STAGE_TTL_S
            for peer_stage, received_at in self.peer_stages.values()
        )

    def collect_retries(self, now: float) -> list[tuple[int, ChunkRequest]]:
        """Drop stalled transfers; returns repeated requests for overdue chunks, each with its peer."""
        self.disagreeing_peers -= self._transfers.expire(now)
        return self._transfers.collect_retries(now)

    # ---- messages -------------------------------------------------------------------------------------
    def collect(self, now: float, max_bytes: int) -> Iterator[Item]:
        """Yield a digest of the state if it fits into `max_bytes`."""
        del now  # digests are not limited in rate
        if max_bytes >= ITEM_HEADER_BYTES + DIGEST.size + OFFERS_PER_DIGEST * OFFER.size:
            seq = self._state.ready_list().seq
            offers = (
                self._offer(StateKind.OPERATOR_DIRECTIVES, _ANY_PEER),
                self._offer(StateKind.ENDPOINT_LIST, _ANY_PEER),
            )
            yield StateDigest(self._state.stage_number(), seq & SHORT_ID_MASK, offers)

    def receive(self, now: float, sender: int, item: PiggybackItem) -> Iterator[Item]:
        """Handle a peer's item; yields the items to send in answer."""
        match item:
            case StateDigest(stage, seq, offers):
                if seq or offers:
                    self.peer_stages[sender] = (stage, now)
                for kind, checksum, size in offers:
                    if self._should_fetch(now, sender, kind, checksum, seq):
                        yield from self._transfers.start(now, sender, kind, checksum, size)
            case ChunkRequest():
                yield from self._answer_chunk_request(sender, item)
            case StateChunk():
                yield from self._receive_chunk(now, sender, item)

    def _encode(self, kind: StateKind, peer: int) -> bytes:
        """Encode the state of a kind, with a cache; a replica is that of the peer's directives."""
        key = (kind, peer if kind is StateKind.REPLICA else _ANY_PEER)
        encoded = self._encoded.get(key)
        if encoded is None:
            match kind:
                case StateKind.OPERATOR_DIRECTIVES:
                    encoded = encode_directives(self._state.own_directives())
                case StateKind.REPLICA:
                    encoded = encode_directives(self._state.peer_directives().get(peer, {}).values())
                case StateKind.ENDPOINT_LIST:
                    encoded = encode_ready_list(self._state.ready_list())
            self._encoded[key] = encoded
        return encoded

    def _checksum(self, kind: StateKind, peer: int) -> int:
        return zlib.crc32(self._encode(kind, peer))

    def _offer(self, kind: StateKind, peer: int) -> tuple[int, int, int]:
        data = self._encode(kind, peer)
        size = len(data) if len(data) <= MAX_STATE_BYTES else 0
        return kind, zlib.crc32(data), size

    def _should_fetch(self, now: float, peer: int, kind: int, checksum: int, seq: int) -> bool:
        """Whether to fetch a state that a peer offers."""
        match kind:
            case StateKind.OPERATOR_DIRECTIVES:
                unresolved_checksum, until = self._unresolved_fetches.get(peer, (_NO_CHECKSUM, 0.0))
                # The checksum doesn't show which side is newer; merging by revision does.
                differ = self._checksum(StateKind.REPLICA, peer) != checksum
                return differ and not (unresolved_checksum == checksum and now < until)
            case StateKind.REPLICA:
                return self._should_fetch_replica(peer, checksum)
            case StateKind.ENDPOINT_LIST:
                return self._state.recovering() and seq > self._state.ready_list().seq
        return False

    def _should_fetch_replica(self, peer: int, checksum: int) -> bool:
        """Whether to fetch a peer's replica of the directives to this front end."""
        if self._checksum(StateKind.OPERATOR_DIRECTIVES, _ANY_PEER) == checksum:
            self.disagreeing_peers.discard(peer)
            return False
        if not self._state.recovering():
            return False
        self.disagreeing_peers.add(peer)
        return True

    def _answer_chunk_request(self, peer: int, request: ChunkRequest) -> Iterator[Item]:
        if request.kind not in (*StateKind,):
            return
        data = self._encode(StateKind(request.kind), peer)
        if zlib.crc32(data) == request.checksum and request.offset < len(data) <= MAX_STATE_BYTES:
            chunk = data[request.offset : request.offset + MAX_CHUNK_BYTES]
            yield StateChunk(request.kind, request.checksum, request.offset, chunk)

    def _receive_chunk(self, now: float, peer: int, chunk: StateChunk) -> Iterator[Item]:
        received = self._transfers.receive(now, peer, chunk)
        if isinstance(received, ChunkRequest):
            yield received
        elif received is not None:
            try:
                yield from self._apply(now, peer, chunk.kind, received, chunk.checksum)
            except msgspec.MsgspecError:
                return  # drops state that another version or a malicious peer sent

    def _apply(self, now: float, peer: int, kind: int, data: bytes, checksum: int) -> Iterator[Item]:
        """Apply a completely received state; yields the items to send in answer."""
        match kind:
            case StateKind.OPERATOR_DIRECTIVES:
                self._state.merge_peer_directives(peer, decode_directives(data))
                self.invalidate()
                if self._checksum(StateKind.REPLICA, peer) != checksum:
                    self._unresolved_fetches[peer] = (checksum, now + REFETCH_PAUSE_S)
                    yield StateDigest(self._state.stage_number(), 0, (self._offer(StateKind.REPLICA, peer),))
            case StateKind.REPLICA:
                if self._state.recovering():
                    self._state.restore_own_directives(decode_directives(data))
                    self.invalidate()
                self.disagreeing_peers.discard(peer)
            case StateKind.ENDPOINT_LIST:
                seq, short_ids = decode_ready_list(data)
                self._state.apply_peer_ready_list(peer, seq, short_ids)
