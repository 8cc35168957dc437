"""SIGTERM: the end of the process, with a final answer for everything that it has accepted.

`ping` answers "not good" at once; new connections and requests are served for a grace period. Then nothing
new is accepted, and each client's connection is closed in order as soon as it has nothing in flight. What is
still open shortly before SIGKILL may come is answered then.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lilacfront.config import Config
from lilacfront.operations.drain import shutdown_deadlines
from lilacfront.sched import Task

if TYPE_CHECKING:
    from lilacfront.server.server import Server

GRACE_PERIOD_S = 0.8  # clients are sent elsewhere within this
# SIGKILL comes no sooner than this, and the longest deadline up to a bound, after SIGTERM.
KILL_DELAY_S = 0.7
MAX_KILL_DEADLINE_S = 3.0
MAX_KILL_DEADLINE_WITH_SUCCESSOR_S = 5.0
KILL_MARGIN_S = 0.2  # before SIGKILL, when what is still open gets its final answer
CHECK_INTERVAL_S = 0.02


class GracefulShutdown:
    """The shutdown of one server; `begin` is called once or more, the rest happens by itself."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._grace_end = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether SIGTERM has come."""
        return self._grace_end < math.inf

    def begin(self) -> None:
        """Begin to shut down; where another process takes over, this one accepts no more clients."""
        if self.has_begun:
            return
        server = self._server
        began = server.loop.clock()
        self._grace_end = began + GRACE_PERIOD_S
        kill_with_successor_s = _kill_after_s(server.config, MAX_KILL_DEADLINE_WITH_SUCCESSOR_S)
        kill_alone_s = _kill_after_s(server.config, MAX_KILL_DEADLINE_S)
        drain_alone = shutdown_deadlines(GRACE_PERIOD_S, kill_alone_s - KILL_MARGIN_S)
        is_handed_over = server.operations.begin_shutdown(kill_with_successor_s, drain_alone)
        if server.membership is not None:
            if is_handed_over:
                server.membership.stop()
            else:
                server.membership.leave()
        kill_after_s = kill_with_successor_s if is_handed_over else kill_alone_s
        server.loop.spawn(self._run, began + kill_after_s - KILL_MARGIN_S)

    def _run(self, task: Task, deadline: float) -> None:
        server = self._server
        server.loop.sleep(task, self._grace_end)
        server.clients.close()
        # An answer counts once its client has it, and a client may read slowly. Each connection is closed in
        # order before the process ends: its end would turn unread bytes into a reset, which takes the last
        # answers along.
        while self._has_open_work():
            server.loop.sleep(task, server.loop.now + CHECK_INTERVAL_S)
            if server.loop.now < deadline:
                continue
            server.dispatcher.expire_all()
            server.platform_frontend.fail_transferred()
            if server.loop.now >= deadline + KILL_MARGIN_S / 2:
                break
        server.loop.stop()

    def _has_open_work(self) -> bool:
        server = self._server
        return bool(
            server.dispatcher.in_flight_count
            or server.loop.unflushed_streams
            or server.clients.have_connections
            or server.platform_frontend.transfers.is_pending
        )


def _kill_after_s(config: Config, max_deadline_s: float) -> float:
    longest_deadline_s = max(request_class.deadline_us for request_class in config.policy.classes) / 1e6
    return KILL_DELAY_S + min(longest_deadline_s, max_deadline_s)
