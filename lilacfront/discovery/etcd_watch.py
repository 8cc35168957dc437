"""Reads the endpoint list from etcd v3 through its JSON gateway.

A range request reads the whole list, and a watch from the next revision on reads the changes. A watch that
has ended goes on from the last revision, on another endpoint if there are several. The list is read again if
that is not possible. Each key is the prefix followed by an engine's ID; its value is the endpoint entry in
the format of the change log.
Source: the etcd v3 API, `/v3/kv/range` and `/v3/watch`.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable

import msgspec

from lilacfront.discovery.endpoint_list import EndpointRecord, EndpointUpdate
from lilacfront.discovery.hedged_source import HedgedSource, HedgingLimits, SourceConnection
from lilacfront.logs import Log
from lilacfront.protocols import http1
from lilacfront.sched import Loop, Stream, Task

log = Log(__name__)
# etcd sends nothing while the list doesn't change, so an idle server can't be told from a failed one. Changes
# must be noticed within 4 s on a failed connection, and may be late by up to 7 s.
HEDGING_LIMITS = HedgingLimits(connect_s=1.0, silence_s=3.0, abandon_s=15.0, max_connections=4)
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
MAX_ANSWER_BYTES = 4 << 20
MAX_QUEUED_BYTES = 1 << 16  # bytes queued for a server that does not read
STATUS_OK = 200


class Header(msgspec.Struct):
    """The header of every answer."""

    revision: int = 0


class KeyValue(msgspec.Struct):
    """A key and its value, both encoded in base64, and the revision of its last change (0: not told)."""

    key: str = ""
    value: str = ""
    mod_revision: int = 0


class RangeAnswer(msgspec.Struct):
    """The answer to a range request."""

    header: Header = msgspec.field(default_factory=Header)
    pairs: list[KeyValue] = msgspec.field(name="kvs", default_factory=list)


class WatchEvent(msgspec.Struct):
    """One change of a key under the prefix."""

    pair: KeyValue = msgspec.field(name="kv")
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The result in one line of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    events: list[WatchEvent] = []
    is_created: bool = msgspec.field(name="created", default=False)
    is_cancelled: bool = msgspec.field(name="canceled", default=False)
    compact_revision: int = 0


class WatchLine(msgspec.Struct):
    """One line of a watch: a result or an error."""

    result: WatchResult | None = None
    error: msgspec.Raw = msgspec.Raw(b"")


# The gateway encodes 64-bit integers as strings, or as numbers in some versions. Both are accepted.
_RANGE_DECODER = msgspec.json.Decoder(RangeAnswer, strict=False)
_WATCH_DECODER = msgspec.json.Decoder(WatchLine, strict=False)
_RECORD_DECODER = msgspec.json.Decoder(EndpointRecord)


def range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix; a zero byte, meaning no end, if there is none."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes((stem[-1] + 1,)) if stem else b"\0"


class EtcdWatch:
    """Keeps the endpoint list up to date: passes on the whole list first, then each change.

    Attributes:
        revision: The last revision that was processed, of the list or a change.
        records: The entries of the list by engine ID.
    """

    def __init__(
        self,
        loop: Loop,
        endpoints: tuple[tuple[str, int], ...],
        prefix: str,
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        self.loop = loop
        self.endpoints = endpoints
        self.prefix = prefix.encode()
        self.revision = 0
        self.records: dict[str, EndpointRecord] = {}
        self._on_update = on_update
        self._backoff_s = MIN_BACKOFF_S
        self._attempts = 0
        self._needs_list = True
        self._source = HedgedSource(loop, HEDGING_LIMITS, self._list_and_watch, lambda: self._backoff_s)
        self._key_range = {
            "key": b64encode(self.prefix).decode(),
            "range_end": b64encode(range_end(self.prefix)).decode(),
        }

    def run(self, task: Task) -> None:
        """List and watch for as long as the process runs; each connection uses the next endpoint."""
        self._source.run(task)

    def _list_and_watch(self, task: Task, connection: SourceConnection) -> None:
        """Read the list if it is needed, and watch until the connection ends or is given up."""
        endpoint = self.endpoints[self._attempts % len(self.endpoints)]
        self._attempts += 1
        is_answered = False
        try:
            has_list = not self._needs_list or self._read_list(task, endpoint, connection)
            is_answered = has_list and self._watch(task, endpoint, connection)
        except (msgspec.MsgspecError, http1.HttpError, ValueError) as error:
            log.warning("etcd request failed", endpoint=endpoint, error=error)
            self._needs_list = True
        except Exception:
            log.exception("etcd watch failed", endpoint=endpoint)
            self._needs_list = True
        if not is_answered and not task.interrupted:
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def _mark_heard(self, connection: SourceConnection) -> None:
        self._backoff_s = MIN_BACKOFF_S
        connection.mark_heard(self.loop.now)

    def _post(
        self, task: Task, endpoint: tuple[str, int], path: bytes, body: object, until: float
    ) -> Stream | None:
        stream = Stream.connect(self.loop, task, endpoint, until, MAX_QUEUED_BYTES)
        if not isinstance(stream, Stream):
            return None
        payload = msgspec.json.encode(body)
        headers = [
            (b"Host", b"%s:%d" % (endpoint[0].encode(), endpoint[1])),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(payload)),
        ]
        stream.write(http1.request(b"POST", path, headers) + payload)
        return stream

    def _read_list(self, task: Task, endpoint: tuple[str, int], connection: SourceConnection) -> bool:
        """Read the whole list, which replaces all entries; returns whether it could be read."""
        stream = self._post(task, endpoint, b"/v3/kv/range", self._key_range, connection.abandon_at)
        if stream is None:
            return False
        connection.mark_established(self.loop.now)
        try:
            body = self._read_range_answer(task, stream, connection.abandon_at)
        finally:
            stream.close()
        if body is None:
            return False
        self._replace_records(_RANGE_DECODER.decode(body))
        self._mark_heard(connection)
        return True

    def _read_range_answer(self, task: Task, stream: Stream, until: float) -> bytes | None:
        body = b""
        parser = http1.Parser(responses=True)
        while True:
            received = stream.read(task, until)
            if not isinstance(received, bytes) or task.interrupted:
                return None
            for part in parser.feed(received) if received else parser.end_of_stream():
                if isinstance(part, http1.Head):
                    _check_status(part, "range")
                if isinstance(part, http1.Body):
                    body += part.data
                if isinstance(part, http1.End):
                    return body
            if not received or len(body) > MAX_ANSWER_BYTES:
                return None

    def _replace_records(self, answer: RangeAnswer) -> None:
        self.revision = answer.header.revision
        self.records.clear()
        for pair in answer.pairs:
            self._store_record(pair)
        self._needs_list = False
        self._on_update(EndpointUpdate(self.revision, True, list(self.records.values())))

    def _watch(self, task: Task, endpoint: tuple[str, int], connection: SourceConnection) -> bool:
        """Process changes until the watch ends or is given up; returns whether the server was connected."""
        request = {"create_request": {**self._key_range, "start_revision": str(self.revision + 1)}}
        stream = self._post(task, endpoint, b"/v3/watch", request, connection.abandon_at)
        if stream is None:
            return False
        if not connection.is_established:
            connection.mark_established(self.loop.now)
        try:
            self._follow(task, stream, connection)
        finally:
            stream.close()
        return True

    def _follow(self, task: Task, stream: Stream, connection: SourceConnection) -> None:
        """Process lines until the watch ends or is given up.

        Only a complete line shows that the server is alive; bytes that arrive one by one don't.
        """
        parser = http1.Parser(responses=True)
        partial_line = b""
        while isinstance(received := stream.read(task, connection.abandon_at), bytes):
            if task.interrupted:
                return
            for part in parser.feed(received) if received else [http1.End()]:
                if isinstance(part, http1.Head):
                    _check_status(part, "watch")
                if isinstance(part, http1.End) or len(partial_line) > MAX_ANSWER_BYTES:
                    return
                if not isinstance(part, http1.Body):
                    continue
                *lines, partial_line = (partial_line + part.data).split(b"\n")
                for line in lines:
                    if not line.strip():
                        continue
                    if not self._process_line(_WATCH_DECODER.decode(line.strip())):
                        self._needs_list = True
                        return
                    self._mark_heard(connection)

    def _process_line(self, line: WatchLine) -> bool:
        """Process the changes in one line; returns False if the list has to be read again.

        That is so if the revision has been compacted, the watch was cancelled, or the store's revision is
        lower than the list's, because the store has been restored from a backup.
        """
        result = line.result
        if result is None or result.is_cancelled or result.compact_revision:
            return False
        if result.is_created:
            # Changes up to this revision may still follow, so it is not the last one processed.
            return not 0 < result.header.revision < self.revision
        changes = [event for event in result.events if not 0 < event.pair.mod_revision <= self.revision]
        if changes:
            changed = [record for event in changes if (record := self._apply_event(event)) is not None]
            self._on_update(EndpointUpdate(result.header.revision, False, changed))
        self.revision = max(self.revision, _last_revision(result))
        return True

    def _apply_event(self, event: WatchEvent) -> EndpointRecord | None:
        if event.type != "DELETE":
            return self._store_record(event.pair)
        record = self.records.pop(self._engine_id(event.pair), None)
        if record is not None:
            record.lifecycle = "gone"
        return record

    def _store_record(self, pair: KeyValue) -> EndpointRecord | None:
        engine_id = self._engine_id(pair)
        try:
            record = _RECORD_DECODER.decode(b64decode(pair.value))
        except (msgspec.MsgspecError, ValueError) as error:
            # One entry that can't be decoded must not prevent the others from being used.
            log.warning("etcd entry undecodable", engine_id=engine_id, error=error)
            return None
        record.instance_id = engine_id
        self.records[engine_id] = record
        return record

    def _engine_id(self, pair: KeyValue) -> str:
        return b64decode(pair.key).removeprefix(self.prefix).decode(errors="replace")


def _check_status(head: http1.Head, request: str) -> None:
    if head.status != STATUS_OK:
        raise http1.HttpError(head.status, f"etcd {request} request failed with status {head.status}")


def _last_revision(result: WatchResult) -> int:
    """Return the last revision of the changes in a result.

    The header of a late result may name a later revision, whose changes follow in other results.
    """
    return max((event.pair.mod_revision for event in result.events), default=0) or result.header.revision
