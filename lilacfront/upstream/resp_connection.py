"""One connection to an engine that speaks RESP, shared by many attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lilacfront.core.model import AttemptContext, EngineAddress
from lilacfront.logs import Log
from lilacfront.protocols import resp
from lilacfront.sched import Chunk, ConnectFailure, Loop, SendBudget, Stream, Task, Wait
from lilacfront.sched.channel import Channel, OneTimeEvent
from lilacfront.upstream.resp_messages import (
    MAX_PAGE_BYTES,
    WORDS_PER_ANSWER,
    PagedResult,
    Reply,
    parse_fields,
)

log = Log(__name__)
ANSWER_TIMEOUT_S = 0.5  # time from the first byte of an answer to its last
MIN_IDLE_CHECK_S = 0.05  # minimum time between two checks of the idle timeout
LATE_ANSWER_S = 30.0  # after this long no answer to an ended attempt is expected any more
MAX_QUEUED_BYTES = 1 << 20  # commands queued for an engine that does not read


class ConnectionEvent(Enum):
    """Event that a connection reports to its attempts in addition to replies."""

    CLOSED = "the connection ended"
    WITHDRAWN = "withdrawn before its first byte left"


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that is open on a connection.

    Attributes:
        inbox: Replies and events for the attempt's task.
        command: The command in the send queue of the stream.
        result: The pages received so far.
    """

    inbox: Channel[Reply | ConnectionEvent]
    command: Chunk
    result: PagedResult = field(default_factory=PagedResult)


