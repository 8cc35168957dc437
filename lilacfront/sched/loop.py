"""An event loop of greenlets over select.poll.

Every wait has a deadline and ends early when its task is interrupted. The return value of a wait says how it
ended; a timeout raises no exception. Times are in seconds on the clock of `Loop.now`. By default that clock
is the monotonic clock plus a constant offset, which makes it equal to the Unix time at the start of the
loop. It never jumps, and its times can be compared with the clocks of other machines.
"""

from __future__ import annotations

import contextlib
import heapq
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from itertools import count
from typing import Any, Final

import greenlet

from lilacfront.logs import Log
from lilacfront.sched.send_budget import SendBudget

log = Log(__name__)
# Timers of ended waits stay in the heap. It is rebuilt without them when they outnumber the active timers by
# more than this.
MAX_STALE_TIMERS = 256
# The longest time that one poll may block, so that a lost wake-up can't stall the program.
MAX_POLL_S = 1.0
# The default limit of the bytes queued on all streams together.
MAX_QUEUED_BYTES = 32 << 20
# The longest time for which the tasks of clients run in one turn, before timers, flushes and new events.
CLIENT_TURN_S = 0.002
# The longest time for which the task of one client runs before those of the others get their turn.
CLIENT_STEP_S = 0.0005
WAKEUP_READ_BYTES = 4096
READ_BYTES = 65536  # the most bytes of one read from a socket
# The most bytes of one read that may hold many small messages, which take many times as much once parsed.
SMALL_READ_BYTES = 4096


class Wait(Enum):
    """How a wait ended if the task was not woken with a value."""

    TIMED_OUT = "timed out"
    INTERRUPTED = "interrupted"


TimedOut: Final = Wait.TIMED_OUT
Interrupted: Final = Wait.INTERRUPTED


