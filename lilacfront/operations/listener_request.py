"""Requests a listening socket from the process that this one replaces; done once, before the loop runs."""

from __future__ import annotations

import os
import re
import socket
import time
from collections.abc import Iterator

import msgspec

from lilacfront.logs import Log
from lilacfront.operations.connection_transfer import is_same_user
from lilacfront.operations.transfer_messages import (
    MAX_MESSAGE_BYTES,
    ListenerPassed,
    ListenerRequested,
    decode_message,
    encode_message,
)

log = Log(__name__)
REQUEST_TIMEOUT_S = 1.0
SOCKET_NAME = re.compile(r"lilacfront\..+\.sock")


def request_listener(directory: str, front_end: str, address: tuple[str, int]) -> int | None:
    """Request a listening socket from the running processes of a front end, one after the other.

    Args:
        directory: Path of the state directory, which contains the sockets of the processes.
        front_end: Name of the front end.
        address: Host and port that the socket listens on.

    Returns:
        A descriptor of the socket; None if no process has passed one in time.
    """
    request = ListenerRequested(front_end, *address)
    for path in _transfer_sockets(directory):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            try:
                sock.settimeout(REQUEST_TIMEOUT_S)
                sock.connect(path)
                descriptor = _request_from(sock, request) if is_same_user(sock) else None
            except OSError:
                continue  # the process has ended, or it is of a version that does not know the request
        if descriptor is not None:
            log.info("listening socket received", address=address)
            return descriptor
    return None


def _transfer_sockets(directory: str) -> Iterator[str]:
    """Yield the path of each socket, short enough for the limit of 107 bytes."""
    descriptor = os.open(directory, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        for name in sorted(os.listdir(directory)):
            if SOCKET_NAME.fullmatch(name):
                yield f"/proc/self/fd/{descriptor}/{name}"
    finally:
        os.close(descriptor)


def _request_from(sock: socket.socket, request: ListenerRequested) -> int | None:
    """Send the request and wait for the answer; announcements of the state may come before it."""
    sock.send(encode_message(request))
    deadline = time.monotonic() + REQUEST_TIMEOUT_S
    while time.monotonic() < deadline:
        data, descriptors, _flags, _address = socket.recv_fds(sock, MAX_MESSAGE_BYTES, 1)
        if not data:
            return None
        is_answer = _is_answer(data, request)
        if is_answer and descriptors:
            return descriptors[0]
        for descriptor in descriptors:
            os.close(descriptor)
        if is_answer:
            return None
    return None


def _is_answer(data: bytes, request: ListenerRequested) -> bool:
    try:
        message = decode_message(data)
    except msgspec.MsgspecError:
        return False
    return message == ListenerPassed(request.host, request.port)
