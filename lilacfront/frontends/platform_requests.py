"""The requests in flight on one connection of the platform's protocol, and their answers."""

from __future__ import annotations

from dataclasses import dataclass

from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.lifecycle import run_request
from lilacfront.core.model import (
    Cancelled,
    Completed,
    Failed,
    FinalAnswer,
    Rejected,
    Request,
    StatementFailed,
)
from lilacfront.frontends.connection_handover import ConnectionHandover, TransferKey
from lilacfront.frontends.deferred_messages import DeferredMessages
from lilacfront.frontends.listener import ClientSlot
from lilacfront.frontends.platform_services import PlatformServices
from lilacfront.frontends.result_buffer import ResultBuffer
from lilacfront.logs import Log
from lilacfront.operations.transfer_messages import ConnectionPassed
from lilacfront.protocols import thrift
from lilacfront.sched import PeerState, Task

log = Log(__name__)


@dataclass(slots=True)
class OpenRequest:
    """A request that has not been answered yet.

    Attributes:
        call_id: The client's id of the request.
        in_flight: The dispatcher's request; None before it is submitted or if another process serves it.
        ordering_key: The request's ordering key; 0 if it has none.
    """

    call_id: bytes
    in_flight: InFlightRequest | None = None
    ordering_key: int = 0


