"""What the kernel tells about a connected, non-blocking socket without reading from it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

INT = struct.Struct("i")
FIN_LENGTH = 1  # the end of the output counts as one byte


def is_open_by_peek(sock: socket.socket) -> bool:
    """Whether the peer has not closed, according to a peek at the next unread byte.

    A close is not detected while bytes before it are unread.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except OSError:
        return False


def is_open_by_poll(sock: socket.socket) -> bool:
    """Whether the peer has not closed, according to poll.

    A close is detected even while bytes before it are unread.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return not poll.poll(0)


def is_idle(sock: socket.socket) -> bool:
    """Whether the peer has not closed and no byte is unread."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False  # closed by the peer, or with an unread byte


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Count the bytes of a half-closed connection that the peer's system has not acknowledged."""
    counted: int = INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT.size)))[0]
    return max(0, counted - FIN_LENGTH)
