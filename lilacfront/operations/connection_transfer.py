"""Transfers client connections from a process that shuts down to its successor.

The processes of one front end run as the same user and communicate over Unix sockets in the state directory.
The old process sends the descriptor of a connection as SCM_RIGHTS ancillary data, together with the received
part of the next message and the ids of the requests in flight. From then on only the successor reads from and
writes to the connection. The old process sends the answers to these requests over the same channel, and the
successor sends cancellations back.
"""

from __future__ import annotations

import array
import contextlib
import errno
import os
import select
import socket
import struct
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from lilacfront.logs import Log
from lilacfront.operations.transfer_messages import (
    MAX_MESSAGE_BYTES,
    ConnectionPassed,
    Message,
    RequestCancelled,
    decode_message,
    encode_message,
)
from lilacfront.sched import Loop

log = Log(__name__)
MAX_MESSAGES_PER_TURN = 64
MAX_QUEUED_CONNECTIONS = 4096  # a channel with more unsent connections is closed
# Unsent bytes above which short failures take the place of answers. The other messages are bounded by the
# connections and by the requests that are open on them.
MAX_QUEUED_ANSWER_BYTES = 4 << 20
MAX_QUEUED_BYTES = 32 << 20  # a channel with more unsent bytes is closed
MAX_RECEIVED_DESCRIPTORS = 4  # size of the ancillary buffer; a message with more than one is malformed
RETRY_DELAY_S = 0.01  # delay before sending again after ETOOMANYREFS
LISTEN_BACKLOG = 8
CREDENTIALS = struct.Struct("3i")  # struct ucred: pid, uid, gid


class ChannelObserver(Protocol):
    """Receives the messages and the closing of channels."""

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None:
        """Handle a message; takes ownership of its descriptor, if there is one."""

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Handle the closing of a channel; called exactly once for each channel."""


def is_same_user(sock: socket.socket) -> bool:
    """Return whether the peer process of a Unix socket runs as the same user as this process."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    _pid, uid, _gid = CREDENTIALS.unpack(credentials)
    return bool(uid == os.geteuid())


@dataclass(slots=True, frozen=True)
class _Datagram:
    """A datagram received from the socket.

    Attributes:
        data: The payload; empty at the end of the connection.
        descriptors: The descriptors received with it.
        truncated: Whether the payload was longer than the buffer.
    """

    data: bytes
    descriptors: tuple[int, ...]
    truncated: bool

    def close_descriptors(self) -> None:
        for descriptor in self.descriptors:
            os.close(descriptor)

    def message(self) -> Message | None:
        """Decode the message; returns None if it is malformed or has too many descriptors."""
        if self.truncated:
            return None
        try:
            message = decode_message(self.data)
        except msgspec.MsgspecError:
            return None
        max_descriptors = 1 if isinstance(message, ConnectionPassed) else 0
        return message if len(self.descriptors) <= max_descriptors else None


def _descriptors(ancillary: Iterable[tuple[int, int, bytes]]) -> tuple[int, ...]:
    """Return the descriptors in ancillary data, without an incomplete last one."""
    descriptors = array.array("i")
    for level, kind, raw in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            descriptors.frombytes(raw[: len(raw) - len(raw) % descriptors.itemsize])
    return tuple(descriptors)


