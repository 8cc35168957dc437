"""The front end for clients of the ClickHouse HTTP interface. Routing decisions are made elsewhere."""

from __future__ import annotations

import socket

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.model import Upstream
from lilacfront.core.statement_class import StatementClassifier
from lilacfront.frontends.clickhouse_connection import ClickHouseConnection
from lilacfront.frontends.clickhouse_services import BodyBudget, ClickHouseServices
from lilacfront.frontends.listener import ClientSlot, Listener
from lilacfront.frontends.process_state import HealthSource
from lilacfront.sched import Loop

# Limit for the answers queued for a client; the maximum size of a request body is added to it.
# `StreamedResult` stops reading a result long before this limit.
MAX_QUEUED_BYTES = 1 << 20


class ClickHouseFrontend:
    """Serves all connections of one listening address."""

    def __init__(
        self,
        loop: Loop,
        dispatcher: RequestDispatcher,
        upstream: Upstream,
        classifier: StatementClassifier,
        max_body_bytes: int,
        max_bodies_bytes: int,
        health: HealthSource,
    ) -> None:
        self._max_bodies_bytes = max_bodies_bytes
        bodies = BodyBudget(max_body_bytes, max_bodies_bytes)
        self._services = ClickHouseServices(loop, dispatcher, upstream, classifier, bodies, health)

    @property
    def used_body_bytes(self) -> int:
        """Memory that is counted for requests and their bodies, in bytes."""
        return self._max_bodies_bytes - self._services.bodies.available_bytes

    def set_max_bodies(self, max_bodies_bytes: int) -> None:
        """Set the limit for the bodies of all requests together."""
        bodies = self._services.bodies
        bodies.available_bytes += max_bodies_bytes - self._max_bodies_bytes
        self._max_bodies_bytes = max_bodies_bytes

    def listen(
        self, address: tuple[str, int], max_connections: int, passed_socket: socket.socket | None = None
    ) -> Listener:
        """Accept connections at an address, or on a listening socket passed by another process.

        Raises:
            OSError: The address can't be used.
        """
        max_queued_bytes = MAX_QUEUED_BYTES + self._services.bodies.max_body_bytes
        return Listener(
            self._services.loop, address, max_connections, max_queued_bytes, self._accept, passed_socket
        )

    def _accept(self, slot: ClientSlot) -> None:
        self._services.loop.spawn_client(ClickHouseConnection(self._services, slot).run)
