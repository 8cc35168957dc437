"""Benchmark of the recovery store: its journal compared with SQLite in WAL mode, at a given rate of changes.

Both backends get the same changes. A thread writes them in one batch per window, as in the program, while the
main thread runs a loop. The benchmark measures the processor time of the process, the duration of the loop's
turns, and the bytes written.
"""

from __future__ import annotations

import resource
import sqlite3
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Protocol

import msgspec

from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.journal_writer import JournalWriter
from lilacfront.recovery.records import EndpointEntry, EndpointListRecord
from lilacfront.recovery.store import Store

PAUSE_S: Final = 0.005  # pause between two turns of the loop
WRITE_WINDOW_S: Final = 0.1  # time between two batches
MAX_JOURNAL_BYTES: Final = 8 << 20
RESTORE_TIMEOUT_S: Final = 10.0
SETTLE_S: Final = 0.3  # time for the initial writes before the measurement
BLOCK_BYTES: Final = 512  # unit of `ru_oublock`


class Backend(Protocol):
    """A storage backend; only `close` may wait for the disk."""

    def append(self, record: EndpointListRecord) -> None:
        """Store a change."""
        ...

    def take_turn(self) -> None:
        """Do the work of one turn of the loop."""
        ...

    def close(self) -> None:
        """Write all queued changes and stop."""
        ...


class JournalBackend:
    """The program's own journal."""

    def __init__(self, directory: Path, state: DurableState) -> None:
        self._state = state
        self._writer = JournalWriter(Store(str(directory), "n0", ""), WRITE_WINDOW_S, MAX_JOURNAL_BYTES)
        self._writer.restored.get(timeout=RESTORE_TIMEOUT_S)

    def append(self, record: EndpointListRecord) -> None:
        """Apply a change and queue it."""
        self._state.apply(record)
        self._writer.append(record)

    def take_turn(self) -> None:
        """Pass a checkpoint to the writer if it needs one."""
        if self._writer.needs_checkpoint:
            self._writer.write_checkpoint(list(self._state.checkpoint()))

    def close(self) -> None:
        """Write the queue and end the thread."""
        self._writer.close()


class SqliteBackend:
    """SQLite in WAL mode, with a row for each warehouse and one transaction per window."""

    def __init__(self, directory: Path, state: DurableState) -> None:
        self._state = state
        self._directory = directory
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._queue = [
            (entry.instance_id, msgspec.msgpack.encode(entry)) for entry in state.endpoints.values()
        ]
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def append(self, record: EndpointListRecord) -> None:
        """Apply a change and queue its rows."""
        self._state.apply(record)
        with self._lock:
            self._queue += [(entry.instance_id, msgspec.msgpack.encode(entry)) for entry in record.entries]

    def take_turn(self) -> None:
        """Do nothing; there is no work on the loop."""

    def close(self) -> None:
        """Write the queue and end the thread."""
        self._closing.set()
        self._thread.join()

    def _run(self) -> None:
        database = sqlite3.connect(self._directory / "endpoints.sqlite")
        database.execute("pragma journal_mode=wal")
        database.execute("pragma synchronous=full")
        database.execute("create table endpoints (id text primary key, entry blob)")
        while not self._closing.wait(WRITE_WINDOW_S) or self._queue:
            with self._lock:
                rows = self._queue
                self._queue = []
            if rows:
                with database:
                    database.executemany("insert or replace into endpoints values (?, ?)", rows)
        database.close()


class MemoryBackend:
    """Baseline without storage: applies changes to the state in memory."""

    def __init__(self, directory: Path, state: DurableState) -> None:
        del directory
        self._state = state

    def append(self, record: EndpointListRecord) -> None:
        """Apply a change."""
        self._state.apply(record)

    def take_turn(self) -> None:
        """Do nothing; there is no work on the loop."""

    def close(self) -> None:
        """Do nothing; there are no resources to release."""


BACKENDS: Final[dict[str, Callable[[Path, DurableState], Backend]]] = {
    "memory only": MemoryBackend,
    "journal": JournalBackend,
    "SQLite, WAL": SqliteBackend,
}


@dataclass(frozen=True, slots=True)
class Cost:
    """The result of one measurement.

    Attributes:
        cpu: Processor time per second of the measurement.
        longest_ms: Duration of the longest turn of the loop, without the pause.
        p999_ms: 99.9th percentile of the durations of the turns.
        written_bytes: Bytes written by the process, from `ru_oublock`.
        size_bytes: Size of the files at the end.
    """

    cpu: float
    longest_ms: float
    p999_ms: float
    written_bytes: int
    size_bytes: int


def _entry(number: int, change_round: int) -> EndpointEntry:
    lifecycle = "draining" if change_round % 2 else "ready"
    address = f"10.1.{number >> 8}.{number & 255}:7001"
    return EndpointEntry(
        f"warehouse-{number:05}", address, lifecycle, "hall-a", "c12", 0, 1.0, float(change_round)
    )


def _run_loop(backend: Backend, warehouses: int, changes_per_s: int, seconds: float) -> list[float]:
    """Run the loop for a time; returns the duration of each turn, in seconds."""
    durations: list[float] = []
    changes = 0
    started_at = time.monotonic()
    while (elapsed := time.monotonic() - started_at) < seconds:
        turn_started_at = time.perf_counter()
        while changes < elapsed * changes_per_s:
            changes += 1
            entry = _entry(changes % warehouses, changes // warehouses)
            backend.append(EndpointListRecord(1 + changes, False, (entry,)))
        backend.take_turn()
        durations.append(time.perf_counter() - turn_started_at)
        time.sleep(PAUSE_S)
    return durations


def measure(backend_name: str, directory: Path, warehouses: int, changes_per_s: int, seconds: float) -> Cost:
    """Measure one backend."""
    state = DurableState()
    state.apply(EndpointListRecord(1, True, tuple(_entry(number, 0) for number in range(warehouses))))
    backend = BACKENDS[backend_name](directory, state)
    time.sleep(SETTLE_S)
    started_at = time.monotonic()
    before = resource.getrusage(resource.RUSAGE_SELF)
    durations = sorted(_run_loop(backend, warehouses, changes_per_s, seconds))
    elapsed = time.monotonic() - started_at
    after = resource.getrusage(resource.RUSAGE_SELF)
    backend.close()
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return Cost(
        cpu=cpu_s / elapsed,
        longest_ms=1e3 * durations[-1],
        p999_ms=1e3 * durations[int(0.999 * len(durations))],
        written_bytes=(after.ru_oublock - before.ru_oublock) * BLOCK_BYTES,
        size_bytes=sum(path.stat().st_size for path in directory.iterdir()),
    )
