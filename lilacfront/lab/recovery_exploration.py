"""Model checker for the recovery of two front ends, `a` and `b`, from a power loss.

A breadth-first search visits all states within a number of steps and checks the properties after each step.
A state consists of the records in memory and on disk of each front end, the last event of the change log, and
whether the one load runs. The steps are directives of operators, change log events for the one warehouse, the
start and the end of the load, writes to a disk, a power loss, the loss of a disk, a start, and an exchange of
state between the two. Records, their merging, `OperatorState` and `StateExchange` are the program's own.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from lilacfront.membership.messages import ChunkRequest, Item, StateChunk, StateDigest, StateKind
from lilacfront.operations.operator_state import OperatorState
from lilacfront.operations.state_record import OperatorDirective
from lilacfront.recovery.durable_state import DurableState, replay
from lilacfront.recovery.records import (
    AnyRecord,
    DirectiveRecord,
    EndpointEntry,
    EndpointListRecord,
    LoadFinishedRecord,
    LoadStartedRecord,
    PeerDirectiveRecord,
)
from lilacfront.recovery.startup_stages import RecoveryStage
from lilacfront.recovery.state_encoding import ReadyList, short_id
from lilacfront.recovery.state_exchange import ExchangedState, StateExchange

WAREHOUSE = "s-1"
LOAD = b"load"
MAX_DIRECTIVES = 3
MAX_EVENTS = 3  # highest sequence number in the change log
MAX_STARTS = 1  # starts of a front end after a power loss
EXCHANGE_ROUNDS = 4
ROUND_S = 10.0
MAX_ITEMS_BYTES = 100  # size limit of the items in a message
LOAD_STARTED_AT = 1.0
EXCHANGE = "a and b exchange state"
START = "a and b start"

Records = tuple[AnyRecord, ...]


class Property(Enum):
    """A property that must hold after every step."""

    DIRECTIVES_SURVIVE = "a directive that any surviving record holds is in force"
    LOADS_SENT_ONCE = "a load that may have run is never sent again"
    NO_REQUESTS_WHILE_DRAINING = "nothing is sent to a warehouse that a newer list shows as draining"
    LISTS_NEVER_GO_BACK = "no endpoint list goes back to an older event"


@dataclass(frozen=True)
class FrontEnd:
    """The state of a front end.

    Attributes:
        memory: The durable state in memory, as records; None while the front end is down.
        disk: The records on its disk.
        starts: Number of starts after a power loss.
        recovering: Whether it still restores state from its peer.
        excluded: Whether it excludes the warehouse because a peer's newer list shows it as not ready.
        confirmed: Whether the change log has confirmed the endpoint list since the start.
    """

    memory: Records | None
    disk: Records
    starts: int = 0
    recovering: bool = False
    excluded: bool = False
    confirmed: bool = True


@dataclass(frozen=True)
class State:
    """A state of the model; directives and the load are sent to front end `a`.

    Attributes:
        log_seq: Sequence number of the last event of the change log.
        log_ready: Whether that event reports the warehouse as ready; otherwise as draining.
        load_running: Whether the load is being executed.
        loads_sent: Number of loads that were sent.
        directives: Number of directives that were issued.
    """

    a: FrontEnd
    b: FrontEnd
    log_seq: int = 1
    log_ready: bool = True
    load_running: bool = False
    loads_sent: int = 0
    directives: int = 0


@dataclass(frozen=True)
class Mechanisms:
    """The recovery mechanisms that are enabled; disabling one must violate a property."""

    directive_replicas: bool = True  # a peer offers its replica of a front end's directives
    started_loads: bool = True  # a start restores the records of started loads
    list_offers: bool = True  # a peer offers its endpoint list


@dataclass
class Exploration:
    """The result of an exploration; `violations` has the steps to the first violation of each property."""

    states: int = 0
    steps: int = 0
    violations: dict[Property, str] = field(default_factory=dict)


def _canonical(state: DurableState) -> Records:
    """The records of a state, without an empty endpoint list, so that equal states compare equal."""
    return tuple(
        record for record in state.checkpoint() if not isinstance(record, EndpointListRecord) or record.seq
    )


def _entry(ready: bool) -> EndpointEntry:
    lifecycle = "ready" if ready else "draining"
    return EndpointEntry(WAREHOUSE, "127.0.0.1:1", lifecycle, "", "", 0, 1.0, 0.0)


def _apply_record(front_end: FrontEnd, record: AnyRecord) -> FrontEnd:
    assert front_end.memory is not None
    return replace(front_end, memory=_canonical(replay([*front_end.memory, record])))


def _directives(front_end: FrontEnd) -> dict[str, OperatorDirective]:
    return replay(front_end.memory or ()).directives


def _suspended(directives: dict[str, OperatorDirective]) -> bool:
    return WAREHOUSE in directives and directives[WAREHOUSE].active


def _token(number: int, front_end: FrontEnd) -> str:
    """The process token, which orders directives with equal revisions."""
    return f"{number}.{front_end.starts}"


def _operator_state(token: str, directives: Mapping[str, OperatorDirective]) -> OperatorState:
    """The program's `OperatorState` with these directives."""
    operators = OperatorState(token, lambda: 1.0)
    operators.directives = dict(directives)
    return operators


