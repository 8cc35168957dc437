"""Store of journal files in one directory; each generation is a checkpoint and the records after it.

All methods block on the disk, so `journal_writer` calls them in its own thread.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from lilacfront.logs import Log
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.journal_file import JournalContents, StoreError, decode_journal, encode_journal
from lilacfront.recovery.records import FORMAT_VERSION, AnyRecord, IncarnationRecord, JournalHeader

log = Log(__name__)
KEPT_GENERATIONS: Final = 2  # older journal files are deleted
_MAX_STEM_CHARACTERS: Final = 64
_MAX_GENERATION_DIGITS: Final = 17
_FILE_MODE: Final = 0o600
_NO_DESCRIPTOR: Final = -1  # the file is not open
_UNSAFE_CHARACTERS: Final = re.compile(r"[^A-Za-z0-9_-]")


class StoreLockedError(StoreError):
    """The store is locked by another process of this front end."""


class Store:
    """The journal files of one front end. Methods raise OSError if the disk fails.

    Attributes:
        stem: First part of the names of all files in the store.
        generation: Number of the newest generation.
        size_bytes: Size of the open journal file.
    """

    def __init__(self, directory: str, name: str, site: str) -> None:
        self.directory = Path(directory)
        self.name = name
        self.site = site
        safe_name = _UNSAFE_CHARACTERS.sub("_", name)[:_MAX_STEM_CHARACTERS]
        self.stem = f"recovery.{safe_name or 'front'}"
        self.generation = 0
        self.size_bytes = 0
        self._journal = _NO_DESCRIPTOR
        self._lock = _NO_DESCRIPTOR

    def lock(self) -> None:
        """Lock the store for this process; the kernel releases the lock when the process ends.

        Raises:
            StoreLockedError: Another process of this front end holds the lock.
            OSError: The lock file can't be opened.
        """
        flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
        lock = os.open(self.directory / f"{self.stem}.lock", flags, _FILE_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise StoreLockedError("another process of this front end holds the lock") from error
        self._lock = lock

    def restore(self) -> DurableState:
        """Restore the state from the newest usable generation.

        If the checkpoint of a generation is incomplete, the generation before it is replayed first; this is
        safe because applying records twice changes nothing. Damaged journals are logged.
        """
        generations = self._generations()
        self.generation = generations[0][0] if generations else 0
        usable: list[JournalContents] = []
        for _, path in generations[:KEPT_GENERATIONS]:
            contents = self._read(path)
            if contents is None:
                continue
            usable.append(contents)
            # A complete checkpoint contains an incarnation record.
            if any(isinstance(record, IncarnationRecord) for record in contents.records):
                break
        state = DurableState()
        for contents in reversed(usable):
            for record in contents.records:
                state.apply(record)
        return state

    def begin_generation(self, checkpoint: Iterable[AnyRecord]) -> None:
        """Write a new generation to a temporary file, sync it and rename it to its final name."""
        self.generation += 1
        header = JournalHeader(FORMAT_VERSION, self.name, self.site, self.generation)
        data = encode_journal(header, checkpoint)
        new_path = self.directory / f"{self.stem}.new"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        journal = os.open(new_path, flags, _FILE_MODE)
        try:
            self._write(journal, data)
            self._sync(journal)
            self._rename(new_path, self.directory / f"{self.stem}.{self.generation}.journal")
            self._sync_directory()
        except BaseException:
            os.close(journal)
            raise
        if self._journal != _NO_DESCRIPTOR:
            os.close(self._journal)
        self._journal = journal
        self.size_bytes = len(data)
        for _, path in self._generations()[KEPT_GENERATIONS:]:
            with contextlib.suppress(OSError):
                self._unlink(path)

    def append(self, frames: bytes) -> None:
        """Append framed records and sync them to the disk."""
        self._write(self._journal, frames)
        self._sync(self._journal)
        self.size_bytes += len(frames)

    def close(self) -> None:
        """Close the journal and release the lock."""
        for descriptor in (self._journal, self._lock):
            if descriptor != _NO_DESCRIPTOR:
                os.close(descriptor)
        self._journal = _NO_DESCRIPTOR
        self._lock = _NO_DESCRIPTOR

    def _generations(self) -> list[tuple[int, Path]]:
        """Numbers and paths of the existing journals, newest first."""
        found: list[tuple[int, Path]] = []
        for path in self.directory.glob(f"{self.stem}.*.journal"):
            number = path.name.removeprefix(self.stem + ".").removesuffix(".journal")
            if number.isdecimal() and len(number) <= _MAX_GENERATION_DIGITS:
                found.append((int(number), path))
        return sorted(found, reverse=True)

    def _read(self, path: Path) -> JournalContents | None:
        """Contents of one journal, or None if the file can't be used."""
        try:
            if not path.is_file() or path.is_symlink():
                raise StoreError("not a regular file")
            contents = decode_journal(path.read_bytes(), self.name, self.site)
        except (StoreError, OSError) as error:
            log.error("recovery journal ignored", file=path.name, error=error)
            return None
        if contents.damage:
            log.warning(
                "recovery journal truncated",
                file=path.name,
                error=contents.damage,
                records=len(contents.records),
            )
        return contents

    # Steps of a write. `lab/crash_points.py` overrides them to simulate a crash or power loss at each one.
    def _sync(self, descriptor: int) -> None:
        os.fdatasync(descriptor)

    def _rename(self, new_path: Path, path: Path) -> None:
        os.rename(new_path, path)

    def _unlink(self, path: Path) -> None:
        path.unlink()

    def _sync_directory(self) -> None:
        descriptor = os.open(self.directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _write(self, descriptor: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]
