"""Fake warehouses and a fake change log, on a loop in a thread of their own."""

from __future__ import annotations

import json
import queue
import threading
import time
from collections.abc import Callable, Sequence
from functools import cache
from typing import Any, TypeVar

from lilacfront.frontends.listener import ClientSlot, Listener
from lilacfront.logs import Log
from lilacfront.protocols import resp
from lilacfront.sched import Loop, Stream, Task, Wait

log = Log(__name__)
T = TypeVar("T")
LOCALHOST = ("127.0.0.1", 0)  # the system chooses the port
CALL_TIMEOUT_S = 30.0  # seconds until a call on the background loop times out
MAX_QUEUED_BYTES = 8 << 20
MAX_CONNECTIONS = 4096
IDLE_TIMEOUT_S = 3600.0
SEQ_INTERVAL_S = 1.0  # seconds between two lines with the change log's last sequence number
TURN_S = 1.0  # seconds; the longest time that one turn of the background loop waits for events


class FakeWarehouse:
    """A warehouse that speaks RESP and answers each request with one row that contains its own name.

    Attributes:
        answers_suspended: Whether requests stay pending instead of being answered at once.
        received: Ids of all requests received, in order.
        received_at: Time at which each of them was received, in seconds of the monotonic clock.
        pending: The stream of each unanswered request, by request id.
        cancelled: Ids of the requests that were cancelled, in order.
    """

    def __init__(self, loop: Loop, name: str, address: tuple[str, int] = LOCALHOST) -> None:
        self.loop = loop
        self.name = name
        self.answers_suspended = False
        self.received: list[bytes] = []
        self.received_at: list[float] = []
        self.pending: dict[bytes, Stream] = {}
        self.cancelled: list[bytes] = []
        self.listener = Listener(loop, address, MAX_CONNECTIONS, MAX_QUEUED_BYTES, self._accept)
        self.address = "{}:{}".format(*self.listener.address)

    def _accept(self, slot: ClientSlot) -> None:
        slot.mark_busy()
        self.loop.spawn(self._run, slot.stream)

    def _run(self, task: Task, stream: Stream) -> None:
        parser = resp.Parser()
        while isinstance(data := stream.read(task, self.loop.now + IDLE_TIMEOUT_S), bytes) and data:
            for words in parser.feed(data):
                self._handle(stream, words)
        stream.close()

    def _handle(self, stream: Stream, words: Sequence[bytes]) -> None:
        command, request_id = words[0], words[1] if len(words) > 1 else b""
        if command == b"do":
            self.received.append(request_id)
            self.received_at.append(time.monotonic())
            self.pending[request_id] = stream
            if not self.answers_suspended:
                self.answer(request_id)
        elif command == b"undo":
            self.cancelled.append(request_id)
            self.pending.pop(request_id, None)

    def answer(self, request_id: bytes) -> None:
        """Answer a request, if it is pending."""
        stream = self.pending.pop(request_id, None)
        if stream is not None:
            row = self.name.encode() + b"\t1\t2\n"
            stream.write(resp.encode(request_id, b"HIT", b"pages=1,rep=inflight:1;util:0.1", row))

    def resume_answers(self) -> None:
        """Answer all pending requests, and later ones at once."""
        self.answers_suspended = False
        for request_id in list(self.pending):
            self.answer(request_id)

    def stop_listening(self) -> None:
        """Refuse new connections and close open ones, as a machine does whose server process is down."""
        self.listener.close()
        for slot in list(self.listener.slots):
            slot.stream.close()

    def release_address(self) -> None:
        """Refuse new connections and keep serving the open ones, so that another process can listen there."""
        self.listener.close()

    def resume_listening(self) -> None:
        """Listen at the same address again."""
        self.listener = Listener(
            self.loop, self.listener.address, MAX_CONNECTIONS, MAX_QUEUED_BYTES, self._accept
        )


