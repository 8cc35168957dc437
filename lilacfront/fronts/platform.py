"""The front for the platform's clients: the Thrift service Front, thin over the core."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

from lilacfront.core.facade import Facade, Ticket
from lilacfront.core.lifecycle import carry
from lilacfront.core.model import Attempts, Failed, Final, Refused, Request, Served
from lilacfront.core.statement import table_group
from lilacfront.fronts.listener import Listener
from lilacfront.protocols import thrift
from lilacfront.sched import Loop, Stream, Task, Wait

log = logging.getLogger(__name__)
OPEN_MOST = 32  # requests open on one connection
QUEUED_MOST = 2 << 20  # bytes of answers for a client that does not read
RESULT_MOST = 48_000  # bytes of a whole result
IDLE_S = 60.0  # a connection without an open request is closed after this; clients do so much earlier
MARGIN_S = 0.012  # of a request's time is kept for its way in and the answer's way out


class Collected:
    """A result gathered whole before any of it goes on."""

    begun = False

    def __init__(self) -> None:
        self.body = b""

    def clear(self) -> None:
        self.body = b""

    def begin(self, about: object) -> None:
        pass

    def part(self, data: bytes) -> bool:
        self.body += data
        return len(self.body) <= RESULT_MOST


class PlatformFront:
    """Serves every connection of one listening address."""

    def __init__(
        self,
        loop: Loop,
        facade: Facade,
        attempts: Attempts,
        classes: dict[bytes, tuple[int, float]],
        healthy: Callable[[], bool],
    ) -> None:
        self.loop, self.facade, self.attempts, self.classes = loop, facade, attempts, classes
        self.healthy = healthy

    def listen(self, address: tuple[str, int], most: int) -> Listener:
        return Listener(self.loop, address, most, self.accept)

    def accept(self, sock: socket.socket, ended: Callable[[], None]) -> None:
        stream = Stream(self.loop, sock, QUEUED_MOST)
        stream.on_close = ended
        self.loop.spawn(_Connection(self, stream).run)


class _Connection:
    def __init__(self, front: PlatformFront, stream: Stream) -> None:
        self.front, self.stream, self.loop = front, stream, front.loop
        self.open: dict[int, Ticket | None] = {}  # None: not yet with the decisions

    def run(self, task: Task) -> None:
        frames = thrift.Frames()
        try:
            while not self.stream.closed:
                got = self.stream.read(task, self.loop.now + IDLE_S)
                if got == b"" or (isinstance(got, Wait) and not self.open):
                    return
                if isinstance(got, bytes):
                    for frame in frames.feed(got):
                        self._message(frame)
        except thrift.ThriftError as problem:
            log.warning("a client's connection: %s", problem)
        finally:
            self.stream.close()
            for ticket in list(self.open.values()):
                if ticket is not None:
                    self.front.facade.withdraw(ticket)

    def _message(self, frame: bytes) -> None:
        try:
            message = thrift.parse(frame)
        except thrift.ThriftError as problem:
            if problem.seqid is None:
                raise
            self._exception(problem.name, problem.seqid, thrift.PROTOCOL_ERROR, str(problem))
            return
        name, seqid = message.name, message.seqid
        match name:
            case b"abort":
                if message.number is not None:
                    self._abort(message.number)
            case _ if message.kind != thrift.CALL:
                self._exception(name, seqid, thrift.PROTOCOL_ERROR, "not a call")
            case b"ping":
                self.stream.write(thrift.answer(name, seqid, b"", self.front.healthy()))
            case b"invoke":
                self._invoke(message)
            case _:
                self._exception(name, seqid, thrift.UNKNOWN_METHOD, "no such method")

    def _exception(self, name: bytes, seqid: int, kind: int, text: str) -> None:
        self.stream.write(thrift.application_exception(name, seqid, kind, text))

    def _abort(self, seqid: int) -> None:
        ticket = self.open.pop(seqid, None)
        if ticket is not None:
            self.front.facade.withdraw(ticket)

    def _invoke(self, message: thrift.Message) -> None:
        problem = ""
        if message.seqid in self.open:
            problem = "this sequence number is open already"
        elif len(self.open) >= OPEN_MOST:
            problem = "too many requests are open on this connection"
        else:
            request = self._request(message)
            if isinstance(request, Request):
                self.open[message.seqid] = None
                self.loop.spawn(self._serve, message.seqid, request)
                return
            problem = request
        self._exception(b"invoke", message.seqid, thrift.PROTOCOL_ERROR, problem)

    def _request(self, message: thrift.Message) -> Request | str:
        """The request in the core's terms, or what is wrong with it."""
        op, ttl = message.fields.get(b"op", b""), message.fields.get(b"ttl")
        call = message.fields.get(b"call", b"")
        if op not in self.front.classes:
            return "field op names no class"
        if not call or len(call) > 64 or not call.isalnum():
            return "field call is not an id"
        cls, left = self.front.classes[op]
        if ttl is not None:
            if not ttl.isdigit() or len(ttl) > 9 or not int(ttl):
                return "field ttl is not a number of milliseconds"
            left = int(ttl) / 1000
        deadline = self.loop.now + max(left - MARGIN_S, left / 2)
        return Request(call, cls, deadline, message.body, table_group(message.body))

    def _serve(self, task: Task, seqid: int, request: Request) -> None:
        front = self.front
        if self.stream.closed or seqid not in self.open:
            return
        sink, ticket = Collected(), None
        final: Final
        try:
            ticket = self.open[seqid] = front.facade.take(request, task)
            final = carry(front.facade, ticket, front.attempts, sink)
        except Exception:
            # Guard: a fault of this program's own still owes the client its one answer.
            log.exception("a request failed")
            if ticket is not None:
                front.facade.drop(ticket)
            final = Failed()
        # Guard: after an abort, or for a number that has been given to another request, nothing is owed.
        if seqid not in self.open or self.open[seqid] is not ticket:
            return
        del self.open[seqid]
        match final:
            case Served():
                self.stream.write(thrift.answer(b"invoke", seqid, sink.body))
            case Refused(pushback):
                fields = {b"pushback": b"%d" % pushback} if pushback else {}
                self.stream.write(thrift.shed(seqid, fields))
            case Failed():
                self.stream.write(thrift.fault(seqid, {}))
