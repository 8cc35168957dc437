"""Returns memory that the C library keeps free to the system."""

from __future__ import annotations

import ctypes

from lilacfront.sched import Loop, Task

RELEASE_INTERVAL_S = 5.0  # each release takes half a millisecond


def release_free_memory() -> None:
    """Make the C library return free pages to the system.

    The saved stacks of waiting tasks have many sizes and are allocated and freed with connections. This
    fragments the heap, which would grow by megabytes over days.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def run_memory_release(task: Task, loop: Loop) -> None:
    """Release free memory periodically, in a task of its own, for as long as the process runs."""
    while True:
        loop.sleep(task, loop.now + RELEASE_INTERVAL_S)
        release_free_memory()
