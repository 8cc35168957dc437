"""Exchange of state between front ends after a power loss: digests, and what differs in chunks. No I/O.

Each front end sends checksums of the directives to it and of its list of ready engines. A peer whose
replica of the directives differs fetches them and merges them by number; where its replica still differs it
offers that in turn. A front end takes over directives to itself only while it recovers: later it is the one
that knows. Ready lists are fetched by their numbers. Everything is idempotent; what is lost is asked for
again, and nothing is waited for.
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

MAX_STATE_BYTES: Final = 0xFFFF  # of one kind of state; a longer one is not offered
MAX_CHUNK_BYTES: Final = 180
FRUITLESS_FETCH_PAUSE_S: Final = 2.0  # until directives that brought nothing new are fetched again
PEER_STAGE_TTL_S: Final = 2.0
OFFERS_PER_DIGEST: Final = 2
_ANY_PEER: Final = -1  # in the place of the peer, for state that is the same for all
_NO_CHECKSUM: Final = -1


class ExchangedState(Protocol):
    """The state of one front end, as the exchange reads and changes it."""

    def stage_number(self) -> int:
        """The current stage of the start."""
        ...

    def recovering(self) -> bool:
        """Whether directives and lists of peers are taken over."""
        ...

    def own_directives(self) -> Iterable[OperatorDirective]:
        """Directives to this front end."""
        ...

    def peer_directives(self) -> Mapping[int, Mapping[str, OperatorDirective]]:
        """Replicas of directives to peers, by the peer's number and by name."""
        ...

    def ready_list(self) -> ReadyList:
        """The engines that are ready by this front end's list."""
        ...

    def merge_peer_directives(self, owner: int, directives: list[OperatorDirective]) -> None:
        """Merge directives to a peer into the replica."""
        ...

    def restore_own_directives(self, directives: list[OperatorDirective]) -> None:
        """Take over directives to this front end of which a peer holds a replica."""
        ...

    def apply_peer_ready_list(self, peer: int, seq: int, short_ids: set[int]) -> None:
        """Stop sending to engines that a peer's newer list does not show as ready."""
        ...


class StateExchange(Piggyback):
    """One front end's side of the exchange, called with the messages of the membership protocol.

    Attributes:
        peer_stages: The stage of each peer and when it was received.
        disagreeing_peers: Peers that hold directives to this front end that it lacks.
    """

    def __init__(self, state: ExchangedState) -> None:
        self.peer_stages: dict[int, tuple[int, float]] = {}
        self.disagreeing_peers: set[int] = set()
        self._state = state
        self._transfers = InboundTransfers()
        # By peer, the checksum of directives that brought nothing new, and until when they are not fetched.
        self._fruitless: dict[int, tuple[int, float]] = {}
        self._encoded: dict[tuple[StateKind, int], bytes] = {}

    @property
    def transfers_under_way(self) -> int:
        """How many states are being fetched from peers."""
        return self._transfers.count

    def invalidate(self) -> None:
        """Encode the state again before it is next offered: it may have changed."""
        self._encoded.clear()

    def any_peer_at_stage(self, now: float, stage: int) -> bool:
        """Whether a peer was in this stage or a later one just now."""
        return any(
            peer_stage >= stage and now - received_at < PEER_STAGE_TTL_S
            for peer_stage, received_at in self.peer_stages.values()
        )

    def retries_due(self, now: float) -> list[tuple[int, ChunkRequest]]:
        """Requests for chunks that did not come, and the peers to send them to."""
        self.disagreeing_peers -= self._transfers.expire(now)
        return self._transfers.retries_due(now)

    # ---- messages -------------------------------------------------------------------------------------
    def collect(self, now: float, room: int) -> Iterator[Item]:
        """A digest of the state, where `room` bytes hold it."""
        del now  # a digest is offered at any time
        if room >= ITEM_HEADER_BYTES + DIGEST.size + OFFERS_PER_DIGEST * OFFER.size:
            seq = self._state.ready_list().seq
            offers = (
                self._offer(StateKind.OPERATOR_DIRECTIVES, _ANY_PEER),
                self._offer(StateKind.ENDPOINT_LIST, _ANY_PEER),
            )
            yield StateDigest(self._state.stage_number(), seq & SHORT_ID_MASK, offers)

    def receive(self, now: float, sender: int, item: PiggybackItem) -> Iterator[Item]:
        """Handle a peer's item; returns the items that answer it."""
        match item:
            case StateDigest(stage, seq, offers):
                if seq or offers:
                    self.peer_stages[sender] = (stage, now)
                for kind, checksum, size in offers:
                    if self._wants(now, sender, kind, checksum, seq):
                        yield from self._transfers.start(now, sender, kind, checksum, size)
            case ChunkRequest():
                yield from self._answer_fetch(sender, item)
            case StateChunk():
                yield from self._receive_chunk(now, sender, item)

    def _encode(self, kind: StateKind, peer: int) -> bytes:
        """The state of a kind; of replicas, those of this peer's directives."""
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

    def _wants(self, now: float, peer: int, kind: int, checksum: int, seq: int) -> bool:
        """Whether an offered state is to be fetched."""
        match kind:
            case StateKind.OPERATOR_DIRECTIVES:
                fruitless, until = self._fruitless.get(peer, (_NO_CHECKSUM, 0.0))
                # Where they differ, the peer may have lost its directives or have newer ones: merging tells.
                differ = self._checksum(StateKind.REPLICA, peer) != checksum
                return differ and not (fruitless == checksum and now < until)
            case StateKind.REPLICA:
                return self._wants_replica(peer, checksum)
            case StateKind.ENDPOINT_LIST:
                return self._state.recovering() and seq > self._state.ready_list().seq
        return False

    def _wants_replica(self, peer: int, checksum: int) -> bool:
        """Whether a peer's replica of the directives to this front end is to be fetched."""
        if self._checksum(StateKind.OPERATOR_DIRECTIVES, _ANY_PEER) == checksum:
            self.disagreeing_peers.discard(peer)
            return False
        if not self._state.recovering():
            return False
        self.disagreeing_peers.add(peer)
        return True

    def _answer_fetch(self, peer: int, request: ChunkRequest) -> Iterator[Item]:
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
                return  # of another version, or malicious: as if it had not come

    def _apply(self, now: float, peer: int, kind: int, data: bytes, checksum: int) -> Iterator[Item]:
        """Use a state that came complete."""
        match kind:
            case StateKind.OPERATOR_DIRECTIVES:
                self._state.merge_peer_directives(peer, decode_directives(data))
                self.invalidate()
                if self._checksum(StateKind.REPLICA, peer) != checksum:
                    self._fruitless[peer] = (checksum, now + FRUITLESS_FETCH_PAUSE_S)
                    yield StateDigest(self._state.stage_number(), 0, (self._offer(StateKind.REPLICA, peer),))
            case StateKind.REPLICA:
                if self._state.recovering():
                    self._state.restore_own_directives(decode_directives(data))
                    self.invalidate()
                self.disagreeing_peers.discard(peer)
            case StateKind.ENDPOINT_LIST:
                seq, short_ids = decode_ready_list(data)
                self._state.apply_peer_ready_list(peer, seq, short_ids)