def _issue_directive(front_end: FrontEnd, number: int, suspended: bool) -> FrontEnd:
    operators = _operator_state(_token(number, front_end), _directives(front_end))
    for directive in operators.set_active(WAREHOUSE, suspended):
        front_end = _apply_record(front_end, DirectiveRecord(directive))
    return front_end


class _ExchangeSide(ExchangedState):
    """A front end in an exchange of state."""

    def __init__(self, number: int, front_end: FrontEnd) -> None:
        self.number = number
        self.front_end = front_end
        self.state = replay(front_end.memory or ())
        self.exchange = StateExchange(self)

    def stage_number(self) -> int:
        return int(RecoveryStage.RESTORING if self.recovering() else RecoveryStage.OPEN)

    def recovering(self) -> bool:
        return self.front_end.recovering

    def own_directives(self) -> Iterable[OperatorDirective]:
        return self.state.directives.values()

    def peer_directives(self) -> Mapping[int, Mapping[str, OperatorDirective]]:
        return self.state.peer_directives

    def ready_list(self) -> ReadyList:
        ready = [entry.instance_id for entry in self.state.endpoints.values() if entry.lifecycle == "ready"]
        return ReadyList(self.state.list_seq, ready)

    def merge_peer_directives(self, owner: int, directives: list[OperatorDirective]) -> None:
        for directive in directives:
            self.state.apply(PeerDirectiveRecord(owner, directive))

    def restore_own_directives(self, directives: list[OperatorDirective]) -> None:
        operators = _operator_state(_token(self.number, self.front_end), self.state.directives)
        for directive in operators.adopt(directives):
            self.state.apply(DirectiveRecord(directive))

    def apply_peer_ready_list(self, peer: int, seq: int, short_ids: set[int]) -> None:
        del peer  # the model has a single peer
        if seq > self.state.list_seq and not self.front_end.confirmed:
            excluded = short_id(WAREHOUSE) not in short_ids
            self.front_end = replace(self.front_end, excluded=excluded)

    def result(self) -> FrontEnd:
        """The front end after the exchange."""
        return replace(self.front_end, memory=_canonical(self.state), recovering=False)


def _filter_offers(digest: StateDigest, mechanisms: Mechanisms) -> StateDigest:
    """A digest without the offers of disabled mechanisms."""
    removed_kinds = set()
    if not mechanisms.directive_replicas:
        removed_kinds.add(int(StateKind.REPLICA))
    if not mechanisms.list_offers:
        removed_kinds.add(int(StateKind.ENDPOINT_LIST))
    offers = tuple(offer for offer in digest.offers if offer[0] not in removed_kinds)
    return StateDigest(digest.stage, digest.seq, offers)


