"""Shuts the process down after SIGTERM, with a final answer for every request that it has accepted.

`ping` reports an unhealthy process at once; new connections and requests are served for a grace period. Then
the listening sockets are closed, and each client connection is closed in an orderly way as soon as it has
nothing in flight. Requests still open shortly before a possible SIGKILL get their final answer at that time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lilacfront.config import Config
from lilacfront.operations.drain import shutdown_deadlines
from lilacfront.sched import Task

if TYPE_CHECKING:
    from lilacfront.server.server import Server

GRACE_PERIOD_S = 0.8  # after this time clients are routed to other front ends
# SIGKILL follows SIGTERM no sooner than this delay plus the longest request deadline; a deadline counts only
# up to the bounds below.
KILL_DELAY_S = 0.7
MAX_KILL_DEADLINE_S = 3.0
MAX_KILL_DEADLINE_WITH_SUCCESSOR_S = 5.0
KILL_MARGIN_S = 0.2  # requests still open this long before SIGKILL get their final answer
CHECK_INTERVAL_S = 0.02


class GracefulShutdown:
    """The shutdown of one server; `begin` starts it, and further calls have no effect."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._grace_end = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._grace_end < math.inf

    def begin(self) -> None:
        """Start the shutdown; if another process takes over, this one stops accepting clients."""
        if self.has_begun:
            return
        server = self._server
        began_at = server.loop.clock()
        self._grace_end = began_at + GRACE_PERIOD_S
        kill_with_successor_s = _kill_after_s(server.config, MAX_KILL_DEADLINE_WITH_SUCCESSOR_S)
        kill_alone_s = _kill_after_s(server.config, MAX_KILL_DEADLINE_S)
        deadlines_alone = shutdown_deadlines(GRACE_PERIOD_S, kill_alone_s - KILL_MARGIN_S)
        is_handed_over = server.operations.begin_shutdown(kill_with_successor_s, deadlines_alone)
        if server.membership is not None:
            if is_handed_over:
                server.membership.stop()
            else:
                server.membership.leave()
        kill_after_s = kill_with_successor_s if is_handed_over else kill_alone_s
        server.loop.spawn(self._run, began_at + kill_after_s - KILL_MARGIN_S)

    def _run(self, task: Task, deadline: float) -> None:
        server = self._server
        server.loop.sleep(task, self._grace_end)
        server.clients.close()
        # Clients may read slowly, so each connection is closed in an orderly way before the process exits.
        # Exiting with unread input would reset the connection, and the client would lose the last answers.
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
            or server.loop.send_budget.unflushed_streams
            or server.upstream.send_budget.unflushed_streams
            or server.clients.have_connections
            or server.platform_frontend.transfers.is_pending
            or server.platform_frontend.keys.is_pending
        )


def _kill_after_s(config: Config, max_deadline_s: float) -> float:
    longest_deadline_s = max(request_class.deadline_us for request_class in config.policy.classes) / 1e6
    return KILL_DELAY_S + min(longest_deadline_s, max_deadline_s)
