"""A TCP connection whose reads wait and whose writes are gathered, bounded and never wait.

What was written stays a Chunk until the kernel has taken it, so a caller can tell how far its bytes have
come when the connection ends, and can take back what has not begun to leave. A chunk may need a permission;
it is asked for in the moment its first byte would leave.

A connection ends in order by `end` (half-close, drain, close) or at once by `close`; there is no other way.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum

from lilacfront.sched.loop import Loop, Task, Wait

READ_SIZE = 65536
STALL_S = 5.0  # a peer that takes nothing for so long is cut off
DRAIN_MOST = 1 << 20  # bytes read and dropped while a closing peer has not stopped sending
LINGER_S = 0.5  # for a peer to take what is queued and to close its own end, once this one has been closed
GATHER = 64  # chunks that go into one system call


class Unconnected(Enum):
    """Why no connection came up. Nothing has been written in any case."""

    LATE = "not up in time, or the wait was interrupted"
    REFUSED = "refused, or no way there"
    NO_DESCRIPTOR = "this process has no descriptor left: nothing is known of the peer"


class Chunk:
    """Bytes on their way out: `sent` of them have been taken by the kernel."""

    __slots__ = ("data", "permit", "sent", "withdrawn")

    def __init__(self, data: bytes, permit: Callable[[], bool] | None = None) -> None:
        self.data, self.sent, self.withdrawn, self.permit = data, 0, False, permit

    @property
    def whole(self) -> bool:
        return self.sent == len(self.data)

    def withdraw(self) -> bool:
        """Take the bytes back, if none of them has left."""
        self.withdrawn = self.withdrawn or self.sent == 0
        return self.withdrawn

    @property
    def leaves(self) -> bool:
        """Whether its bytes may leave now; asked before the first of them, each time they would."""
        if not self.withdrawn and self.sent == 0 and self.permit is not None and not self.permit():
            self.withdrawn = True
        return not self.withdrawn


class Stream:
    """One connected (or connecting) socket. It ends once: by the peer, by an error, by `end` or by `close`.

    `closed` is what its owner goes by: nothing more is read or written. The descriptor may be held a little
    longer, until what was written has left and the peer has closed, too; `on_close` tells when it is free.
    """

    def __init__(self, loop: Loop, sock: socket.socket, most_queued: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.most_queued = loop, sock, most_queued
        self.closed = self._free = False  # for its owner; the descriptor
        self.on_end: Callable[[], None] = lambda: None
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
    ) -> Stream | Unconnected:
        """A connected stream, or why there is none. Guard: it raises nothing, so that no caller that is
        there for good ends because descriptors have run out for a while."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return Unconnected.NO_DESCRIPTOR
        stream = cls(loop, sock, most)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            stream._connector = task
            stream._watch()
            ended = loop.wait(task, until)
            stream._connector = None
            if isinstance(ended, Wait):
                stream.close()
                return Unconnected.LATE
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            stream.close()
            return Unconnected.REFUSED
        stream._watch()
        return stream

    # ---- poll -------------------------------------------------------------------------------------
    def _watch(self) -> None:
        if self._free:
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
        """What has come, as soon as anything has; b'' once the connection has ended.

        Guard: after `end` nothing that comes is handed out, so nothing that was read after this end had been
        closed can be acted on.
        """
        while not self.closed:
            got = self._receive(task, until)
            if got is not None:
                return got
        return b""

    def _receive(self, task: Task, until: float) -> bytes | Wait | None:
        """One read; None where the wait ended without a word of why."""
        if not self._free:
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
            if ended is Wait.TIMED_OUT:
                # Guard: what came in this very moment goes before the end of the wait, or its connection
                # would be closed over it.
                with contextlib.suppress(BlockingIOError, OSError):
                    return self.sock.recv(READ_SIZE)
            return ended if isinstance(ended, Wait) else None
        return b""

    def alive(self) -> bool:
        """Whether the peer has not ended the connection, as far as can be known at this moment."""
        try:
            return not self.closed and bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def present(self) -> bool:
        """Whether the peer has not closed its side, even behind bytes that have not been read."""
        if self.closed:
            return False
        look = select.poll()
        look.register(self.sock.fileno(), select.POLLRDHUP)
        return not look.poll(0)

    def quiet(self) -> bool:
        """Whether the connection is open and nothing has come that was not read."""
        try:
            return not self.closed and len(self.sock.recv(1, socket.MSG_PEEK)) > 1
        except BlockingIOError:
            return True
        except OSError:
            return False

    # ---- writing ----------------------------------------------------------------------------------
    def write(self, data: bytes, permit: Callable[[], bool] | None = None) -> Chunk:
        """Queue bytes; they leave at the end of this turn, if `permit` says yes in that moment.

        A peer that lets too much pile up is cut off.
        """
        chunk = Chunk(data, permit)
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

    def flush(self) -> None:
        """Hand the kernel what it takes now."""
        while self._out and not self._free:
            self._let_go()
            batch = [c for c in list(self._out)[:GATHER] if c.leaves]
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
        if self._free:
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
        if self._free or not self._writing:
            return
        if self.loop.now - self._progress_at >= STALL_S:
            self.close()
        else:
            self.loop.at(self._progress_at + STALL_S, self._check_stall)

    # ---- the end ----------------------------------------------------------------------------------
    def end(self, within_s: float = LINGER_S) -> None:
        """End the connection in order: what is queued leaves, this end is closed, and the peer's awaited.

        Guard: closing over bytes that have come, or still come, resets the connection and takes the last
        answers along. What comes after the half-close is read and dropped.
        """
        if self.closed:
            return
        self.closed = True
        self._wake()
        self.loop.spawn(self._linger, within_s)
        self.on_end()

    def _linger(self, task: Task, within_s: float) -> None:
        self.flush()
        until = self.loop.now + STALL_S  # as long as a peer that takes nothing is borne at any time
        while not self._free and self.queued:
            self._writer = (task, 0)
            ended = self.loop.wait(task, until)
            self._writer = None
            if isinstance(ended, Wait):
                break
        if not self._free and not self.queued:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            left, until = DRAIN_MOST, self.loop.now + within_s
            while left > 0:
                got = self._receive(task, until)
                if isinstance(got, Wait) or got == b"":
                    break
                left -= len(got or b"")
        self.close()

    def _wake(self) -> None:
        if self._reader is not None:
            self._reader.wake(True)
        if self._writer is not None:
            self._writer[0].wake(True)

    def close(self) -> None:
        """End the connection at once; its reader sees b''."""
        if self._free:
            return
        if self._mask:
            self.loop.unwatch(self.sock.fileno())
        self.closed = self._free = True
        self.loop.writing.discard(self)
        self.loop.queue(-self.queued)
        self.queued = 0
        self.sock.close()
        self._wake()
        self.on_close()