class Task:
    """A function that a loop runs in its own greenlet.

    Attributes:
        loop: The loop that runs the task.
        interrupted: Whether the task has been interrupted and has not called `clear_interruption` since.
        wait_ticket: The unique number of the current wait; 0 if the task is not waiting.
        is_client: Whether the task reads from a client; see `Loop.spawn_client`.
        step_began_at: Time at which the task was last resumed, in seconds; only of client tasks.
    """

    __slots__ = ("_greenlet", "interrupted", "is_client", "loop", "step_began_at", "wait_ticket")

    def __init__(
        self, loop: Loop, run: Callable[..., None], args: tuple[Any, ...], is_client: bool = False
    ) -> None:
        self.loop = loop
        self.is_client = is_client
        self.step_began_at = 0.0
        self.interrupted = False
        self.wait_ticket = 0
        self._greenlet = greenlet.greenlet(lambda _: self._run(run, args), loop.hub)

    def _run(self, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            run(self, *args)
        except Exception:
            # An exception in the task of one connection or request must not end the other tasks.
            log.exception("a task failed")

    def interrupt(self) -> None:
        """End the current wait of the task and every later one, until `clear_interruption` is called."""
        self.interrupted = True
        self.wake(Interrupted)

    def clear_interruption(self) -> None:
        """Clear the interruption, so that it does not end later waits."""
        self.interrupted = False

    def wake(self, value: object, ticket: int | None = None) -> None:
        """End the current wait with a value; does nothing if the task is not waiting.

        Args:
            value: The return value of the wait.
            ticket: The ticket of the wait to end; a wait with another ticket is not ended. None ends
                any wait.
        """
        if self.wait_ticket and ticket in (None, self.wait_ticket):
            self.wait_ticket = 0
            self.loop.make_ready(self, value)

    def resume(self, value: object) -> None:
        """Run the task until its next wait. Only the loop may call this."""
        self._greenlet.switch(value)


class Loop:
    """An event loop that runs tasks, timers and descriptor callbacks until it is stopped.

    There is one loop per process, and all methods must be called in its thread.

    Attributes:
        hub: The greenlet of the loop itself.
        now: The time of the current turn, in seconds.
        poll_count: Number of polls so far.
        polled_at: Time of the last poll, in seconds.
        previous_poll_at: Time of the poll before, in seconds.
        ready: The tasks to run next, each with the return value of its wait.
        client_ready: The tasks of clients to run next, each with the return value of its wait. They take
            turns, after all tasks in `ready`, for up to `CLIENT_TURN_S` in each turn of the loop.
        pending_flushes: The flushes to call at the end of this turn, in the order of insertion.
        send_budget: Limits the bytes queued on all streams that have no other budget.
        stopping: Whether the loop ends after this turn.
        wakeup_socket: A byte that any thread writes to this socket wakes the loop.
    """

    def __init__(self, clock: Callable[[], float] | None = None, spin_s: float = 0.0) -> None:
        """Make a loop.

        Args:
            clock: Returns the time in seconds.
            spin_s: How long before a timer the loop stops blocking in poll and busy-waits, in seconds. The
                timeout of poll is in whole milliseconds, so poll returns up to a millisecond late. A process
                that needs a more precise schedule and has a core for itself sets 1 or 2 ms.
        """
        self.spin_s = spin_s
        self.hub = greenlet.getcurrent()
        offset = time.time() - time.monotonic()
        self._clock = clock or (lambda: time.monotonic() + offset)
        self.now = self._clock()
        self.poll_count = 0
        self.polled_at = self.now
        self.previous_poll_at = self.now
        self.ready: deque[tuple[Task, object]] = deque()
        self.client_ready: deque[tuple[Task, object]] = deque()
        self.pending_flushes: dict[Callable[[], None], None] = {}
        self.send_budget = SendBudget(MAX_QUEUED_BYTES)
        self._poll = select.poll()
        self._watched: dict[int, Callable[[int], None]] = {}
        # A heap of times and tickets; a ticket whose wait has ended has no entry in `_timer_targets`.
        self._timers: list[tuple[float, int]] = []
        self._timer_targets: dict[int, Callable[[], None] | Task] = {}
        self._tickets = count(1)
        self.stopping = False
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        self._wakeup_receiver, self.wakeup_socket = socket.socketpair()
        for end in (self._wakeup_receiver, self.wakeup_socket):
            end.setblocking(False)
        self.watch(self._wakeup_receiver.fileno(), select.POLLIN, lambda _: self._discard_wakeup_bytes())

    def _discard_wakeup_bytes(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while self._wakeup_receiver.recv(WAKEUP_READ_BYTES):
                pass

    def read_clock(self) -> float:
        """Return the time now, which is later than `now` within a turn, in seconds."""
        return self._clock()

    def clock(self) -> float:
        """Update `now` from the clock and return it."""
        self.now = self._clock()
        return self.now

    def receive(self, sock: socket.socket, max_bytes: int = READ_BYTES) -> bytes:
        """Read up to `max_bytes` from a non-blocking socket; b"" if the connection has ended.

        All sockets share one buffer, so that the memory of a read is that of the received bytes.

        Raises:
            BlockingIOError: There is nothing to read.
            OSError: The connection has failed.
        """
        size = sock.recv_into(self._read_buffer, max_bytes)
        return bytes(self._read_buffer[:size])

    def spawn(self, run: Callable[..., None], *args: Any) -> Task:
        """Create a task that runs `run(task, *args)`.

        It starts within this turn, or in the next one if it is created by a flush or between two turns.
        """
        task = Task(self, run, args)
        self.make_ready(task, None)
        return task

    def spawn_client(self, run: Callable[..., None], *args: Any) -> Task:
        """Create a task that reads from a client and runs `run(task, *args)`.

        What such a task has to do is up to its client. So these tasks take turns, and call `share_turn` after
        each message.
        """
        task = Task(self, run, args, is_client=True)
        self.make_ready(task, None)
        return task

    def make_ready(self, task: Task, value: object) -> None:
        """Let a task run in this turn or one of the next; its wait returns `value`."""
        (self.client_ready if task.is_client else self.ready).append((task, value))

    def share_turn(self, task: Task) -> None:
        """Let others run first if the task of a client has used up its step or made other tasks ready."""
        if task.is_client and (self.ready or self._clock() >= task.step_began_at + CLIENT_STEP_S):
            self.client_ready.append((task, None))
            self.hub.switch()

    def wait(self, task: Task, until: float, before_suspend: Callable[[int], None] | None = None) -> object:
        """Suspend the running task until it is woken or interrupted, or a time is reached.

        Args:
            task: The running task.
            until: The deadline, in seconds.
            before_suspend: Called with the ticket of the wait before the task is suspended.

        Returns:
            The value that the task was woken with, or how the wait ended without one.
        """
        if task.interrupted:
            return Interrupted
        if until <= self.now:
            return TimedOut
        ticket = next(self._tickets)
        task.wait_ticket = ticket
        if before_suspend is not None:
            before_suspend(ticket)
        heapq.heappush(self._timers, (until, ticket))
        self._timer_targets[ticket] = task
        woken = self.hub.switch()
        # Without this, the task and timer of a wait that ended early would stay in memory until the deadline.
        if (
            self._timer_targets.pop(ticket, None) is not None
            and len(self._timers) > 2 * len(self._timer_targets) + MAX_STALE_TIMERS
        ):
            self._timers = [timer for timer in self._timers if timer[1] in self._timer_targets]
            heapq.heapify(self._timers)
        return woken

    def sleep(self, task: Task, until: float) -> Wait:
        """Suspend the running task until a time is reached or it is interrupted."""
        self.wait(task, until)
        return Interrupted if task.interrupted else TimedOut

    def yield_turn(self, task: Task) -> None:
        """Suspend the running task until the next turn, so that other tasks and events get theirs."""
        ticket = next(self._tickets)
        task.wait_ticket = ticket
        self.call_at(self.now, lambda: task.wake(None, ticket))
        self.hub.switch()

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Call a function once at the given time, in seconds."""
        ticket = next(self._tickets)
        heapq.heappush(self._timers, (when, ticket))
        self._timer_targets[ticket] = call

    def watch(self, fd: int, events: int, call: Callable[[int], None]) -> None:
        """Call a function with the poll events of a descriptor whenever there are any.

        This replaces an earlier watch of the descriptor.
        """
        self._watched[fd] = call
        self._poll.register(fd, events)

    def unwatch(self, fd: int) -> None:
        """End the watch of a descriptor, if there is one."""
        if self._watched.pop(fd, None) is not None:
            self._poll.unregister(fd)

    def stop(self) -> None:
        """Let `run` return after this turn."""
        self.stopping = True

    def close(self) -> None:
        """Close the loop's own sockets."""
        for end in (self._wakeup_receiver, self.wakeup_socket):
            end.close()

    def run(self) -> None:
        """Run turns until `stop` is called."""
        while not self.stopping:
            self.turn(MAX_POLL_S)

    def next_timer_at(self) -> float | None:
        """The time of the earliest active timer, in seconds; None if there is none."""
        while self._timers and self._timers[0][1] not in self._timer_targets:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def turn(self, max_wait_s: float) -> None:
        """Wait up to `max_wait_s` for an event or a timer, then run all callbacks, tasks and flushes."""
        timeout_s = self._poll_timeout_s(max_wait_s)
        # Without `spin_s` the timeout is rounded up, so that the timer has expired when poll returns. With
        # `spin_s` it is rounded down, so that poll returns before the timer expires.
        timeout_ms = max(0, int((timeout_s - self.spin_s) * 1000)) + (timeout_s > 0 and not self.spin_s)
        events = self._poll.poll(timeout_ms)
        self.poll_count += 1
        self.previous_poll_at = self.polled_at
        self.polled_at = self.clock()
        for fd, mask in events:
            # An earlier callback of this turn may have ended the watch.
            call = self._watched.get(fd)
            if call is not None:
                self._call_safely(call, mask)
        if self._timers and self._timers[0][0] <= self.now:
            self._fire_timers()
        self._run_ready_tasks()
        while self.pending_flushes:
            flushes = self.pending_flushes
            self.pending_flushes = {}
            for flush in flushes:
                self._call_safely(flush)

    def _run_ready_tasks(self) -> None:
        client_time_s = 0.0
        while True:
            while self.ready:
                task, value = self.ready.popleft()
                task.resume(value)
            if not self.client_ready or client_time_s >= CLIENT_TURN_S:
                return
            task, value = self.client_ready.popleft()
            task.step_began_at = self._clock()
            task.resume(value)
            client_time_s += self._clock() - task.step_began_at

    def _poll_timeout_s(self, max_wait_s: float) -> float:
        if self.ready or self.client_ready or self.pending_flushes:
            return 0.0
        timer_at = self.next_timer_at()
        if timer_at is not None:
            return min(max_wait_s, max(0.0, timer_at - self.clock()))
        return max_wait_s

    def _fire_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            ticket = heapq.heappop(self._timers)[1]
            target = self._timer_targets.pop(ticket, None)
            if isinstance(target, Task):
                target.wake(TimedOut, ticket)
            elif target is not None:
                self._call_safely(target)

    def _call_safely(self, call: Callable[..., None], *args: Any) -> None:
        try:
            call(*args)
        except Exception:
            # An exception in the callback of one connection must not end the loop for the others.
            log.exception("a call of the loop failed")
