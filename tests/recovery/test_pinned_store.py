"""Stored bytes, messages and decisions of recovery equal the recorded ones, so that versions can be mixed."""

import hashlib
import json
import random
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest
from recovery_helpers import InMemoryFrontEnd

from lilacfront.decisions.settings import Idempotency, RequestClass
from lilacfront.membership.codec import decode, encode
from lilacfront.membership.messages import ChunkRequest, Item, Message, StateChunk, StateDigest
from lilacfront.operations.state_record import LearnedClass, OperatorDirective
from lilacfront.recovery import records
from lilacfront.recovery.durable_state import DurableState, replay
from lilacfront.recovery.journal_file import encode_frame
from lilacfront.recovery.retry_after import RetryAfterScheduler, warm_up_curve
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.recovery.startup_stages import (
    RecoveryStage,
    StartupConditions,
    StartupStages,
    admission_stages,
)
from lilacfront.recovery.state_encoding import ReadyList
from lilacfront.recovery.store import Store

FIXTURES = Path(__file__).parents[1] / "fixtures" / "recovery"
NAME, SITE = "front.0/a", "hall-1"  # the store replaces characters that a file name can't contain


def entry(number: int, lifecycle: str = "ready") -> records.EndpointEntry:
    return records.EndpointEntry(
        f"s-{number}",
        f"127.0.0.1:{9000 + number}",
        lifecycle,
        "hall-a",
        "c12",
        number % 3,
        1.5,
        5.25 * number,
    )


def directive(target: str, revision: int, active: bool = True, author: str = "a.1") -> OperatorDirective:
    return OperatorDirective(target, revision, author, active, 1.5, 2.5)


EVERY_KIND: tuple[records.AnyRecord, ...] = (
    records.JournalHeader(1, NAME, SITE, 7),
    records.EndpointListRecord(3, True, (entry(1), entry(2, "draining"), entry(3, "warming"))),
    records.EndpointListRecord(4, False, (entry(3, "gone"), entry(4))),
    records.ChangeLogResetRecord(),
    records.DirectiveRecord(directive("s-1", 1)),
    records.DirectiveRecord(directive("", 2, active=False)),
    records.PeerDirectiveRecord(2, directive("s-2", 5, author="b.9")),
    records.LoadStartedRecord(b"\x00load-1", 100.5),
    records.LoadStartedRecord(b"load-2", 101.0),
    records.LoadFinishedRecord(b"load-2"),
    records.IncarnationRecord(1_234_567),
    records.ClassEstimatesRecord(99.5, (LearnedClass(3, 1.5, 2.5, 0.0), LearnedClass(0, 0.0, 0.0, 4.0))),
    records.CleanShutdownRecord(),
)


def write_store(directory: Path) -> None:
    """Write two generations: one with a record of every kind, then a checkpoint with two records after it."""
    store = Store(str(directory), NAME, SITE)
    store.restore()
    store.begin_generation(DurableState().checkpoint())
    for record in EVERY_KIND[1:]:
        store.append(encode_frame(records.encode_record(record)))
    store.begin_generation(list(replay(EVERY_KIND).checkpoint()))
    store.append(encode_frame(records.encode_record(records.EndpointListRecord(1, False, (entry(9),)))))
    store.append(
        encode_frame(records.encode_record(records.DirectiveRecord(directive("s-1", 3, active=False))))
    )
    store.close()


def encode_checkpoint(state: DurableState) -> bytes:
    return b"".join(encode_frame(records.encode_record(record)) for record in state.checkpoint())


# ---- startup stages -------------------------------------------------------------------------------------
IDEMPOTENCY_VALUES = [Idempotency(value) for value in ("safe", "keyed", "unsafe", "safe", "unsafe")]


