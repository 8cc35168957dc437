"""Store: synced records are restored after a crash or power loss at any step, and after damage."""

import os
import random
from pathlib import Path

import pytest
from recovery_helpers import checkpoint_of, directive, endpoint_entry

from lilacfront.lab.crash_points import sweep
from lilacfront.recovery.durable_state import DurableState, replay
from lilacfront.recovery.journal_file import encode_frame
from lilacfront.recovery.records import (
    AnyRecord,
    DirectiveRecord,
    EndpointListRecord,
    IncarnationRecord,
    LoadStartedRecord,
    encode_record,
)
from lilacfront.recovery.store import Store, StoreLockedError

RECORDS = (
    EndpointListRecord(3, True, (endpoint_entry(1), endpoint_entry(2))),
    DirectiveRecord(directive("s-1", 1)),
    LoadStartedRecord(b"x", 2.0),
    IncarnationRecord(7),
)


def open_store(directory: Path) -> Store:
    return Store(str(directory), "n0", "here")


def write_generation(directory: Path, *records: AnyRecord) -> Path:
    """Write a generation with an empty checkpoint followed by these records; returns its path."""
    store = open_store(directory)
    store.restore()
    store.begin_generation(DurableState().checkpoint())
    store.append(b"".join(encode_frame(encode_record(record)) for record in records))
    store.close()
    return directory / f"{store.stem}.{store.generation}.journal"


@pytest.mark.parametrize("power_loss", [False, True])
@pytest.mark.parametrize("second_crash_at", [0, 1, 5, 12])
def test_synced_records_survive_a_crash_or_power_loss_at_any_step(
    power_loss: bool, second_crash_at: int
) -> None:
    result = sweep(power_loss, second_crash_at)
    assert result.runs > 100
    assert (result.wrong_restores, result.failed_starts) == (0, 0)


def test_the_sweep_detects_a_store_that_does_not_sync() -> None:
    assert sweep(True, syncs=False).wrong_restores > 0


def test_truncated_or_corrupted_journal_restores_an_earlier_state(tmp_path: Path) -> None:
    path = write_generation(tmp_path, *RECORDS)
    journal = path.read_bytes()
    states = [checkpoint_of(DurableState())]
    states += [checkpoint_of(replay(RECORDS[:count])) for count in range(len(RECORDS) + 1)]
    rng = random.Random(1)
    for offset in range(0, len(journal), 2):
        corrupted = bytearray(journal)
        corrupted[offset] ^= 1 << rng.randrange(8)
        for damaged in (journal[:offset], bytes(corrupted)):
            path.write_bytes(damaged)
            assert checkpoint_of(open_store(tmp_path).restore()) in states


def test_damaged_newest_generation_falls_back_to_the_previous_one(tmp_path: Path) -> None:
    write_generation(tmp_path, *RECORDS)
    newest = write_generation(tmp_path, DirectiveRecord(directive("s-2", 2)))
    newest.write_bytes(newest.read_bytes()[:30])
    assert open_store(tmp_path).restore().directives.keys() == {"s-1"}


def test_two_generations_are_kept(tmp_path: Path) -> None:
    for number in range(4):
        write_generation(tmp_path, DirectiveRecord(directive(f"s-{number}", number + 1)))
    assert len(list(tmp_path.glob("*.journal"))) == 2


def test_a_symbolic_link_is_not_followed(tmp_path: Path) -> None:
    for number in range(4):
        write_generation(tmp_path, DirectiveRecord(directive(f"s-{number}", number + 1)))
    os.symlink("/dev/zero", tmp_path / "recovery.n0.9.journal")
    assert "s-3" in open_store(tmp_path).restore().directives


def test_store_can_be_locked_again_only_after_it_is_closed(tmp_path: Path) -> None:
    first, second = open_store(tmp_path), open_store(tmp_path)
    first.lock()
    with pytest.raises(StoreLockedError):
        second.lock()
    first.close()
    second.lock()
    second.close()
