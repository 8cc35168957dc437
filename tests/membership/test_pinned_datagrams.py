"""Datagrams equal, byte for byte, those recorded with earlier versions, so that versions can be mixed.

`datagrams.json` contains datagrams and the messages that they encode. `runs.json` contains hashes of all
datagrams and of the resulting views of seeded runs on a virtual clock.
"""

import hashlib
import heapq
import json
import random
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any

import pytest
from helpers import SHORT, policy_settings

from lilacfront.decisions.actions import SendPeerMessage
from lilacfront.decisions.load_gossip import LoadGossip
from lilacfront.decisions.settings import PolicyLimits
from lilacfront.lab.fault_script import Fault, FaultScript
from lilacfront.lab.members import DetectorMember, TierSimulation
from lilacfront.membership import codec, messages
from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.fleet_size import FleetSize
from lilacfront.membership.integration import MembershipIntegration
from lilacfront.membership.outlier_gossip import OutlierGossip, OutlierReason
from lilacfront.membership.sender import OutgoingDatagram
from lilacfront.membership.service import MemberConfig, MembershipHooks, MembershipService
from lilacfront.membership.settings import MembershipSettings, MembershipUses
from lilacfront.membership.view import MembershipView

FIXTURES = Path(__file__).parent.parent / "fixtures" / "membership"
KEYS = {3: b"k" * 32, 4: b"l" * 32}
WALL_S = 1_800_000_000.0
US_PER_S = 1_000_000
ALL_USES = MembershipUses(turns=True, thread_limit=True, quotas=True, outliers=True)
RECORDED_DATAGRAMS: dict[str, Any] = json.loads((FIXTURES / "datagrams.json").read_text())
RECORDED_RUNS: dict[str, Any] = json.loads((FIXTURES / "runs.json").read_text())


# ---- version 2 -------------------------------------------------------------------------------
BUILDERS: dict[int, Callable[..., messages.Item]] = {  # by the number of the item's kind
    1: messages.Ping,
    2: messages.Ack,
    3: messages.PingRequest,
    4: lambda member, incarnation, state: messages.MemberUpdate(
        member, incarnation, messages.MemberState(state)
    ),
    5: lambda data: messages.LoadReports(bytes.fromhex(data)),
    6: lambda entries: messages.OutlierReport(tuple(tuple(entry) for entry in entries)),
    7: lambda member, low_bits, state: messages.CompactUpdate(member, low_bits, messages.MemberState(state)),
    8: lambda state, blocks: messages.MemberBitmap(
        messages.MemberState(state), tuple(messages.BitmapBlock(*block) for block in blocks)
    ),
    9: messages.FleetSizeReport,
    10: lambda stage, seq, offers: messages.StateDigest(stage, seq, tuple(tuple(offer) for offer in offers)),
    11: messages.ChunkRequest,
    12: lambda kind, checksum, offset, data: messages.StateChunk(kind, checksum, offset, bytes.fromhex(data)),
}


def message_of(saved: dict[str, Any]) -> messages.Message:
    items = tuple(BUILDERS[kind](*values) for kind, *values in saved["items"])
    return messages.Message(
        saved["sender"], saved["incarnation"], saved["number"], saved["seconds"], items, saved["key"]
    )


@pytest.mark.parametrize("name", RECORDED_DATAGRAMS["version 2"])
def test_recorded_datagram_is_decoded_and_encoded_unchanged(name: str) -> None:
    saved = RECORDED_DATAGRAMS["version 2"][name]
    data, message = bytes.fromhex(saved["hex"]), message_of(saved["message"])
    assert codec.decode(data, None if message.key_id is None else KEYS) == message
    assert (
        codec.encode(message, None if message.key_id is None else (message.key_id, KEYS[message.key_id]))
        == data
    )


@pytest.mark.parametrize("name", RECORDED_DATAGRAMS["read alone"])
def test_known_items_of_a_recorded_later_datagram_are_decoded(name: str) -> None:
    saved = RECORDED_DATAGRAMS["read alone"][name]
    assert codec.decode(bytes.fromhex(saved["hex"])) == message_of(saved["message"])


@pytest.mark.parametrize("name", RECORDED_DATAGRAMS["malformed"])
def test_recorded_malformed_datagram_is_rejected_for_the_same_reason(name: str) -> None:
    saved = RECORDED_DATAGRAMS["malformed"][name]
    with pytest.raises(codec.CodecError) as problem:
        codec.decode(bytes.fromhex(saved["hex"]), KEYS if saved["keys"] else None)
    assert str(problem.value) == saved["reason"]


