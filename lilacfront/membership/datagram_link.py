"""UDP socket for datagrams between front ends; datagrams from addresses other than the peers' are dropped."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from lilacfront.logs import Log
from lilacfront.membership.codec import MAX_DATAGRAM_BYTES
from lilacfront.sched import Loop

log = Log(__name__)
MAX_DATAGRAMS_PER_TURN = 64  # so that a flood of datagrams can't block the event loop


class DatagramLink:
    """A UDP socket bound to `listen`. Peers are identified by their index in `addresses`."""

    def __init__(
        self,
        loop: Loop,
        listen: tuple[str, int],
        addresses: tuple[tuple[str, int], ...],
        on_datagram: Callable[[int, bytes], None],
        shared: bool = False,
    ) -> None:
        """Bind the socket and watch it.

        Args:
            loop: The event loop.
            listen: Address to bind to.
            addresses: Addresses of all peers, including this one.
            on_datagram: Called with the index of the sender and the bytes of each received datagram.
            shared: Whether another process of this front end may be bound to the same address. The process
                that was bound last receives the datagrams.

        Raises:
            OSError: The socket can't be bound to the address.
        """
        self.loop = loop
        self.addresses = addresses
        self._on_datagram = on_datagram
        self._peers_by_address = {address: peer for peer, address in enumerate(addresses)}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            if shared:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(listen)
        except OSError:
            self.sock.close()
            raise
        self.address: tuple[str, int] = self.sock.getsockname()
        self.loop.watch(self.sock.fileno(), select.POLLIN, self._on_readable)

    def _on_readable(self, _events: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # no more datagrams, or an ICMP error for a sent datagram
                return
            peer = self._peers_by_address.get(sender)
            if peer is not None and len(data) <= MAX_DATAGRAM_BYTES:
                self._on_datagram(peer, data)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to one peer, or to all if `peer` is None; it is dropped if it is too long.

        Delivery is not guaranteed, and errors of the socket are only logged.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            log.error("peer datagram too long", bytes=len(data))
            return
        for address in self.addresses if peer is None else self.addresses[peer : peer + 1]:
            try:
                self.sock.sendto(data, address)
            except OSError as problem:
                log.debug("peer datagram not sent", peer=address, error=problem)

    def close(self) -> None:
        """Unregister the socket from the event loop, and close it."""
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
