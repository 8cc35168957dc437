"""Interface through which recovery reads and changes the front end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lilacfront.discovery.endpoint_list import EndpointUpdate
from lilacfront.operations.state_record import LearnedState, OperatorDirective


class RecoveryHost(Protocol):
    """The front end as seen by recovery; all methods are called on its event loop."""

    def endpoint_list_seq(self) -> int:
        """Number of the last change log event that the endpoint list in use includes."""
        ...

    def endpoints_confirmed(self) -> bool:
        """Whether the change log has delivered all its events, or the front end has no change log."""
        ...

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Use this endpoint list until the change log delivers a newer one."""
        ...

    def resume_change_log(self, seq: int) -> None:
        """Request the events after event `seq` from the change log."""
        ...

    def adopt_directives(self, directives: Iterable[OperatorDirective]) -> None:
        """Merge restored directives of operators with those in force."""
        ...

    def export_learned_state(self) -> LearnedState:
        """Estimates that the request router has learned."""
        ...

    def import_learned_state(self, learned: LearnedState, age_s: float) -> None:
        """Initialize the request router with estimates that another process learned, `age_s` seconds old."""
        ...

    def ready_cores(self) -> float:
        """Total number of cores of the ready engines."""
        ...

    def gateway_count(self) -> int:
        """How many front ends share the engines."""
        ...
