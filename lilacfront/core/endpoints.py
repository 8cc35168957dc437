"""The engines that requests may be sent to."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lilacfront.core.hooks import EngineConnections
from lilacfront.core.model import EngineAddress
from lilacfront.decisions.events import EndpointList, EndpointState, ListScope
from lilacfront.discovery.endpoint_list import EngineProcess


class ReadyEngines:
    """The engines in state READY, with their addresses and core counts."""

    def __init__(self, connections: EngineConnections, machine_type_cores: Sequence[float]) -> None:
        self._connections = connections
        self._machine_type_cores = machine_type_cores
        self._addresses: dict[int, EngineAddress] = {}
        self._cores: dict[int, float] = {}

    def __len__(self) -> int:
        """Number of ready engines."""
        return len(self._addresses)

    def __getitem__(self, number: int) -> EngineAddress:
        """Return the address of a ready engine; raise KeyError for any other engine."""
        return self._addresses[number]

    @property
    def cores(self) -> float:
        """Total cores of all ready engines."""
        return sum(self._cores.values())

    def is_ready(self, engine: EngineAddress) -> bool:
        """Whether this engine is ready and still has this address."""
        return self._addresses.get(engine.number) == engine

    def update(self, update: EndpointList, processes: Mapping[int, EngineProcess]) -> dict[int, bool]:
        """Apply an endpoint list; `processes` maps engine numbers to their processes.

        Returns:
            The engines that are no longer ready, mapped to whether they were removed (True) or are draining
            (False). The caller passes them to `stop_sending` after the router has received the list.
        """
        withdrawn: dict[int, bool] = {}
        if update.scope is not ListScope.DELTA:
            listed = {entry.engine for entry in update.endpoints}
            withdrawn.update((number, True) for number in self._addresses if number not in listed)
        for entry in update.endpoints:
            process = processes[entry.engine]
            engine = EngineAddress(entry.engine, process.address, process.started_us)
            if entry.state is not EndpointState.READY:
                withdrawn[entry.engine] = entry.state is EndpointState.REMOVED
                continue
            if self._addresses.get(entry.engine, engine) != engine:
                self._connections.stop_sending(entry.engine, True)  # another process serves it now
            self._addresses[entry.engine] = engine
            self._cores[entry.engine] = self._machine_type_cores[entry.machine_type]
        for number in withdrawn:
            self._addresses.pop(number, None)
            self._cores.pop(number, None)
        return withdrawn

    def stop_sending(self, withdrawn: Mapping[int, bool]) -> None:
        """Stop sending to engines that are no longer ready; see `update`."""
        for number, is_removed in withdrawn.items():
            self._connections.stop_sending(number, is_removed)
