"""Overlays suspensions by operators on the endpoint list. No I/O.

A suspended warehouse is passed to the request router as draining: it gets no new requests, running requests
finish, and it is not treated as faulty. It stays draining until it is restored, even if the endpoint list
reports it as ready. A restored warehouse is passed on with the time of the restoration as its start time,
unless the list reports a start after the suspension. Operators restart warehouses during maintenance, and a
warehouse that is not warmed up would be overloaded.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lilacfront.decisions.events import Endpoint, EndpointList, EndpointState, ListScope


@dataclass(slots=True, frozen=True)
class _Restoration:
    """Start and end of a suspension that has ended, as Unix times in microseconds."""

    suspended_at_us: int
    restored_at_us: int


class Maintenance:
    """The suspended and restored engines, by number. Times are Unix times in microseconds."""

    def __init__(self) -> None:
        self._listed: dict[int, Endpoint] = {}  # as received, before the overlay is applied
        self._suspended_at_us: dict[int, int] = {}
        self._restored: dict[int, _Restoration] = {}

    @property
    def suspended(self) -> frozenset[int]:
        """The numbers of the suspended engines."""
        return frozenset(self._suspended_at_us)

    def apply(self, update: EndpointList) -> EndpointList:
        """Record an update of the endpoint list; returns it with suspensions and restorations applied."""
        if update.scope is not ListScope.DELTA:
            self._listed = {}
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self._listed.pop(endpoint.engine, None)
            else:
                self._listed[endpoint.engine] = endpoint
        if not self._suspended_at_us and not self._restored:
            return update
        return replace(update, endpoints=tuple(self._overlay(endpoint) for endpoint in update.endpoints))

    def suspend(self, engine: int, at_us: int) -> EndpointList | None:
        """Suspend an engine; returns an update of its endpoint.

        Returns None if the engine is not listed, or is already suspended since another time.
        """
        self._restored.pop(engine, None)
        if self._suspended_at_us.setdefault(engine, at_us) != at_us:
            return None
        return self._endpoint_update(engine)

    def restore(self, engine: int, suspended_at_us: int, at_us: int) -> EndpointList | None:
        """Restore an engine; returns an update of its endpoint, or None if it is not listed."""
        self._suspended_at_us.pop(engine, None)
        self._restored[engine] = _Restoration(suspended_at_us, at_us)
        return self._endpoint_update(engine)

    def forget(self, engine: int) -> None:
        """Forget the restoration of an engine."""
        self._restored.pop(engine, None)

    def _endpoint_update(self, engine: int) -> EndpointList | None:
        endpoint = self._listed.get(engine)
        if endpoint is None:
            return None
        return EndpointList(ListScope.DELTA, (self._overlay(endpoint),))

    def _overlay(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.engine in self._suspended_at_us and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        restoration = self._restored.get(endpoint.engine)
        if (
            restoration is not None
            and restoration.restored_at_us
            and endpoint.started_us < restoration.suspended_at_us
        ):
            return replace(endpoint, started_us=restoration.restored_at_us)
        return endpoint