# ---- version 1 -------------------------------------------------------------------------------
def make_load_gossip() -> LoadGossip:
    limits = PolicyLimits(max_attempts=4, may_cancel=True, may_gossip=True)
    return LoadGossip(policy_settings(SHORT, limits=limits, gateway_count=200, gateway_index=5), 7)


def sent_load_reports() -> list[tuple[int | None, str]]:
    gossip = make_load_gossip()
    gossip.set_engines([*range(1, 60), 7 + (1 << 32)], True)
    for engine in range(1, 60):
        gossip.record(engine, 0.13 * engine - 0.2, 100 * US_PER_S + 170_000 * engine)
    sent = []
    for request in range(9):
        for action in gossip.count_request(112 * US_PER_S + 333_333 * request):
            assert isinstance(action, SendPeerMessage)
            sent.append((action.peer, action.data.hex()))
    return sent


def received_load_reports(data: bytes) -> list[list[float]]:
    gossip = make_load_gossip()
    gossip.set_engines([*range(1, 60), 7 + (1 << 32)], True)
    return [list(report) for report in gossip.receive(120 * US_PER_S, data)]


def test_load_reports_are_encoded_as_recorded() -> None:
    assert sent_load_reports() == [(saved["peer"], saved["hex"]) for saved in RECORDED_DATAGRAMS["version 1"]]


@pytest.mark.parametrize("index", range(len(RECORDED_DATAGRAMS["version 1"])))
def test_recorded_load_reports_are_decoded(index: int) -> None:
    saved = RECORDED_DATAGRAMS["version 1"][index]
    assert received_load_reports(bytes.fromhex(saved["hex"])) == saved["reports"]


# ---- datagrams that the detector sends -------------------------------------------------------
class Node:
    """One front end: a failure detector, and the fleet size and outlier gossip in its messages."""

    def __init__(self, member: int, members: int, restarts: int, now: float, keys: dict[int, bytes]) -> None:
        self.now = now
        self.view = MembershipView(members, member, now)
        settings = MembershipSettings(enabled=True, uses=ALL_USES)
        self.detector = FailureDetector(
            self.view,
            settings,
            100 * member + restarts,
            now,
            lambda: WALL_S + self.now + restarts,
            keys,
        )
        self.fleet_size = FleetSize(members, member)
        self.outliers = OutlierGossip()
        self.outliers.set_engines({engine: engine % 3 for engine in range(1, 31)})
        self.changes: list[tuple[int, list[int]]] = []
        self.integration = MembershipIntegration(
            ALL_USES, self.fleet_size, self.outliers, self.detector, self
        )
        for engine in range(1, 1 + member % 5):
            reason = OutlierReason.UNREACHABLE if engine % 2 else OutlierReason.FAILING
            self.outliers.record_failure(engine, reason, int(now * US_PER_S))

    def on_decisions_change(self, fleet_size: int, outliers: frozenset[int]) -> None:
        self.changes.append((fleet_size, sorted(outliers)))

    def state(self) -> str:
        members = [[update.member, update.incarnation, int(update.state)] for update in self.view]
        detector = self.detector
        return json.dumps(
            [
                members,
                sorted(detector.rejected.items()),
                detector.sent_bytes,
                detector.incarnation,
                self.changes,
            ]
        )


