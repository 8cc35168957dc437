"""The UDP socket for datagrams between front ends."""

import socket
from collections.abc import Iterator

import pytest
from play import Clock

from lilacfront.membership.datagram_link import DatagramLink
from lilacfront.sched import Loop


@pytest.fixture
def loop() -> Iterator[Loop]:
    loop = Loop(Clock())
    yield loop
    loop.close()


def bound_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(5)
    return sock


@pytest.fixture
def peer() -> Iterator[socket.socket]:
    with bound_socket() as sock:
        yield sock


@pytest.fixture
def unknown_sender() -> Iterator[socket.socket]:
    with bound_socket() as sock:
        yield sock


@pytest.fixture
def received() -> list[tuple[int, bytes]]:
    return []


@pytest.fixture
def link(loop: Loop, peer: socket.socket, received: list[tuple[int, bytes]]) -> Iterator[DatagramLink]:
    """A link to two peers, of which `peer` has index 1."""
    addresses = (("127.0.0.1", 9), peer.getsockname())
    link = DatagramLink(loop, ("127.0.0.1", 0), addresses, lambda *datagram: received.append(datagram))
    yield link
    link.close()


def test_datagrams_that_are_too_long_or_not_from_peers_are_dropped(
    loop: Loop,
    link: DatagramLink,
    peer: socket.socket,
    unknown_sender: socket.socket,
    received: list[tuple[int, bytes]],
) -> None:
    unknown_sender.sendto(b"no", link.address)
    peer.sendto(bytes(257), link.address)
    peer.sendto(bytes(256), link.address)
    while not received:
        loop.turn(1.0)
    assert received == [(1, bytes(256))]


def test_send_to_one_or_all_peers_drops_datagrams_that_are_too_long(
    link: DatagramLink, peer: socket.socket
) -> None:
    link.send(1, bytes(257))
    link.send(7, b"nobody")
    link.send(1, b"one")
    link.send(None, b"all")
    assert [peer.recv(999), peer.recv(999)] == [b"one", b"all"]
