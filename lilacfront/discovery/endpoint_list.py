"""Converts entries of the endpoint list from the sources' format to events for the routing decisions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from hashlib import blake2b

import msgspec

from lilacfront.decisions.events import Endpoint, EndpointList, EndpointState, ListScope
from lilacfront.errors import LilacfrontError
from lilacfront.logs import Log

log = Log(__name__)
MAX_UNNAMED_ZONES = 1024  # zones missing from the settings that get a number each; the rest share one
MAX_PORT = 65535
ENTRY_EXCERPT_BYTES = 120  # length of the excerpt that is logged of an undecodable entry
STATE_BY_LIFECYCLE = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}


class EndpointRecord(msgspec.Struct, rename="camel"):
    """One engine in the format of the change log and etcd."""

    host_port: str
    instance_id: str = ""
    lifecycle: str = "ready"
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0


class EndpointUpdate(msgspec.Struct):
    """A change of the endpoint list, or the whole list.

    Attributes:
        generation: The number that the source gives to this state of the list.
        is_snapshot: Whether this is the whole list. If so, engines that are not in it are removed.
        endpoints: The entries of the update.
    """

    generation: int = 0
    is_snapshot: bool = msgspec.field(name="reset", default=False)
    endpoints: list[EndpointRecord] = msgspec.field(name="instances", default_factory=list)


class RawEndpointUpdate(msgspec.Struct):
    """An `EndpointUpdate` whose entries are not decoded yet."""

    generation: int = 0
    is_snapshot: bool = msgspec.field(name="reset", default=False)
    endpoints: list[msgspec.Raw] = msgspec.field(name="instances", default_factory=list)


_RECORD_DECODER = msgspec.json.Decoder(EndpointRecord)


def decode_lenient(update: RawEndpointUpdate) -> EndpointUpdate:
    """Decode each entry separately; an entry that can't be decoded is logged with its index and left out."""
    records = []
    for index, raw in enumerate(update.endpoints):
        try:
            records.append(_RECORD_DECODER.decode(raw))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            excerpt = bytes(raw)[:ENTRY_EXCERPT_BYTES]
            log.warning("endpoint entry undecodable", index=index, error=error, excerpt=excerpt)
    return EndpointUpdate(update.generation, update.is_snapshot, records)


def split_repeats(update: EndpointUpdate) -> list[EndpointUpdate]:
    """Split an update into ones that name each engine once, to be applied in order.

    Several changes of an engine are applied one after the other, as if each had arrived on its own. Of
    several entries in a whole list the last one holds.
    """
    if update.is_snapshot:
        last_records = {record.instance_id: record for record in update.endpoints}
        if len(last_records) < len(update.endpoints):
            log.warning("endpoint entry repeated", entries=len(update.endpoints) - len(last_records))
        return [EndpointUpdate(update.generation, True, list(last_records.values()))]
    parts: list[dict[str, EndpointRecord]] = [{}]
    for record in update.endpoints:
        if record.instance_id in parts[-1]:
            parts.append({})
        parts[-1][record.instance_id] = record
    return [EndpointUpdate(update.generation, False, list(part.values())) for part in parts]


