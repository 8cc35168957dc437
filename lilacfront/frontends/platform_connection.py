"""One client connection of the platform's protocol: reads it, transfers it and ends it."""

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
from lilacfront.sched import Task, Wait

log = Log(__name__)
FIRST_MESSAGE_TIMEOUT_S = 2.6  # from connecting to the last byte of the first message
# From the first byte of a message to its last. Some clients take 2 s to write theirs; one that never ends is
# to be closed within 3 s of connecting, which happens `MIN_BACKOFF_S` after this.
MESSAGE_TIMEOUT_S = 2.6
IDLE_TIMEOUT_S = 15.0
UNREADABLE_GRACE_S = 0.7  # for requests in flight on a connection that can't be read on
MAX_DROPPED_BYTES = 1 << 20  # read and dropped during that time


class PlatformConnection:
    """A connection, from its first byte to its end; `run` is its task.

    Reading never pauses, whatever the client has sent: its close, its reset and its `abort` come after
    everything else, and nothing may begin for a client that is gone.
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
        self._is_client_gone = False  # nothing more can be sent, so no orderly close is needed
        self._read_deadline = 0.0
        self._transferable_task: Task | None = None  # reads, and can be interrupted for a transfer
        slot.owner = self

    def adopt(self, key: TransferKey, passed: ConnectionPassed) -> None:
        """Continue a connection that comes from another process; called before `run`."""
        self._requests.adopt(key, passed)
        self._frames.feed(passed.partial_message)
        self._account_partial(self._frames.buffered_bytes)

    # ---- calls of the slot --------------------------------------------------------------------------
    def fail_pending(self) -> None:
        """Answer all requests in flight now."""
        self._requests.fail_pending()

    def request_transfer(self) -> None:
        """Transfer the connection to the successor, if possible now."""
        if self._transferable_task is not None and self._can_transfer():
            self._transferable_task.interrupt()

    # ---- reading ------------------------------------------------------------------------------------
    def run(self, task: Task) -> None:
        """Read for as long as the connection lasts."""
        self._read_deadline = self._loop.now + self._first_read_timeout_s()
        self._transferable_task = task
        try:
            self._read_messages(task)
        except thrift.ThriftError as error:
            log.warning("client message unreadable", error=error)
            self._close_unreadable(task)
        finally:
            self._finish()

    def _first_read_timeout_s(self) -> float:
        if self._frames.buffered_bytes:
            return MESSAGE_TIMEOUT_S
        return IDLE_TIMEOUT_S if self._requests.had_request else FIRST_MESSAGE_TIMEOUT_S

    def _read_messages(self, task: Task) -> None:
        while not self._stream.closed:
            if self._can_transfer() and self._transfer():
                return
            if self._deferred.is_due:
                self._messages.handle_deferred()
                self._account_partial(self._frames.buffered_bytes)
            data = self._stream.read(
                task, self._deferred.resume_at if self._deferred else self._read_deadline
            )
            if task.interrupted:
                task.clear_interruption()
                if not isinstance(data, bytes):
                    continue
            if data is Wait.TIMED_OUT and self._deferred:
                continue
            self._slot.last_byte_at = self._loop.now
            if data == b"":
                self._is_client_gone = self._is_client_gone or not self._stream.closed
                return
            if isinstance(data, bytes):
                self._receive(data)
            elif self._is_idle_at_timeout():
                return

    def _is_idle_at_timeout(self) -> bool:
        """Whether the connection, from which nothing has come for long, has no request in flight.

        Raises:
            thrift.ThriftError: It ends within a message.
        """
        if self._frames.buffered_bytes:
            raise thrift.ThriftError("message incomplete at its timeout")
        if not self._requests:
            return True
        self._account_received()
        self._read_deadline = self._loop.now + IDLE_TIMEOUT_S
        return False

    def _receive(self, data: bytes) -> None:
        frames = self._frames.feed(data)
        # A client that repeats rejected messages at once must not take the time of the others.
        is_paused = self._deferred.is_paused
        for frame in frames:
            if is_paused:
                self._messages.defer(frame, self._loop.now)
            else:
                self._messages.handle(frame, self._loop.now)
        self._account_received()
        # A message that comes byte by byte has no more time than one that stops, and the first message's time
        # counts from connecting.
        if frames:
            timeout_s = MESSAGE_TIMEOUT_S if self._frames.buffered_bytes else IDLE_TIMEOUT_S
            self._read_deadline = self._loop.now + timeout_s
        elif self._read_deadline > self._loop.now + MESSAGE_TIMEOUT_S:
            self._read_deadline = self._loop.now + MESSAGE_TIMEOUT_S

    def _account_received(self) -> None:
        size = self._frames.buffered_bytes + self._deferred.size_bytes
        if size != self._services.partial_messages.held_bytes(self._slot):
            self._account_partial(size)

    def _account_partial(self, size: int) -> None:
        self._services.partial_messages.account(self._slot, size)

    def _finish(self) -> None:
        if self._is_client_gone or self._requests.handover.is_transferred:
            # Of a transferred connection the other process has the same socket: no half-close.
            self._stream.close()
        else:
            self._stream.close_gracefully()
        self._deferred.clear()
        self._account_partial(0)
        if not self._requests.handover.is_transferred:
            self._requests.cancel_all()

    def _close_unreadable(self, task: Task) -> None:
        """Give the requests in flight a while to end, then answer them as failed."""
        self._requests.reject_deferred()
        self._account_partial(0)
        self._transferable_task = None
        task.clear_interruption()
        earliest = self._loop.now + MIN_BACKOFF_S
        latest = self._loop.now + UNREADABLE_GRACE_S
        bytes_left = MAX_DROPPED_BYTES
        while bytes_left > 0 and (self._loop.now < earliest or (self._requests and self._loop.now < latest)):
            # The client may disconnect meanwhile, and nothing may begin for one that has.
            data = self._stream.read(task, min(latest, self._loop.now + MIN_BACKOFF_S))
            if data == b"":
                self._is_client_gone = not self._stream.closed
                return
            bytes_left -= len(data) if isinstance(data, bytes) else 0
        for seqid in self._requests.sequence_numbers():
            self._requests.cancel(seqid)
            self._stream.write(thrift.encode_fault(seqid, {}))

    # ---- transfer -----------------------------------------------------------------------------------
    def _can_transfer(self) -> bool:
        # A client that has sent bad messages ends where it is.
        is_possible = self._requests.handover.is_possible(self._frames.buffered_bytes)
        return is_possible and not self._deferred.backoff_s

    def _transfer(self) -> bool:
        requests = self._requests
        return requests.handover.transfer(self._frames, requests.call_ids(), requests.had_request)
