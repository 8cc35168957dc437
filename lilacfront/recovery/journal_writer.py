"""Background thread that restores the state and writes the journal, so that the event loop never blocks."""

from __future__ import annotations

import queue
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

from lilacfront.logs import Log
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.journal_file import encode_frame
from lilacfront.recovery.records import AnyRecord, encode_record
from lilacfront.recovery.store import Store, StoreLockedError

log = Log(__name__)
MAX_QUEUED_RECORDS: Final = 16_384  # beyond this a checkpoint replaces the queued records
CHECKPOINT_RETRY_S: Final = 1.0  # seconds between requests for a checkpoint while the disk fails
LOCK_RETRY_S: Final = 0.2  # seconds between attempts to lock the store
CLOSE_TIMEOUT_S: Final = 0.5  # seconds that `close` waits for the queue to be written
RESTORE_FAILURE: Final = "the stored state could not be read"  # shown by the admin command STATUS


@dataclass(slots=True, frozen=True)
class RestoreResult:
    """Result of a restore.

    Attributes:
        state: The restored state, or None if the store can't be used.
        locked_by_other_process: Whether another running process of this front end has the store locked.
    """

    state: DurableState | None
    locked_by_other_process: bool = False


@dataclass(slots=True, frozen=True)
class _Checkpoint:
    """Queue entry for a new generation that starts with these records."""

    records: tuple[AnyRecord, ...]


class JournalWriter:
    """Restores the state once and then writes the journal, in its own thread.

    The public methods are called on the event loop; only `close` blocks. Records appended while the disk
    fails are dropped from the queue, but the next checkpoint includes their changes.

    Attributes:
        restored: Receives a `RestoreResult` at the end of the restore. If another process has the store
            locked, it receives one at once and a second one after the lock is acquired.
        needs_checkpoint: Whether the event loop must call `write_checkpoint`.
        failure: Why the store can't be used at present; empty while it works.
    """

    def __init__(self, store: Store, write_window_s: float, max_journal_bytes: int) -> None:
        self.store = store
        self.write_window_s = write_window_s
        self.max_journal_bytes = max_journal_bytes
        self.restored: queue.SimpleQueue[RestoreResult] = queue.SimpleQueue()
        self.needs_checkpoint = False
        self.failure = ""
        self._queue: deque[AnyRecord | _Checkpoint] = deque()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="journal-writer", daemon=True)
        self._thread.start()

    def append(self, record: AnyRecord) -> None:
        """Queue a record; the thread writes it within `write_window_s`."""
        if self.needs_checkpoint:
            return  # the next checkpoint includes it
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            self.needs_checkpoint = True
            return
        self._queue.append(record)

    def write_checkpoint(self, checkpoint: Iterable[AnyRecord]) -> None:
        """Queue a new generation, which replaces all queued records."""
        self._queue.clear()
        self._queue.append(_Checkpoint(tuple(checkpoint)))
        self.needs_checkpoint = False

    def close(self) -> None:
        """Stop the thread once it has written the queue; blocks for at most `CLOSE_TIMEOUT_S`."""
        self._closing.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    # ---- run in the thread ----------------------------------------------------------------------------
    def _run(self) -> None:
        state = self._restore()
        if state is None:
            return  # this process never writes to the store
        self.restored.put(RestoreResult(state))
        healthy = False
        retry_at = 0.0
        closing = False
        while not closing:
            closing = self._closing.wait(self.write_window_s)
            healthy = self._write_queue(healthy)
            now = time.monotonic()
            if healthy and self.store.size_bytes > self.max_journal_bytes:
                healthy = False
                retry_at = 0.0
            if not healthy and now >= retry_at:
                retry_at = now + CHECKPOINT_RETRY_S
                self.needs_checkpoint = True
        self.store.close()

    def _write_queue(self, healthy: bool) -> bool:
        """Write all queued entries; returns whether the journal is complete afterwards."""
        batch: list[bytes] = []
        while (entry := self._next_entry()) is not None:
            if isinstance(entry, _Checkpoint):
                batch.clear()
                healthy = self._try_write(partial(self.store.begin_generation, entry.records))
            else:
                batch.append(encode_frame(encode_record(entry)))
        if batch and healthy:
            healthy = self._try_write(partial(self.store.append, b"".join(batch)))
        return healthy

    def _next_entry(self) -> AnyRecord | _Checkpoint | None:
        try:
            return self._queue.popleft()
        except IndexError:  # the queue is empty, or the loop has just cleared it
            return None

    def _restore(self) -> DurableState | None:
        """Lock the store and read it, reporting a failure in `restored`; None if the store can't be used.

        While another process holds the lock, the start goes on without the state and locking is retried.
        """
        waiting = False
        while True:
            try:
                self.store.lock()
                return self.store.restore()
            except StoreLockedError as error:
                if not waiting:
                    waiting = True
                    log.warning("recovery store locked", error=error)
                    self.restored.put(RestoreResult(None, locked_by_other_process=True))
                if self._closing.wait(LOCK_RETRY_S):
                    return None
            except OSError as error:
                self._set_failure(error)
                self.restored.put(RestoreResult(None))
                return None
            except Exception:
                # Invalid file contents must not keep the front end from starting.
                log.exception("recovery restore failed")
                self.failure = RESTORE_FAILURE
                self.restored.put(RestoreResult(None))
                return None

    def _try_write(self, write: Callable[[], None]) -> bool:
        """Run a write to the store; returns whether it succeeded and logs the recovery from a failure."""
        try:
            write()
        except OSError as error:
            self._set_failure(error)
            return False
        if self.failure:
            self.failure = ""
            log.warning("recovery store available again", directory=self.store.directory)
        return True

    def _set_failure(self, error: OSError) -> None:
        if self.failure != str(error):
            self.failure = str(error)
            log.error("recovery store unavailable", directory=self.store.directory, error=error)
