"""Handles the messages of one client of the platform's protocol and defers them during a backoff."""

from __future__ import annotations

from lilacfront.frontends.deferred_messages import DeferredMessage, DeferredMessages
from lilacfront.frontends.listener import ClientSlot
from lilacfront.frontends.platform_request_parser import InvalidInvokeError, parse_request
from lilacfront.frontends.platform_requests import ClientRequests
from lilacfront.frontends.platform_services import PlatformServices
from lilacfront.logs import Log
from lilacfront.protocols import thrift

log = Log(__name__)

# Time within which the connection of a rejected client is closed or transferred to the successor.
KEY_RETRY_AFTER_S = 0.5
MEMORY_RETRY_AFTER_S = 1.0  # after a rejection for memory; most requests in flight are answered by then


class MessageHandler:
    """Handles each complete message: `invoke`, `abort` and `ping`; any other is rejected."""

    def __init__(
        self,
        services: PlatformServices,
        slot: ClientSlot,
        requests: ClientRequests,
        deferred: DeferredMessages,
    ) -> None:
        self._services = services
        self._loop = services.loop
        self._slot = slot
        self._stream = slot.stream
        self._requests = requests
        self._deferred = deferred

    def defer(self, frame: bytes, received_at: float) -> None:
        """Defer a message until the backoff ends; an `abort` is handled immediately.

        Raises:
            thrift.ThriftError: The sequence number can't be read, or too many bytes are deferred.
        """
        message: thrift.Message | None = None
        try:
            message = thrift.parse_call(frame)
        except thrift.ThriftError as error:
            if error.seqid is None:
                raise
        if message is not None and message.name == b"abort":
            self.handle(frame, received_at)
            return
        is_request = message is not None and message.name == b"invoke"
        seqid = message.seqid if message is not None and is_request else None
        self._slot.mark_busy()
        self._deferred.append(DeferredMessage(seqid, frame, received_at))

    def handle_deferred(self) -> None:
        """Handle the deferred messages in the order in which they were received.

        Raises:
            thrift.ThriftError: The sequence number of a message can't be read.
        """
        for message in self._deferred.pop_all():
            self.handle(message.frame, message.received_at)
        if not self._requests:
            self._slot.mark_idle(self._requests.had_request)

    def handle(self, frame: bytes, received_at: float) -> None:
        """Handle a message.

        Raises:
            thrift.ThriftError: Its sequence number can't be read.
        """
        try:
            message = thrift.parse_call(frame)
        except thrift.ThriftError as error:
            if error.seqid is None:
                raise
            self._reject_message(error.name, error.seqid, thrift.PROTOCOL_ERROR, str(error))
            return
        name, seqid = message.name, message.seqid
        match name:
            case b"abort":
                if message.aborted_seqid is not None:
                    self._abort(message.aborted_seqid)
            case _ if message.message_type != thrift.CALL:
                self._reject_message(name, seqid, thrift.PROTOCOL_ERROR, "not a call")
            case b"ping":
                is_healthy = self._services.health.is_healthy()
                self._stream.write(thrift.encode_answer(name, seqid, b"", is_healthy))
                self._requests.update_idle()
            case b"invoke":
                self._invoke(message, received_at)
            case _:
                self._reject_message(name, seqid, thrift.UNKNOWN_METHOD, "no such method")

    def _reject_message(self, name: bytes, seqid: int, code: int, text: str) -> None:
        self._stream.write(thrift.encode_application_exception(name, seqid, code, text))
        self._deferred.back_off()

    def _abort(self, seqid: int) -> None:
        self._deferred.remove_request(seqid)
        self._requests.cancel(seqid)
        self._requests.update_idle()

    def _invoke(self, message: thrift.Message, received_at: float) -> None:
        try:
            self._check_sequence_number(message.seqid)
            request = parse_request(
                message,
                received_at,
                self._services.names,
                self._services.call_ids,
                self._requests,
            )
        except InvalidInvokeError as error:
            self._reject_message(b"invoke", message.seqid, thrift.PROTOCOL_ERROR, str(error))
            return
        retry_after_s = self._services.drain_policy.retry_after_s(self._slot.connected_at)
        if request.ordering_key and self._services.keys.has_begun:
            # The successor may serve this key already; the client reaches it on another connection.
            retry_after_s = KEY_RETRY_AFTER_S
        if retry_after_s is None and not self._services.request_budget.has_capacity(request):
            log.warning("requests exceed memory limit", bytes=self._services.request_budget.used_bytes)
            retry_after_s = MEMORY_RETRY_AFTER_S
        if retry_after_s is not None:
            self._slot.last_request_at = self._loop.now
            self._requests.write_rejection(message.seqid, retry_after_s)
            return
        self._requests.start(message.seqid, request)

    def _check_sequence_number(self, seqid: int) -> None:
        if seqid in self._requests:
            # The client could not tell which of two requests with this number an answer belongs to, so both
            # get a single answer: this error.
            self._requests.cancel(seqid)
            self._requests.update_idle()
            raise InvalidInvokeError("this sequence number is open already")
        if len(self._requests) >= thrift.MAX_OPEN_CALLS:
            raise InvalidInvokeError("too many requests are open on this connection")
