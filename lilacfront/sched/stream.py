"""A TCP connection whose reads wait and whose writes are gathered, bounded and never wait.

What was written stays a Chunk until the kernel has taken it, so a caller can tell how far its bytes have
come when the connection ends, and can take back what has not begun to leave.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from collections import deque
from collections.abc import Callable

from lilacfront.sched.loop import Loop, Task, Wait

READ_SIZE = 65536
STALL_S = 5.0  # a peer that takes nothing for so long is cut off
DRAIN_MOST = 1 << 20  # bytes read and dropped while a closing peer has not stopped sending
GATHER = 64  # chunks that go into one system call


class Chunk:
    """Bytes on their way out: `sent` of them have been taken by the kernel."""

    __slots__ = ("data", "sent", "withdrawn")

    def __init__(self, data: bytes) -> None:
        self.data, self.sent, self.withdrawn = data, 0, False

    @property
    def whole(self) -> bool:
        return self.sent == len(self.data)

    def withdraw(self) -> bool:
        """Take the bytes back, if none of them has left."""
        self.withdrawn = self.withdrawn or self.sent == 0
        return self.withdrawn


class Stream:
    """One connected (or connecting) socket. It ends once: by the peer, by an error, or by `close`."""

    def __init__(self, loop: Loop, sock: socket.socket, most_queued: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.most_queued = loop, sock, most_queued
        self.closed = False
        self.on_close: Callable[[], None] = lambda: None
        self.queued = 0
        self._out: deque[Chunk] = deque()
        self._reader: Task | None = None
        self._connector: Task | None = None
        self._writer: tuple[Task, int] | None = None  # waits until no more than so many bytes are queued
        self._drained = self._writing = False
        self._progress_at = loop.now
        self._mask = 0

    # ---- connecting -------------------------------------------------------------------------------
    @classmethod
    def connect(
        cls, loop: Loop, task: Task, address: tuple[str, int], until: float, most: int
    ) -> Stream | None:
        """A connected stream, or None; either way nothing has been written."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = cls(loop, sock, most)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            stream._connector = task
            stream._watch()
            ended = loop.wait(task, until)
            stream._connector = None
            if isinstance(ended, Wait):
                stream.close()
                return None
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            stream.close()
            return None
        stream._watch()
        return stream

    # ---- poll -------------------------------------------------------------------------------------
    def _watch(self) -> None:
        if self.closed:
            return
        mask = select.POLLIN if self._reader is not None else 0
        if self._connector is not None or self._writing:
            mask |= select.POLLOUT
        if mask != self._mask:
            self._mask = mask
            if mask:
                self.loop.watch(self.sock.fileno(), mask, self._polled)
            else:
                self.loop.unwatch(self.sock.fileno())

    def _polled(self, what: int) -> None:
        if self._connector is not None:
            self._connector.wake(True)
            return
        if what & (select.POLLIN | select.POLLHUP | select.POLLERR):
            if self._reader is not None:
                self._reader.wake(True)
            else:
                self._watch()
        if what & (select.POLLOUT | select.POLLHUP | select.POLLERR) and self._writing:
            self.flush()

    # ---- reading ----------------------------------------------------------------------------------
    def read(self, task: Task, until: float) -> bytes | Wait:
        """What has come, as soon as anything has; b'' once the connection has ended."""
        while not self.closed:
            # After a short read nothing more has come, most likely: poll tells of it without another call.
            if not self._drained or until <= self.loop.now:
                try:
                    data = self.sock.recv(READ_SIZE)
                    self._drained = 0 < len(data) < READ_SIZE
                    return data
                except BlockingIOError:
                    pass
                except OSError:
                    return b""
            self._drained = False
            self._reader = task
            if not self._mask & select.POLLIN:
                self._watch()
            ended = self.loop.wait(task, until)
            # The watch stays: most readers come back at once. `_polled` ends it for one that does not.
            self._reader = None
            if isinstance(ended, Wait):
                return ended
        return b""

    def alive(self) -> bool:
        """Whether the peer has not ended the connection, as far as can be known at this moment."""
        try:
            return not self.closed and bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def quiet(self) -> bool:
        """Whether the connection is open and nothing has come that was not read."""
        try:
            return not self.closed and len(self.sock.recv(1, socket.MSG_PEEK)) > 1
        except BlockingIOError:
            return True
        except OSError:
            return False

    # ---- writing ----------------------------------------------------------------------------------
    def write(self, data: bytes) -> Chunk:
        """Queue bytes; they leave at the end of this turn. A peer that lets too much pile up is cut off."""
        chunk = Chunk(data)
        if self.closed:
            return chunk
        if not self._out:
            self._progress_at = self.loop.now
        self._out.append(chunk)
        self.queued += len(data)
        self.loop.queue(len(data))
        if self.queued > self.most_queued:
            # Guard: a peer that does not read must not fill this program's memory.
            self.close()
        elif not self._writing:
            self.loop.dirty[self.flush] = None
        return chunk

    def room(self, task: Task, until: float, most: int) -> bool:
        """Wait until at most `most` bytes are queued; False if that does not come about."""
        while not self.closed and self.queued > most:
            self._writer = (task, most)
            ended = self.loop.wait(task, until)
            self._writer = None
            if isinstance(ended, Wait):
                return False
        return not self.closed

    def finish(self, task: Task, until: float) -> None:
        """Close in order: what is queued leaves, and the peer's own end is awaited.

        Guard: closing while the peer still sends would reset the connection and destroy the last answer.
        """
        if self.room(task, until, 0):
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            left = DRAIN_MOST
            while left > 0 and isinstance(got := self.read(task, until), bytes) and got:
                left -= len(got)
        self.close()

    def flush(self) -> None:
        """Hand the kernel what it takes now."""
        while self._out and not self.closed:
            self._let_go()
            batch = [c for c in list(self._out)[:GATHER] if not c.withdrawn]
            if not batch:
                if self._out:
                    continue
                break
            try:
                first = memoryview(batch[0].data)[batch[0].sent :]
                sent = self.sock.sendmsg([first, *(c.data for c in batch[1:])])
            except BlockingIOError:
                break
            except OSError:
                self.close()
                return
            self._progress_at = self.loop.now
            for chunk in batch:
                part = min(sent, len(chunk.data) - chunk.sent)
                chunk.sent += part
                sent -= part
        self._let_go()
        if self.closed:
            return
        if self._writer is not None and self.queued <= self._writer[1]:
            self._writer[0].wake(None)
        if bool(self._out) != self._writing:
            self._writing = bool(self._out)
            (self.loop.writing.add if self._writing else self.loop.writing.discard)(self)
            self._watch()
            if self._writing:
                self._check_stall()

    def _let_go(self) -> None:
        """Of what has left, or was taken back."""
        while self._out and (self._out[0].withdrawn or self._out[0].whole):
            size = len(self._out.popleft().data)
            self.queued -= size
            self.loop.queue(-size)

    def _check_stall(self) -> None:
        if self.closed or not self._writing:
            return
        if self.loop.now - self._progress_at >= STALL_S:
            self.close()
        else:
            self.loop.at(self._progress_at + STALL_S, self._check_stall)

    # ---- the end ----------------------------------------------------------------------------------
    def close(self) -> None:
        """End the connection; its reader sees b''."""
        if self.closed:
            return
        if self._mask:
            self.loop.unwatch(self.sock.fileno())
        self.closed = True
        self.loop.writing.discard(self)
        self.loop.queue(-self.queued)
        self.queued = 0
        self.sock.close()
        if self._reader is not None:
            self._reader.wake(True)
        if self._writer is not None:
            self._writer[0].wake(True)
        self.on_close()
