"""Crash-consistency test of the recovery store: crashes at every step of its writes.

A crash is either the end of the process, after which everything that it wrote remains, or a power loss, which
also discards all data that was not synced and all renames in a directory that was not synced. The restored
state must be one that the process had, and no older than the last one that was reported as synced.
"""

from __future__ import annotations

import contextlib
import os
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from lilacfront.logs import Log
from lilacfront.operations.state_record import OperatorDirective
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.journal_file import encode_frame
from lilacfront.recovery.records import (
    AnyRecord,
    CleanShutdownRecord,
    DirectiveRecord,
    EndpointEntry,
    EndpointListRecord,
    IncarnationRecord,
    LoadFinishedRecord,
    LoadStartedRecord,
    PeerDirectiveRecord,
    encode_record,
)
from lilacfront.recovery.store import Store

log = Log(__name__)
CHUNK_BYTES = 24  # maximum number of bytes of a write step
NAME, SITE = "n0", "here"  # of the front end that owns the store


class SimulatedCrash(BaseException):
    """Raised at the step at which the process or the machine crashes."""


class CrashingStore(Store):
    """A store that crashes at a given step.

    Attributes:
        crash_at: Number of the step, counted from 1.
        power_loss: Whether the crash is a power loss, which discards all data that was not synced.
        syncs: Whether the store syncs its files. False injects a defect that the sweep has to detect.
    """

    def __init__(self, directory: str, crash_at: int, power_loss: bool, syncs: bool = True) -> None:
        super().__init__(directory, NAME, SITE)
        self.crash_at = crash_at
        self.power_loss = power_loss
        self.syncs = syncs
        self._step = 0
        self._synced_bytes: dict[int, int] = {}  # synced size of each file, by inode
        self._unsynced_renames: list[tuple[Path, Path]] = []

    def crash(self) -> None:
        """Close the store; after a power loss, undo renames and truncate files to their synced state."""
        self.close()
        if not self.power_loss:
            return
        for new_path, path in reversed(self._unsynced_renames):
            os.rename(path, new_path)
        for path in self.directory.iterdir():
            status = path.stat()
            if path.suffix != ".lock":
                synced = self._synced_bytes.get(status.st_ino, status.st_size)
                os.truncate(path, min(status.st_size, synced))

    def _crash_if_reached(self) -> None:
        self._step += 1
        if self._step == self.crash_at:
            raise SimulatedCrash

    def _write(self, descriptor: int, data: bytes) -> None:
        remaining = memoryview(data)
        self._synced_bytes.setdefault(os.fstat(descriptor).st_ino, 0)
        while remaining:
            self._crash_if_reached()
            remaining = remaining[os.write(descriptor, remaining[:CHUNK_BYTES]) :]

    def _sync(self, descriptor: int) -> None:
        self._crash_if_reached()
        status = os.fstat(descriptor)
        if self.syncs:
            self._synced_bytes[status.st_ino] = status.st_size
        self._crash_if_reached()

    def _rename(self, new_path: Path, path: Path) -> None:
        self._crash_if_reached()
        os.rename(new_path, path)
        self._unsynced_renames.append((new_path, path))
        self._crash_if_reached()

    def _unlink(self, path: Path) -> None:
        self._crash_if_reached()
        path.unlink()

    def _sync_directory(self) -> None:
        self._crash_if_reached()
        self._unsynced_renames.clear()
        self._crash_if_reached()


def _entry(number: int, lifecycle: str = "ready") -> EndpointEntry:
    return EndpointEntry(f"s-{number}", f"127.0.0.1:{9000 + number}", lifecycle, "hall-a", "c12", 0, 1.0, 0.0)


