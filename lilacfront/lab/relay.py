"""UDP relays between real processes that simulate packet loss, delay, duplicates and partitions."""

from __future__ import annotations

import contextlib
import heapq
import random
import select
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from lilacfront.lab.fault_script import FalseReport, FaultScript
from lilacfront.lab.network_model import NetworkModel, falsify_datagram
from lilacfront.membership.codec import HEADER, MAX_DATAGRAM_BYTES, VERSION
from lilacfront.membership.sender import IP_UDP_HEADER_BYTES

MAX_POLL_INTERVAL_S = 0.05  # seconds; the longest time until the thread notices `close`
CLOSE_TIMEOUT_S = 10.0
MS_PER_S = 1000
INCARNATION_FIELD = 4  # index of the incarnation in a datagram's unpacked header

Address = tuple[str, int]


@dataclass(slots=True, frozen=True, order=True)
class _PendingDatagram:
    """A datagram to deliver, ordered by delivery time and then by order of receipt."""

    deliver_at: float
    number: int
    sender: int = field(compare=False)
    receiver: int = field(compare=False)
    data: bytes = field(compare=False)


class RelayNetwork:
    """A relay socket for each directed pair of members; one thread serves them all.

    Attributes:
        network: Chooses the delivery delays of each datagram; none if it is lost.
        false_reports: How the datagrams of a member are falsified, by member.
        dead_members: The members whose processes have ended.
        sent_bytes: Bytes that each member sent, including UDP and IP headers.
        longest_datagram_bytes: Payload size of the longest datagram.
        listen_addresses: The listening address of each member.
    """

    def __init__(self, script: FaultScript, seed: int) -> None:
        members = script.members
        self._rng = random.Random(seed)
        self.network = NetworkModel(script, self._rng)
        self.false_reports: dict[int, FalseReport] = {}
        self.dead_members: set[int] = set()
        self.sent_bytes: Counter[int] = Counter()
        self.longest_datagram_bytes = 0
        self._incarnations = [0] * members
        # _sockets[a][b] receives datagrams from member a to b and sends a the datagrams from b.
        self._sockets = [[_loopback_socket() for _ in range(members)] for _ in range(members)]
        self.listen_addresses = [_free_address() for _ in range(members)]
        self._pending: list[_PendingDatagram] = []
        self._numbers = count()
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def peer_addresses(self, member: int) -> list[str]:
        """The peer list of a member: its own listening address, and a relay address for each other member."""
        addresses = [sock.getsockname() for sock in self._sockets[member]]
        addresses[member] = self.listen_addresses[member]
        return [f"{host}:{port}" for host, port in addresses]

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self._closed = True
        self._thread.join(CLOSE_TIMEOUT_S)
        for row in self._sockets:
            for sock in row:
                sock.close()

    def _run(self) -> None:
        poll = select.poll()
        links: dict[int, tuple[int, int]] = {}
        for sender, row in enumerate(self._sockets):
            for receiver, sock in enumerate(row):
                sock.setblocking(False)
                links[sock.fileno()] = (sender, receiver)
                poll.register(sock, select.POLLIN)
        while not self._closed:
            for descriptor, _ in poll.poll(MS_PER_S * self._poll_timeout_s()):
                self._receive_all(*links[descriptor])
            self._deliver_pending()

    def _poll_timeout_s(self) -> float:
        if not self._pending:
            return MAX_POLL_INTERVAL_S
        return max(0.0, min(self._pending[0].deliver_at - time.monotonic(), MAX_POLL_INTERVAL_S))

    def _receive_all(self, sender: int, receiver: int) -> None:
        sock = self._sockets[sender][receiver]
        # Ends when the buffer is empty, or an ICMP error reports that an earlier datagram was not received.
        with contextlib.suppress(OSError):
            while True:
                self._relay(sender, receiver, sock.recv(MAX_DATAGRAM_BYTES + 1))

    def _relay(self, sender: int, receiver: int, data: bytes) -> None:
        """Schedule a datagram for delivery, once for each delay that the network model returns."""
        self.sent_bytes[sender] += len(data) + IP_UDP_HEADER_BYTES
        self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(data))
        if len(data) >= HEADER.size and data[0] == VERSION:
            self._incarnations[sender] = HEADER.unpack_from(data)[INCARNATION_FIELD]
            data = self._falsified(sender, data)
        now = time.monotonic()
        for delay_s in self.network.delivery_delays(sender, receiver):
            pending = _PendingDatagram(now + delay_s, next(self._numbers), sender, receiver, data)
            heapq.heappush(self._pending, pending)

    def _falsified(self, sender: int, data: bytes) -> bytes:
        false_report = self.false_reports.get(sender)
        if false_report is None:
            return data
        known_incarnation = self._incarnations.__getitem__
        members = len(self._sockets)
        return falsify_datagram(
            data, false_report, sender, self.dead_members, known_incarnation, self._rng, members
        )

    def _deliver_pending(self) -> None:
        """Deliver the datagrams whose delivery time has come."""
        now = time.monotonic()
        while self._pending and self._pending[0].deliver_at <= now:
            datagram = heapq.heappop(self._pending)
            sock = self._sockets[datagram.receiver][datagram.sender]
            with contextlib.suppress(OSError):  # no process is listening on the address
                sock.sendto(datagram.data, self.listen_addresses[datagram.receiver])


def _loopback_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    return sock


def _free_address() -> Address:
    with _loopback_socket() as sock:
        host, port = sock.getsockname()
        return host, port
