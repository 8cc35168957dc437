"""One client connection of the ClickHouse HTTP interface, which serves one request after the other."""

from __future__ import annotations

from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.lifecycle import run_request
from lilacfront.core.model import Cancelled, Completed, Failed, FinalAnswer, Rejected, StatementFailed
from lilacfront.frontends.clickhouse_errors import (
    ErrorCode,
    InvalidQueryError,
    encode_error,
    encode_failure,
    encode_rejection,
    encode_text,
)
from lilacfront.frontends.clickhouse_reader import IDLE_TIMEOUT_S, BodiesExceededError, RequestReader
from lilacfront.frontends.clickhouse_request_parser import HttpRequest, parse_request
from lilacfront.frontends.clickhouse_result import StreamedResult
from lilacfront.frontends.clickhouse_services import ClickHouseServices
from lilacfront.frontends.listener import ClientSlot
from lilacfront.logs import Log
from lilacfront.protocols import http1
from lilacfront.sched import SMALL_READ_BYTES, PeerState, Task

log = Log(__name__)
MIN_BACKOFF_S = 0.1  # delay after the first invalid request; doubles with each one up to MAX_BACKOFF_S
MAX_BACKOFF_S = 0.8
CONNECTED_CHECK_INTERVAL_S = 0.05  # time between checks for a disconnect while nothing is read
BODIES_RETRY_AFTER_S = b"1"  # a load takes about this long
PIPELINE_RETRY_AFTER_MS = 1000  # after a rejection because too many requests were pipelined behind it
FINISH_TIMEOUT_S = 1.0  # time for the client to receive the last answer


