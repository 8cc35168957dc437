"""Journal writer: one restore, then records and checkpoints are written without blocking the caller."""

from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import pytest
from recovery_helpers import checkpoint_of, directive

from lilacfront.lab.test_bed import wait_until
from lilacfront.recovery.durable_state import DurableState, replay
from lilacfront.recovery.journal_writer import MAX_QUEUED_RECORDS, JournalWriter
from lilacfront.recovery.records import DirectiveRecord, IncarnationRecord
from lilacfront.recovery.store import Store

WRITE_WINDOW_S = 0.01
MAX_JOURNAL_BYTES = 1 << 20
TIMEOUT_S = 10.0
RECORDS = (DirectiveRecord(directive("s-1", 1)), IncarnationRecord(7))


def open_store(directory: Path) -> Store:
    return Store(str(directory), "n0", "here")


def open_writer(directory: Path, max_journal_bytes: int = MAX_JOURNAL_BYTES) -> JournalWriter:
    return JournalWriter(open_store(directory), WRITE_WINDOW_S, max_journal_bytes)


def write_first_checkpoint(writer: JournalWriter) -> None:
    wait_until(lambda: writer.needs_checkpoint, "the first checkpoint")
    writer.write_checkpoint(DurableState().checkpoint())


@pytest.fixture
def writer(tmp_path: Path) -> Iterator[JournalWriter]:
    with closing(open_writer(tmp_path)) as writer:
        yield writer


def test_an_empty_directory_restores_an_empty_state(writer: JournalWriter) -> None:
    result = writer.restored.get(timeout=TIMEOUT_S)
    assert result.state is not None
    assert checkpoint_of(result.state) == checkpoint_of(DurableState())


def test_records_after_a_checkpoint_are_restored_by_the_next_process(
    tmp_path: Path, writer: JournalWriter
) -> None:
    write_first_checkpoint(writer)
    for record in RECORDS:
        writer.append(record)
    writer.close()
    assert checkpoint_of(open_store(tmp_path).restore()) == checkpoint_of(replay(RECORDS))


def test_oversized_journal_requests_a_checkpoint(tmp_path: Path) -> None:
    with closing(open_writer(tmp_path, max_journal_bytes=1)) as writer:
        write_first_checkpoint(writer)
        wait_until(lambda: writer.needs_checkpoint, "another checkpoint")


def test_full_queue_requests_a_checkpoint(tmp_path: Path) -> None:
    lock_holder = open_store(tmp_path)
    lock_holder.lock()  # keeps the writer from emptying its queue
    with closing(open_writer(tmp_path)) as writer:
        for number in range(MAX_QUEUED_RECORDS):
            writer.append(IncarnationRecord(number))
        assert not writer.needs_checkpoint
        writer.append(IncarnationRecord(MAX_QUEUED_RECORDS))
        assert writer.needs_checkpoint
    lock_holder.close()


def test_missing_directory_restores_nothing_and_is_reported(tmp_path: Path) -> None:
    with closing(open_writer(tmp_path / "missing")) as writer:
        assert writer.restored.get(timeout=TIMEOUT_S).state is None
        assert "missing" in writer.failure


def test_locked_store_is_reported_at_once_and_restored_after_unlock(tmp_path: Path) -> None:
    lock_holder = open_store(tmp_path)
    lock_holder.lock()
    with closing(open_writer(tmp_path)) as writer:
        first = writer.restored.get(timeout=TIMEOUT_S)
        assert first.state is None
        assert first.locked_by_other_process
        lock_holder.close()
        assert writer.restored.get(timeout=TIMEOUT_S).state is not None
