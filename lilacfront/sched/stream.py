"""A TCP connection whose reads block the task and whose writes go to a bounded queue without blocking.

The bytes of each write stay in the queue as a `Chunk` until the kernel has accepted them. When the connection
ends, the caller can tell from the chunk how many bytes were sent. It can withdraw a chunk as long as none of
its bytes has been sent. A chunk may have a permit, a function that is called right before its first byte is
sent.

A connection is closed in one of two ways: `Stream.close_gracefully` sends the queued bytes, half-closes the
connection, discards input until the peer closes, and then closes; `Stream.close` closes immediately.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from collections.abc import Callable
from enum import Enum

from lilacfront.sched import socket_state
from lilacfront.sched.chunk import Chunk
from lilacfront.sched.input_tracker import InputTracker
from lilacfront.sched.lingering import Lingering, RejectedInput
from lilacfront.sched.loop import READ_BYTES, Loop, Task, Wait
from lilacfront.sched.send_budget import SendBudget
from lilacfront.sched.send_queue import SendQueue
from lilacfront.sched.socket_state import PeerState

# A peer that accepts no bytes for this time while bytes are queued is disconnected, unless it still waits for
# an answer; see `Stream.write`.
MAX_STALL_S = 5.0
# How long a half-closed connection waits by default for its peer to close.
LINGER_S = 0.5
# The part of a stream's queue limit that only answers up to `SHORT_ANSWER_BYTES` may use.
RESERVED_ANSWER_BYTES = 1 << 18
SHORT_ANSWER_BYTES = 1 << 10  # most answers to loads are shorter
BACKLOG_CHECK_INTERVAL_S = 0.5  # other peers may have read their answers, too
READABLE = select.POLLIN | select.POLLHUP | select.POLLERR
WRITABLE = select.POLLOUT | select.POLLHUP | select.POLLERR


class ConnectFailure(Enum):
    """Why a connection could not be established. No byte has been written in any of these cases."""

    TIMED_OUT_OR_INTERRUPTED = "not up in time, or the wait was interrupted"
    REFUSED = "refused, or no way there"
    NO_DESCRIPTOR = "this process has no descriptor left: nothing is known of the peer"


def _do_nothing() -> None:
    """Stand for a callback that the owner of a stream has not set."""


class Stream:
    """A TCP socket that is connected or connecting.

    The stream ends when the peer closes, on an error, or by a call of `close_gracefully` or `close`. After
    `close_gracefully`, the descriptor stays open until the queued bytes are sent and the peer has closed, or
    until a time limit has passed.

    Attributes:
        loop: The loop that watches the socket.
        sock: The socket.
        max_queued_bytes: The limit of `queued_bytes`; above it the peer is disconnected.
        closed: Whether the owner can't read or write any more.
        on_graceful_close: Called when a graceful close begins.
        on_half_close: Called during a graceful close, when all queued bytes have been sent and the connection
            has been half-closed.
        on_close: Called when the descriptor has been closed.
    """

    def __init__(
        self, loop: Loop, sock: socket.socket, max_queued_bytes: int, budget: SendBudget | None = None
    ) -> None:
        """Take over a socket.

        Args:
            loop: The loop that watches the socket.
            sock: The socket, connected or connecting.
            max_queued_bytes: The limit of the bytes queued on the stream.
            budget: Limits the bytes queued on several streams; by default that of the loop.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop = loop
        self.sock = sock
        self.max_queued_bytes = max_queued_bytes
        self.closed = False
        self.on_graceful_close: Callable[[], None] = _do_nothing
        self.on_half_close: Callable[[], None] = _do_nothing
        self.on_close: Callable[[], None] = _do_nothing
        self._is_released = False
        self._budget = loop.send_budget if budget is None else budget
        self._queue = SendQueue(loop, self._budget)
        self._reader: Task | None = None
        self._connector: Task | None = None
        # The task that waits until `queued_bytes` is at most `_queue_target`.
        self._queue_waiter: Task | None = None
        self._queue_target = 0
        self._answers_awaited_until = 0.0
        self._is_rejecting = False
        # Whether the last read seems to have emptied the receive buffer. If so, the next read polls first.
        self._is_input_empty = False
        self._input = InputTracker(loop)
        self._awaits_writable = False
        self._poll_mask = 0

    @classmethod
    def connect(
        cls,
        loop: Loop,
        task: Task,
        address: tuple[str, int],
        until: float,
        max_queued_bytes: int,
        budget: SendBudget | None = None,
    ) -> Stream | ConnectFailure:
        """Connect to an address.

        Failures are returned and not raised, so that running out of descriptors for a while does not end a
        task that runs for the lifetime of the process.

        Args:
            loop: The loop that the stream belongs to.
            task: The running task.
            address: The peer's host and port.
            until: The deadline, in seconds.
            max_queued_bytes: The limit of the bytes queued on the stream.
            budget: Limits the bytes queued on several streams; by default that of the loop.

        Returns:
            The connected stream, or the reason for the failure.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return ConnectFailure.NO_DESCRIPTOR
        stream = cls(loop, sock, max_queued_bytes, budget)
        failure = stream._connect(task, address, until)
        if failure is not None:
            stream.close()
            return failure
        stream._update_watch()
        return stream

    def _connect(self, task: Task, address: tuple[str, int], until: float) -> ConnectFailure | None:
        code = self.sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            self._connector = task
            self._update_watch()
            ended = self.loop.wait(task, until)
            self._connector = None
            if isinstance(ended, Wait):
                return ConnectFailure.TIMED_OUT_OR_INTERRUPTED
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return ConnectFailure.REFUSED if code else None

    def _update_watch(self) -> None:
        """Watch the socket for the events that a task or the queue is waiting for."""
        if self._is_released:
            return
        mask = select.POLLIN if self._reader is not None else 0
        if self._connector is not None or self._awaits_writable:
            mask |= select.POLLOUT
        if mask == self._poll_mask:
            return
        self._poll_mask = mask
        if mask:
            self.loop.watch(self.sock.fileno(), mask, self._handle_events)
        else:
            self.loop.unwatch(self.sock.fileno())

    def _handle_events(self, events: int) -> None:
        if self._connector is not None:
            self._connector.wake(True)
            return
        if events & READABLE:
            if self._reader is not None:
                self._input.record_event()
                self._reader.wake(True)
            else:
                self._update_watch()
        if events & WRITABLE and self._awaits_writable:
            self.flush()

    def read(self, task: Task, until: float, max_bytes: int = READ_BYTES) -> bytes | Wait:
        """Wait for up to `max_bytes` bytes until a time, in seconds.

        Bytes that arrive after the call of `close_gracefully` are not returned, so that no request is handled
        that was read after this side began to close the connection.

        Returns:
            The received bytes, b'' if the connection has ended, or how the wait ended if it brought neither.
        """
        while not self.closed:
            received = self._receive(task, until, max_bytes)
            if received is not None:
                return received
        return b""

    def _receive(self, task: Task, until: float, max_bytes: int = READ_BYTES) -> bytes | Wait | None:
        """Read once; returns None if the task was woken before it read anything."""
        self.loop.share_turn(task)
        if self._is_released:
            return b""
        # A short read has most likely emptied the receive buffer. Waiting for poll then saves a recv call
        # that would fail.
        if not self._is_input_empty or until <= self.loop.now:
            try:
                data = self.loop.receive(self.sock, max_bytes)
                self._is_input_empty = 0 < len(data) < max_bytes
                self._input.count(len(data))
                if self._is_input_empty:
                    self._input.record_empty()
                return data
            except BlockingIOError:
                self._input.record_empty()
            except OSError:
                return b""
        self._is_input_empty = False
        self._reader = task
        self._input.begin_wait()
        if not self._poll_mask & select.POLLIN:
            self._update_watch()
        ended = self.loop.wait(task, until)
        # The socket stays watched, because most readers read again immediately. If this one does not, the
        # next event ends the watch in `_handle_events`.
        self._reader = None
        self._input.end_wait()
        if ended is Wait.TIMED_OUT:
            # Bytes that arrived together with the timeout take precedence; the caller would otherwise close
            # the connection with unread bytes.
            with contextlib.suppress(BlockingIOError, OSError):
                return self.loop.receive(self.sock, max_bytes)
        return ended if isinstance(ended, Wait) else None

    def peer_state(self) -> PeerState:
        """Return whether the peer has closed, or whether its close may lie behind unhandled input."""
        return PeerState.CLOSED if self.closed else self._input.peer_state(socket_state.next_input(self.sock))

    def record_examined_input(self) -> None:
        """Record that the bytes that were read hold no cancellation, though they are not all handled yet."""
        self._input.record_examined()

    def wait_for_handled_input(self, task: Task, until: float) -> None:
        """Wait until `peer_state` is not `UNREAD`, or until a time, in seconds.

        An interruption ends the wait, too.
        """
        while self.peer_state() is PeerState.UNREAD and not task.interrupted and self.loop.now < until:
            self._input.wait(task, until)

    @property
    def is_close_visible(self) -> bool:
        """Whether a close would be detected by poll; see `socket_state.is_close_visible`."""
        return not self.closed and socket_state.is_close_visible(self.sock)

    def is_open_by_poll(self) -> bool:
        """Whether the connection is open according to poll; see `socket_state.is_open_by_poll`."""
        return not self.closed and socket_state.is_open_by_poll(self.sock)

    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not self.closed and socket_state.is_idle(self.sock)

    @property
    def queued_bytes(self) -> int:
        """The size of the chunks that are not sent in full; see `SendQueue`."""
        return self._queue.size_bytes

    @property
    def holds_final_answer(self) -> bool:
        """Whether a final answer is queued that is not sent in full."""
        return self._queue.holds_final_answer

    def has_answer_capacity(self, size: int) -> bool:
        """Whether a final answer of this many bytes may be queued.

        A peer that keeps up with its answers may always be sent another one. To others, long answers are sent
        only within the limits; a part of the stream's own limit is kept for short ones, also those in place
        of long ones.
        """
        if not self._awaits_writable or size <= SHORT_ANSWER_BYTES:
            return True
        stream_limit = self.max_queued_bytes - RESERVED_ANSWER_BYTES
        return self.queued_bytes + size <= stream_limit and self._budget.has_capacity(size)

    @property
    def is_backlogged(self) -> bool:
        """Whether the peer lags so far behind that no further requests should be read from it.

        That is so when the part of the stream's limit is reached that is kept for short answers, or when the
        common limit is exceeded and the stream uses more than its share of it.
        """
        if not self._awaits_writable:
            return False
        is_over_share = self._budget.is_exceeded and self.queued_bytes > self._budget.fair_share
        return is_over_share or self.queued_bytes > self.max_queued_bytes - RESERVED_ANSWER_BYTES

    def wait_while_backlogged(self, task: Task) -> None:
        """Wait until `is_backlogged` has become false; ends early if the task is interrupted."""
        while self.is_backlogged and not task.interrupted:
            target = min(self.max_queued_bytes - RESERVED_ANSWER_BYTES, self._budget.fair_share) // 2
            self._wait_for_queue(task, self.loop.now + BACKLOG_CHECK_INTERVAL_S, target)

    def write(
        self,
        data: bytes,
        permit: Callable[[], bool] | None = None,
        is_final: bool = False,
        awaited_until: float = 0.0,
    ) -> Chunk:
        """Queue bytes, to be sent at the end of this turn if there is no `permit` or it returns True then.

        If more than `max_queued_bytes` are queued after this write, the peer is disconnected, so that a peer
        that does not read can't use up the memory of this process. On a closed stream nothing is queued, and
        the returned chunk is never sent.

        Args:
            data: The bytes.
            permit: See `Chunk`.
            is_final: Whether the bytes complete a final answer. While such bytes are queued, the stream is
                not closed to save memory; see `has_answer_capacity`.
            awaited_until: Time until which the peer waits for the answer that the bytes belong to, in
                seconds. Until then it is not disconnected because it accepts no bytes.
        """
        chunk = Chunk(data, permit, is_final)
        if self.closed:
            return chunk
        self._answers_awaited_until = max(self._answers_awaited_until, awaited_until)
        self._queue.append(chunk)
        if self.queued_bytes > self.max_queued_bytes:
            self.close()
        elif not self._awaits_writable:
            self.loop.pending_flushes[self.flush] = None
        return chunk

    def wait_for_queue_space(self, task: Task, until: float, target: int) -> bool:
        """Wait until at most `target` bytes are queued, or until a time, in seconds.

        Returns:
            True if at most `target` bytes are queued. False if the wait timed out or was interrupted, or if
            the connection has ended.
        """
        while not self.closed and self.queued_bytes > target:
            if isinstance(self._wait_for_queue(task, until, target), Wait):
                return False
        return not self.closed

    def _wait_for_queue(self, task: Task, until: float, target: int) -> object:
        self._queue_waiter = task
        self._queue_target = target
        ended = self.loop.wait(task, until)
        self._queue_waiter = None
        return ended

    def flush(self) -> None:
        """Send as many queued bytes as the kernel accepts now."""
        if self._is_released:
            return
        try:
            self._queue.send(self.sock)
        except OSError:
            self.close()
        if not self._is_released:
            self._update_after_flush()

    def _update_after_flush(self) -> None:
        """Wake the task that waits for the queue, and watch for writability while bytes are queued."""
        if self._queue_waiter is not None and self.queued_bytes <= self._queue_target:
            self._queue_waiter.wake(None)
        has_queue = bool(self._queue)
        if has_queue == self._awaits_writable:
            return
        self._awaits_writable = has_queue
        if has_queue:
            self._budget.unflushed_streams.add(self)
        else:
            self._budget.unflushed_streams.discard(self)
        self._update_watch()
        if has_queue:
            self._check_stall()

    def _check_stall(self) -> None:
        if self._is_released or not self._awaits_writable:
            return
        stalled_at = self._stalled_at(self._queue.progress_at)
        if self.loop.now >= stalled_at:
            self.close()
        else:
            self.loop.call_at(stalled_at, self._check_stall)

    def _stalled_at(self, progress_at: float) -> float:
        """Time at which a peer that has accepted no bytes since `progress_at` is disconnected."""
        return max(progress_at + MAX_STALL_S, self._answers_awaited_until)

    def close_gracefully(self, within_s: float = LINGER_S, rejected: RejectedInput | None = None) -> None:
        """Close the connection after the queued bytes have been sent.

        This returns immediately; a new task sends the queued bytes, half-closes the connection, and waits up
        to `within_s` seconds for the peer to close, or longer while sent bytes are on their way. Bytes that
        arrive after the half-close are read and discarded. Closing a socket with unread bytes would send a
        TCP reset, and the peer could lose the last answers.

        Args:
            within_s: How long to wait for the peer to close, in seconds.
            rejected: How long the rest of a rejected message is discarded before that.
        """
        if self.closed:
            return
        self.closed = True
        self._is_rejecting = rejected is not None
        self._wake_tasks()
        self.on_graceful_close()
        if not self._queue:
            self._half_close()
        self.loop.spawn_client(self._linger, within_s, rejected)

    def _linger(self, task: Task, within_s: float, rejected: RejectedInput | None) -> None:
        if self._queue:
            self._send_queue(task)
        if not self._is_released and not self._queue:
            lingering = Lingering(self.loop, self.sock, self._receive, self._stalled_at)
            if rejected is None or lingering.discard_rejected(task, rejected):
                self._is_rejecting = False
                lingering.await_peer_close(task, within_s)
        self.close()

    def _send_queue(self, task: Task) -> None:
        """Send the queued bytes and half-close; gives up when the peer has stalled."""
        self.flush()
        while not self._is_released and self.queued_bytes:
            stalled_at = self._stalled_at(self._queue.progress_at)
            if self.loop.now >= stalled_at:
                return
            self._wait_for_queue(task, stalled_at, 0)
        self._half_close()

    def _half_close(self) -> None:
        if self._is_released:
            return
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self.on_half_close()

    @property
    def is_delivered(self) -> bool:
        """Whether a half-closed connection can be closed without the loss of sent bytes.

        That is so once the peer's system has acknowledged all of them, unless the peer is still sending the
        rest of a message that was rejected: it may read only after that.
        """
        return self._is_released or (
            not self._is_rejecting and not socket_state.unacknowledged_bytes(self.sock)
        )

    def _wake_tasks(self) -> None:
        if self._reader is not None:
            self._reader.wake(True)
        if self._queue_waiter is not None:
            self._queue_waiter.wake(True)

    def close(self) -> None:
        """Close the connection immediately, without sending the queued bytes. A pending read returns b''."""
        if self._is_released:
            return
        if self._poll_mask:
            self.loop.unwatch(self.sock.fileno())
        self.closed = True
        self._is_released = True
        self._budget.unflushed_streams.discard(self)
        self._queue.clear()
        self.sock.close()
        self._wake_tasks()
        on_close = self.on_close
        self._drop_callbacks()
        on_close()

    def _drop_callbacks(self) -> None:
        """Drop the references to the owner, which refers to this stream.

        Objects that refer to each other stay in memory, with their buffers, until a garbage collection.
        """
        self.on_graceful_close = _do_nothing
        self.on_half_close = _do_nothing
        self.on_close = _do_nothing
