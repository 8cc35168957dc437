"""Tests of the state directory."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from lilacfront.operations.state_directory import StateDirectory
from lilacfront.operations.state_record import (
    MAX_FILE_BYTES,
    OperatorDirective,
    ProcessState,
    encode_state,
)

MakeState = Callable[..., ProcessState]
DIRECTIVE = OperatorDirective("s-1", 1, "a", True, 1.0, 1.0)


@pytest.fixture
def old(tmp_path: Path, make_state: MakeState) -> StateDirectory:
    """The directory as used by process `a` of front end `n/0`, which has saved its state."""
    directory = StateDirectory(str(tmp_path), "n/0", "a")
    directory.save(make_state("a", DIRECTIVE, front_end="n/0"))
    return directory


@pytest.fixture
def new(tmp_path: Path, old: StateDirectory) -> StateDirectory:
    """The directory as used by process `b` of the same front end."""
    assert old.is_locked
    return StateDirectory(str(tmp_path), "n/0", "b")


def running_tokens(directory: StateDirectory) -> list[str]:
    return [process.token for process in directory.running_processes()]


def test_processes_read_states_of_each_other(
    old: StateDirectory, new: StateDirectory, make_state: MakeState
) -> None:
    assert [state.directives for state in new.scan()] == [(DIRECTIVE,)]
    assert new.processes["a"].state is not None
    assert running_tokens(new) == ["a"]
    old.scan()
    assert running_tokens(old) == ["b"]
    second = OperatorDirective("s-2", 2, "a", True, 2.0, 2.0)
    old.save(make_state("a", DIRECTIVE, second, front_end="n/0"))
    assert [len(state.directives) for state in new.scan()] == [2]
    assert new.scan() == []


def test_processes_of_another_front_end_are_not_seen(old: StateDirectory, tmp_path: Path) -> None:
    assert old.is_locked
    assert StateDirectory(str(tmp_path), "n1", "c").scan() == []


def test_files_of_dead_process_are_kept_until_removed_as_stale(
    old: StateDirectory, new: StateDirectory, tmp_path: Path
) -> None:
    new.scan()
    assert old.lock is not None
    old.lock.close()  # releases the lock as the end of the process would
    new.scan()
    assert running_tokens(new) == []
    assert (tmp_path / "lilacfront.n_0.a.json").exists()
    new.remove_stale()
    assert not list(tmp_path.glob("lilacfront.n_0.a.*"))


def test_invalid_files_are_ignored_and_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, make_state: MakeState
) -> None:
    (tmp_path / "lilacfront.n0.malformed.json").write_bytes(b"\0" * 100)
    (tmp_path / "lilacfront.n0.symlink.json").symlink_to("/etc/hostname")
    (tmp_path / "lilacfront.n0.too-long.json").write_bytes(b"x" * (MAX_FILE_BYTES + 1))
    os.mkfifo(tmp_path / "lilacfront.n0.fifo.json")
    (tmp_path / "lilacfront.n0.renamed.json").write_bytes(encode_state(make_state("other")))
    directory = StateDirectory(str(tmp_path), "n0", "a")
    assert directory.scan() == []
    assert not any(process.state for process in directory.processes.values())
    logged = [str(getattr(record, "fields", {}).get("file")) for record in caplog.records]
    tokens = ("fifo", "malformed", "renamed", "symlink", "too-long")
    assert sorted(logged) == [f"lilacfront.n0.{token}.json" for token in tokens]


def test_missing_directory_disables_state_sharing(tmp_path: Path, make_state: MakeState) -> None:
    directory = StateDirectory(str(tmp_path / "nowhere"), "n0", "a")
    assert not directory.is_locked
    assert directory.scan() == []
    directory.save(make_state("a"))
