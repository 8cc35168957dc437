"""The datagram socket to the other front ends; opening is retried while the address is in use."""

from __future__ import annotations

from collections.abc import Callable

from lilacfront.config import Config
from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.logs import Log
from lilacfront.membership.datagram_link import DatagramLink
from lilacfront.sched import Loop
from lilacfront.server.start import StartError

log = Log(__name__)
RETRY_INTERVAL_S = 0.5


class PeerConnection:
    """Sends and receives the datagrams of load gossip and membership.

    Attributes:
        link: The socket; None until it is open.
    """

    def __init__(
        self,
        config: Config,
        loop: Loop,
        dispatcher: RequestDispatcher,
        receive: Callable[[int, bytes], None],
    ) -> None:
        self.link: DatagramLink | None = None
        self._config = config
        self._loop = loop
        self._dispatcher = dispatcher
        self._receive = receive

    def open(self, address: tuple[str, int]) -> None:
        """Open the socket; retry while another process of this front end may be using the address.

        Raises:
            StartError: The address can't be used, and this front end has no other processes.
        """
        is_shared = self._config.state_directory is not None
        try:
            self.link = DatagramLink(
                self._loop, address, self._config.peer_addresses, self._receive, is_shared
            )
        except OSError as error:
            if not is_shared:
                raise StartError("peer_listen", f"{address[0]}:{address[1]}: {error.strerror}") from error
            log.warning("peer address in use", address=address, error=error)
            self._loop.call_at(self._loop.now + RETRY_INTERVAL_S, lambda: self.open(address))
            return
        if self._config.policy.limits.may_gossip:
            self._dispatcher.set_peer_transport(self.link)

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer; it is dropped while the socket is not open."""
        if self.link is not None:
            self.link.send(peer, data)

    def close(self) -> None:
        """Close the socket."""
        if self.link is not None:
            self.link.close()
