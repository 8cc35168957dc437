"""Errors and helpers for the addresses and descriptors that a process starts with."""

from __future__ import annotations

import os
import socket
import stat
from collections.abc import Iterator
from contextlib import contextmanager

from lilacfront.errors import SettingsError


class StartError(SettingsError):
    """An address or a descriptor can't be used; the key names the setting."""


@contextmanager
def os_error_as_start_error(key: str, address: tuple[str, int]) -> Iterator[None]:
    """Convert an OSError for an address into a StartError."""
    try:
        yield
    except OSError as error:
        raise StartError(key, f"{address[0]}:{address[1]}: {error.strerror}") from error


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that this process inherited.

    Raises:
        StartError: The descriptor is not a listening TCP socket.
    """
    key = "PROXY_PASSED_SOCKET"
    try:
        if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            raise StartError(key, f"descriptor {descriptor} is not a socket")
        sock = socket.socket(fileno=descriptor)
        is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        raise StartError(key, f"descriptor {descriptor}: {error.strerror}") from error
    if not is_listening or sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        sock.detach()
        raise StartError(key, f"descriptor {descriptor} is not a listening TCP socket")
    return sock