def _exchange_state(a: FrontEnd, b: FrontEnd, mechanisms: Mechanisms) -> tuple[FrontEnd, FrontEnd]:
    """Run rounds of the state exchange, each until no message is in flight."""
    sides = (_ExchangeSide(0, a), _ExchangeSide(1, b))
    for round_index in range(EXCHANGE_ROUNDS):
        now = round_index * ROUND_S
        queue: deque[tuple[int, Item]] = deque()
        for side in sides:
            side.exchange.invalidate()
            queue.extend((1 - side.number, item) for item in side.exchange.collect(now, MAX_ITEMS_BYTES))
        while queue:
            receiver, item = queue.popleft()
            assert isinstance(item, StateDigest | ChunkRequest | StateChunk)
            if isinstance(item, StateDigest):
                item = _filter_offers(item, mechanisms)
            answers = sides[receiver].exchange.receive(now, 1 - receiver, item)
            queue.extend((1 - receiver, answer) for answer in answers)
    return sides[0].result(), sides[1].result()


def _start(front_end: FrontEnd, mechanisms: Mechanisms) -> FrontEnd:
    memory = front_end.disk
    if not mechanisms.started_loads:
        memory = tuple(record for record in memory if not isinstance(record, LoadStartedRecord))
    return replace(
        front_end,
        memory=memory,
        starts=front_end.starts + 1,
        recovering=True,
        excluded=False,
        confirmed=False,
    )


Steps = Iterator[tuple[str, State]]


def _directive_steps(state: State) -> Steps:
    a = state.a
    if a.memory is not None and state.directives < MAX_DIRECTIVES:
        suspend = not _suspended(_directives(a))
        changed = _issue_directive(a, 0, suspend)
        name = f"{'suspend' if suspend else 'restore'} at a"
        yield name, replace(state, a=changed, directives=state.directives + 1)


def _change_log_steps(state: State) -> Steps:
    a, b = state.a, state.b
    if a.memory is None or a.recovering or not a.confirmed or state.log_seq >= MAX_EVENTS:
        return
    seq = state.log_seq + 1
    ready = not state.log_ready
    event = EndpointListRecord(seq, False, (_entry(ready),))
    for name, at_a, at_b in (("a", True, False), ("b", False, True), ("both", True, True)):
        if at_b and b.memory is None:
            continue
        yield (
            f"the change log reports {'ready' if ready else 'draining'} to {name}",
            replace(
                state,
                log_seq=seq,
                log_ready=ready,
                a=_apply_record(a, event) if at_a else a,
                b=_apply_record(b, event) if at_b else b,
            ),
        )


def _load_steps(state: State) -> Steps:
    a = state.a
    if a.memory is None:
        return
    if not state.load_running and not state.loads_sent and not a.recovering:
        started = _apply_record(a, LoadStartedRecord(LOAD, LOAD_STARTED_AT))
        yield "load starts", replace(state, a=started, load_running=True, loads_sent=1)
    if state.load_running:
        yield "load ends", replace(state, a=_apply_record(a, LoadFinishedRecord(LOAD)), load_running=False)


def _disk_steps(state: State) -> Steps:
    a, b = state.a, state.b
    if a.memory is not None and a.memory != a.disk:
        yield "a writes to disk", replace(state, a=replace(a, disk=a.memory))
    if b.memory is not None and b.memory != b.disk:
        yield "b writes to disk", replace(state, b=replace(b, disk=b.memory))


def _power_steps(state: State, mechanisms: Mechanisms) -> Steps:
    a, b = state.a, state.b
    if a.memory is None:
        yield START, replace(state, a=_start(a, mechanisms), b=_start(b, mechanisms))
    elif b.memory is not None and a.starts < MAX_STARTS:
        powered_off = replace(state, a=replace(a, memory=None), b=replace(b, memory=None), load_running=False)
        yield "power loss", powered_off
        yield "power loss, disk of a lost", replace(powered_off, a=replace(powered_off.a, disk=()))