class FakeChangeLog:
    """A change log: sends the events after a requested sequence number, then its last number every second.

    Attributes:
        first_seq: Sequence number of the first entry of `events`.
        events: The encoded events in sequence; the first entry is empty.
        followers: Streams that new events are sent to.
    """

    def __init__(self, loop: Loop, seq: int) -> None:
        """Start without events; the first one gets sequence number `seq` + 1."""
        self.loop = loop
        self.first_seq = seq
        self.events = [b""]
        self.followers: list[Stream] = []
        self.listener = Listener(loop, LOCALHOST, MAX_CONNECTIONS, MAX_QUEUED_BYTES, self._accept)
        self.address = "{}:{}".format(*self.listener.address)

    @property
    def seq(self) -> int:
        """Sequence number of the last event."""
        return self.first_seq + len(self.events) - 1

    def _accept(self, slot: ClientSlot) -> None:
        slot.mark_busy()
        self.loop.spawn(self._run, slot.stream)

    def _run(self, task: Task, stream: Stream) -> None:
        data = stream.read(task, self.loop.now + IDLE_TIMEOUT_S)
        if isinstance(data, bytes) and data.startswith(b"since "):
            after = int(data.removeprefix(b"since "))
            for event in self.events[max(0, after - self.first_seq + 1) :]:
                stream.write(event)
            self._follow(task, stream)
        stream.close()

    def _follow(self, task: Task, stream: Stream) -> None:
        stream.write(b"%d\n" % self.seq)
        self.followers.append(stream)
        while isinstance(data := stream.read(task, self.loop.now + SEQ_INTERVAL_S), Wait) or data:
            stream.write(b"%d\n" % self.seq)
        self.followers.remove(stream)

    def append(self, *instances: dict[str, Any]) -> None:
        """Append an event that lists these warehouses as changed."""
        event = {"seq": self.seq + 1, "fleet": {"instances": instances}}
        self.events.append(json.dumps(event).encode() + b"\n")
        for stream in self.followers:
            stream.write(self.events[-1])

    def renumber(self, *instances: dict[str, Any]) -> None:
        """Drop all events and restart the sequence: event 1 is a full list of these warehouses."""
        event = {"seq": 1, "fleet": {"reset": True, "instances": instances}}
        self.first_seq = 0
        self.events = [b"", json.dumps(event).encode() + b"\n"]

    def stop_listening(self) -> None:
        """Refuse new connections and close open ones."""
        self.listener.close()
        for stream in list(self.followers):
            stream.close()

    def resume_listening(self) -> None:
        """Listen at the same address again."""
        self.listener = Listener(
            self.loop, self.listener.address, MAX_CONNECTIONS, MAX_QUEUED_BYTES, self._accept
        )


class BackgroundLoop:
    """The event loop of all fake services of this process, in a daemon thread that never ends.

    All test beds share one thread: garbage collection of a greenlet whose thread has ended may crash the
    interpreter.
    """

    def __init__(self) -> None:
        self._calls: queue.SimpleQueue[tuple[Callable[[], Any], queue.SimpleQueue[Any]]] = queue.SimpleQueue()
        started: queue.SimpleQueue[Loop] = queue.SimpleQueue()
        threading.Thread(target=self._run, args=(started,), daemon=True).start()
        self.loop = started.get(timeout=CALL_TIMEOUT_S)

    def _run(self, started: queue.SimpleQueue[Loop]) -> None:
        loop = Loop()
        started.put(loop)
        while True:
            loop.turn(TURN_S)
            while not self._calls.empty():
                function, result = self._calls.get()
                try:
                    result.put(function())
                except Exception as error:  # raised again in the caller's thread
                    log.exception("call on the background loop failed")
                    result.put(error)

    def call(self, function: Callable[[], T]) -> T:
        """Call a function in the loop's thread; returns its result or raises its exception."""
        results: queue.SimpleQueue[T | Exception] = queue.SimpleQueue()
        self._calls.put((function, results))
        self.loop.wakeup_socket.send(b"x")
        result = results.get(timeout=CALL_TIMEOUT_S)
        if isinstance(result, Exception):
            raise result
        return result


@cache
def background_loop() -> BackgroundLoop:
    """The background loop of this process, started by the first call."""
    return BackgroundLoop()


def all_received(warehouses: Sequence[FakeWarehouse]) -> list[bytes]:
    """The ids of the requests that these warehouses received."""
    return [request_id for warehouse in warehouses for request_id in warehouse.received]