class TransferChannel:
    """One end of a connection between two processes."""

    def __init__(self, loop: Loop, sock: socket.socket, observer: ChannelObserver) -> None:
        self._loop = loop
        self._sock = sock
        self._observer = observer
        self._unsent: deque[tuple[bytes, int | None]] = deque()
        self._unsent_bytes = 0
        self._unsent_connections = 0
        self.closed = False
        sock.setblocking(False)
        self._watch()

    @property
    def queued_messages(self) -> int:
        """Number of messages that have not been sent yet."""
        return len(self._unsent)

    @property
    def has_connection_capacity(self) -> bool:
        """Whether another connection may be sent."""
        return self._unsent_connections < MAX_QUEUED_CONNECTIONS

    def has_answer_capacity(self, size: int) -> bool:
        """Whether an answer of this many bytes may be sent; otherwise a short failure takes its place."""
        return not self._unsent or self._unsent_bytes + size <= MAX_QUEUED_ANSWER_BYTES

    def _watch(self) -> None:
        events = select.POLLIN
        if self._unsent:
            events |= select.POLLOUT
        self._loop.watch(self._sock.fileno(), events, self._on_ready)

    # ---- sending ------------------------------------------------------------------------------------
    def send(self, message: Message, descriptor: int | None = None) -> None:
        """Queue a message, and send it as soon as possible.

        The channel takes ownership of the descriptor, even if it is closed. It closes itself when more than
        `MAX_QUEUED_CONNECTIONS` connections or `MAX_QUEUED_BYTES` are unsent, because the other process reads
        too slowly.
        """
        if self.closed:
            if descriptor is not None:
                os.close(descriptor)
            return
        data = encode_message(message)
        self._unsent.append((data, descriptor))
        self._unsent_bytes += len(data)
        self._unsent_connections += descriptor is not None
        if self._unsent_connections > MAX_QUEUED_CONNECTIONS or self._unsent_bytes > MAX_QUEUED_BYTES:
            self.close()
            return
        self._flush()

    def _flush(self) -> None:
        while self._unsent and not self.closed:
            data, descriptor = self._unsent[0]
            try:
                self._send_datagram(data, descriptor)
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno == errno.ETOOMANYREFS:
                    # The kernel limits the number of descriptors in flight. Retry once the other process
                    # has received some of them.
                    self._loop.call_at(self._loop.now + RETRY_DELAY_S, self._flush)
                    return
                log.warning("transfer channel broken", error=error)
                self.close()
                return
            self._unsent.popleft()
            self._unsent_bytes -= len(data)
            if descriptor is not None:
                self._unsent_connections -= 1
                os.close(descriptor)
        if not self.closed:
            self._watch()

    def _send_datagram(self, data: bytes, descriptor: int | None) -> None:
        if descriptor is None:
            self._sock.sendmsg([data])
            return
        rights = array.array("i", [descriptor])
        self._sock.sendmsg([data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])

    # ---- receiving ----------------------------------------------------------------------------------
    def _on_ready(self, events: int) -> None:
        if events & select.POLLOUT:
            self._flush()
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self.closed:
                return
            try:
                datagram = self._receive_datagram()
            except BlockingIOError:
                return
            except OSError:
                self.close()
                return
            if not datagram.data:
                datagram.close_descriptors()
                self.close()
                return
            self._handle(datagram)

    def _receive_datagram(self) -> _Datagram:
        ancillary_bytes = socket.CMSG_SPACE(MAX_RECEIVED_DESCRIPTORS * array.array("i").itemsize)
        data, ancillary, flags, _address = self._sock.recvmsg(MAX_MESSAGE_BYTES, ancillary_bytes)
        return _Datagram(data, _descriptors(ancillary), bool(flags & socket.MSG_TRUNC))

    def _handle(self, datagram: _Datagram) -> None:
        message = datagram.message()
        if message is None:
            log.warning("malformed transfer message", bytes=len(datagram.data))
            datagram.close_descriptors()
            self.close()
            return
        if isinstance(message, ConnectionPassed) and not datagram.descriptors:
            # This process is out of descriptors, so the kernel dropped the one of this connection. Only this
            # connection is lost.
            log.warning("connection transfer failed: out of descriptors")
            self.send(RequestCancelled(message.connection_id))
            return
        descriptor = datagram.descriptors[0] if datagram.descriptors else None
        self._observer.on_message(self, message, descriptor)

    def close(self) -> None:
        """Close the channel and all unsent descriptors. Idempotent."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()
        for _data, descriptor in self._unsent:
            if descriptor is not None:
                os.close(descriptor)
        self._unsent.clear()
        self._observer.on_channel_closed(self)


class TransferSocket:
    """The listening socket of one process, and its channels to the other processes."""

    def __init__(self, loop: Loop, directory: str, token: str, observer: ChannelObserver) -> None:
        """Start listening.

        Raises:
            OSError: The directory can't be opened, or the socket can't be created in it.
        """
        self._loop = loop
        self._token = token
        self._observer = observer
        self.channels: set[TransferChannel] = set()
        self._closed = False
        # The path of a Unix socket is limited to 107 bytes, and that of the directory may be longer. Sockets
        # are therefore addressed through a descriptor of the directory.
        self._directory = os.open(directory, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._sock.bind(self._address(token))
            self._sock.listen(LISTEN_BACKLOG)
        except OSError:
            self._sock.close()
            os.close(self._directory)
            raise
        self._sock.setblocking(False)
        loop.watch(self._sock.fileno(), select.POLLIN, self._on_readable)

    def _address(self, token: str) -> str:
        return f"/proc/self/fd/{self._directory}/lilacfront.{token}.sock"

    def _on_readable(self, _events: int) -> None:
        with contextlib.suppress(OSError):
            sock, _peer = self._sock.accept()
            self.open_channel(sock)

    def open_channel(self, sock: socket.socket) -> TransferChannel | None:
        """Open a channel over a connected socket; returns None if its peer runs as another user."""
        if not is_same_user(sock):
            log.warning("transfer channel of another user rejected")
            sock.close()
            return None
        channel = TransferChannel(self._loop, sock, self)
        self.channels.add(channel)
        return channel

    def connect(self, token: str) -> TransferChannel | None:
        """Open a channel to the process with this token; returns None if the connection fails."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(self._address(token))
        except OSError as error:
            log.warning("transfer channel unavailable", error=error)
            sock.close()
            return None
        return self.open_channel(sock)

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None:
        """Pass a message of a channel to the observer."""
        self._observer.on_message(channel, message, descriptor)

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Remove a closed channel, and notify the observer."""
        self.channels.discard(channel)
        self._observer.on_channel_closed(channel)

    def close(self) -> None:
        """Close all channels and remove the socket. Idempotent."""
        if self._closed:
            return
        self._closed = True
        for channel in list(self.channels):
            channel.close()
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()
        with contextlib.suppress(OSError):
            os.unlink(self._address(self._token))
        os.close(self._directory)
