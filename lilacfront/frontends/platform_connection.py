"""One client connection of the platform's protocol: reading, transfer to another process, and closing."""

from __future__ import annotations

from lilacfront.frontends.connection_handover import TransferKey
from lilacfront.frontends.deferred_messages import MIN_BACKOFF_S, DeferredMessages
from lilacfront.frontends.listener import ClientSlot
from lilacfront.frontends.platform_messages import MessageHandler
from lilacfront.frontends.platform_requests import ClientRequests
from lilacfront.frontends.platform_services import PlatformServices
from lilacfront.logs import Log
from lilacfront.operations.transfer_messages import ConnectionPassed
from lilacfront.protocols import thrift
from lilacfront.sched import READ_BYTES, SMALL_READ_BYTES, Task, Wait

log = Log(__name__)
FIRST_MESSAGE_TIMEOUT_S = 2.6  # time from connecting to the last byte of the first message
# Time from the first byte of a message to its last. Some clients take 2 s to write a message. A connection
# whose first message is never completed has to be closed within 3 s of connecting; it is closed
# `MIN_BACKOFF_S` after this timeout.
MESSAGE_TIMEOUT_S = 2.6
IDLE_TIMEOUT_S = 15.0  # time from the last message, with no request in flight
UNREADABLE_GRACE_S = 0.7  # time for requests in flight to finish after an unreadable message
MAX_DROPPED_BYTES = 1 << 20  # read and dropped during `UNREADABLE_GRACE_S`


