"""Journal of a running front end: keeps the durable state in memory and has its changes written."""

from __future__ import annotations

import time

from lilacfront.logs import Log
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.journal_writer import JournalWriter, RestoreResult
from lilacfront.recovery.records import AnyRecord, CleanShutdownRecord, EndpointListRecord
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.recovery.store import Store

log = Log(__name__)
_MIB = 1 << 20


class RecoveryJournal:
    """Restores the durable state, applies records to it and passes them to the writer thread.

    Attributes:
        state: The state after the last record.
        restored: Whether the restore has ended or timed out, successfully or not.
        planned_restart: Whether the last process shut down gracefully or is still running.
    """

    def __init__(self, settings: RecoverySettings, name: str) -> None:
        """Start reading the store of the front end `name`."""
        self.state = DurableState()
        self.restored = False
        self.planned_restart = False
        self._writable = False
        self._closed = False
        store = Store(settings.directory, name, settings.site)
        self._writer = JournalWriter(store, settings.write_window_s, settings.max_journal_mb * _MIB)

    @property
    def failure(self) -> str:
        """Why the store can't be used at present; empty while it works."""
        return self._writer.failure

    @property
    def open(self) -> bool:
        """Whether records are passed to the writer."""
        return self.restored and self._writable and not self._closed

    def record(self, record: AnyRecord) -> None:
        """Apply a record and queue it for writing."""
        self.state.apply(record)
        # Before the restore ends, writing could replace state that has not been read yet.
        if self.restored and self._writable:
            self._writer.append(record)

    def poll_restore(self) -> RestoreResult | None:
        """A new result of the restore, or None; does not block."""
        if self._writer.restored.empty():
            return None
        return self._writer.restored.get()

    def finish_restore(self, result: RestoreResult, list_seq: int) -> bool:
        """Replace the state by the restored one and apply the changes since the start to it.

        Args:
            result: The result of the restore.
            list_seq: Number of the last event that the endpoint list in use includes.

        Returns:
            Whether the restored endpoint list is to be used: it is newer than the one in use, or none is in
            use. The numbers of different starts are not compared: the list that the configuration of this
            start contains takes precedence over those of earlier starts.
        """
        self._writable = result.state is not None
        state = result.state or DurableState()
        if result.locked_by_other_process or state.shut_down_cleanly:
            self.planned_restart = True
        is_same_start = state.list_origin == self.state.list_origin
        is_used = state.list_seq > list_seq if is_same_start else not self.state.endpoints
        for record in self.state.checkpoint():
            if not (is_used and isinstance(record, EndpointListRecord)):
                state.apply(record)
        if not is_same_start and is_used:
            state.list_seq = 0
            state.list_origin = self.state.list_origin
        self.state = state
        self.restored = True
        log.warning(
            "recovery state restored",
            endpoints=len(state.endpoints),
            seq=state.list_seq,
            directives=len(state.directives),
            loads=len(state.started_loads),
            planned_restart=self.planned_restart,
        )
        return is_used

    def write_checkpoint_if_needed(self) -> None:
        """Write a checkpoint of the whole state if the writer needs one."""
        if self._writer.needs_checkpoint:
            self._writer.write_checkpoint(list(self.state.checkpoint()))

    def close(self) -> None:
        """Record a graceful shutdown and wait for the writer, at most `CLOSE_TIMEOUT_S`."""
        if not (self.restored and self._writable):
            return
        started_at = time.monotonic()
        self.record(CleanShutdownRecord())
        self._closed = True
        self._writer.close()
        log.info("recovery store closed", seconds=round(time.monotonic() - started_at, 3))
