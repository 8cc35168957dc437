"""Keeps the memory that the C library holds close to the memory that the program uses."""

from __future__ import annotations

import ctypes
import mmap
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from lilacfront.logs import Log
from lilacfront.sched import Loop, Task

log = Log(__name__)
RELEASE_INTERVAL_S = 5.0  # each release takes half a millisecond
# Parameters of mallopt, from glibc's malloc.h.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Larger buffers get pages of their own, which return to the system when they are freed. On the heap, a small
# block behind a freed buffer would keep its pages.
MMAP_THRESHOLD_BYTES = 32 << 10
TRIM_THRESHOLD_BYTES = 1 << 20
STATM_FILE = Path("/proc/self/statm")
RESIDENT_COLUMN = 1


class _Mallinfo2(ctypes.Structure):
    """The result of glibc's mallinfo2; all sizes are in bytes."""

    _fields_ = [
        (name, ctypes.c_size_t)
        for name in (
            "arena",
            "ordblks",
            "smblks",
            "hblks",
            "hblkhd",
            "usmblks",
            "fsmblks",
            "uordblks",
            "fordblks",
            "keepcost",
        )
    ]


@dataclass(slots=True, frozen=True)
class MemoryUse:
    """Where the memory of the process is; sizes in bytes, 0 where the system does not tell.

    Attributes:
        resident_bytes: Memory that the system counts for the process.
        heap_used_bytes: Blocks of the C library's heap that are in use.
        heap_free_bytes: Freed blocks of the heap that have not been returned to the system.
        mapped_bytes: Buffers with pages of their own.
    """

    resident_bytes: int
    heap_used_bytes: int
    heap_free_bytes: int
    mapped_bytes: int


def measure_memory() -> MemoryUse:
    """Return where the memory of the process is."""
    try:
        resident_bytes = int(STATM_FILE.read_text().split()[RESIDENT_COLUMN]) * mmap.PAGESIZE
    except OSError:
        resident_bytes = 0
    mallinfo2 = getattr(ctypes.CDLL(None), "mallinfo2", None)
    if mallinfo2 is None:
        return MemoryUse(resident_bytes, 0, 0, 0)
    mallinfo2.restype = _Mallinfo2
    info = mallinfo2()
    return MemoryUse(resident_bytes, info.uordblks, info.fordblks, info.hblkhd)


def configure_allocator() -> None:
    """Give large buffers pages of their own; without glibc this does nothing."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return
    mallopt(M_ARENA_MAX, 1)
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def release_free_memory() -> None:
    """Make the C library return free pages to the operating system.

    The saved stacks of waiting tasks have many sizes and are allocated and freed with connections. This
    fragments the heap, which would grow by megabytes over days.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def run_memory_release(task: Task, loop: Loop, client_bytes: Callable[[], dict[str, int]]) -> None:
    """Release free memory and log its use periodically, for as long as the process runs.

    Args:
        task: The task that this runs in.
        loop: The loop of the task.
        client_bytes: Returns the memory that clients hold, in bytes, by its kind.
    """
    while True:
        loop.sleep(task, loop.now + RELEASE_INTERVAL_S)
        release_free_memory()
        use = measure_memory()
        log.info(
            "memory",
            resident_bytes=use.resident_bytes,
            heap_used_bytes=use.heap_used_bytes,
            heap_free_bytes=use.heap_free_bytes,
            mapped_bytes=use.mapped_bytes,
            **client_bytes(),
        )