class PlatformConnection:
    """A client connection from its first byte to its end; `run` is its task.

    Reading does not pause while a request is in flight, not even during a backoff. A close, a reset or an
    `abort` arrives after all other bytes, and no attempt may begin for a client that has disconnected.
    """

    def __init__(self, services: PlatformServices, slot: ClientSlot) -> None:
        self._services = services
        self._loop = services.loop
        self._slot = slot
        self._stream = slot.stream
        self._frames = thrift.FrameDecoder()
        self._deferred = DeferredMessages(services.loop)
        self._requests = ClientRequests(services, slot, self._deferred)
        self._messages = MessageHandler(services, slot, self._requests, self._deferred)
        self._exceeds_memory_limit = False  # its incomplete message was discarded
        self._has_client_closed = False  # the client has closed, so no orderly close is needed
        self._read_deadline = 0.0
        self._transferable_task: Task | None = None  # the reading task, while a transfer may interrupt it
        slot.owner = self

    def adopt(self, key: TransferKey, passed: ConnectionPassed) -> None:
        """Take over a connection from another process; called before `run`."""
        self._requests.adopt(key, passed)
        self._frames.feed(passed.partial_message)
        self._account_partial(self._frames.buffered_bytes)

    # ---- SlotOwner ------------------------------------------------------------------------------------
    def fail_pending(self) -> None:
        """Answer all requests in flight now, without waiting for their results."""
        self._requests.fail_pending()

    def request_transfer(self) -> None:
        """Interrupt reading to transfer the connection to the successor, if that is possible now."""
        if self._transferable_task is not None and self._can_transfer():
            self._transferable_task.interrupt()

    def discard_partial_message(self) -> None:
        """Free the received bytes that are not handled yet.

        The connection is then closed like one with an unreadable message, after the answers to its requests.
        """
        self._exceeds_memory_limit = True
        self._frames.pop_incomplete()
        self._requests.reject_deferred()
        self._account_partial(0)
        if self._transferable_task is not None:
            self._transferable_task.interrupt()

    # ---- reading ------------------------------------------------------------------------------------
    def run(self, task: Task) -> None:
        """Read and handle messages until the connection ends."""
        self._read_deadline = self._loop.now + self._first_read_timeout_s()
        self._transferable_task = task
        try:
            if not self._read_readable_messages(task):
                self._close_unreadable(task)
        finally:
            self._finish()

    def _read_readable_messages(self, task: Task) -> bool:
        """Read and handle messages; returns False at one that is unreadable.

        Once this returns, the error and the received bytes that its traceback refers to are free.
        """
        try:
            self._read_messages(task)
        except thrift.ThriftError as error:
            log.warning("client message unreadable", error=str(error))
            return False
        return True

    def _first_read_timeout_s(self) -> float:
        if self._frames.buffered_bytes:
            return MESSAGE_TIMEOUT_S
        return IDLE_TIMEOUT_S if self._requests.had_request else FIRST_MESSAGE_TIMEOUT_S

    def _read_messages(self, task: Task) -> None:
        while not self._stream.closed:
            if self._exceeds_memory_limit:
                raise thrift.ThriftError("incomplete messages exceed the memory limit")
            if self._can_transfer() and self._transfer():
                return
            if self._stream.is_backlogged:
                self._await_reader(task)
            elif not self._read_once(task):
                return

    def _read_once(self, task: Task) -> bool:
        """Wait for bytes and handle them; returns False if the connection has ended or has to be closed."""
        self._resume_deferred()
        read_deadline = self._deferred.resume_at if self._deferred else self._read_deadline
        max_bytes = max(SMALL_READ_BYTES, min(READ_BYTES, self._frames.missing_bytes))
        data = self._stream.read(task, read_deadline, max_bytes)
        if task.interrupted:
            task.clear_interruption()
            if self._exceeds_memory_limit or not isinstance(data, bytes):
                return True
        if data is Wait.TIMED_OUT and self._deferred:
            return True
        self._slot.last_byte_at = self._loop.now
        if data == b"":
            self._has_client_closed = self._has_client_closed or not self._stream.closed
            return False
        if isinstance(data, bytes):
            self._receive(task, data)
            return True
        return not self._is_idle_at_timeout()

    def _await_reader(self, task: Task) -> None:
        """Read nothing until the client has read enough of its answers.

        Its requests are answered as failed first: their cancellation could not be read.
        """
        self._requests.fail_pending()
        self._stream.wait_while_backlogged(task)
        task.clear_interruption()
        timeout_s = MESSAGE_TIMEOUT_S if self._frames.buffered_bytes else IDLE_TIMEOUT_S
        self._read_deadline = self._loop.now + timeout_s

    def _resume_deferred(self) -> None:
        if self._deferred.can_resume:
            self._messages.handle_deferred()
            self._account_partial(self._frames.buffered_bytes)

    def _is_idle_at_timeout(self) -> bool:
        """Handle a read timeout; return whether the connection is idle and has to be closed.

        With requests in flight the timeout is extended instead.

        Raises:
            thrift.ThriftError: The timeout passed within a message.
        """
        if self._frames.buffered_bytes:
            raise thrift.ThriftError("message incomplete at its timeout")
        if not self._requests:
            return True
        self._account_received()
        self._read_deadline = self._loop.now + IDLE_TIMEOUT_S
        return False

    def _receive(self, task: Task, data: bytes) -> None:
        frames = self._frames.feed(data)
        received_at = self._loop.now
        # Deferral keeps a client that repeats bad messages without a pause from starving other clients.
        is_paused = self._deferred.is_paused
        if not any(map(thrift.is_abort, frames)):
            self._stream.record_examined_input()
        for number, frame in enumerate(frames):
            if number:
                self._slot.has_unhandled_messages = True
                self._loop.share_turn(task)
            if is_paused:
                self._messages.defer(frame, received_at)
            else:
                self._messages.handle(frame, received_at)
        self._slot.has_unhandled_messages = False
        self._account_received()
        # The timeout of a message counts from its first byte, so sending it byte by byte gains no time. The
        # timeout of the first message counts from connecting.
        if frames:
            timeout_s = MESSAGE_TIMEOUT_S if self._frames.buffered_bytes else IDLE_TIMEOUT_S
            self._read_deadline = self._loop.now + timeout_s
        elif self._read_deadline > self._loop.now + MESSAGE_TIMEOUT_S:
            self._read_deadline = self._loop.now + MESSAGE_TIMEOUT_S

    def _account_received(self) -> None:
        size = self._frames.buffered_bytes + self._deferred.size_bytes
        if size != self._services.partial_messages.accounted_bytes(self._slot):
            self._account_partial(size)

    def _account_partial(self, size: int) -> None:
        self._services.partial_messages.account(self._slot, size)

    def _finish(self) -> None:
        if self._has_client_closed or self._requests.handover.is_transferred:
            # The other process uses the same socket after a transfer; a half-close would end it there, too.
            self._stream.close()
        else:
            self._stream.close_gracefully()
        self._deferred.clear()
        self._account_partial(0)
        if not self._requests.handover.is_transferred:
            self._requests.cancel_all()

    def _close_unreadable(self, task: Task) -> None:
        """Wait up to `UNREADABLE_GRACE_S` for the requests in flight, then answer the rest as failed.

        What the client sends meanwhile is dropped.
        """
        self._requests.reject_deferred()
        self._account_partial(0)
        self._transferable_task = None
        task.clear_interruption()
        earliest = self._loop.now + MIN_BACKOFF_S
        latest = self._loop.now + UNREADABLE_GRACE_S
        bytes_left = MAX_DROPPED_BYTES
        while bytes_left > 0 and (self._loop.now < earliest or (self._requests and self._loop.now < latest)):
            # Reading detects a disconnect: no attempt may begin for a client that has disconnected.
            data = self._stream.read(task, min(latest, self._loop.now + MIN_BACKOFF_S))
            if data == b"":
                self._has_client_closed = not self._stream.closed
                return
            bytes_left -= len(data) if isinstance(data, bytes) else 0
        for seqid in self._requests.sequence_numbers():
            self._requests.fail(seqid)

    # ---- transfer -----------------------------------------------------------------------------------
    def _can_transfer(self) -> bool:
        # The backoff state is not transferred, so a client that sent bad messages stays with this process.
        is_possible = self._requests.handover.is_possible(self._frames.buffered_bytes)
        return is_possible and not self._deferred.backoff_s

    def _transfer(self) -> bool:
        requests = self._requests
        return requests.handover.transfer(
            requests, self._frames, requests.call_ids(), requests.had_request, requests.ordering_keys()
        )
