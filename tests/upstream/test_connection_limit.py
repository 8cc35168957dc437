"""Connection limit of a front end with more warehouses than connections."""

from __future__ import annotations

import socket

from play import Clock

from lilacfront.core.model import EngineAddress
from lilacfront.sched import Loop
from lilacfront.upstream.resp import RespUpstream

GATEWAY_COUNT = 1024
WAREHOUSE_COUNT = 9
MAX_CONNECTIONS = 3
TURNS_TO_CONNECT = 20


def test_idle_connections_are_closed_so_that_all_warehouses_are_reached() -> None:
    """At the limit an idle connection is closed for a new one; if all are busy, there is no new one."""
    loop = Loop(Clock())
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(WAREHOUSE_COUNT)]
    upstream = RespUpstream(loop, (b"lookup",), 32, 1, 30, MAX_CONNECTIONS, GATEWAY_COUNT)
    for cycle in range(3):
        for number, listener in enumerate(listeners):
            connection = upstream._acquire(EngineAddress(number, listener.getsockname()), b"%d" % cycle)
            assert connection is not None
            for _ in range(TURNS_TO_CONNECT):
                loop.turn(0)
            assert connection.stream is not None
            assert upstream._connection_count <= MAX_CONNECTIONS
    busy_pools = list(upstream._pools.values())
    for (connection,) in busy_pools:
        connection.waiting_attempts += 1
    assert upstream._acquire(EngineAddress(99, ("127.0.0.1", 9)), b"x") is None
    for (connection,) in busy_pools:
        connection.close()
    assert upstream._connection_count == 0
    assert not upstream._pools
    for listener in listeners:
        listener.close()
    loop.close()
