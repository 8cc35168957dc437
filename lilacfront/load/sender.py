"""Sends one worker's share of a plan open-loop: sending never waits for answers.

The pacer starts each request at its due time and submits it to the connection pool. `retry_policy.py` decides
on retries; `recorder.py` records the outcomes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

from lilacfront.load.connection import OpenRequest
from lilacfront.load.connection_pool import Address, CodecFactory, ConnectionPool, PoolSettings
from lilacfront.load.plan import Plan
from lilacfront.load.recorder import Recorder
from lilacfront.load.retry_policy import ANSWERED, AttemptResult, Outcome, next_attempt_at
from lilacfront.load.schedule import ScheduledRequest
from lilacfront.sched import Loop, Task

CONNECT_TIMEOUT_S = 5.0
BATCH_REQUESTS = 64  # overdue requests that are started before the event loop reads answers
SWEEP_INTERVAL_S = 0.01  # the shortest time between two checks of deadlines and retries
MAX_SWEEP_INTERVAL_S = 1.0
MAX_PACER_WAIT_S = 0.25  # the longest wait of the pacer, so that it notices a stop
YIELD_S = 1e-6  # a wait that lets the event loop run once
SEED_FACTOR = 1_000_003  # separates the jitter seeds of the workers: plan seed * factor + rank


class Sender:
    """Sends the requests of one worker and records their outcomes.

    Attributes:
        start: The start of the run on the loop's clock.
        pool: The connection pool of the worker.
        open_requests: Requests that were started and have no final outcome.
        stopped: Whether `stop` was called.
    """

    def __init__(
        self,
        loop: Loop,
        plan: Plan,
        connections: int,
        addresses: list[Address],
        codec_factory: CodecFactory,
        recorder: Recorder,
        rank: int = 0,
    ) -> None:
        self.loop = loop
        self.plan = plan
        self.recorder = recorder
        self.start = loop.now
        self.open_requests: set[OpenRequest] = set()
        self.stopped = False
        settings = PoolSettings(
            addresses=addresses,
            max_connections=max(1, connections),
            max_waiting=plan.bounds.max_waiting,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, plan.max_timeout_s),
            first_address=rank,
        )
        self.pool = ConnectionPool(loop, settings, codec_factory, recorder.counters, self)
        self._rng = random.Random(plan.seed * SEED_FACTOR + rank)
        # Heaps ordered by time, then by request number.
        self._retries: list[tuple[float, int, OpenRequest]] = []
        self._deadlines: list[tuple[float, int, OpenRequest]] = []
        self._all_started = False

    def now(self) -> float:
        """Returns the seconds since the start, from the clock: the loop's cached time may be out of date."""
        return self.loop.clock() - self.start

    def run(self, requests: Iterable[ScheduledRequest], start: float) -> None:
        """Starts the tasks that send `requests`; `start` is the start of the run on the loop's clock."""
        self.start = start
        self.loop.spawn(self._pace, requests)
        self.loop.spawn(self._sweep)

    @property
    def done(self) -> bool:
        """Whether all requests have been started and have a final outcome."""
        return self._all_started and not self.open_requests

    def stop(self) -> None:
        """Starts no more requests and schedules no more retries.

        Open requests stay open until they end or until `abandon`.
        """
        self.stopped = True

    def abandon(self) -> None:
        """Ends the run immediately; open requests are counted as unfinished."""
        self.recorder.counters.unfinished += len(self.open_requests)
        for request in self.open_requests:
            request.finished = True
        self.open_requests.clear()

    def attempt_ended(self, request: OpenRequest, result: AttemptResult) -> None:
        """Retries the request or records its final outcome. Implements AttemptListener."""
        now = self.now()
        request.chunk = None
        if request.finished:
            return
        retry_at = None if self.stopped else self._retry_at(request, result, now)
        if retry_at is None:
            self.recorder.counters.answered += result.end in ANSWERED
            self._finish(request, result.outcome, now)
        elif retry_at <= now:
            self._submit(request)
        else:
            heapq.heappush(self._retries, (retry_at, request.scheduled.number, request))

    def _pace(self, task: Task, requests: Iterable[ScheduledRequest]) -> None:
        """Starts each request at its due time; runs as a task."""
        batch = 0
        for scheduled in requests:
            due_at = self.start + scheduled.due_s
            while self.loop.clock() < due_at and not self.stopped:
                batch = 0
                self.loop.wait(task, min(due_at, self.loop.now + MAX_PACER_WAIT_S))
            if self.stopped:
                break
            self._start_request(scheduled, self.loop.now - due_at)
            batch += 1
            if batch >= BATCH_REQUESTS:
                # If sending lags, answers must still be read, or the lag would count as the target's latency.
                batch = 0
                self.loop.wait(task, self.loop.now + YIELD_S)
        self._all_started = True

    def _sweep(self, task: Task) -> None:
        """Times out requests, sends retries and writes complete seconds; runs as a task."""
        while not self.done:
            self.loop.wait(task, self._next_sweep_at())
            now = self.now()
            while self._deadlines and self._deadlines[0][0] <= now:
                request = heapq.heappop(self._deadlines)[2]
                if not request.finished:
                    self._time_out(request)
            while self._retries and self._retries[0][0] <= now:
                request = heapq.heappop(self._retries)[2]
                if not request.finished:
                    self._submit(request)
            self.recorder.flush_complete_seconds(now)

    def _next_sweep_at(self) -> float:
        """Returns the time of the next deadline or retry, within the limits of the sweep interval.

        A virtual clock jumps to this time, so sweeping without a due deadline or retry would be wasted.
        """
        timers = [heap[0][0] for heap in (self._deadlines, self._retries) if heap]
        earliest = self.loop.now + SWEEP_INTERVAL_S
        if not timers:
            return earliest + SWEEP_INTERVAL_S
        return max(earliest, min(self.start + min(timers), earliest + MAX_SWEEP_INTERVAL_S))

    def _start_request(self, scheduled: ScheduledRequest, lag_s: float) -> None:
        self.recorder.record_start(scheduled.due_s, lag_s)
        request = OpenRequest(scheduled, scheduled.due_s + scheduled.profile.timeout_s)
        self.open_requests.add(request)
        heapq.heappush(self._deadlines, (request.deadline, scheduled.number, request))
        self._submit(request)

    def _submit(self, request: OpenRequest) -> None:
        if not self.pool.submit(request):
            self.recorder.counters.overflowed += 1
            self._finish(request, Outcome.LOST, self.now())

    def _retry_at(self, request: OpenRequest, result: AttemptResult, now: float) -> float | None:
        idempotent = request.scheduled.profile.idempotent
        client = self.plan.client
        return next_attempt_at(client, result, request.attempts, idempotent, now, request.deadline, self._rng)

    def _time_out(self, request: OpenRequest) -> None:
        self.pool.cancel(request)
        self._finish(request, Outcome.LOST, self.now())

    def _finish(self, request: OpenRequest, outcome: Outcome, now: float) -> None:
        request.finished = True
        self.open_requests.discard(request)
        scheduled = request.scheduled
        # A request without an attempt counts with its whole wait since the due time.
        sent_at = request.sent_at if request.attempts else scheduled.due_s
        self.recorder.record_outcome(scheduled.profile.class_name, outcome, scheduled.due_s, sent_at, now)
