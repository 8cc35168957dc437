"""Accepts connections at one address, no more at once than it may hold."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from lilacfront.sched import Loop

BACKLOG = 512


class Listener:
    """`accept(socket, ended)` gets each connection and calls `ended` when it is over."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        most: int,
        accept: Callable[[socket.socket, Callable[[], None]], None],
    ) -> None:
        self.loop, self.most, self.held, self._accept = loop, most, 0, accept
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._watching = self._closed = False
        self._watch()

    def _watch(self) -> None:
        # Guard: past the limit nothing is accepted, so that descriptors remain for warehouses.
        wanted = self.held < self.most and not self._closed
        if wanted and not self._watching:
            self.loop.watch(self.sock.fileno(), select.POLLIN, self._polled)
        elif self._watching and not wanted:
            self.loop.unwatch(self.sock.fileno())
        self._watching = wanted

    def _polled(self, _: int) -> None:
        while self.held < self.most:
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                break
            except OSError:  # out of descriptors: what is held must end first
                break
            self.held += 1
            self._accept(sock, self._ended)
        self._watch()

    def _ended(self) -> None:
        self.held -= 1
        self._watch()

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._watch()
            self.sock.close()
