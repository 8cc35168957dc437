"""Client of the change log, which sends numbered events over one TCP connection.

The client sends `since N`. The log then sends one JSON line for each event after N, and about once a second a
line with only its latest sequence number. The client reconnects whenever the connection ends. While the log
is silent, it asks on another connection as well.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable

import msgspec

from lilacfront.discovery.endpoint_list import EndpointUpdate, RawEndpointUpdate, decode_lenient
from lilacfront.discovery.hedged_source import HedgedSource, HedgingLimits, SourceConnection
from lilacfront.logs import Log
from lilacfront.sched import Loop, Stream, Task, Wait

log = Log(__name__)
# The log sends a whole line every second. Events may arrive up to 7 s late.
HEDGING_LIMITS = HedgingLimits(connect_s=0.5, silence_s=1.8, abandon_s=15.0, max_connections=5)
# Longest delay; the delay is drawn from half of it up to all of it so that the front ends of a fleet don't
# reconnect in step. It doesn't increase exponentially: after an outage the log may report drains that must be
# obeyed 0.5 s later.
RECONNECT_DELAY_S = 0.1
CATCH_UP_TIMEOUT_S = 0.2  # missed events start to arrive within this time after the request
UNREACHABLE_TIMEOUT_S = 1.0  # time after the start at which the cached endpoint list is used without the log
MAX_LINE_BYTES = 4 << 20
ORIGIN_BYTES = 8
MAX_QUEUED_BYTES = 1 << 16  # bytes queued for a log that does not read


class ChangeEvent(msgspec.Struct):
    """One event of the log. Events of unknown kinds have no update."""

    sequence: int = msgspec.field(name="seq")
    update: EndpointUpdate | None = msgspec.field(name="fleet", default=None)


class RawChangeEvent(msgspec.Struct):
    """An event whose endpoint entries are not decoded yet, so that each can be decoded separately."""

    update: RawEndpointUpdate | None = msgspec.field(name="fleet", default=None)


class EventNumber(msgspec.Struct):
    """The sequence number of an event, without the rest of the event."""

    sequence: int = msgspec.field(name="seq")


class CachedEvents(msgspec.Struct):
    """The events of the log before the start of the process, from the configuration."""

    sequence: int = msgspec.field(name="seq", default=0)
    events: list[ChangeEvent] = msgspec.field(name="results", default_factory=list)

    @property
    def origin(self) -> str:
        """Identifies the start that the sequence numbers are counted from; empty without events.

        The log counts from 1 at every start of a front end. A start with other events is another one; one
        with the same events is taken for the same, as after a power loss with an unchanged configuration.
        """
        if not self.events:
            return ""
        return hashlib.blake2s(msgspec.json.encode(self.events), digest_size=ORIGIN_BYTES).hexdigest()


_LINE_DECODER = msgspec.json.Decoder(ChangeEvent | int)
_RAW_EVENT_DECODER = msgspec.json.Decoder(RawChangeEvent)
_NUMBER_DECODER = msgspec.json.Decoder(EventNumber)


class ChangeLog:
    """Follows the log and passes each event's update on once, in order.

    Attributes:
        sequence: Sequence number of the last event that was processed.
        is_caught_up: Whether the events from before and during the start of this process have been
            received, or the wait for them has timed out. Until then a request could be sent to a draining
            engine.
        has_answered: Whether the log has sent, since the start of this process, a sequence number of its own
            that is not below `sequence`.
        renumbering_wait_s: Seconds that the log's own sequence number has to be below `sequence` before the
            log is considered renumbered from 1; 0 disables the detection.
        on_renumbered: Called when a renumbering is detected, before all events are requested again.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        sequence: int,
        on_update: Callable[[EndpointUpdate], None],
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.address = address
        self.sequence = sequence
        self.is_caught_up = False
        self.has_answered = False
        self.renumbering_wait_s = 0.0
        self.on_renumbered: Callable[[], None] | None = None
        self._on_update = on_update
        self._random = random.Random(seed)
        self._source = HedgedSource(loop, HEDGING_LIMITS, self._connect_and_follow, self._reconnect_delay_s)
        self._behind_since = math.inf
        loop.call_at(loop.now + UNREACHABLE_TIMEOUT_S, self._expire_catch_up)

    def set_address(self, address: tuple[str, int]) -> None:
        """Follow the log at another address, starting after the last event that was processed."""
        if address == self.address:
            return
        self.address = address
        self._source.reconnect()

    def run(self, task: Task) -> None:
        """Follow the log for as long as the process runs."""
        self._source.run(task)

    def _reconnect_delay_s(self) -> float:
        return RECONNECT_DELAY_S * self._random.uniform(0.5, 1.0)

    def _expire_catch_up(self) -> None:
        self.is_caught_up = True

    def _connect_and_follow(self, task: Task, connection: SourceConnection) -> None:
        stream = Stream.connect(self.loop, task, self.address, connection.abandon_at, MAX_QUEUED_BYTES)
        if not isinstance(stream, Stream):
            return
        connection.mark_established(self.loop.now)
        try:
            self._follow(task, stream, connection)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log.warning("change log undecodable", error=error)
        except Exception:
            log.exception("change log failed")
        finally:
            stream.close()

    def _follow(self, task: Task, stream: Stream, connection: SourceConnection) -> None:
        """Process lines until the connection ends, is given up, or a new `since` request is necessary.

        Only a complete line shows that the log is alive. Otherwise a log that stalls within a line, or sends
        a line byte by byte, would be followed forever.
        """
        stream.write(b"since %d\n" % self.sequence)
        partial_line = b""
        catch_up_deadline = self.loop.now + CATCH_UP_TIMEOUT_S
        while True:
            deadline = connection.abandon_at
            received = stream.read(task, deadline if self.is_caught_up else min(deadline, catch_up_deadline))
            if received is Wait.TIMED_OUT and not self.is_caught_up:
                self.is_caught_up = True
                continue
            if not isinstance(received, bytes) or not received or task.interrupted:
                return
            *lines, partial_line = (partial_line + received).split(b"\n")
            lines = [line.strip() for line in lines if line.strip()]
            if len(partial_line) > MAX_LINE_BYTES:
                log.warning("change log line too long", max_bytes=MAX_LINE_BYTES)
                return
            if not all(self._process_line(line) for line in lines):
                return
            if lines:
                connection.mark_heard(self.loop.now)

    def _process_line(self, line: bytes) -> bool:
        """Process an event or the log's sequence number; returns False if events must be requested again."""
        event = decode_event(line)
        if isinstance(event, ChangeEvent):
            return self._process_event(event)
        return self._process_sequence(event)

    def _process_event(self, event: ChangeEvent) -> bool:
        if event.sequence <= self.sequence:
            return True
        if event.sequence != self.sequence + 1:
            return False
        if event.update is not None:
            self._on_update(event.update)
        self.sequence = event.sequence
        return True

    def _process_sequence(self, log_sequence: int) -> bool:
        if log_sequence > self.sequence or self._detect_renumbering(log_sequence):
            return False
        self.has_answered = self.has_answered or log_sequence >= self.sequence
        self.is_caught_up = True
        return True

    def _detect_renumbering(self, log_sequence: int) -> bool:
        """Returns whether the log, now at `log_sequence`, has been renumbered from 1.

        If so, `sequence` is reset so that all events are requested again.
        """
        if self.renumbering_wait_s <= 0 or log_sequence >= self.sequence:
            self._behind_since = math.inf
            return False
        self._behind_since = min(self._behind_since, self.loop.now)
        if self.loop.now - self._behind_since < self.renumbering_wait_s:
            return False
        log.warning("change log renumbered", last_sequence=self.sequence, sequence=log_sequence)
        self.sequence = 0
        self._behind_since = math.inf
        if self.on_renumbered is not None:
            self.on_renumbered()
        return True


def decode_event(line: bytes) -> ChangeEvent | int:
    """Decode a line, which is an event or the log's latest sequence number.

    Entries of an event that can't be decoded are logged and left out.

    Raises:
        msgspec.MsgspecError: The line is not valid JSON, or is an event without a sequence number.
        UnicodeDecodeError: The line is not valid UTF-8.
    """
    try:
        return _LINE_DECODER.decode(line)
    except msgspec.ValidationError as error:
        # An entry that can't be decoded must not prevent a drain in the same event from being processed.
        sequence = _NUMBER_DECODER.decode(line).sequence
        log.warning("change log event partly undecodable", sequence=sequence, error=error)
        try:
            raw_update = _RAW_EVENT_DECODER.decode(line).update
        except msgspec.ValidationError:
            # An event of an unknown form counts as processed. Otherwise it would be requested again forever.
            raw_update = None
        return ChangeEvent(sequence, None if raw_update is None else decode_lenient(raw_update))
