"""Encodes the datagrams of one front end, within a rate limit in bytes per second. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from lilacfront.membership.codec import (
    COMPACT_UPDATE,
    HEADER,
    ITEM_HEADER_BYTES,
    PROBE,
    TAG_BYTES,
    UPDATE,
    encode,
    item_size,
    max_items_bytes,
)
from lilacfront.membership.gossip_queue import GossipQueue
from lilacfront.membership.incarnation import OwnIncarnation
from lilacfront.membership.local_node import LocalNode
from lilacfront.membership.messages import Ack, Item, Message, Ping, PingRequest
from lilacfront.membership.update_packing import Gossip, UpdatePacker

IP_UDP_HEADER_BYTES = 28  # size of the IP and UDP headers, which count toward the rate limit
BURST_S = 2.0  # capacity of the token bucket, in seconds of the rate
PROBE_RESERVE_FRACTION = 0.25  # fraction of the capacity that is reserved for probes and acks
PROBE_ITEM_BYTES = ITEM_HEADER_BYTES + PROBE.size
MAX_SECONDS = 0xFFFFFFFF


class OutgoingDatagram(NamedTuple):
    """A datagram to send to member `peer`."""

    peer: int
    data: bytes


class TokenBucket:
    """Token bucket with one token per byte and a capacity of BURST_S seconds of the rate.

    Attributes:
        reserve: Number of tokens that are reserved for probes and acks.
        tokens: Number of available tokens.
    """

    def __init__(self, bytes_per_s: int, now: float) -> None:
        self._rate = bytes_per_s
        self._capacity = bytes_per_s * BURST_S
        self._refilled_at = now
        self.reserve = PROBE_RESERVE_FRACTION * bytes_per_s * BURST_S
        self.tokens = self._capacity

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        self.tokens = min(self._capacity, self.tokens + self._rate * (now - self._refilled_at))
        self._refilled_at = now

    def skip(self, now: float) -> None:
        """Add no tokens for the time since the last refill."""
        self._refilled_at = now

    def spend(self, count: int) -> None:
        """Remove the tokens for this number of bytes."""
        self.tokens -= count


class DatagramSender:
    """Encodes the messages of this front end.

    Attributes:
        bucket: The token bucket of the rate limit.
        sent_bytes: Total size of all datagrams in bytes, including IP and UDP headers.
        keys: Keys by their numbers; sent messages are tagged with the first one.
    """

    def __init__(
        self,
        node: LocalNode,
        incarnation: OwnIncarnation,
        queue: GossipQueue,
        packer: UpdatePacker,
        now: float,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._queue = queue
        self._packer = packer
        self.bucket = TokenBucket(node.settings.max_bytes_per_s, now)
        self.sent_bytes = 0
        self.set_keys({})

    def set_keys(self, keys: dict[int, bytes]) -> None:
        """Set the keys: messages are tagged with the first one, or not tagged if there is none."""
        self.keys = keys
        self._key = next(iter(keys.items()), None)
        self._max_items_bytes = max_items_bytes(tagged=bool(keys))
        self._overhead = HEADER.size + (TAG_BYTES if keys else 0) + IP_UDP_HEADER_BYTES

    def send(
        self,
        now: float,
        peer: int,
        *items: Item,
        gossip: Gossip = Gossip.QUEUED,
        low_priority: bool = False,
    ) -> list[OutgoingDatagram]:
        """Encode a message with these items and as much gossip as fits.

        Returns no datagram if the rate limit is reached. Messages with `low_priority` don't use the reserved
        tokens, and are not sent if they would be empty. Probes and acks have priority over gossip,
        because without them live members would be suspected, and refutations would cause even more gossip.
        """
        self.bucket.refill(now)
        items_bytes = sum(_item_size(item) for item in items)
        minimum = self._overhead + items_bytes
        spare_bytes = self.bucket.tokens - minimum - self.bucket.reserve
        # Many short messages would use up the rate limit with their headers.
        min_gossip_bytes = min(
            self._max_items_bytes, ITEM_HEADER_BYTES + len(self._queue) * COMPACT_UPDATE.size
        )
        if self.bucket.tokens < minimum or (low_priority and spare_bytes < min_gossip_bytes):
            return []
        allowed_bytes = int(max(spare_bytes, ITEM_HEADER_BYTES + UPDATE.size))
        max_gossip_bytes = min(self._max_items_bytes - items_bytes, allowed_bytes) - 2 * ITEM_HEADER_BYTES
        updates = self._packer.pack(peer, max_gossip_bytes, now, gossip)
        if low_priority and not updates and not items:
            return []
        data = encode(self._message((*items, *updates)), self._key)
        self.bucket.spend(len(data) + IP_UDP_HEADER_BYTES)
        self.sent_bytes += len(data) + IP_UDP_HEADER_BYTES
        return [OutgoingDatagram(peer, data)]

    def _message(self, items: tuple[Item, ...]) -> Message:
        return Message(
            self._node.own_member,
            self._incarnation.value,
            self._incarnation.next_sequence(),
            int(self._node.wall_s()) & MAX_SECONDS,
            items,
        )


def _item_size(item: Item) -> int:
    return PROBE_ITEM_BYTES if isinstance(item, Ping | Ack | PingRequest) else item_size(item)