class Tier:
    """Nodes on a virtual clock with 10% message loss.

    Attributes:
        digest: Hash of all sent datagrams in order, with their times, senders and receivers.
    """

    def __init__(self, members: int, keys: dict[int, bytes]) -> None:
        self.random, self.order, self.now = random.Random(members), count(), 0.0
        self.keys, self.members = keys, members
        self.digest = hashlib.sha256()
        self.datagrams = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: list[Node | None] = [Node(member, members, 0, 0.0, keys) for member in range(members)]
        self.stopped: set[int] = set()
        for member in range(members):
            self.schedule(0.0, lambda member=member: self.tick(member, self.nodes[member]))  # type: ignore[misc]

    def schedule(self, time_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time_s, next(self.order), callback))

    def send(self, sender: int, sends: list[OutgoingDatagram]) -> None:
        for peer, data in sends:
            self.datagrams += 1
            self.digest.update(b"%d %d %d " % (round(self.now * 1e6), sender, peer) + data)
            if self.random.random() >= 0.1:
                self.schedule(
                    self.now + self.random.uniform(0.001, 0.04),
                    lambda peer=peer, data=data: self.receive(peer, sender, data),  # type: ignore[misc]
                )

    def receive(self, peer: int, sender: int, data: bytes) -> None:
        node = self.nodes[peer]
        if node is not None and peer not in self.stopped:
            node.now = self.now
            self.send(peer, node.detector.receive(self.now, sender, data))

    def tick(self, member: int, node: Node | None) -> None:
        if node is None or self.nodes[member] is not node:
            return
        if member not in self.stopped:
            node.now = self.now
            self.send(member, node.detector.tick(self.now))
            node.integration.refresh(self.now)
        deadline = node.detector.next_deadline() if member not in self.stopped else self.now + 0.1
        self.schedule(max(deadline, self.now + 0.01), lambda: self.tick(member, node))

    def leave(self, member: int) -> None:
        node = self.nodes[member]
        assert node is not None
        self.send(member, node.detector.leave(self.now))

    def rejoin(self, member: int) -> None:
        node = self.nodes[member]
        assert node is not None
        self.send(member, node.detector.rejoin(self.now))

    def kill(self, member: int) -> None:
        self.nodes[member] = None

    def start(self, member: int) -> None:
        node = Node(member, self.members, 1, self.now, self.keys)
        self.nodes[member] = node
        self.tick(member, node)

    def forge(self, sender: int, peer: int) -> None:
        """Deliver a message with random items that seems to be from `sender`."""
        rng = self.random
        states = [messages.MemberState.SUSPECT, messages.MemberState.DEAD, messages.MemberState.LEFT]
        items: list[messages.Item] = []
        for _ in range(4):
            member = rng.randrange(self.members + 2)
            node = self.nodes[peer]
            known = node.view.incarnations[member] if node is not None and member < self.members else 9
            items.append(messages.MemberUpdate(member, known + rng.choice([0, 1, 90]), rng.choice(states)))
            items.append(messages.CompactUpdate(member, known & 0x3F, rng.choice(states)))
        items.append(
            messages.MemberBitmap(rng.choice(states), (messages.BitmapBlock(0, 6, rng.randrange(256)),))
        )
        items.append(messages.PingRequest(rng.randrange(1000), rng.randrange(self.members)))
        sequence = 1 << 20 | rng.randrange(1 << 20)
        message = messages.Message(sender, int(WALL_S), sequence, int(WALL_S + self.now), tuple(items))
        key = next(iter(self.keys.items()), None)
        self.receive(peer, sender, codec.encode(message, key))

    def run(self, seconds: float) -> None:
        while self.events and self.events[0][0] <= seconds:
            self.now, _, callback = heapq.heappop(self.events)
            callback()