def steps(state: State, mechanisms: Mechanisms) -> Steps:
    """The name of each possible next step and the state after it."""
    yield from _directive_steps(state)
    yield from _change_log_steps(state)
    yield from _load_steps(state)
    yield from _disk_steps(state)
    if state.a.memory is not None and state.b.memory is not None:
        a, b = _exchange_state(state.a, state.b, mechanisms)
        yield EXCHANGE, replace(state, a=a, b=b)
    yield from _power_steps(state, mechanisms)


def _directives_survive(before: State, after: State) -> bool:
    """Whether the newest directive on either disk is in force after an exchange of a recovering `a`."""
    own = replay(before.a.disk).directives
    replica = replay(before.b.disk).peer_directives.get(0, {})
    known = [directives[WAREHOUSE] for directives in (own, replica) if WAREHOUSE in directives]
    latest = max(known, key=lambda directive: (directive.revision, directive.author), default=None)
    current = _directives(before.a).get(WAREHOUSE)
    if current is not None and current.author == _token(0, before.a):
        latest = current  # issued after the start, it supersedes the stored ones
    return latest is None or latest.active is _suspended(_directives(after.a))


def _draining_is_excluded(before: State, after: State) -> bool:
    """Whether a warehouse that is draining in the peer's newer list is excluded after an exchange."""
    own, peer = replay(before.a.disk), replay(before.b.disk)
    if peer.list_seq <= own.list_seq or WAREHOUSE not in peer.endpoints:
        return True
    if peer.endpoints[WAREHOUSE].lifecycle == "ready":
        return True
    entry = own.endpoints.get(WAREHOUSE)
    return entry is None or entry.lifecycle != "ready" or after.a.excluded


def _loads_sent_once(before: State, after: State) -> bool:
    """Whether a load recorded on disk as started counts as possibly run after the start."""
    restored = replay(after.a.memory or ())
    started = any(isinstance(record, LoadStartedRecord) for record in before.a.disk)
    return not started or restored.may_have_run(LOAD, LOAD_STARTED_AT + 1.0)


def _list_does_not_go_back(before: FrontEnd, after: FrontEnd) -> bool:
    if before.memory is None or after.memory is None:
        return True
    return replay(after.memory).list_seq >= replay(before.memory).list_seq


def _violations(before: State, step: str, after: State) -> Iterator[Property]:
    """The properties that a step violates."""
    if step == EXCHANGE and before.a.recovering:
        if not _directives_survive(before, after):
            yield Property.DIRECTIVES_SURVIVE
        if not _draining_is_excluded(before, after):
            yield Property.NO_REQUESTS_WHILE_DRAINING
    if step == START and not _loads_sent_once(before, after):
        yield Property.LOADS_SENT_ONCE
    if not (_list_does_not_go_back(before.a, after.a) and _list_does_not_go_back(before.b, after.b)):
        yield Property.LISTS_NEVER_GO_BACK


def explore(depth: int, mechanisms: Mechanisms | None = None) -> Exploration:
    """Visit all states that are reachable within `depth` steps and check the properties after each step."""
    mechanisms = mechanisms or Mechanisms()
    records = _canonical(replay([EndpointListRecord(1, True, (_entry(True),))]))
    initial = State(FrontEnd(records, records), FrontEnd(records, records))
    found = Exploration(states=1)
    seen = {initial}
    queue: deque[tuple[State, tuple[str, ...]]] = deque([(initial, ())])
    while queue:
        state, path = queue.popleft()
        if len(path) >= depth:
            continue
        for step, after in steps(state, mechanisms):
            found.steps += 1
            for violation in _violations(state, step, after):
                found.violations.setdefault(violation, "; ".join((*path, step)))
            if after not in seen:
                seen.add(after)
                found.states += 1
                queue.append((after, (*path, step)))
    return found
