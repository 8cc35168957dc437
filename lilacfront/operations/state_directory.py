"""The directory that the processes of one front end share, with a state file and a lock file of each process.

A process writes only its own state file, atomically, and reads those of the others. The files of a process
that has ended are removed once another process has saved their content.

File names:
- `lilacfront.FRONT_END.TOKEN.json`: state file; `.tmp` while it is written.
- `lilacfront.FRONT_END.TOKEN.lock`: lock file; `.new` until it is locked.
- `lilacfront.TOKEN.sock`: socket of `connection_transfer`.
"""

from __future__ import annotations

import contextlib
import os
import re
import stat
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from lilacfront.logs import Log
from lilacfront.operations.process_lock import ProcessLock, is_lock_held
from lilacfront.operations.state_record import (
    MAX_FILE_BYTES,
    ProcessState,
    ProcessStateError,
    decode_state,
    encode_state,
)

log = Log(__name__)
MAX_PROCESSES = 64  # largest number of other processes whose files are read
MAX_NAME_CHARACTERS = 64  # longest part of the front end's name that is used in file names
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")
STATE_SUFFIX = "json"
LOCK_SUFFIX = "lock"
STATE_TEMPORARY_SUFFIX = "tmp"
LOCK_TEMPORARY_SUFFIX = "new"
DIRECTORY_KEY = ""  # key of errors that concern the directory instead of a file in it


@dataclass(slots=True, frozen=True)
class _FileVersion:
    """Metadata of a state file, from which a change of its content is detected."""

    inode: int
    modified_ns: int
    size: int


@dataclass(slots=True, eq=False)
class SiblingProcess:
    """Another process of this front end, as found in the directory.

    Attributes:
        token: Unique id of the process.
        running: Whether the process held its lock at the last scan.
        state: State from its last valid state file; None if there was none.
        version: Metadata of the state file that was read last; None if none was read.
    """

    token: str
    running: bool = True
    state: ProcessState | None = None
    version: _FileVersion | None = None