class ClickHouseConnection:
    """A client connection from its first byte to its end.

    `run` is the task of the connection; each request runs in another task.
    """

    def __init__(self, services: ClickHouseServices, slot: ClientSlot) -> None:
        self._services = services
        self._loop = services.loop
        self._stream = slot.stream
        self._reader = RequestReader(slot, services.bodies)
        self._is_serving = False
        self._in_flight: InFlightRequest | None = None
        self._backoff_s = 0.0
        slot.owner = self

    # ---- SlotOwner ------------------------------------------------------------------------------------
    def fail_pending(self) -> None:
        """Answer the request in flight now, without waiting for its result."""
        if self._in_flight is not None:
            self._services.dispatcher.expire(self._in_flight)

    def request_transfer(self) -> None:
        """Do nothing: connections of this protocol are not transferred."""

    def discard_partial_message(self) -> None:
        """Do nothing: bodies have a budget of their own."""

    # ---- RequestClient --------------------------------------------------------------------------------
    def peer_state(self) -> PeerState:
        """Return whether the client has closed, or whether its close may lie behind pipelined requests."""
        state = self._stream.peer_state()
        if state is PeerState.UNREAD and self._stream.is_close_visible:
            return PeerState.OPEN if self._stream.is_open_by_poll() else PeerState.CLOSED
        return state

    def wait_for_handled_input(self, task: Task, until: float) -> None:
        """Wait until the state is not `UNREAD`, or until a time in seconds."""
        if self.peer_state() is PeerState.UNREAD:
            self._stream.wait_for_handled_input(task, until)

    # ---- serving ------------------------------------------------------------------------------------
    def run(self, task: Task) -> None:
        """Read and answer requests until the connection ends."""
        rejected_body = None
        try:
            while not self._stream.closed and self._serve_next(task):
                pass
        except BodiesExceededError as error:
            rejected_body = self._reader.rejected_body
            code = ErrorCode.TOO_MANY_SIMULTANEOUS_QUERIES
            text, headers = str(error).encode(), [(b"Retry-After", BODIES_RETRY_AFTER_S)]
            self._write_error(encode_error(error.status, code, text, keep_alive=False, extra_headers=headers))
        except http1.HttpError as error:
            rejected_body = self._reader.rejected_body
            text = str(error).encode()
            self._write_error(encode_error(error.status, ErrorCode.BAD_ARGUMENTS, text, keep_alive=False))
        finally:
            self._reader.release_all()
            self._stream.close_gracefully(FINISH_TIMEOUT_S, rejected_body)

    def _serve_next(self, task: Task) -> bool:
        """Read and answer one request; return whether another one may follow.

        When this returns, nothing of the request is reachable: an idle connection must not hold the memory
        of a body that the budget does not count any more.
        """
        request = self._reader.receive(task)
        if request is None:
            return False
        keep_alive = request.head.keep_alive and self._services.health.is_healthy()
        self._serve(task, request, keep_alive)
        self._reader.release_body()
        return keep_alive

    def _serve(self, task: Task, http_request: HttpRequest, keep_alive: bool) -> None:
        method = http_request.head.method
        if http_request.is_ping:
            self._answer_ping(method, keep_alive)
            return
        try:
            request = parse_request(http_request, self._services, self)
        except InvalidQueryError as error:
            self._write_error(encode_error(error.status, error.code, error.text, keep_alive, method))
            # The delay keeps a client that repeats invalid requests without a pause from starving others.
            self._backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self._backoff_s))
            self._loop.sleep(task, self._loop.now + self._backoff_s)
            return
        self._reader.read_ahead(task)
        if self.peer_state() is PeerState.UNREAD:
            self._write_error(encode_rejection(Rejected(PIPELINE_RETRY_AFTER_MS), keep_alive))
            return
        result = StreamedResult(self._services.dispatcher, self._stream, keep_alive)
        self._is_serving = True
        request_task = self._loop.spawn(self._run_request, task, result)
        in_flight = self._services.dispatcher.submit(request, request_task)
        result.in_flight = in_flight
        self._in_flight = in_flight
        self._watch_client(task, in_flight)
        self._in_flight = None

    def _write_error(self, response: bytes) -> None:
        """Write the answer to a request that was not parsed in full, so that its deadline is unknown."""
        awaited_until = self._loop.now + self._services.classifier.longest_deadline_s
        self._stream.write(response, is_final=True, awaited_until=awaited_until)

    def _answer_ping(self, method: bytes, keep_alive: bool) -> None:
        if self._services.health.is_healthy():
            self._stream.write(encode_text(200, b"Ok.\n", [], keep_alive, method))
        else:
            self._stream.write(encode_text(503, b"Leaving.\n", [], keep_alive, method))

    def _watch_client(self, task: Task, in_flight: InFlightRequest) -> None:
        """Until the request is answered, read pipelined bytes and cancel it if the client disconnects."""
        while self._is_serving:
            if self._reader.has_pipeline_capacity:
                data = self._stream.read(task, self._loop.now + IDLE_TIMEOUT_S, SMALL_READ_BYTES)
                if data == b"":
                    self._cancel(in_flight)
                elif isinstance(data, bytes):
                    self._reader.add_pipelined(data)
            if self._stream.closed:
                self._loop.wait(task, self._loop.now + IDLE_TIMEOUT_S)
            elif not self._reader.has_pipeline_capacity:
                # With unread bytes in the socket, a read can't show a disconnect; polling for it can.
                self._loop.wait(task, self._loop.now + CONNECTED_CHECK_INTERVAL_S)
                if not self._stream.is_open_by_poll():
                    self._cancel(in_flight)
            if task.interrupted:
                task.clear_interruption()

    def _cancel(self, in_flight: InFlightRequest) -> None:
        """Cancel the request of a client that has disconnected."""
        self._services.dispatcher.cancel(in_flight)
        self._stream.close()

    # ---- the task of one request --------------------------------------------------------------------
    def _run_request(self, _task: Task, connection_task: Task, result: StreamedResult) -> None:
        assert result.in_flight is not None
        dispatcher = self._services.dispatcher
        answer: FinalAnswer
        try:
            answer = run_request(dispatcher, result.in_flight, self._services.upstream, result)
        except Exception:
            # The client gets an answer even if this program fails.
            log.exception("request failed unexpectedly")
            dispatcher.abandon(result.in_flight)
            answer = Failed()
        try:
            self._send_final_answer(answer, result)
        finally:
            self._is_serving = False
            connection_task.interrupt()

    def _send_final_answer(self, answer: FinalAnswer, result: StreamedResult) -> None:
        match answer:
            case Completed() | StatementFailed() if result.can_finish:
                result.finish()
            case Cancelled():
                self._stream.close()
            case _ if result.has_started:
                # The missing last chunk tells the client that the result is incomplete.
                self._stream.close_gracefully()
            case Rejected():
                result.replace(encode_rejection(answer, result.keep_alive))
            case Failed():
                result.replace(encode_failure(answer, result.keep_alive))
            case Completed() | StatementFailed():
                log.warning("answer exceeds memory limit")
                result.replace(encode_failure(Failed(), result.keep_alive))
