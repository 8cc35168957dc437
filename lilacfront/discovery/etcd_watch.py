"""Reads the endpoint list from etcd v3 through its JSON gateway.

A range request reads the whole list, and a watch reads the changes. Both are requested at once; if the watch
has missed changes since the list, another one starts from the list's revision. A watch that has ended goes on
from the last revision, on another endpoint if there are several. The list is read again if that is not
possible. Each key is the prefix followed by an engine's ID; its value is the endpoint entry in the format of
the change log.
"""

from __future__ import annotations

import random
from base64 import b64decode
from collections.abc import Callable

import msgspec

from lilacfront.discovery.endpoint_list import EndpointRecord, EndpointUpdate
from lilacfront.discovery.etcd_messages import KeyValue, RangeAnswer, WatchEvent, WatchLine
from lilacfront.discovery.etcd_requests import EarlyWatch, EtcdRequests, WatchStream
from lilacfront.discovery.hedged_source import HedgedSource, HedgingLimits, SourceConnection
from lilacfront.logs import Log
from lilacfront.protocols import http1
from lilacfront.sched import Loop, Task

log = Log(__name__)
# etcd sends nothing while the list doesn't change, so an idle server can't be told from a failed one. Changes
# must be noticed within 4 s on a failed connection, and may be late by up to 7 s.
HEDGING_LIMITS = HedgingLimits(connect_s=1.0, silence_s=3.0, abandon_s=15.0, max_connections=4)
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0  # changes count as told 2 s after a connection has ended
MIN_JITTER = 0.5  # the delay is drawn from this part of the backoff up to all of it