def record_batches() -> Iterator[list[AnyRecord]]:
    """The records that a process writes, in batches; an empty batch begins a new journal generation."""
    yield [EndpointListRecord(1, True, tuple(_entry(number) for number in range(6))), IncarnationRecord(100)]
    yield [
        DirectiveRecord(OperatorDirective("s-1", 1, "a", True, 1.0, 1.0)),
        LoadStartedRecord(b"one", 2.0),
    ]
    yield [EndpointListRecord(2, False, (_entry(2, "draining"), _entry(3, "gone")))]
    yield []
    yield [
        PeerDirectiveRecord(2, OperatorDirective("s-4", 1, "b", True, 1.0, 1.0)),
        LoadFinishedRecord(b"one"),
        LoadStartedRecord(b"two", 3.0),
    ]
    yield [
        DirectiveRecord(OperatorDirective("s-1", 2, "a", False, 1.0, 4.0)),
        DirectiveRecord(OperatorDirective("s-5", 3, "a", True, 5.0, 5.0)),
    ]
    yield [EndpointListRecord(3, False, (_entry(7),)), IncarnationRecord(101)]
    yield []
    yield [DirectiveRecord(OperatorDirective("s-7", 4, "a", True, 6.0, 6.0)), CleanShutdownRecord()]


def _encoded(state: DurableState) -> bytes:
    return b"".join(encode_record(record) for record in state.checkpoint())


@dataclass
class SweepResult:
    """The result of a sweep over all steps.

    Attributes:
        runs: Number of runs: one for each step, and one that completed without a crash.
        wrong_restores: Number of runs after which a wrong state was restored.
        failed_starts: Number of runs in which a start raised an error.
    """

    runs: int = 0
    wrong_restores: int = 0
    failed_starts: int = 0


class _History:
    """The states that a process went through, and the index of the last one reported as synced."""

    def __init__(self) -> None:
        self.state = DurableState()
        self._states = [_encoded(self.state)]
        self._last_synced_index = 0

    def apply(self, record: AnyRecord) -> None:
        """Apply a record. The resulting state may be on the disk from now on."""
        self.state.apply(record)
        self._states.append(_encoded(self.state))

    def record_sync(self) -> None:
        """Record that the current state is on the disk."""
        self._states.append(_encoded(self.state))
        self._last_synced_index = len(self._states) - 1

    def is_valid_restore(self, restored: DurableState) -> bool:
        """Whether a restored state is the last one synced or a later one."""
        return _encoded(restored) in self._states[self._last_synced_index :]


def _write_all(store: CrashingStore, history: _History) -> None:
    """Write all batches in the way of a running process."""
    store.begin_generation(list(history.state.checkpoint()))
    history.record_sync()
    for batch in record_batches():
        if not batch:
            store.begin_generation(list(history.state.checkpoint()))
            history.record_sync()
            continue
        frames = []
        for record in batch:
            history.apply(record)
            frames.append(encode_frame(encode_record(record)))
        store.append(b"".join(frames))
        history.record_sync()


def _run(
    directory: Path, crash_at: int, power_loss: bool, second_crash_at: int, syncs: bool
) -> tuple[bool, bool]:
    """Run up to a crash; return whether all writes completed and whether the restored state is valid."""
    history = _History()
    store = CrashingStore(str(directory), crash_at, power_loss, syncs)
    completed = True
    try:
        _write_all(store, history)
    except SimulatedCrash:
        completed = False
    store.crash()
    if second_crash_at:
        second = CrashingStore(str(directory), second_crash_at, power_loss)
        with contextlib.suppress(SimulatedCrash):
            second.begin_generation(list(second.restore().checkpoint()))
        second.crash()
    restored = Store(str(directory), NAME, SITE).restore()
    return completed, history.is_valid_restore(restored)


def sweep(power_loss: bool, second_crash_at: int = 0, syncs: bool = True) -> SweepResult:
    """Crash at every step in turn.

    Args:
        power_loss: Whether the crashes are power losses.
        second_crash_at: Step at which the next start crashes as well; 0: it does not crash.
        syncs: Whether the store syncs its files.
    """
    result = SweepResult()
    completed = False
    while not completed:
        result.runs += 1
        with tempfile.TemporaryDirectory(prefix="lilacfront-crash-") as directory:
            try:
                completed, valid = _run(Path(directory), result.runs, power_loss, second_crash_at, syncs)
                result.wrong_restores += not valid
            except Exception:
                log.exception("start after a crash failed")
                result.failed_starts += 1
    return result