def tier_run(members: int, keys: dict[int, bytes], seconds: float) -> dict[str, Any]:
    tier = Tier(members, keys)
    tier.schedule(4.0, lambda: tier.stopped.add(1))
    tier.schedule(6.0, lambda: tier.kill(2))
    tier.schedule(7.5, lambda: tier.stopped.discard(1))
    tier.schedule(8.0, lambda: tier.leave(3))
    for index in range(6):
        tier.schedule(9.0 + 0.3 * index, lambda index=index: tier.forge(4, 5 + index % 2))  # type: ignore[misc]
    tier.schedule(12.0, lambda: tier.start(2))
    tier.schedule(13.0, lambda: tier.rejoin(3))
    for member in range(members // 2, members // 2 + members // 5):
        tier.schedule(14.0, lambda member=member: tier.stopped.add(member))  # type: ignore[misc]
        tier.schedule(19.0, lambda member=member: tier.stopped.discard(member))  # type: ignore[misc]
    tier.run(seconds)
    states = "\n".join("" if node is None else node.state() for node in tier.nodes)
    return {
        "datagrams": tier.datagrams,
        "sent": tier.digest.hexdigest(),
        "states": hashlib.sha256(states.encode()).hexdigest(),
    }


class RecordingMember(DetectorMember):
    """A simulated member that adds all of its sent datagrams to a hash."""

    digest: Any = None

    def _record(self, now: float, sends: list[OutgoingDatagram]) -> list[OutgoingDatagram]:
        for peer, data in sends:
            self.digest.update(b"%d %d %d " % (round(now * 1e6), self.view.own_member, peer) + data)
        return sends

    def tick(self, now: float) -> list[OutgoingDatagram]:
        return self._record(now, super().tick(now))

    def receive(self, now: float, place: int, data: bytes) -> list[OutgoingDatagram]:
        return self._record(now, super().receive(now, place, data))

    def leave(self, now: float) -> list[OutgoingDatagram]:
        return self._record(now, super().leave(now))


def simulation_run(members: int, lie: Any) -> dict[str, Any]:
    """A run with a partition that heals, false updates, late and duplicate messages, and many crashes."""
    digest = hashlib.sha256()

    def make(number: int, script: FaultScript, seed: int, now: float, clock: float) -> DetectorMember:
        member = RecordingMember(number, script, seed, now, clock)
        member.digest = digest
        return member

    faults = [
        Fault(at_s=3, action="lie", targets=[1], lie=lie),
        Fault(at_s=4, action="kill", targets=[0]),
        Fault(at_s=6, action="cut", targets=list(range(members // 2))),
        Fault(at_s=10, action="start", targets=[0], clock_offset_s=-3600.0),
        Fault(at_s=16, action="heal"),
        Fault(at_s=20, action="cut", targets=[2], destinations=[3], bidirectional=False),
        Fault(at_s=21, action="kill", target_fraction=0.4),
    ]
    script = FaultScript(
        members=members,
        duration_s=28,
        loss_fraction=0.05,
        duplicate_fraction=0.05,
        late_fraction=0.05,
        faults=faults,
    )
    outcome = TierSimulation(script, 5, make).run()
    return {"datagrams": outcome.messages, "sent": digest.hexdigest()}


class StoppedLoop:
    """An event loop whose time doesn't advance."""

    now = 2.5


def status_lines() -> list[str]:
    sent: list[tuple[int, bytes]] = []
    other_versions: list[tuple[int, bytes]] = []
    loop: Any = StoppedLoop()
    settings = MembershipSettings(enabled=True, uses=ALL_USES)
    fleet_size, outliers = FleetSize(5, 0), OutlierGossip()
    hooks = MembershipHooks(
        lambda *datagram: sent.append(datagram),
        lambda *datagram: other_versions.append(datagram),
        lambda engine: f"engine-{engine}",
    )
    service = MembershipService(loop, MemberConfig(settings, 5, 0, 3, {}), fleet_size, outliers, hooks)
    outliers.set_engines({engine: engine % 2 for engine in range(1, 11)})
    service.receive(1, b"\x01rest")
    assert other_versions == [(1, b"\x01rest")]
    start_s = int(WALL_S)
    report = messages.OutlierReport(((4, 1, 0), (6, 2, 0)))
    update = messages.MemberUpdate(3, start_s + 3, messages.MemberState.LEFT)
    for sender in (1, 2):
        items = (
            report,
            messages.MemberUpdate(sender, start_s, messages.MemberState.ALIVE),
            update,
            messages.FleetSizeReport(3),
        )
        service.receive(sender, codec.encode(messages.Message(sender, start_s + sender, 1, start_s, items)))
    service.receive(3, codec.encode(messages.Message(3, start_s + 3, 1, start_s, (update,))))
    service.receive(2, b"\x02short")
    service.receive(4, codec.encode(messages.Message(2, start_s + 2, 2, start_s, ())))
    service.integration.refresh(loop.now)
    return service.status_lines()


RUNNERS: dict[str, Callable[[], Any]] = {
    "8 members": lambda: tier_run(8, {}, 26.0),
    "8 members with keys": lambda: tier_run(8, KEYS, 26.0),
    "7 members": lambda: tier_run(7, {}, 20.0),
    "50 members": lambda: tier_run(50, {}, 22.0),
    "12 members with a liar that says all are dead": lambda: simulation_run(12, "all dead"),
    "40 members with a liar that says the dead live": lambda: simulation_run(40, "dead live"),
}


@pytest.mark.parametrize("name", RUNNERS)
def test_seeded_run_sends_the_recorded_datagrams(name: str) -> None:
    assert RUNNERS[name]() == RECORDED_RUNS[name]


def test_peers_command_answers_the_recorded_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: WALL_S)
    assert status_lines() == RECORDED_RUNS["lines"]