def startup_decisions() -> Iterator[tuple[object, ...]]:
    rng = random.Random(11)
    for _ in range(60):
        settings = RecoverySettings(
            directory="x",
            confirm_timeout_s=rng.choice([0.5, 10.0]),
            short_reads_stage_s=rng.uniform(0, 3),
            idempotent_stage_s=1.5,
        )
        stages, now = StartupStages(settings, 5.0), 5.0
        flags = [rng.random() < 0.3 for _ in range(6)]
        for _ in range(80):
            now += rng.uniform(0.0, 0.4)
            if rng.random() < 0.1:
                flags[rng.randrange(6)] ^= True
            stage = stages.advance(now, StartupConditions(*flags))
            yield (
                int(stage),
                stages.endpoints_stale,
                stages.fleet_outage,
                *[stages.earliest_start(later_stage, now) for later_stage in RecoveryStage],
            )
    for _ in range(40):
        classes = tuple(
            RequestClass(
                rng.randrange(1, 5) * 100_000,
                4_000_000,
                1.0,
                rng.randrange(1, 4),
                rng.choice(IDEMPOTENCY_VALUES),
            )
            for _ in range(rng.randrange(1, 6))
        )
        yield tuple(int(stage) for stage in admission_stages(classes))


# ---- Retry-After ----------------------------------------------------------------------------------------
def _scaled(fraction: Callable[[float], float], cores: float) -> Callable[[float], float]:
    return lambda at: cores * fraction(at)


def retry_after_decisions() -> Iterator[object]:
    rng = random.Random(12)
    for max_retry_after_s in (0.0, 2.0, 10.0):
        for cold in (0.25, 1.0):
            warming = warm_up_curve(cold, 4.0, 1.0)
            scheduler = RetryAfterScheduler(_scaled(warming, 8.0), 0, max_retry_after_s, 3)
            now = 0.5
            calls = [b"%d" % n for n in range(150)]
            for _ in range(3000):
                now += rng.expovariate(400.0)
                call_id = rng.choice(calls)
                class_index = rng.randrange(3)
                cost = rng.choice([0.01, 0.2, 1.5])
                if rng.random() < 0.4 and scheduler.admit(now, call_id, class_index, cost):
                    yield True
                    continue
                yield scheduler.schedule(now, call_id, class_index, cost, rng.choice([0.0, now + 0.5]))
                yield scheduler.compliance


# ---- the exchange of state ------------------------------------------------------------------------------
class LoggingFrontEnd(InMemoryFrontEnd):
    """Logs the state it receives, in the form of the recorded log."""

    def __init__(self, log: list[object], number: int) -> None:
        super().__init__(number)
        self.log = log
        self.stage_while_recovering = 1

    def merge_peer_directives(self, owner: int, directives: list[OperatorDirective]) -> None:
        self._log_directives("kept", directives)
        super().merge_peer_directives(owner, directives)

    def restore_own_directives(self, directives: list[OperatorDirective]) -> None:
        self._log_directives("own", directives)
        super().restore_own_directives(directives)

    def apply_peer_ready_list(self, peer: int, seq: int, short_ids: set[int]) -> None:
        self.log.append((peer, seq, sorted(short_ids)))

    def _log_directives(self, label: str, directives: list[OperatorDirective]) -> None:
        self.log.append((label, [msgspec.msgpack.encode(record).hex() for record in directives]))


def _change_at_random(rng: random.Random, front_end: LoggingFrontEnd, number: int, step: int) -> None:
    match rng.randrange(5):
        case 0:
            name = f"s-{rng.randrange(30)}"
            front_end.directives[name] = directive(
                name, step, active=rng.random() < 0.7, author=f"{number}.1"
            )
        case 1:
            front_end.current_ready_list = ReadyList(step, [f"s-{n}" for n in range(rng.randrange(200))])
        case 2:
            front_end.is_recovering = not front_end.is_recovering
        case 3 if rng.random() < 0.3:
            front_end.directives = {}
        case 4 if rng.random() < 0.3:
            front_end.replicas.pop(rng.randrange(3), None)
    front_end.exchange.invalidate()