class RespConnection:
    """A connection, from the start of connecting to its end.

    Attributes:
        engine: Number and address of the engine.
        ready: Set once the connection is established or has failed.
        stream: The byte stream; None until the connection is established.
        connect_failure: Reason why the connection was not established, if it was not.
        is_closed: Whether the connection has ended.
        open_attempts: Open attempts, by call id.
        cancelled_calls: Time of cancellation of each cancelled attempt whose answer may still be received,
            by call id.
        answered_calls: Time of the end of each answered attempt of which a duplicate answer may still be
            received, by call id.
        waiting_attempts: Number of attempts that wait for the connection to be established.
        idle_since: Time at which the latest attempt ended; before the first end, time at which the connection
            was created or established.
    """

    def __init__(
        self,
        loop: Loop,
        engine: EngineAddress,
        connect_timeout_s: float,
        idle_timeout_s: float,
        send_budget: SendBudget,
        on_close: Callable[[RespConnection], None],
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.ready = OneTimeEvent(loop)
        self.stream: Stream | None = None
        self.connect_failure: ConnectFailure | None = None
        self.is_closed = False
        self.open_attempts: dict[bytes, OpenAttempt] = {}
        self.cancelled_calls: dict[bytes, float] = {}
        self.answered_calls: dict[bytes, float] = {}
        self.waiting_attempts = 0
        self.idle_since = loop.now
        self._idle_timeout_s = idle_timeout_s
        self._send_budget = send_budget
        self._on_close = on_close
        self._parser = resp.Parser((WORDS_PER_ANSWER, WORDS_PER_ANSWER), MAX_PAGE_BYTES)
        self._answer_deadline = 0.0  # for the rest of a partly received answer; 0: there is none
        loop.spawn(self._run, connect_timeout_s)

    @property
    def load(self) -> int:
        """Number of attempts that are open or wait for the connection."""
        return len(self.open_attempts) + self.waiting_attempts

    @property
    def is_reusable(self) -> bool:
        """Whether an attempt may be sent: the connection is open without an unread or incomplete answer.

        The rest of an earlier answer would corrupt the answer of the next attempt. A connection that is still
        being established is reusable.
        """
        return self.stream is None or (not self._parser.is_inside_array and self.stream.is_idle())

    def begin(self, call_id: bytes, command: bytes, context: AttemptContext) -> OpenAttempt:
        """Queue the command of an attempt; it is withdrawn if the attempt may not begin when it is sent."""
        assert self.stream is not None
        inbox: Channel[Reply | ConnectionEvent] = Channel(self.loop)

        def may_send() -> bool:
            if context.may_begin():
                return True
            inbox.put(ConnectionEvent.WITHDRAWN)
            return False

        attempt = OpenAttempt(inbox, self.stream.write(command, may_send))
        self.open_attempts[call_id] = attempt
        return attempt

    def end(self, call_id: bytes, final_command: bytes | None) -> None:
        """End an attempt.

        Args:
            call_id: Id of the request.
            final_command: Command that cancels the attempt at the engine; None if it was answered. It is sent
                before this returns, so before another attempt of the request can begin.
        """
        attempt = self.open_attempts.pop(call_id, None)
        now = self.loop.now
        self.idle_since = now
        _remove_older(self.cancelled_calls, now - LATE_ANSWER_S)
        _remove_older(self.answered_calls, now - LATE_ANSWER_S)
        if attempt is None or self.stream is None or self.is_closed:
            return
        if final_command is None:
            self.answered_calls[call_id] = now
            return
        if attempt.command.withdraw():
            return
        self.cancelled_calls[call_id] = now
        chunk = self.stream.write(resp.encode(final_command, call_id))
        self.stream.flush()
        if not chunk.is_fully_sent:
            # The engine does not read, so the cancellation can't be sent; closing the connection cancels too.
            self.close()

    def send(self, *words: bytes) -> None:
        """Send a command that has no answer."""
        if self.stream is not None and not self.is_closed:
            self.stream.write(resp.encode(*words))

    def withdraw_unsent(self) -> None:
        """Withdraw the attempts of which no byte has been sent."""
        for attempt in self.open_attempts.values():
            if attempt.command.withdraw():
                attempt.inbox.put(ConnectionEvent.WITHDRAWN)

    def close(self) -> None:
        """Close the connection and notify its attempts."""
        if self.is_closed:
            return
        self.is_closed = True
        log.debug(
            "connection closed", engine=self.engine.address, at=self.loop.now, open=len(self.open_attempts)
        )
        if self.stream is not None:
            self.stream.close()
        self.ready.set()
        for attempt in self.open_attempts.values():
            attempt.inbox.put(ConnectionEvent.CLOSED)
        self._on_close(self)

    def _run(self, task: Task, connect_timeout_s: float) -> None:
        try:
            stream = self._connect(task, connect_timeout_s)
            if stream is not None:
                self._read(task, stream)
        finally:
            self.close()

    def _connect(self, task: Task, timeout_s: float) -> Stream | None:
        began = self.loop.now
        connected = Stream.connect(
            self.loop,
            task,
            self.engine.address,
            self.loop.now + timeout_s,
            MAX_QUEUED_BYTES,
            self._send_budget,
        )
        log.debug(
            "connection",
            engine=self.engine.address,
            began=began,
            ended=self.loop.now,
            up=isinstance(connected, Stream),
        )
        if not isinstance(connected, Stream):
            self.connect_failure = connected
            return None
        if self.is_closed:
            connected.close()  # the engine was removed while the connection was being established
            return None
        self.stream = connected
        self.idle_since = self.loop.now
        self.ready.set()
        return connected

    def _read(self, task: Task, stream: Stream) -> None:
        while not stream.closed:
            received = stream.read(task, self._read_deadline())
            if isinstance(received, Wait):
                if self._parser.is_inside_array:
                    # No further answer can be read after an incomplete one. Closing the connection early
                    # leaves its attempts more time for retries.
                    log.warning("answer incomplete", engine=self.engine.address)
                    return
                if not self.load and self.loop.now >= self.idle_since + self._idle_timeout_s:
                    return
                continue
            if not received or not self._handle_bytes(received):
                return

    def _read_deadline(self) -> float:
        if self._parser.is_inside_array:
            return self._answer_deadline
        if not self.open_attempts:
            return max(self.idle_since + self._idle_timeout_s, self.loop.now + MIN_IDLE_CHECK_S)
        return self.loop.now + self._idle_timeout_s

    def _handle_bytes(self, received: bytes) -> bool:
        """Dispatch the received replies to their attempts; return False if the bytes are invalid.

        After invalid bytes the connection is closed, and its attempts count as ones that may have run.
        """
        try:
            answers = self._parser.feed(received)
            for words in answers:
                self._dispatch(words)
        except resp.RespError as error:
            log.warning("answer invalid", engine=self.engine.address, error=error)
            return False
        if not self._parser.is_inside_array:
            self._answer_deadline = 0.0
        elif answers or not self._answer_deadline:
            self._answer_deadline = self.loop.now + ANSWER_TIMEOUT_S
        return True

    def _dispatch(self, words: list[bytes]) -> None:
        call_id, kind, fields, body = words
        attempt = self.open_attempts.get(call_id)
        if attempt is None:
            return  # the attempt was cancelled or already answered, or is unknown
        reply = Reply(kind, parse_fields(fields), body)
        if attempt.result.accept(reply):
            attempt.inbox.put(reply)


def _remove_older(times: dict[bytes, float], before: float) -> None:
    """Remove the entries older than `before`; the entries are in the order of their times."""
    while times:
        call_id, time = next(iter(times.items()))
        if time >= before:
            return
        del times[call_id]
