"""A lock file that shows whether its process is running.

The kernel releases the lock when the process ends, even after a crash.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class ProcessLock:
    """The exclusive lock of this process, acquired by the constructor."""

    def __init__(self, path: Path, temporary: Path) -> None:
        """Create and lock the file under a temporary name, then rename it to `path`.

        Other processes therefore never see the lock file of a running process unlocked.

        Raises:
            OSError: The file can't be created, locked or renamed.
        """
        self._path = path
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
        self._descriptor = os.open(temporary, flags, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            temporary.rename(path)
        except OSError:
            os.close(self._descriptor)
            raise

    def close(self) -> None:
        """Release the lock as the end of the process would, and keep the file."""
        os.close(self._descriptor)

    def release(self) -> None:
        """Remove the file and release the lock."""
        with contextlib.suppress(OSError):
            self._path.unlink()
        self.close()


def is_lock_held(path: Path) -> bool:
    """Return whether the owner of this lock file is running; False if the file can't be opened."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return True
    finally:
        os.close(descriptor)
    return False
