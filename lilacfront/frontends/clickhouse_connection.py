"""One client connection of the ClickHouse HTTP interface: serves one request after the other."""

from __future__ import annotations

from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.lifecycle import run_request
from lilacfront.core.model import Cancelled, Completed, Failed, FinalAnswer, Rejected
from lilacfront.frontends.clickhouse_errors import (
    ErrorCode,
    InvalidQueryError,
    encode_error,
    encode_failure,
    encode_rejection,
    encode_text,
)
from lilacfront.frontends.clickhouse_reader import IDLE_TIMEOUT_S, RequestReader
from lilacfront.frontends.clickhouse_request_parser import HttpRequest, parse_request
from lilacfront.frontends.clickhouse_result import StreamedResult
from lilacfront.frontends.clickhouse_services import ClickHouseServices
from lilacfront.frontends.listener import ClientSlot
from lilacfront.logs import Log
from lilacfront.protocols import http1
from lilacfront.sched import Task

log = Log(__name__)
MIN_BACKOFF_S = 0.1  # after a request that can't be served; doubles each time
MAX_BACKOFF_S = 0.8
CONNECTED_CHECK_INTERVAL_S = 0.05  # while no more is read
FINISH_TIMEOUT_S = 1.0  # for the client to take the last answer


class ClickHouseConnection:
    """A connection, from its first byte to its end; `run` is its task, and each request has one, too."""

    def __init__(self, services: ClickHouseServices, slot: ClientSlot) -> None:
        self._services = services
        self._loop = services.loop
        self._stream = slot.stream
        self._reader = RequestReader(slot, services.bodies)
        self._is_serving = False
        self._in_flight: InFlightRequest | None = None  # the latest request
        self._backoff_s = 0.0
        slot.owner = self

    # ---- calls of the slot --------------------------------------------------------------------------
    def fail_pending(self) -> None:
        """Answer the request in flight now."""
        if self._in_flight is not None:
            self._services.dispatcher.expire(self._in_flight)

    def request_transfer(self) -> None:
        """Connections of this protocol stay with their process."""

    # ---- serving ------------------------------------------------------------------------------------
    def run(self, task: Task) -> None:
        """Read and answer requests for as long as the connection lasts."""
        keep_alive = True
        try:
            while keep_alive and not self._stream.closed:
                request = self._reader.receive(task)
                if request is None:
                    break
                keep_alive = request.head.keep_alive and self._services.health.is_healthy()
                self._serve(task, request, keep_alive)
                self._reader.release_body()
        except http1.HttpError as error:
            text = str(error).encode()
            self._stream.write(encode_error(error.status, ErrorCode.BAD_ARGUMENTS, text, keep_alive=False))
        finally:
            self._reader.release_body()
            self._stream.close_gracefully(FINISH_TIMEOUT_S)

    def _serve(self, task: Task, http_request: HttpRequest, keep_alive: bool) -> None:
        method = http_request.head.method
        if http_request.is_ping:
            self._answer_ping(method, keep_alive)
            return
        try:
            request = parse_request(http_request, self._services, self._stream.is_open_by_poll)
        except InvalidQueryError as error:
            self._stream.write(encode_error(error.status, error.code, error.text, keep_alive, method))
            # A client that repeats it at once must not take the time of the others.
            self._backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self._backoff_s))
            self._loop.sleep(task, self._loop.now + self._backoff_s)
            return
        result = StreamedResult(self._services.dispatcher, self._stream, keep_alive)
        self._is_serving = True
        request_task = self._loop.spawn(self._run_request, task, result)
        in_flight = self._services.dispatcher.submit(request, request_task)
        result.in_flight = in_flight
        self._in_flight = in_flight
        self._watch_client(task, in_flight)

    def _answer_ping(self, method: bytes, keep_alive: bool) -> None:
        if self._services.health.is_healthy():
            self._stream.write(encode_text(200, b"Ok.\n", [], keep_alive, method))
        else:
            self._stream.write(encode_text(503, b"Leaving.\n", [], keep_alive, method))

    def _watch_client(self, task: Task, in_flight: InFlightRequest) -> None:
        """Until the request is answered, read what comes early and notice if the client disconnects."""
        while self._is_serving:
            if self._reader.has_early_capacity:
                data = self._stream.read(task, self._loop.now + IDLE_TIMEOUT_S)
                if data == b"":
                    self._cancel(in_flight)
                elif isinstance(data, bytes):
                    self._reader.add_early(data)
            if self._stream.closed:
                self._loop.wait(task, self._loop.now + IDLE_TIMEOUT_S)
            elif not self._reader.has_early_capacity:
                # Unread bytes hide that the client disconnects: the socket is asked for what is behind them.
                self._loop.wait(task, self._loop.now + CONNECTED_CHECK_INTERVAL_S)
                if not self._stream.is_open_by_poll():
                    self._cancel(in_flight)
            if task.interrupted:
                task.clear_interruption()

    def _cancel(self, in_flight: InFlightRequest) -> None:
        """Nobody is left to take the answer."""
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
            # After a fault of this program the client still gets its one answer.
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
            case Completed():
                result.finish()
            case Cancelled():
                self._stream.close()
            case _ if result.has_started:
                # Without a last chunk the client can tell that the result is not complete.
                self._stream.close_gracefully()
            case Rejected():
                self._stream.write(encode_rejection(answer, result.keep_alive))
            case Failed():
                self._stream.write(encode_failure(answer, result.keep_alive))
