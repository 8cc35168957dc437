"""Test helpers for recovery: builders of records, and front ends that exchange state in memory."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from lilacfront.membership.codec import decode, encode
from lilacfront.membership.messages import ChunkRequest, Message, StateChunk, StateDigest
from lilacfront.operations.state_record import OperatorDirective
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.records import AnyRecord, EndpointEntry
from lilacfront.recovery.state_encoding import ReadyList
from lilacfront.recovery.state_exchange import ExchangedState, StateExchange

DIGEST_BUDGET_BYTES = 100
ROUND_PERIOD_S = 0.5


def endpoint_entry(number: int, lifecycle: str = "ready") -> EndpointEntry:
    """The engine `s-<number>`."""
    return EndpointEntry(f"s-{number}", f"127.0.0.1:{9000 + number}", lifecycle, "hall-a", "c12", 0, 1.0, 5.0)


def directive(target: str, revision: int, active: bool = True, author: str = "a") -> OperatorDirective:
    """A directive to suspend the engine `target`, or to end its suspension if not `active`."""
    return OperatorDirective(target, revision, author, active, 1.0, 1.0)


def checkpoint_of(state: DurableState) -> list[AnyRecord]:
    """The records of a checkpoint, for comparing states."""
    return list(state.checkpoint())


class InMemoryFrontEnd(ExchangedState):
    """State exchange of one front end whose state is in dictionaries.

    Attributes:
        fleet: All front ends that exchange state, by number.
        stage_while_recovering: The stage number reported to peers during recovery.
        ready_lists_received: Peer, list number and short ids of each ready list received.
    """

    def __init__(
        self, number: int, fleet: dict[int, InMemoryFrontEnd] | None = None, recovering: bool = False
    ) -> None:
        self.number = number
        self.fleet = {} if fleet is None else fleet
        self.fleet[number] = self
        self.is_recovering = recovering
        self.stage_while_recovering = 0
        self.directives: dict[str, OperatorDirective] = {}
        self.replicas: dict[int, dict[str, OperatorDirective]] = {}
        self.current_ready_list = ReadyList(0, [])
        self.ready_lists_received: list[tuple[int, int, set[int]]] = []
        self.exchange = StateExchange(self)

    def stage_number(self) -> int:
        return self.stage_while_recovering if self.is_recovering else 4

    def recovering(self) -> bool:
        return self.is_recovering

    def own_directives(self) -> Iterable[OperatorDirective]:
        return self.directives.values()

    def peer_directives(self) -> Mapping[int, Mapping[str, OperatorDirective]]:
        return self.replicas

    def ready_list(self) -> ReadyList:
        return self.current_ready_list

    def merge_peer_directives(self, owner: int, directives: list[OperatorDirective]) -> None:
        _merge(self.replicas.setdefault(owner, {}), directives)

    def restore_own_directives(self, directives: list[OperatorDirective]) -> None:
        _merge(self.directives, directives)

    def apply_peer_ready_list(self, peer: int, seq: int, short_ids: set[int]) -> None:
        self.ready_lists_received.append((peer, seq, short_ids))

    def send_digest(self, to: int, now: float, loss: float, rng: random.Random) -> None:
        """Send a digest and retries, and deliver all answers; `loss` is the probability of a lost message."""
        queue = [(self.number, to, item) for item in self.exchange.collect(now, DIGEST_BUDGET_BYTES)]
        queue += [(self.number, peer, item) for peer, item in self.exchange.collect_retries(now)]
        while queue:
            sender, receiver, item = queue.pop(0)
            if rng.random() < loss:
                continue
            (received,) = decode(encode(Message(sender, 1, 1, 1, (item,)))).items
            assert isinstance(received, StateDigest | ChunkRequest | StateChunk)
            answers = self.fleet[receiver].exchange.receive(now, sender, received)
            queue += [(receiver, sender, answer) for answer in answers]


def _merge(known: dict[str, OperatorDirective], received: list[OperatorDirective]) -> None:
    for directive_received in received:
        if directive_received.supersedes(known.get(directive_received.target)):
            known[directive_received.target] = directive_received


def exchange_digests(fleet: dict[int, InMemoryFrontEnd], rounds: int = 60, loss: float = 0.0) -> None:
    """Let all front ends send each other digests for a number of rounds."""
    rng = random.Random(3)
    for turn in range(rounds):
        for front_end in fleet.values():
            front_end.exchange.invalidate()
            for to in fleet:
                if to != front_end.number:
                    front_end.send_digest(to, turn * ROUND_PERIOD_S, loss, rng)