class StateDirectory:
    """The state directory, as one process uses it.

    Methods wait for the disk, which may take seconds. Once clients are served, only the thread of the
    `StateWriter` calls them.
    """

    def __init__(self, directory: str, front_end: str, token: str) -> None:
        """Create and lock the lock file of this process; if that fails, all methods do nothing.

        Args:
            directory: Path of the directory.
            front_end: Name of the front end; files of other front ends are ignored.
            token: Unique id of this process.
        """
        self.directory = Path(directory)
        self.front_end = front_end
        self.token = token
        self._prefix = f"lilacfront.{UNSAFE_CHARACTERS.sub('_', front_end)[:MAX_NAME_CHARACTERS]}."
        self.processes: dict[str, SiblingProcess] = {}
        self._last_changes_ns = (-1, -1)  # modification times of the directory at the last two scans
        self._logged_errors: dict[str, str] = {}  # by file name, so that each error is logged once
        self.lock: ProcessLock | None = None
        try:
            self.lock = ProcessLock(self._path(token, LOCK_SUFFIX), self._path(token, LOCK_TEMPORARY_SUFFIX))
        except OSError as error:
            log.error("state directory unusable", directory=directory, error=error)

    def _path(self, token: str, suffix: str) -> Path:
        return self.directory / f"{self._prefix}{token}.{suffix}"

    @property
    def is_locked(self) -> bool:
        """Whether this process holds its lock, which shows the others that it is running."""
        return self.lock is not None

    def running_processes(self) -> list[SiblingProcess]:
        """Return the other processes that were running at the last scan."""
        return [process for process in self.processes.values() if process.running]

    def save(self, state: ProcessState) -> None:
        """Replace the state file of this process atomically."""
        if not self.is_locked:
            return
        temporary = self._path(self.token, STATE_TEMPORARY_SUFFIX)
        path = self._path(self.token, STATE_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        try:
            with open(os.open(temporary, flags, 0o600), "wb") as stream:
                stream.write(encode_state(state))
            temporary.rename(path)
        except OSError as error:
            log.error("state file write failed", file=path.name, error=error)

    # ---- the other processes ------------------------------------------------------------------------
    def scan(self) -> list[ProcessState]:
        """Read the state files that changed since the last scan, and check which processes are running.

        Returns:
            The states read from the changed files.
        """
        if not self.is_locked:
            return []
        states = []
        for token in self._changed_tokens():
            process = self.processes.setdefault(token, SiblingProcess(token))
            if (state := self._read(process)) is not None:
                states.append(state)
        for process in self.processes.values():
            if process.running and not is_lock_held(self._path(process.token, LOCK_SUFFIX)):
                process.running = False
        return states

    def _changed_tokens(self) -> Iterator[str]:
        """Yield the tokens of all other processes with files here, or none if the directory has not changed.

        Two changes within one tick of the system's clock have the same modification time, so the directory is
        scanned twice after each change.
        """
        try:
            modified_ns = self.directory.stat().st_mtime_ns
            if (modified_ns, modified_ns) == self._last_changes_ns:
                return
            self._last_changes_ns = (self._last_changes_ns[1], modified_ns)
            names = sorted(name for name in os.listdir(self.directory) if name.startswith(self._prefix))
        except OSError as error:
            if self._is_new_error(DIRECTORY_KEY, str(error)):
                log.error("state directory unreadable", directory=self.directory, error=error)
            return
        tokens = dict.fromkeys(
            name.removeprefix(self._prefix).rpartition(".")[0]
            for name in names
            if name.endswith((f".{STATE_SUFFIX}", f".{LOCK_SUFFIX}"))
        )
        tokens.pop(self.token, None)
        yield from list(tokens)[:MAX_PROCESSES]

    def _read(self, process: SiblingProcess) -> ProcessState | None:
        """Return the state of a process if its state file is valid and has changed, else None."""
        path = self._path(process.token, STATE_SUFFIX)
        try:
            state = self._read_changed(path, process)
        except FileNotFoundError:
            return None
        except (ProcessStateError, OSError) as error:
            if self._is_new_error(path.name, str(error)):
                log.warning("state file rejected", file=path.name, error=error)
            return None
        if state is not None:
            self._logged_errors.pop(path.name, None)
            process.state = state
        return state

    def _read_changed(self, path: Path, process: SiblingProcess) -> ProcessState | None:
        """Read and decode a state file; returns None if it has not changed.

        Other users may be able to write to the directory, so the owner and the type of the file are checked.

        Raises:
            ProcessStateError: The file is not a valid state file of this process.
            OSError: The file can't be read.
        """
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as stream:
            status = os.fstat(descriptor)
            version = _FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)
            if version == process.version:
                return None
            process.version = version
            if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid():
                raise ProcessStateError("not a regular file owned by this user")
            if status.st_size > MAX_FILE_BYTES:
                raise ProcessStateError(f"file is longer than {MAX_FILE_BYTES} bytes")
            state = decode_state(stream.read(MAX_FILE_BYTES + 1), self.front_end)
        if state.token != process.token:
            raise ProcessStateError("state of another process than the one in the file name")
        return state

    def _is_new_error(self, name: str, reason: str) -> bool:
        """Record an error of a file; returns whether it has not been logged yet."""
        if self._logged_errors.get(name) == reason:
            return False
        if len(self._logged_errors) > MAX_PROCESSES:
            self._logged_errors.clear()
        self._logged_errors[name] = reason
        return True

    def remove_stale(self) -> None:
        """Remove the files of processes that have ended; their directives must have been saved before."""
        for process in [process for process in self.processes.values() if not process.running]:
            del self.processes[process.token]
            paths = [
                self._path(process.token, suffix)
                for suffix in (STATE_SUFFIX, LOCK_SUFFIX, STATE_TEMPORARY_SUFFIX, LOCK_TEMPORARY_SUFFIX)
            ]
            paths.append(self.directory / f"lilacfront.{process.token}.sock")
            for path in paths:
                with contextlib.suppress(OSError):
                    path.unlink()

    def close(self) -> None:
        """Release the lock. The state file is kept for processes that are running or start later."""
        if self.lock is not None:
            self.lock.release()
            self.lock = None