_RECORD_DECODER = msgspec.json.Decoder(EndpointRecord)


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
        seed: int = 0,
    ) -> None:
        self.loop = loop
        self.endpoints = endpoints
        self.prefix = prefix.encode()
        self.revision = 0
        self.records: dict[str, EndpointRecord] = {}
        self._on_update = on_update
        self._random = random.Random(seed)
        self._backoff_s = MIN_BACKOFF_S
        self._attempts = 0
        self._needs_list = True
        self._early_watch: EarlyWatch | None = None
        self._requests = EtcdRequests(loop, self.prefix)
        self._source = HedgedSource(loop, HEDGING_LIMITS, self._list_and_watch, self._retry_delay_s)

    def run(self, task: Task) -> None:
        """List and watch for as long as the process runs; each connection uses the next endpoint."""
        self._source.run(task)

    def _retry_delay_s(self) -> float:
        return self._backoff_s * self._random.uniform(MIN_JITTER, 1.0)

    def _list_and_watch(self, task: Task, connection: SourceConnection) -> None:
        """Read the list if it is needed, and watch until the connection ends or is given up."""
        endpoint = self.endpoints[self._attempts % len(self.endpoints)]
        self._attempts += 1
        is_answered = False
        try:
            if self._needs_list:
                is_answered = self._read_list_and_follow(task, endpoint, connection)
            else:
                is_answered = self._watch(task, endpoint, connection)
        except (msgspec.MsgspecError, http1.HttpError, ValueError) as error:
            log.warning("etcd request failed", endpoint=endpoint, error=error)
            self._needs_list = True
        except Exception:
            log.exception("etcd watch failed", endpoint=endpoint)
            self._needs_list = True
        if not is_answered and not task.interrupted:
            self._lengthen_backoff()

    def _lengthen_backoff(self) -> None:
        """Double the backoff once all endpoints have been tried."""
        if self._attempts % len(self.endpoints) == 0:
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def _mark_heard(self, connection: SourceConnection) -> None:
        self._backoff_s = MIN_BACKOFF_S
        connection.mark_heard(self.loop.now)

    def _read_list_and_follow(
        self, task: Task, endpoint: tuple[str, int], connection: SourceConnection
    ) -> bool:
        """Read the list and the changes; returns whether the list could be read and the server connected."""
        early = self._open_early_watch(endpoint, connection)
        try:
            if not self._read_list(task, endpoint, connection):
                return False
            watch = early.take() if early is not None else None
        finally:
            self._close_early_watch(early)
        if watch is not None and self._follow_early_watch(task, watch, connection):
            return True
        return self._watch(task, endpoint, connection)

    def _open_early_watch(self, endpoint: tuple[str, int], connection: SourceConnection) -> EarlyWatch | None:
        """Open a watch beside the list, unless another connection has one open."""
        if self._early_watch is not None:
            return None
        self._early_watch = EarlyWatch(self.loop, self._requests, endpoint, connection.abandon_at)
        return self._early_watch

    def _close_early_watch(self, early: EarlyWatch | None) -> None:
        if early is not None:
            early.close()
            self._early_watch = None

    def _read_list(self, task: Task, endpoint: tuple[str, int], connection: SourceConnection) -> bool:
        """Read the whole list, which replaces all entries; returns whether it could be read."""
        request = self._requests.send_range(task, endpoint, connection.abandon_at)
        if request is None:
            return False
        connection.mark_established(self.loop.now)
        answer = request.read(task, connection.abandon_at)
        if answer is None:
            return False
        self._replace_records(answer)
        self._mark_heard(connection)
        return True

    def _replace_records(self, answer: RangeAnswer) -> None:
        self.revision = answer.header.revision
        self.records.clear()
        for pair in answer.pairs:
            self._store_record(pair)
        self._needs_list = False
        self._on_update(EndpointUpdate(self.revision, True, list(self.records.values())))

    def _follow_early_watch(self, task: Task, watch: WatchStream, connection: SourceConnection) -> bool:
        """Follow the watch that was opened beside the list until it ends or is given up.

        Returns:
            False if it can't be used, since it does not begin at the list's revision or before.
        """
        try:
            lines = self._read_first_lines(task, watch, connection)
            if not lines:
                return task.interrupted
            self._mark_heard(connection)
            if self._process_lines(lines[1:]):
                self._follow(task, watch, connection)
        finally:
            watch.close()
        return True

    def _read_first_lines(
        self, task: Task, watch: WatchStream, connection: SourceConnection
    ) -> list[WatchLine]:
        """Return the first lines of an early watch; none if it can't be used."""
        try:
            lines = watch.read_lines(task, connection.abandon_at)
        except (msgspec.MsgspecError, http1.HttpError) as error:
            log.info("etcd watch from the current revision failed", error=error)
            return []
        result = lines[0].result if lines else None
        if lines is None or result is None or result.is_ended or not result.is_created:
            return []
        return lines if 0 < result.header.revision <= self.revision else []

    def _watch(self, task: Task, endpoint: tuple[str, int], connection: SourceConnection) -> bool:
        """Process changes until the watch ends or is given up; returns whether the server was connected."""
        watch = self._requests.open_watch(task, endpoint, self.revision + 1, connection.abandon_at)
        if watch is None:
            return False
        if not connection.is_established:
            connection.mark_established(self.loop.now)
        try:
            self._follow(task, watch, connection)
        finally:
            watch.close()
        return True

    def _follow(self, task: Task, watch: WatchStream, connection: SourceConnection) -> None:
        """Process lines until the watch ends or is given up.

        Only a complete line shows that the server is alive; bytes that arrive one by one don't.
        """
        while lines := watch.read_lines(task, connection.abandon_at):
            if not self._process_lines(lines):
                return
            self._mark_heard(connection)

    def _process_lines(self, lines: list[WatchLine]) -> bool:
        """Process lines in order; returns False if the list has to be read again."""
        self._needs_list = not all(self._process_line(line) for line in lines)
        return not self._needs_list

    def _process_line(self, line: WatchLine) -> bool:
        """Process the changes in one line; returns False if the list has to be read again.

        That is so if the revision has been compacted, the watch was cancelled, or the store's revision is
        lower than the list's, because the store has been restored from a backup.
        """
        result = line.result
        if result is None or result.is_ended:
            return False
        if result.is_created:
            # Changes up to this revision may still follow, so it is not the last one processed.
            return not 0 < result.header.revision < self.revision
        changes = result.changes_after(self.revision)
        if changes:
            changed = [record for event in changes if (record := self._apply_event(event)) is not None]
            self._on_update(EndpointUpdate(result.header.revision, False, changed))
        self.revision = max(self.revision, result.last_revision)
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
