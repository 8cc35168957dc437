"""Passes updates of the endpoint list from their source to recovery, registry, maintenance and router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacfront.config import Config
from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.decisions.events import EndpointList
from lilacfront.discovery.change_log import ChangeLog
from lilacfront.discovery.endpoint_list import EndpointRegistry, EndpointUpdate, split_repeats
from lilacfront.discovery.etcd_watch import EtcdWatch
from lilacfront.operations.service import Operations
from lilacfront.sched import Loop

if TYPE_CHECKING:
    from lilacfront.recovery.coordinator import RecoveryCoordinator


class EndpointFeed:
    """Passes updates of the endpoint list to the parts that use it.

    Attributes:
        registry: Numbers and processes of the engines.
        change_log: The change log; None if it is not the source.
        recovery: Stores each update; None if recovery is off.
    """

    def __init__(self, config: Config, dispatcher: RequestDispatcher) -> None:
        self.registry = EndpointRegistry(config.zone_names, config.machine_types)
        self.change_log: ChangeLog | None = None
        self.recovery: RecoveryCoordinator | None = None
        self._cached_sequence = config.cached_events.sequence
        self._dispatcher = dispatcher
        self._operations: Operations | None = None

    def connect(self, operations: Operations, recovery: RecoveryCoordinator | None) -> None:
        """Set the parts that updates pass through; called once, before the first update."""
        self._operations = operations
        self.recovery = recovery

    def start_source(self, config: Config, loop: Loop) -> None:
        """Start to follow etcd or the change log, whichever is configured.

        With recovery, the change log is only created here; `run_recovery` starts it after the stored list has
        been restored.
        """
        if config.gateway.etcd_endpoints:
            watch = EtcdWatch(
                loop,
                config.gateway.etcd_endpoints,
                config.gateway.etcd_prefix,
                self.receive_update,
                config.seed,
            )
            loop.spawn(watch.run)
        elif config.change_log_address is not None:
            self.change_log = ChangeLog(
                loop, config.change_log_address, self._cached_sequence, self.receive_update, config.seed
            )
            if self.recovery is None:
                loop.spawn(self.change_log.run)
            else:
                self.change_log.renumbering_wait_s = config.recovery.renumbering_wait_s
                self.change_log.on_renumbered = self.recovery.record_change_log_reset

    @property
    def sequence(self) -> int:
        """Number of the last change log event applied; without a change log, of the last cached event."""
        return self._cached_sequence if self.change_log is None else self.change_log.sequence

    def receive_update(self, update: EndpointUpdate, sequence: int | None = None) -> None:
        """Process an update from the source; change log updates arrive one at a time and in order."""
        if self.recovery is not None:
            if sequence is None:
                sequence = 0 if self.change_log is None else self.change_log.sequence + 1
            self.recovery.record_endpoints(sequence, update)
        self.apply_update(update)

    def apply_update(self, update: EndpointUpdate) -> None:
        """Pass an update to the router after applying the operators' suspensions to it."""
        assert self._operations is not None
        for part in split_repeats(update):
            endpoint_list, processes = self.registry.apply(part)
            instance_ids = [record.instance_id for record in part.endpoints if record.instance_id]
            visible = self._operations.apply_maintenance(endpoint_list, instance_ids)
            self._dispatcher.update_endpoints(visible, processes)

    def republish(self, endpoint_list: EndpointList) -> None:
        """Pass a change of the endpoint list made by an operator to the router."""
        self._dispatcher.update_endpoints(endpoint_list, self.registry.processes)

    def resume_from(self, sequence: int) -> None:
        """Request only events after this one from the change log."""
        if self.change_log is not None:
            self.change_log.sequence = max(sequence, self.change_log.sequence)

    def engine_name(self, engine: int) -> str:
        """Return an engine's address as text, for messages to operators."""
        process = self.registry.processes.get(engine)
        host, port = ("unknown", engine) if process is None else process.address
        return f"{host}:{port}"
