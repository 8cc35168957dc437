"""One attempt on an established RESP connection."""

from __future__ import annotations

import math

from lilacfront.core.model import (
    AttemptContext,
    AttemptEnding,
    AttemptOutcome,
    DeliveryStage,
    ResponseSink,
)
from lilacfront.decisions.events import LoadReport
from lilacfront.protocols import resp
from lilacfront.sched import Interrupted, Task, Wait
from lilacfront.upstream.resp_connection import ConnectionEvent, RespConnection
from lilacfront.upstream.resp_messages import (
    HIT,
    INFO,
    LATE,
    PART,
    SHED,
    Reply,
    parse_load_report,
    parse_notification,
)

PAGES_TIMEOUT_S = 1.0  # the attempt times out if no page is received for this long
PAGE_RETRY_S = 0.1  # delay before missing pages are requested again; doubles with each retry
MAX_ERROR_TEXT_BYTES = 200
ANSWERED = (AttemptEnding.COMPLETED, AttemptEnding.REJECTED, AttemptEnding.ERROR)


class RespAttempt:
    """Sends the command, receives the replies and requests missing pages until the outcome is known."""

    def __init__(
        self, connection: RespConnection, call_id: bytes, command: bytes, context: AttemptContext
    ) -> None:
        self._connection = connection
        self._call_id = call_id
        self._context = context
        self._attempt = connection.begin(call_id, command, context)
        self._load_report: LoadReport | None = None
        self._pages_deadline = math.inf  # infinite until the number of pages is known
        self._page_retry_at = math.inf
        self._page_retry_s = PAGE_RETRY_S

    def run(self, task: Task, deadline: float, sink: ResponseSink) -> AttemptOutcome:
        """Wait for the outcome; before this returns, an unfinished attempt is cancelled at the engine."""
        self._context.subscribe_priority(self._send_priority)
        outcome: AttemptOutcome | None = None
        try:
            while outcome is None:
                outcome = self._next_step(task, deadline, sink)
        finally:
            self._connection.end(self._call_id, self._final_command(outcome))
        return outcome

    def _next_step(self, task: Task, deadline: float, sink: ResponseSink) -> AttemptOutcome | None:
        deadline = min(deadline, self._pages_deadline)
        received = self._attempt.inbox.get(task, min(deadline, self._page_retry_at))
        if isinstance(received, Reply):
            return self._handle_reply(received, sink)
        if received is Wait.TIMED_OUT and self._connection.loop.now < deadline:
            # Requesting a lost page again keeps a result that the engine has already computed.
            self._request_missing_pages()
            return None
        return self._outcome_without_reply(received)

    def _send_priority(self, priority: int) -> None:
        self._connection.send(b"bump", self._call_id, b"%d" % priority)

    def _final_command(self, outcome: AttemptOutcome | None) -> bytes | None:
        """Return the command that ends the attempt at the engine; None if the engine has ended it already.

        `undo` cancels the statement, `forget` drops the pages of a result that were not received.
        """
        result = self._attempt.result
        if result.has_first_page:
            return None if result.is_complete else b"forget"
        is_answered = outcome is not None and outcome.ending in ANSWERED
        return None if is_answered else b"undo"

    def _delivery_stage(self) -> DeliveryStage:
        if self._attempt.result.has_first_page:
            return DeliveryStage.RESPONDING
        command = self._attempt.command
        if command.withdraw():
            return DeliveryStage.CONNECTED
        return DeliveryStage.WRITTEN if command.is_fully_sent else DeliveryStage.PARTLY_WRITTEN

    def _outcome_without_reply(self, reason: Wait | ConnectionEvent) -> AttemptOutcome:
        stage = self._delivery_stage()
        if reason is ConnectionEvent.CLOSED:
            ending = AttemptEnding.CONNECTION_LOST
        elif reason is ConnectionEvent.WITHDRAWN:
            ending = AttemptEnding.NOT_SENT
        elif reason is Interrupted:
            ending = AttemptEnding.CANCELLED
        else:
            ending = AttemptEnding.TIMED_OUT
        return AttemptOutcome(ending, stage, self._load_report)

    def _error(self, detail: bytes) -> AttemptOutcome:
        return AttemptOutcome(AttemptEnding.ERROR, DeliveryStage.RESPONDING, self._load_report, detail)

    def _handle_reply(self, reply: Reply, sink: ResponseSink) -> AttemptOutcome | None:
        self._load_report = parse_load_report(reply.fields.get(b"rep")) or self._load_report
        if reply.kind in (HIT, PART):
            return self._handle_page(reply.kind == HIT, sink)
        if reply.kind == INFO:
            notification = parse_notification(reply.fields)
            if notification is not None:
                self._context.notify(notification)
            return None
        if reply.kind in (SHED, LATE) and not self._attempt.result.has_first_page:
            return AttemptOutcome(AttemptEnding.REJECTED, DeliveryStage.WRITTEN, self._load_report)
        return self._error(reply.body[:MAX_ERROR_TEXT_BYTES])

    def _handle_page(self, is_first: bool, sink: ResponseSink) -> AttemptOutcome | None:
        result = self._attempt.result
        if not result.is_complete:
            self._pages_deadline = self._connection.loop.now + PAGES_TIMEOUT_S
            if is_first:
                self._request_missing_pages()
            return None
        if not sink.write(result.join()):
            return self._error(b"the answer can't be passed on")
        return AttemptOutcome(AttemptEnding.COMPLETED, DeliveryStage.RESPONDING, self._load_report)

    def _request_missing_pages(self) -> None:
        if self._connection.stream is not None:
            requests = (
                resp.encode(b"page", self._call_id, b"%d" % number)
                for number in self._attempt.result.missing_pages
            )
            self._connection.stream.write(b"".join(requests))
        self._page_retry_at = self._connection.loop.now + self._page_retry_s
        self._page_retry_s *= 2