def exchange_decisions() -> Iterator[object]:
    rng = random.Random(13)
    log: list[object] = []
    front_ends = [LoggingFrontEnd(log, number) for number in range(3)]
    for step in range(400):
        now = step * 0.2
        number = rng.randrange(3)
        _change_at_random(rng, front_ends[number], number, step)
        invalid_items: list[Item] = [
            StateDigest(9, step, ((rng.randrange(5), step, 60_000),)),
            ChunkRequest(rng.randrange(5), step, rng.randrange(400)),
            StateChunk(rng.randrange(5), step, 0, b"\xff" * 20),
        ]
        invalid_item = rng.choice(invalid_items)
        queue: list[tuple[int, int, Item]] = [(rng.randrange(3), number, invalid_item)]
        for sender in range(3):
            for receiver in range(3):
                if sender != receiver:
                    queue += [
                        (sender, receiver, item) for item in front_ends[sender].exchange.collect(now, 100)
                    ]
            queue += [(sender, peer, item) for peer, item in front_ends[sender].exchange.collect_retries(now)]
        while queue:
            sender, receiver, item = queue.pop(0)
            message = encode(Message(sender, 1, 1, 1, (item,)))
            yield sender, receiver, message.hex()
            if rng.random() < 0.15:
                continue
            (arrived,) = decode(message).items
            assert isinstance(arrived, StateDigest | ChunkRequest | StateChunk)
            answers = front_ends[receiver].exchange.receive(now, sender, arrived)
            queue += [(receiver, sender, answer) for answer in answers]
        for front_end in front_ends:
            yield (
                sorted(front_end.exchange.disagreeing_peers),
                [front_end.exchange.any_peer_at_stage(now, stage) for stage in range(6)],
            )
    yield log


DECISIONS = {
    "startup_stages": startup_decisions,
    "retry_after": retry_after_decisions,
    "state_exchange": exchange_decisions,
}


def digest_of(name: str) -> list[object]:
    """Number of decisions and a SHA-256 digest over all of them."""
    digest, count = hashlib.sha256(), 0
    for decision in DECISIONS[name]():
        digest.update(repr(decision).encode() + b"\n")
        count += 1
    return [count, digest.hexdigest()]


# ---- tests ----------------------------------------------------------------------------------------------
def pinned_digests() -> dict[str, list[object]]:
    digests: dict[str, list[object]] = json.loads((FIXTURES / "decisions.json").read_text())
    return digests


@pytest.mark.parametrize("name", DECISIONS)
def test_decisions_match_the_pinned_digest(name: str) -> None:
    assert digest_of(name) == pinned_digests()[name]


@pytest.mark.parametrize("index", range(len(EVERY_KIND)))
def test_each_record_is_encoded_as_pinned_and_decoded_again(index: int) -> None:
    line = (FIXTURES / "records.hex").read_text().splitlines()[index]
    assert encode_frame(records.encode_record(EVERY_KIND[index])).hex() == line
    assert records.decode_record(bytes.fromhex(line)[8:]) == EVERY_KIND[index]


def test_store_writes_the_pinned_files(tmp_path: Path) -> None:
    write_store(tmp_path)
    expected = {path.name: path.read_bytes() for path in (FIXTURES / "store").iterdir()}
    assert len(expected) == 2
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == expected


@pytest.mark.parametrize("generations", ["both", "older", "newer"])
def test_pinned_files_restore_the_pinned_state(tmp_path: Path, generations: str) -> None:
    for path in (FIXTURES / "store").iterdir():
        if generations == "both" or path.name.split(".")[-2] == {"older": "1", "newer": "2"}[generations]:
            shutil.copy(path, tmp_path)
    state = Store(str(tmp_path), NAME, SITE).restore()
    assert encode_checkpoint(state) == (FIXTURES / f"checkpoint-{generations}.bin").read_bytes()
