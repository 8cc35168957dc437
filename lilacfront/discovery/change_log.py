"""The change log: numbered events over one TCP connection that is renewed whenever it ends.

The client sends `since N`; the log answers with one JSON line for each event after N, and with its own number
alone about once a second.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from lilacfront.discovery.endpoint_list import EndpointUpdate, RawEndpointUpdate, decode_lenient
from lilacfront.logs import Log
from lilacfront.sched import Loop, Stream, Task, Wait

log = Log(__name__)
CONNECT_TIMEOUT_S = 0.5
SILENCE_TIMEOUT_S = 1.8  # the log sends a whole line every second
# Drawn from the half to the whole of it, so that a fleet does not reconnect in step. There is no longer
# backoff: after an outage the log may tell of drains that have to be kept 0.5 s later.
RECONNECT_DELAY_S = 0.1
CATCH_UP_TIMEOUT_S = 0.2  # missed events have begun to arrive this long after they were asked for
UNREACHABLE_TIMEOUT_S = 1.0  # after the start; then the cached list is used
MAX_LINE_BYTES = 4 << 20
MAX_QUEUED_BYTES = 1 << 16


class ChangeEvent(msgspec.Struct):
    """One event of the log; kinds of events that are not known here bring no update."""

    sequence: int = msgspec.field(name="seq")
    update: EndpointUpdate | None = msgspec.field(name="fleet", default=None)


class RawChangeEvent(msgspec.Struct):
    """An event whose entries are decoded one by one."""

    update: RawEndpointUpdate | None = msgspec.field(name="fleet", default=None)


class EventNumber(msgspec.Struct):
    """The number alone of an event."""

    sequence: int = msgspec.field(name="seq")


class CachedEvents(msgspec.Struct):
    """The log up to the start, from the configuration."""

    sequence: int = msgspec.field(name="seq", default=0)
    events: list[ChangeEvent] = msgspec.field(name="results", default_factory=list)


_LINE_DECODER = msgspec.json.Decoder(ChangeEvent | int)
_RAW_EVENT_DECODER = msgspec.json.Decoder(RawChangeEvent)
_NUMBER_DECODER = msgspec.json.Decoder(EventNumber)


class ChangeLog:
    """Follows the log and hands over each event's update once, in order.

    Attributes:
        sequence: The last event that was taken.
        is_caught_up: Whether what the log told while this process started has arrived, or is waited for no
            longer. Before, a request could be sent to an engine that drains.
        has_answered: Whether the log itself has told its number since the start.
        renumbered_after_s: The log counts as numbered anew when it is behind `sequence` this long; 0: never.
        on_renumbered: Called then, before all events are asked for again.
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
        self.renumbered_after_s = 0.0
        self.on_renumbered: Callable[[], None] | None = None
        self._on_update = on_update
        self._random = random.Random(seed)
        self._task: Task | None = None
        self._behind_since = math.inf
        loop.call_at(loop.now + UNREACHABLE_TIMEOUT_S, self._stop_waiting)

    def move_to(self, address: tuple[str, int]) -> None:
        """Follow the log at this address from now on, from the last event taken."""
        if address == self.address:
            return
        self.address = address
        if self._task is not None:
            self._task.interrupt()

    def run(self, task: Task) -> None:
        """Follow the log for as long as the process runs."""
        self._task = task
        while True:
            if task.interrupted:
                task.clear_interruption()
            self._connect_and_follow(task)
            if not task.interrupted:
                delay_s = RECONNECT_DELAY_S * self._random.uniform(0.5, 1.0)
                self.loop.sleep(task, self.loop.now + delay_s)

    def _stop_waiting(self) -> None:
        self.is_caught_up = True

    def _connect_and_follow(self, task: Task) -> None:
        deadline = self.loop.now + CONNECT_TIMEOUT_S
        stream = Stream.connect(self.loop, task, self.address, deadline, MAX_QUEUED_BYTES)
        if not isinstance(stream, Stream):
            return
        try:
            self._follow(task, stream)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log.warning("change log undecodable", error=error)
        except Exception:
            log.exception("change log failed")
        finally:
            stream.close()

    def _follow(self, task: Task, stream: Stream) -> None:
        """Take events until the connection ends, falls silent, or turns out to have left one out.

        Only a whole line shows that the log is alive: one that stops within a line, or sends it byte by
        byte, would otherwise be followed for ever.
        """
        stream.write(b"since %d\n" % self.sequence)
        rest = b""
        silence_deadline = self.loop.now + SILENCE_TIMEOUT_S
        catch_up_deadline = self.loop.now + CATCH_UP_TIMEOUT_S
        while True:
            deadline = silence_deadline if self.is_caught_up else min(silence_deadline, catch_up_deadline)
            received = stream.read(task, deadline)
            if received is Wait.TIMED_OUT and not self.is_caught_up:
                self.is_caught_up = True
                continue
            if not isinstance(received, bytes) or not received:
                return
            *lines, rest = (rest + received).split(b"\n")
            lines = [line.strip() for line in lines if line.strip()]
            if lines:
                silence_deadline = self.loop.now + SILENCE_TIMEOUT_S
            if len(rest) > MAX_LINE_BYTES:
                log.warning("change log line too long", max_bytes=MAX_LINE_BYTES)
                return
            if not all(self._take_line(line) for line in lines):
                return

    def _take_line(self, line: bytes) -> bool:
        """Take an event or the log's own number; False where the log has to be asked anew."""
        event = decode_event(line)
        if isinstance(event, ChangeEvent):
            return self._take_event(event)
        return self._take_number(event)

    def _take_event(self, event: ChangeEvent) -> bool:
        if event.sequence <= self.sequence:
            return True
        if event.sequence != self.sequence + 1:
            return False
        if event.update is not None:
            self._on_update(event.update)
        self.sequence = event.sequence
        return True

    def _take_number(self, number: int) -> bool:
        if number > self.sequence or self._detect_renumbering(number):
            return False
        self.has_answered = self.has_answered or number >= self.sequence
        self.is_caught_up = True
        return True

    def _detect_renumbering(self, number: int) -> bool:
        """Whether the log, being at `number`, counts from 1 again; it is then asked for everything."""
        if self.renumbered_after_s <= 0 or number >= self.sequence:
            self._behind_since = math.inf
            return False
        self._behind_since = min(self._behind_since, self.loop.now)
        if self.loop.now - self._behind_since < self.renumbered_after_s:
            return False
        log.warning("change log renumbered", last_sequence=self.sequence, sequence=number)
        self.sequence = 0
        self._behind_since = math.inf
        if self.on_renumbered is not None:
            self.on_renumbered()
        return True


def decode_event(line: bytes) -> ChangeEvent | int:
    """Decode a line: an event, of which entries that can't be decoded are left out, or the log's number.

    Raises:
        msgspec.MsgspecError: It is no JSON, or an event without a number.
        UnicodeDecodeError: It is not UTF-8.
    """
    try:
        return _LINE_DECODER.decode(line)
    except msgspec.ValidationError as error:
        # One entry that can't be decoded must not hide a drain that the same event tells.
        sequence = _NUMBER_DECODER.decode(line).sequence
        log.warning("change log event partly undecodable", sequence=sequence, error=error)
        try:
            raw_update = _RAW_EVENT_DECODER.decode(line).update
        except msgspec.ValidationError:
            # An event of an unknown form counts as taken; it would be asked for again for ever.
            raw_update = None
        return ChangeEvent(sequence, None if raw_update is None else decode_lenient(raw_update))
