"""Decisions of the whole coordinator equal the recorded ones for the same events."""

import hashlib
import json
import random
import shutil
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.hooks import AdmissionPolicy
from lilacfront.core.model import Failed, Request
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings import (
    Idempotency,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
)
from lilacfront.discovery.endpoint_list import EndpointRecord, EndpointUpdate
from lilacfront.operations.state_record import LearnedClass, LearnedState, OperatorDirective
from lilacfront.recovery.coordinator import RecoveryCoordinator
from lilacfront.recovery.host import RecoveryHost
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.sched import Loop

FIXTURES = Path(__file__).parents[1] / "fixtures" / "recovery"
STARTED_AT = 130.0
SEED = 5
CLASSES = (
    RequestClass(800_000, 4_000_000, 1.0, 1, Idempotency("safe")),
    RequestClass(1_500_000, 20_000_000, 6.0, 4, Idempotency("safe")),
    RequestClass(2_000_000, 20_000_000, 2.0, 2, Idempotency("keyed")),
    RequestClass(4_000_000, 20_000_000, 5.0, 2, Idempotency("unsafe")),
)


class RecordingHost(RecoveryHost):
    """A host that logs every change that recovery makes."""

    def __init__(self) -> None:
        self.log: list[object] = []
        self.confirmed = False
        self.seq = 0

    def endpoint_list_seq(self) -> int:
        return self.seq

    def endpoints_confirmed(self) -> bool:
        return self.confirmed

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        entries = [
            (endpoint.host_port, endpoint.lifecycle, endpoint.started_at_ms) for endpoint in update.endpoints
        ]
        self.log.append(("endpoints", update.is_snapshot, entries))

    def resume_change_log(self, seq: int) -> None:
        self.log.append(("resume", seq))

    def adopt_directives(self, directives: Iterable[OperatorDirective]) -> None:
        names = [(directive.target, directive.revision, directive.active) for directive in directives]
        self.log.append(("directives", names))

    def export_learned_state(self) -> LearnedState:
        return LearnedState(classes=(LearnedClass(1, 2.0, 3.0, 4.0),))

    def import_learned_state(self, learned: LearnedState, age_s: float) -> None:
        self.log.append(("learned", len(learned.classes), age_s))

    def ready_cores(self) -> float:
        return 16.0

    def gateway_count(self) -> int:
        return 2


class Driver:
    """Drives a coordinator without a server, on a simulated clock."""

    def __init__(self, directory: Path, usable: bool) -> None:
        self.directory = directory
        self.host = RecordingHost()
        self.loop = SimpleNamespace(now=STARTED_AT)
        limits = PolicyLimits(5, False, False, False, False, True, 10_000_000)
        policy = PolicySettings(CLASSES, (8.0,), limits, SafetyRules(0, 0, None, 0.25, 0, 4_000_000))
        settings = RecoverySettings(
            directory=str(directory) if usable else str(directory / "missing"),
            site="hall-1",
            confirm_timeout_s=1.5,
            short_reads_stage_s=1.0,
            idempotent_stage_s=1.5,
        )
        dispatcher = SimpleNamespace(
            router=RequestRouter(policy, SEED), set_admission_policy=self._set_admission_policy
        )
        self.coordinator = RecoveryCoordinator(
            cast(Loop, self.loop),
            settings,
            "front.0/a",
            policy,
            cast(RequestDispatcher, dispatcher),
            SEED,
            self.host,
        )

    def _set_admission_policy(self, policy: AdmissionPolicy) -> None:
        self.policy = policy

    def set_confirmed(self, confirmed: bool, seq: int) -> None:
        self.host.confirmed = confirmed
        self.host.seq = seq

    def log(self) -> list[object]:
        return self.host.log

    def restored(self) -> bool:
        return self.coordinator.restored

    def step(self) -> None:
        assert self.coordinator.step() == []

    def admission_result(self, call_id: bytes, class_index: int) -> object:
        answer = self.policy.admission_answer(Request(call_id, class_index, 1e9, b""))
        if answer is None:
            return None
        return answer.detail if isinstance(answer, Failed) else cast(Any, answer).retry_after_ms

    def retry_after(self, call_id: bytes, class_index: int, proposed_ms: int) -> int:
        return self.policy.retry_after_ms(Request(call_id, class_index, 1e9, b""), proposed_ms)

    def record_load(self, call_id: bytes, forwarded: bool) -> None:
        request = Request(call_id, 3, 1e9, b"")
        if forwarded:
            self.policy.load_forwarded(request)
        else:
            self.policy.load_answered(request)

    def record_endpoints(self, seq: int, entries: list[tuple[str, str, str]]) -> None:
        update = EndpointUpdate(0, False, [EndpointRecord(*entry) for entry in entries])
        self.coordinator.record_endpoints(seq, update)

    def record_directive(self, target: str, revision: int) -> None:
        self.coordinator.record_directive(OperatorDirective(target, revision, "a.2", True, 1.0, 1.0))

    def status(self) -> tuple[str, bool]:
        suffix = self.coordinator.status_suffix().replace(str(self.directory), "DIRECTORY")
        return suffix, self.coordinator.unavailable

    def close(self) -> None:
        self.coordinator.close()


def decisions(driver: Any, seed: int, confirmed_at: float) -> Iterator[object]:
    """Yield the decisions of a coordinator for a seeded random sequence of events."""
    rng = random.Random(seed)
    driver.record_endpoints(1, [("127.0.0.1:1", "s-50", "ready")])
    while not driver.restored():
        driver.step()
    yield driver.status()[1], list(driver.log())
    for turn in range(1200):
        driver.loop.now += rng.expovariate(200.0)
        driver.set_confirmed(driver.loop.now >= STARTED_AT + confirmed_at, 2)
        call_id = rng.choice([b"\x00load-1", b"load-2", *[b"%d" % n for n in range(40)]])
        class_index = rng.randrange(4)
        match rng.randrange(8):
            case 0 | 1 | 2 | 3:
                yield driver.admission_result(call_id, class_index)
            case 4:
                yield driver.retry_after(call_id, class_index, 77)
            case 5:
                driver.record_load(call_id, rng.random() < 0.5)
            case 6 if rng.random() < 0.1:
                lifecycle = rng.choice(["ready", "draining"])
                driver.record_endpoints(turn + 10, [("127.0.0.1:2", "s-2", lifecycle)])
            case 7 if rng.random() < 0.1:
                driver.record_directive(f"s-{rng.randrange(4)}", turn + 10)
        driver.step()
        yield driver.status()
    driver.close()
    yield driver.log()


CASES = {
    "restored, log confirms": (True, 1, 0.4),
    "restored, log is silent": (True, 2, 99.0),
    "store unusable": (False, 3, 0.1),
}


def digest_of(driver: Any, seed: int, confirmed_at: float) -> str:
    digest = hashlib.sha256()
    for decision in decisions(driver, seed, confirmed_at):
        digest.update(repr(decision).encode() + b"\n")
    return digest.hexdigest()


@pytest.mark.parametrize("case", CASES)
def test_coordinator_decisions_match_the_pinned_digest(tmp_path: Path, case: str) -> None:
    usable, seed, confirmed_at = CASES[case]
    directory = tmp_path / "store"
    shutil.copytree(FIXTURES / "store", directory)
    pinned = json.loads((FIXTURES / "coordinator.json").read_text())
    driver = Driver(directory, usable)
    assert digest_of(driver, seed, confirmed_at) == pinned[case]
