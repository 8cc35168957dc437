"""Nothing of a request is reachable once it is answered, however long its connection stays open."""

from __future__ import annotations

import gc
from collections.abc import Callable

import pytest
from crossing_harness import PATHS, leave_idle_connections, running_harness
from play import Dialect, ThriftHttp

from lilacfront.core.in_flight import InFlightRequest
from lilacfront.core.model import Request
from lilacfront.frontends.clickhouse_request_parser import HttpRequest

REQUEST_TYPES = (Request, HttpRequest, InFlightRequest)


def reachable_requests() -> list[object]:
    """All requests that this process holds."""
    gc.collect()
    return [found for found in gc.get_objects() if isinstance(found, REQUEST_TYPES)]


# review/2: HTTP connections held the body of their last request while they were idle.
@pytest.mark.parametrize("path", [*PATHS, pytest.param(ThriftHttp, id="thrift-http")])
def test_idle_connections_hold_nothing_of_their_last_request(path: Callable[[], Dialect]) -> None:
    before = reachable_requests()
    with running_harness(path) as harness:
        leave_idle_connections(harness)
        harness.turn()
        held = [found for found in reachable_requests() if not any(found is known for known in before)]
        assert not [type(found).__name__ for found in held]
