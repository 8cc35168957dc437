"""The restored endpoint list, corrected until the change log confirms it. No I/O."""

from __future__ import annotations

from lilacfront.discovery.endpoint_list import EndpointUpdate
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.state_encoding import short_id

LIFECYCLE_READY = "ready"
LIFECYCLE_DRAINING = "draining"
_MS_PER_S = 1000.0


class RestoredEndpoints:
    """Corrections of the restored list: engines that a peer's newer list omits, and start times."""

    def __init__(self) -> None:
        self._peer_ready_ids: set[int] | None = None  # short ids; other engines are draining
        self._peer_list_seq = 0
        self._min_started_at_ms = 0.0

    @property
    def restricted(self) -> bool:
        """Whether a peer's list restricts the engines in use."""
        return self._peer_ready_ids is not None

    def restrict(self, state: DurableState, seq: int, short_ids: set[int]) -> bool:
        """Restrict the engines to those that a peer's list shows as ready.

        Returns False if the list is not newer than the restored one and the lists of other peers.
        """
        if seq <= max(state.list_seq, self._peer_list_seq):
            return False
        self._peer_list_seq = seq
        self._peer_ready_ids = short_ids
        return True

    def lift_restriction(self) -> None:
        """Remove the restriction; the change log takes precedence over the lists of peers."""
        self._peer_ready_ids = None

    def mark_restarted(self, at: float) -> None:
        """Treat all engines as started at `at` (Unix seconds) or later, so that they count as cold."""
        self._min_started_at_ms = at * _MS_PER_S

    def update(self, state: DurableState) -> EndpointUpdate:
        """Return the corrected list as a snapshot."""
        update = state.endpoint_update(self._min_started_at_ms)
        if self._peer_ready_ids is None:
            return update
        for endpoint in update.endpoints:
            listed = short_id(endpoint.instance_id) in self._peer_ready_ids
            if not listed and endpoint.lifecycle == LIFECYCLE_READY:
                endpoint.lifecycle = LIFECYCLE_DRAINING
        return update