class ClientRequests:
    """The requests in flight on one connection, by sequence number.

    Attributes:
        had_request: Whether the connection ever had a request.
        handover: The connection's transfers between processes.
    """

    def __init__(self, services: PlatformServices, slot: ClientSlot, deferred: DeferredMessages) -> None:
        self._services = services
        self._slot = slot
        self._stream = slot.stream
        self._deferred = deferred
        self._open: dict[int, OpenRequest] = {}
        self._remote_seqids: set[int] = set()  # requests served by the process that the connection came from
        self.had_request = False
        self.handover = ConnectionHandover(services.transfers, slot.stream)

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, seqid: int) -> bool:
        return seqid in self._open

    def sequence_numbers(self) -> list[int]:
        """Return the sequence numbers of all requests in flight."""
        return list(self._open)

    def call_ids(self) -> tuple[tuple[int, bytes], ...]:
        """Return the sequence number and the id of each request in flight."""
        return tuple((seqid, request.call_id) for seqid, request in self._open.items())

    def ordering_keys(self) -> tuple[tuple[int, int], ...]:
        """Return the sequence number and the ordering key of each request in flight that has a key."""
        return tuple(
            (seqid, request.ordering_key) for seqid, request in self._open.items() if request.ordering_key
        )

    def _add(self, seqid: int, request: OpenRequest) -> None:
        self._open[seqid] = request
        self._services.call_ids.open(request.call_id)
        self._services.keys.add_request(request.ordering_key)

    def _remove(self, seqid: int) -> OpenRequest:
        """Remove and return a request; without one of this number, return an empty one."""
        request = self._open.pop(seqid, None)
        if request is None:
            return OpenRequest(b"")
        if seqid in self._remote_seqids:
            self._services.call_ids.close(request.call_id, may_have_run=True)
        self._services.keys.remove_request(request.ordering_key)
        return request

    # ---- serving ------------------------------------------------------------------------------------
    def start(self, seqid: int, request: Request) -> None:
        """Serve a new request in its own task."""
        self.had_request = True
        self._add(seqid, OpenRequest(request.call_id, ordering_key=request.ordering_key))
        self._slot.mark_busy()
        self._services.request_budget.add(request)
        self._services.loop.spawn(self._serve, seqid, request)

    def peer_state(self) -> PeerState:
        """Return whether the client has closed, or may have; see `Stream.peer_state`.

        After a transfer the other process reports it.
        """
        return PeerState.OPEN if self.handover.is_transferred else self._stream.peer_state()

    def wait_for_handled_input(self, task: Task, until: float) -> None:
        """Wait until the client's state is not `UNREAD`, or until a time in seconds."""
        if not self.handover.is_transferred:
            self._stream.wait_for_handled_input(task, until)

    def _serve(self, task: Task, seqid: int, request: Request) -> None:
        in_flight: InFlightRequest | None = None
        is_closed = self._stream.closed and not self.handover.is_transferred
        try:
            if not is_closed and self._is_open(seqid, request, None):
                in_flight = self._services.dispatcher.submit(request, task)
                self._run(seqid, request, in_flight)
        finally:
            self._services.request_budget.remove(request)
            self._services.call_ids.close(request.call_id, self._must_not_repeat(request, in_flight))

    def _must_not_repeat(self, request: Request, in_flight: InFlightRequest | None) -> bool:
        """Whether the id of an ended request must not come again."""
        if in_flight is None or not in_flight.may_have_run:
            return False
        return not (in_flight.is_completed and self._services.names.is_idempotent(request.class_index))

    def _run(self, seqid: int, request: Request, in_flight: InFlightRequest) -> None:
        sink = ResultBuffer()
        dispatcher = self._services.dispatcher
        answer: FinalAnswer
        try:
            self._open[seqid].in_flight = in_flight
            answer = run_request(dispatcher, in_flight, self._services.upstream, sink)
        except Exception:
            # The client gets an answer even if this program fails.
            log.exception("request failed unexpectedly")
            dispatcher.abandon(in_flight)
            answer = Failed()
        # No answer is sent for a request that was cancelled, even if its number has been reused since.
        if not self._is_open(seqid, request, in_flight):
            return
        self._remove(seqid)
        self._send_final_answer(seqid, answer, sink.body, request.deadline)

    def _is_open(self, seqid: int, request: Request, in_flight: InFlightRequest | None) -> bool:
        """Whether this request has not been cancelled and its number not been reused."""
        open_request = self._open.get(seqid)
        return (
            open_request is not None
            and open_request.call_id == request.call_id
            and open_request.in_flight is in_flight
        )

    def _send_final_answer(self, seqid: int, answer: FinalAnswer, body: bytes, deadline: float) -> None:
        match answer:
            case Completed():
                frame = thrift.encode_answer(b"invoke", seqid, body)
            case Rejected(retry_after_ms):
                fields = {b"pushback": b"%d" % retry_after_ms} if retry_after_ms else {}
                frame = thrift.encode_shed(seqid, fields)
            case Failed() | StatementFailed():
                frame = thrift.encode_fault(seqid, {})
            case Cancelled():
                return
        self._send_answer(seqid, frame, deadline)

    def _send_answer(self, seqid: int, frame: bytes, deadline: float | None = None) -> None:
        """Write an answer, or forward it to the process that has the connection.

        Args:
            seqid: Sequence number of the request.
            frame: The answer.
            deadline: Time until which the client waits for it, in seconds; None if unknown.
        """
        if not self.handover.has_answer_capacity(len(frame)):
            log.warning("answer exceeds memory limit", bytes=len(frame))
            frame = thrift.encode_fault(seqid, {})
        if not self.handover.is_transferred:
            self._write_answer(frame, deadline)
            self.update_idle()
        elif self.handover.forward_answer(seqid, frame):
            self._release_handover()

    def _write_answer(self, frame: bytes, deadline: float | None = None) -> None:
        if deadline is None:
            deadline = self._services.loop.now + self._services.names.longest_deadline_s
        self._stream.write(frame, is_final=True, awaited_until=deadline)

    def update_idle(self) -> None:
        """Mark the connection idle if nothing is in flight or deferred."""
        if not self._open and not self._deferred:
            self._slot.mark_idle(had_request=True)

    # ---- ending requests without their result -------------------------------------------------------
    def cancel(self, seqid: int) -> None:
        """Cancel the request with this number, if there is one; it gets no answer."""
        request = self._remove(seqid)
        if seqid in self._remote_seqids:
            self._remote_seqids.discard(seqid)
            self._services.dispatcher.release_key(request.ordering_key)
            self.handover.cancel_at_origin(seqid)
        self._release_handover()
        if request.in_flight is not None:
            self._services.dispatcher.cancel(request.in_flight)

    def fail(self, seqid: int) -> None:
        """Cancel a request and answer it as failed."""
        self.cancel(seqid)
        self._write_answer(thrift.encode_fault(seqid, {}))

    def cancel_all(self) -> None:
        """Cancel all requests."""
        for seqid in list(self._open):
            self.cancel(seqid)

    def fail_pending(self) -> None:
        """Answer all requests now, including the deferred ones, without waiting for their results."""
        self.reject_deferred()
        for seqid, request in list(self._open.items()):
            if request.in_flight is not None:
                self._services.dispatcher.expire(request.in_flight)
            elif seqid in self._remote_seqids:
                self.handover.cancel_at_origin(seqid)
                self.complete_remote(seqid, thrift.encode_fault(seqid, {}))

    def reject_deferred(self) -> None:
        """Reject the deferred requests, which were received but never handled."""
        for message in self._deferred:
            if message.seqid is not None:
                self.write_rejection(message.seqid, self._deferred.backoff_s)
        self._deferred.clear()
        self.update_idle()

    def write_rejection(self, seqid: int, retry_after_s: float) -> None:
        """Write the rejection of a request that was never in flight."""
        self._write_answer(thrift.encode_shed(seqid, {b"pushback": b"%d" % (1000 * retry_after_s)}))

    # ---- requests of a transferred connection -------------------------------------------------------
    def adopt(self, key: TransferKey, passed: ConnectionPassed) -> None:
        """Take over the requests of a connection from another process."""
        self.had_request = passed.had_request
        if passed.pending_requests:
            self.handover.adopt(self, key)
        ordering_keys = dict(passed.ordering_keys)
        for seqid, call_id in passed.pending_requests:
            ordering_key = ordering_keys.get(seqid, 0)
            self._add(seqid, OpenRequest(call_id, ordering_key=ordering_key))
            self._remote_seqids.add(seqid)
            self._services.dispatcher.hold_key(ordering_key)
        if passed.pending_requests:
            self._slot.mark_busy()
        elif passed.had_request:
            self._slot.mark_idle(had_request=True)

    def complete_remote(self, seqid: int, frame: bytes) -> None:
        """Write the answer of a request that the process the connection came from has served."""
        if seqid not in self._remote_seqids:
            return
        self._remote_seqids.discard(seqid)
        request = self._remove(seqid)
        self._services.dispatcher.release_key(request.ordering_key)
        self._send_answer(seqid, frame)
        self._release_handover()

    def cancel_transferred(self, seqid: int | None) -> None:
        """Cancel a request, or all if None, on behalf of the process that has the connection now."""
        if not self.handover.is_transferred:
            return
        if seqid is None:
            self.cancel_all()
        else:
            self.cancel(seqid)

    def on_other_process_lost(self, key: TransferKey) -> None:
        """Cancel or fail the requests that depend on a process that has ended."""
        if self.handover.drop(key):
            self.cancel_all()
            return
        for seqid in list(self._remote_seqids):
            # The request may have run, so the client gets a fault, not a rejection.
            self.complete_remote(seqid, thrift.encode_fault(seqid, {}))

    def _release_handover(self) -> None:
        self.handover.release(
            has_remote_requests=bool(self._remote_seqids), has_open_requests=bool(self._open)
        )
