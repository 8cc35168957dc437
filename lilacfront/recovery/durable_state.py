"""State that survives a power loss, built by applying the records of the journal. No I/O.

Applying a record twice, or an older record after a newer one, changes nothing: directives are ordered by
revision, endpoint lists of one start by event number, and incarnations only rise. Load and estimate records
and lists of different starts have no such order, but a replay ends with the same record of each. A journal
may therefore be replayed again from any earlier point.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from lilacfront.discovery.endpoint_list import EndpointUpdate
from lilacfront.operations.state_record import LearnedClass, OperatorDirective, merge_directives
from lilacfront.recovery.records import (
    AnyRecord,
    ChangeLogResetRecord,
    ClassEstimatesRecord,
    CleanShutdownRecord,
    DirectiveRecord,
    EndpointEntry,
    EndpointListRecord,
    IncarnationRecord,
    JournalHeader,
    LoadFinishedRecord,
    LoadStartedRecord,
    PeerDirectiveRecord,
)

MAX_LOADS: Final = 65_536  # call ids of loads that may have run; the oldest are dropped
LOAD_TTL_S: Final = 3600.0  # seconds after which a load no longer counts as possibly run
MAX_PEER_DIRECTIVES: Final = 16_384  # replicated directives of all peers together
MAX_ENDPOINTS: Final = 65_536  # further endpoints are ignored
ESTIMATES_TTL_S: Final = 60.0  # seconds after which restored estimates are ignored
LIFECYCLE_GONE: Final = "gone"


@dataclass(frozen=True, slots=True)
class AgedEstimates:
    """Restored execution times of the request classes, and their age."""

    classes: tuple[LearnedClass, ...]
    age_s: float


class DurableState:
    """The state after the last applied record.

    Attributes:
        list_seq: Number of the last change log event that `endpoints` includes.
        list_origin: Identifies the start that `list_seq` is counted from.
        endpoints: Entries of the endpoint list, by instance id.
        directives: Operators' directives to this front end, by target.
        peer_directives: Replicas of the directives to peers, by the peer's number and by target.
        started_loads: Loads that may have run: the time of sending in Unix seconds, by call id.
        incarnation: Highest recorded incarnation of this front end.
        class_estimates: The last record of the request classes' execution times.
        shut_down_cleanly: Whether the process that wrote the last record ended with a graceful shutdown.
    """

    def __init__(self) -> None:
        self.list_seq = 0
        self.list_origin = ""
        self.endpoints: dict[str, EndpointEntry] = {}
        self.directives: dict[str, OperatorDirective] = {}
        self.peer_directives: dict[int, dict[str, OperatorDirective]] = {}
        self.started_loads: dict[bytes, float] = {}
        self.incarnation = 0
        self.class_estimates: ClassEstimatesRecord | None = None
        self.shut_down_cleanly = False

    def apply(self, record: AnyRecord) -> None:
        """Apply one record."""
        if not isinstance(record, JournalHeader | CleanShutdownRecord):
            self.shut_down_cleanly = False
        match record:
            case EndpointListRecord():
                self._apply_endpoints(record)
            case ChangeLogResetRecord():
                self.list_seq = 0
            case DirectiveRecord(directive):
                merge_directives(self.directives, [directive])
            case PeerDirectiveRecord(owner, directive):
                self._apply_peer_directive(owner, directive)
            case LoadStartedRecord() | LoadFinishedRecord():
                self._apply_load(record)
            case IncarnationRecord(incarnation):
                self.incarnation = max(self.incarnation, incarnation)
            case ClassEstimatesRecord():
                self.class_estimates = record
            case CleanShutdownRecord(closed):
                self.shut_down_cleanly = closed

    def _apply_endpoints(self, record: EndpointListRecord) -> None:
        repeated = record.seq == self.list_seq and not record.is_snapshot and record.seq > 0
        # The numbers of different starts can't be compared; the later record is of the later start.
        if record.origin == self.list_origin and (record.seq < self.list_seq or repeated):
            return
        self.list_seq = record.seq
        self.list_origin = record.origin
        if record.is_snapshot:
            self.endpoints = {}
        for entry in record.entries:
            self.endpoints.pop(entry.instance_id, None)
            if entry.lifecycle != LIFECYCLE_GONE and len(self.endpoints) < MAX_ENDPOINTS:
                self.endpoints[entry.instance_id] = entry

    def _apply_peer_directive(self, owner: int, directive: OperatorDirective) -> None:
        full = sum(map(len, self.peer_directives.values())) >= MAX_PEER_DIRECTIVES
        replicas = self.peer_directives.setdefault(owner, {})
        # A peer that keeps sending directives for new targets must not exhaust the memory.
        if directive.target in replicas or not full:
            merge_directives(replicas, [directive])

    def _apply_load(self, record: LoadStartedRecord | LoadFinishedRecord) -> None:
        if isinstance(record, LoadFinishedRecord):
            self.started_loads.pop(record.call_id, None)
            return
        self.started_loads[record.call_id] = record.started_at
        while len(self.started_loads) > MAX_LOADS:
            del self.started_loads[next(iter(self.started_loads))]

    def checkpoint(self) -> Iterator[AnyRecord]:
        """Yield records that rebuild this state from an empty one."""
        yield EndpointListRecord(self.list_seq, True, tuple(self.endpoints.values()), self.list_origin)
        for directive in self.directives.values():
            yield DirectiveRecord(directive)
        for owner, replicas in self.peer_directives.items():
            for directive in replicas.values():
                yield PeerDirectiveRecord(owner, directive)
        for call_id, started_at in self.started_loads.items():
            yield LoadStartedRecord(call_id, started_at)
        yield IncarnationRecord(self.incarnation)
        if self.class_estimates is not None:
            yield self.class_estimates
        if self.shut_down_cleanly:
            yield CleanShutdownRecord()

    def may_have_run(self, call_id: bytes, now: float) -> bool:
        """Whether the load with this id was sent less than `LOAD_TTL_S` ago and has no final answer."""
        started_at = self.started_loads.get(call_id)
        # After the clock was set back the age is negative; such a load also counts as possibly run.
        return started_at is not None and now - started_at < LOAD_TTL_S

    def recent_estimates(self, now: float) -> AgedEstimates | None:
        """Recorded execution times, or None if they are too old or the clock was set back."""
        recorded = self.class_estimates
        if recorded is None or not 0.0 <= now - recorded.recorded_at <= ESTIMATES_TTL_S:
            return None
        return AgedEstimates(recorded.classes, now - recorded.recorded_at)

    def endpoint_update(self, min_started_at_ms: float | None = None) -> EndpointUpdate:
        """The endpoints as a snapshot for discovery, with start times raised to at least the given time."""
        earliest_ms = min_started_at_ms or 0.0
        endpoints = [
            entry.to_endpoint(max(entry.started_at_ms, earliest_ms)) for entry in self.endpoints.values()
        ]
        return EndpointUpdate(0, True, endpoints)


def replay(records: Iterable[AnyRecord]) -> DurableState:
    """Build a state from records, oldest first."""
    state = DurableState()
    for record in records:
        state.apply(record)
    return state
