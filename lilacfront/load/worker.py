"""A worker process: sends its share of the requests and reports to the parent process over a pipe."""

from __future__ import annotations

import gc
import os
import signal
import time
from collections.abc import Iterator
from itertools import chain, islice
from multiprocessing.connection import Connection
from pathlib import Path
from select import POLLIN

import msgspec

from lilacfront.load.codecs import codec_factory
from lilacfront.load.plan import Plan, parse_address
from lilacfront.load.recorder import Recorder
from lilacfront.load.schedule import ScheduledRequest, schedule
from lilacfront.load.sender import Sender
from lilacfront.sched import Loop, Task

PROGRESS_INTERVAL_S = 0.5
# The last part of each wait that is spent in a busy loop. Since most waits are shorter, the worker rarely
# sleeps: a sleeping core wakes up to 3 ms late.
BUSY_WAIT_S = 0.005
STOP_GRACE_S = 2.0  # how long open requests may take to end after a stop
MAX_TURN_S = 0.05  # the longest turn of the event loop, so that the end of the run is noticed
MAX_MEMORY_SAMPLES = 4096  # at this count every other sample is dropped and the interval is doubled
GC_THRESHOLD_OBJECTS = 20_000  # allocations before a collection of the youngest generation
GC_THRESHOLD_GENERATIONS = 20  # collections of a generation before one of the next older generation
PAGE_SIZE_KB = os.sysconf("SC_PAGESIZE") // 1024
READY = b"ready"


class WorkerStart(msgspec.Struct):
    """The parameters that the parent process passes to a worker.

    Attributes:
        folder: The directory of the plan.
        run: Eight hex digits in the ids of all requests of this run, to tell them from those of other runs.
        rank: The index of the worker, from 0.
        workers: The number of workers.
        out: The path of the file for the worker's measurements by second.
    """

    plan: Plan
    folder: str
    run: str
    rank: int
    workers: int
    out: str


class Progress(msgspec.Struct, tag=True):
    """The counts of requests so far, of one worker or of all.

    Attributes:
        sent: Requests that were started.
        open: Requests without a final outcome.
        outcomes: The number of requests by final outcome.
    """

    sent: int
    open: int
    outcomes: dict[str, int]


def resident_memory_kb() -> int:
    """Returns the resident memory of this process in KiB."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE_SIZE_KB


def run_worker(pipe: Connection, encoded_start: bytes) -> None:
    """The entry point of a worker process: runs its share of the plan and sends the result to the parent."""
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.SIG_IGN)  # the parent handles signals and sends a stop message
    start = msgspec.msgpack.decode(encoded_start, type=WorkerStart)
    with Path(start.out).open("wb") as out:
        recorder = Recorder(out, start.plan.max_timeout_s)
        _Worker(pipe, start, recorder).run()


class _Worker:
    def __init__(self, pipe: Connection, start: WorkerStart, recorder: Recorder) -> None:
        self._pipe = pipe
        self._start = start
        self._recorder = recorder
        self._loop = Loop(time.monotonic, BUSY_WAIT_S)
        self._memory_kb: list[int] = []
        self._parent_exited = False
        plan = start.plan
        connections = plan.connections // start.workers + (start.rank < plan.connections % start.workers)
        addresses = [parse_address(address, "target.addresses") for address in plan.target.addresses]
        codecs = codec_factory(plan, start.run)
        self._sender = Sender(self._loop, plan, connections, addresses, codecs, recorder, start.rank)

    def run(self) -> None:
        requests = self._requests()
        self._pipe.send_bytes(READY)
        start_time = float(self._pipe.recv_bytes())
        self._loop.watch(self._pipe.fileno(), POLLIN, self._on_message)
        _tune_garbage_collection()
        self._sender.run(requests, start_time)
        self._loop.spawn(self._report)
        self._run_until_done()
        if not self._parent_exited:
            measured = self._recorder.close(self._start.rank, self._memory_kb, self._sender.now())
            self._pipe.send_bytes(msgspec.msgpack.encode(measured))

    def _requests(self) -> Iterator[ScheduledRequest]:
        start = self._start
        requests = schedule(start.plan, Path(start.folder), start.rank, start.workers)
        # Generates the first block before the start: the block takes long enough to delay the first requests.
        return chain(list(islice(requests, 1)), requests)

    def _run_until_done(self) -> None:
        stopped_at = None
        while not self._sender.done:
            self._loop.turn(MAX_TURN_S)
            if self._sender.stopped:
                stopped_at = stopped_at or self._loop.now
                if self._loop.now > stopped_at + STOP_GRACE_S:
                    self._sender.abandon()

    def _on_message(self, _: int) -> None:
        """Stops on a message of the parent; if the parent has exited, also abandons the open requests."""
        try:
            self._pipe.recv_bytes()
        except EOFError:
            self._parent_exited = True
        self._loop.unwatch(self._pipe.fileno())
        self._sender.stop()
        if self._parent_exited:
            self._sender.abandon()

    def _report(self, task: Task) -> None:
        """Sends progress and samples the memory use until the run ends; runs as a task."""
        reports_per_sample = 1
        reports = 0
        while not self._sender.done:
            self._loop.sleep(task, self._loop.now + PROGRESS_INTERVAL_S)
            reports += 1
            if reports % reports_per_sample == 0:
                self._memory_kb.append(resident_memory_kb())
                if len(self._memory_kb) >= MAX_MEMORY_SAMPLES:
                    del self._memory_kb[::2]
                    reports_per_sample *= 2
            counts = self._recorder.outcome_counts
            progress = Progress(self._recorder.counters.sent, len(self._sender.open_requests), counts)
            self._pipe.send_bytes(msgspec.msgpack.encode(progress))


def _tune_garbage_collection() -> None:
    """Makes garbage collection rare: a collection during a burst would add to the schedule lag."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, GC_THRESHOLD_GENERATIONS, GC_THRESHOLD_GENERATIONS)
