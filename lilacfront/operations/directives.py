"""Applies operator directives: suspensions change the endpoint list, a pause starts a drain."""

from __future__ import annotations

from collections.abc import Iterable

from lilacfront.decisions.events import EndpointList
from lilacfront.discovery.endpoint_list import engine_number
from lilacfront.operations.draining import DrainController
from lilacfront.operations.host import OperationsHost
from lilacfront.operations.maintenance import Maintenance
from lilacfront.operations.operator_state import OperatorState
from lilacfront.operations.state_record import PAUSE_TARGET, OperatorDirective

RESTORATION_TTL_S = 120.0  # restored warehouses have warmed up long before
US_PER_S = 1e6


class DirectiveController:
    """Issues and merges directives and applies their effects.

    `issue`, `adopt` and `merge` return whether any directive is newly in force.
    """

    def __init__(self, state: OperatorState, host: OperationsHost, drains: DrainController) -> None:
        self._state = state
        self._host = host
        self._drains = drains
        self._maintenance = Maintenance()

    def issue(self, target: str, active: bool) -> bool:
        """Issue a directive in the name of this process, unless it would change nothing."""
        return self._apply_all(self._state.set_active(target, active))

    def adopt(self, directives: Iterable[OperatorDirective]) -> bool:
        """Restore directives from before a power loss; see `OperatorState.adopt`."""
        return self._apply_all(self._state.adopt(directives))

    def merge(self, directives: Iterable[OperatorDirective]) -> bool:
        """Merge the directives of another process."""
        return self._apply_all(self._state.merge(directives))

    def _apply_all(self, directives: list[OperatorDirective]) -> bool:
        for directive in directives:
            self._host.on_directive(directive)
            if directive.target == PAUSE_TARGET:
                self._apply_pause(directive)
            else:
                self._apply_suspension(directive)
        return bool(directives)

    def _apply_pause(self, directive: OperatorDirective) -> None:
        if directive.active:
            self._drains.pause(directive.issued_at_s)
        else:
            self._drains.resume()

    def _apply_suspension(self, directive: OperatorDirective) -> None:
        engine = engine_number(directive.target)
        suspended_at_us = int(directive.active_since_s * US_PER_S)
        if directive.active:
            update = self._maintenance.suspend(engine, suspended_at_us)
        else:
            restored_at_us = int(directive.issued_at_s * US_PER_S)
            update = self._maintenance.restore(engine, suspended_at_us, restored_at_us)
        if update is not None:
            self._host.update_endpoints(update)

    def apply_maintenance(self, update: EndpointList, warehouse_ids: Iterable[str]) -> EndpointList:
        """Apply suspensions and restorations; see `Operations.apply_maintenance`."""
        self._state.record_listed(warehouse_ids)
        return self._maintenance.apply(update)

    def forget_restorations(self, is_only_copy: bool) -> None:
        """Forget old restorations; see `OperatorState.forget_expired`."""
        for target in self._state.forget_expired(is_only_copy, RESTORATION_TTL_S):
            self._maintenance.forget(engine_number(target))
