"""What the kernel tells about a connected, non-blocking socket without reading from it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
from enum import Enum

INT = struct.Struct("i")
# A peer that has so little of the receive buffer in use has room for its close.
MAX_USED_BUFFER_FRACTION = 0.25
FIN_LENGTH = 1  # the end of the output counts as one byte


class PeerState(Enum):
    """What is known of the peer of a connection."""

    OPEN = "open"
    UNREAD = "it has sent bytes that are not handled, and may have closed after them"
    CLOSED = "it has closed"


def next_input(sock: socket.socket) -> PeerState:
    """Peek at the input: `UNREAD` if there is some, `CLOSED` at its end, and `OPEN` if there is nothing."""
    try:
        return PeerState.UNREAD if sock.recv(1, socket.MSG_PEEK) else PeerState.CLOSED
    except BlockingIOError:
        return PeerState.OPEN
    except OSError:
        return PeerState.CLOSED


def is_open_by_poll(sock: socket.socket) -> bool:
    """Whether the peer has not closed, according to poll.

    A close is detected even while bytes before it are unread.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return not poll.poll(0)


def is_close_visible(sock: socket.socket) -> bool:
    """Whether the receive buffer has room, so that a close does not wait on the peer's side."""
    unread: int = INT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(INT.size)))[0]
    return unread < MAX_USED_BUFFER_FRACTION * sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


def is_idle(sock: socket.socket) -> bool:
    """Whether the peer has not closed and no byte is unread."""
    return next_input(sock) is PeerState.OPEN


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Count the bytes of a half-closed connection that the peer's system has not acknowledged."""
    counted: int = INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT.size)))[0]
    return max(0, counted - FIN_LENGTH)
