"""Thread that accesses a `StateDirectory`.

Writing, renaming or listing files may take seconds on a busy disk, which would delay all clients if it ran on
the event loop.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Iterator
from dataclasses import dataclass

from lilacfront.logs import Log
from lilacfront.operations.state_directory import StateDirectory
from lilacfront.operations.state_record import ProcessState

log = Log(__name__)
SCAN_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 0.3  # longest wait for the thread when the process ends
THREAD_NAME = "state-writer"


@dataclass(slots=True, frozen=True)
class DirectoryScan:
    """Result of one scan of the directory.

    Attributes:
        states: New states of other processes.
        running: Tokens of the other processes that are running.
        has_stale: Whether there are files of processes that have ended.
    """

    states: list[ProcessState]
    running: frozenset[str]
    has_stale: bool


class StateWriter:
    """Saves states and scans the directory in a background thread."""

    def __init__(self, directory: StateDirectory) -> None:
        self._directory = directory
        self._wake = threading.Event()
        self._lock = threading.Lock()  # guards _unsaved, _remove_stale and _stopping
        self._unsaved: ProcessState | None = None
        self._remove_stale = False
        self._stopping = False
        self._scans: queue.SimpleQueue[DirectoryScan] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=THREAD_NAME, daemon=True)
        self._thread.start()

    def save(self, state: ProcessState, remove_stale: bool = False) -> None:
        """Schedule a state to be saved; it replaces one that has not been saved yet.

        Args:
            state: The state of this process.
            remove_stale: Whether to remove stale files afterwards. The state must include their content.
        """
        with self._lock:
            self._unsaved = state
            self._remove_stale = self._remove_stale or remove_stale
        self._wake.set()

    def scans(self) -> Iterator[DirectoryScan]:
        """Yield the scans since the last call of this method, only those that found a change."""
        while not self._scans.empty():
            yield self._scans.get()

    def _run(self) -> None:
        last_running: frozenset[str] | None = None
        stopping = False
        while not stopping:
            self._wake.wait(SCAN_INTERVAL_S)
            self._wake.clear()
            with self._lock:
                stopping = self._stopping
                unsaved = self._unsaved
                remove_stale = self._remove_stale
                self._unsaved = None
                self._remove_stale = False
            try:
                scan = self._save_and_scan(unsaved, remove_stale)
            except Exception:  # a faulty file in the directory must not end the thread
                log.exception("state directory scan failed")
                continue
            if scan.states or scan.has_stale or scan.running != last_running:
                last_running = scan.running
                self._scans.put(scan)

    def _save_and_scan(self, unsaved: ProcessState | None, remove_stale: bool) -> DirectoryScan:
        if unsaved is not None:
            self._directory.save(unsaved)
        if remove_stale:
            self._directory.remove_stale()
        states = self._directory.scan()
        running = frozenset(process.token for process in self._directory.running_processes())
        return DirectoryScan(states, running, has_stale=len(self._directory.processes) > len(running))

    def close(self, state: ProcessState) -> None:
        """Save the final state and stop; waits up to `CLOSE_TIMEOUT_S` for the thread."""
        with self._lock:
            self._unsaved = state
            self._stopping = True
        self._wake.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            self._directory.close()