class EndpointListError(LilacfrontError, ValueError):
    """An invalid endpoint entry or address; the message says what is wrong."""


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Parse `HOST:PORT`.

    Raises:
        EndpointListError: The text doesn't have this form, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not min_port <= int(port) <= MAX_PORT:
        raise EndpointListError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def engine_number(instance_id: str) -> int:
    """Return the number of an engine.

    It is a hash of the instance ID, so it is the same at every gateway and all gateways share one hash order.
    """
    return int.from_bytes(blake2b(instance_id.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, frozen=True)
class EngineProcess:
    """The process of an engine. An address alone does not identify it: a later process may listen there.

    Attributes:
        address: Host and port.
        started_us: Start of the process, Unix time in microseconds; 0 if it started before the list began.
    """

    address: tuple[str, int]
    started_us: int


@dataclass(slots=True)
class EndpointRegistry:
    """Converts updates to events for the routing decisions and keeps the processes of the engines.

    Only one process can listen at an address. Of two ready engines there, the one that started later holds,
    or else the one told later; the other counts as removed, whether or not its end is told.

    Attributes:
        zone_names: Zone names from the settings; the index is the zone number.
        machine_types: Machine type names from the settings; the index is the machine type number.
        processes: Processes of the listed engines, by engine number.
        unnamed_zones: Zone numbers, by zone name, of zones that are not in the settings.
    """

    zone_names: list[str]
    machine_types: list[str]
    processes: dict[int, EngineProcess] = field(default_factory=dict)
    unnamed_zones: dict[str, int] = field(default_factory=dict)
    _ready_engine_by_address: dict[tuple[str, int], int] = field(default_factory=dict)

    def apply(self, update: EndpointUpdate) -> tuple[EndpointList, Mapping[int, EngineProcess]]:
        """Return the event for the routing decisions, and the processes of all engines known at that point.

        The update names each engine once; see `split_repeats`. The processes still include the engines that
        the event removes.
        """
        if update.is_snapshot:
            listed = {engine_number(record.instance_id) for record in update.endpoints}
            self._drop_removed(number for number in list(self.processes) if number not in listed)
        endpoints = self._usable_endpoints(update)
        scope = ListScope.SNAPSHOT if update.is_snapshot else ListScope.DELTA
        processes = dict(self.processes)
        self._drop_removed(e.engine for e in endpoints if e.state is EndpointState.REMOVED)
        return EndpointList(scope, tuple(endpoints), update.generation), processes

    def _usable_endpoints(self, update: EndpointUpdate) -> list[Endpoint]:
        endpoints: dict[int, Endpoint] = {}
        for record in update.endpoints:
            try:
                endpoint = self._endpoint(record)
            except EndpointListError as error:
                # One invalid entry must not prevent the others from being used.
                log.warning("endpoint entry unusable", error=error)
                continue
            endpoints[endpoint.engine] = endpoint
            self._resolve_address(endpoint, endpoints)
        return list(endpoints.values())

    def _resolve_address(self, endpoint: Endpoint, endpoints: dict[int, Endpoint]) -> None:
        """Mark an engine as removed if another ready one has its address: the one that started earlier."""
        address = self.processes[endpoint.engine].address
        holder = self._ready_engine_by_address.get(address, endpoint.engine)
        if endpoint.state is not EndpointState.READY:
            if holder == endpoint.engine:
                self._ready_engine_by_address.pop(address, None)
            return
        replaced = None
        held_by = self.processes.get(holder)  # None or another address: the engine has moved since
        if holder != endpoint.engine and held_by is not None and held_by.address == address:
            is_later = self.processes[endpoint.engine].started_us >= held_by.started_us
            replaced = holder if is_later else endpoint.engine
            known = endpoints.get(replaced, Endpoint(replaced, EndpointState.REMOVED))
            endpoints[replaced] = replace(known, state=EndpointState.REMOVED)
            log.warning("address of an engine taken by another", address=address)
        if replaced != endpoint.engine:
            self._ready_engine_by_address[address] = endpoint.engine

    def _drop_removed(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            process = self.processes.pop(number, None)
            if process is not None and self._ready_engine_by_address.get(process.address) == number:
                del self._ready_engine_by_address[process.address]

    def _endpoint(self, record: EndpointRecord) -> Endpoint:
        """Convert an entry and store the engine's process.

        Raises:
            EndpointListError: The entry has no instance ID, an unknown lifecycle or an invalid address.
        """
        if not record.instance_id:
            raise EndpointListError("entry without instanceId")
        state = STATE_BY_LIFECYCLE.get(record.lifecycle)
        if state is None:
            raise EndpointListError(f"unknown lifecycle {record.lifecycle!r} of {record.instance_id}")
        engine = engine_number(record.instance_id)
        started_us = int(record.started_at_ms * 1000)
        known = self.processes.get(engine)
        if state is not EndpointState.REMOVED or known is None:
            # An entry with an earlier start, told late, does not bring back the process of that time.
            latest_us = started_us if known is None else max(started_us, known.started_us)
            self.processes[engine] = EngineProcess(parse_address(record.host_port), latest_us)
        return Endpoint(
            engine=engine,
            state=state,
            started_us=started_us,
            cell=record.cell,
            machine_type=self._machine_type_number(record.machine_type),
            zone=self._zone_number(record.zone),
            weight=record.weight,
        )

    def _machine_type_number(self, name: str) -> int:
        return self.machine_types.index(name) if name in self.machine_types else 0

    def _zone_number(self, name: str) -> int:
        """Return the number of a zone; a zone that is not in the settings gets a number of its own.

        If such zones were counted as the first zone, a distant engine could be treated as one in this
        gateway's own zone.
        """
        if name in self.zone_names:
            return self.zone_names.index(name)
        if len(self.unnamed_zones) >= MAX_UNNAMED_ZONES:
            return len(self.zone_names) + MAX_UNNAMED_ZONES
        return self.unnamed_zones.setdefault(name, len(self.zone_names) + len(self.unnamed_zones))
