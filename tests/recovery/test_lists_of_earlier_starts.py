"""The endpoint list that a start is given takes precedence over the stored list of an earlier start."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from lilacfront.lab.test_bed import FrontEndProcess, ProcessTestBed, wait_until
from lilacfront.lab.thrift_client import ThriftClient

LOOKUPS = 40


@pytest.fixture
def test_bed(tmp_path: Path) -> Iterator[ProcessTestBed]:
    (tmp_path / "store").mkdir()
    (tmp_path / "recovery.toml").write_text(f'[recovery]\ndirectory = "{tmp_path}/store"\nsite = "colombo"\n')
    bed = ProcessTestBed(tmp_path)
    yield bed
    bed.close()


def start(test_bed: ProcessTestBed) -> FrontEndProcess:
    options = ["--recovery", str(test_bed.directory / "recovery.toml")]
    return test_bed.start(options=options).wait_until_ready()


def known(instances: list[dict[str, Any]]) -> dict[str, Any]:
    return {"seq": 1, "results": [{"seq": 1, "fleet": {"reset": True, "instances": instances}}]}


def seq_stored_by(test_bed: ProcessTestBed) -> bytes:
    return b"".join(path.read_bytes() for path in (test_bed.directory / "store").glob("*.journal"))


def lookups_received(test_bed: ProcessTestBed, name: str) -> int:
    """Send lookups of many table groups; returns how many of them this warehouse received."""
    client = ThriftClient(test_bed.address)
    before = len(test_bed.warehouses[name].received)
    for number in range(LOOKUPS):
        assert client.is_served(client.send_request(number + 1, group=number))
    client.close()
    return len(test_bed.warehouses[name].received) - before


@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("later_events", [0, 2])
def test_drain_in_the_list_of_a_start_is_heeded(
    test_bed: ProcessTestBed, later_events: int, stop: signal.Signals
) -> None:
    """Guards against the list of the life before, with a higher number, that hides a drain (review/10)."""
    first = start(test_bed)
    assert lookups_received(test_bed, "s-1")
    for weight in (11, 12):  # events 2 and 3
        entry = {**test_bed.instance("s-2"), "weight": weight}
        test_bed.call(lambda entry=entry: test_bed.change_log.append(entry))  # type: ignore[misc]
    stored = seq_stored_by(test_bed)
    wait_until(lambda: len(seq_stored_by(test_bed)) > len(stored), "the journal to store the events")
    first.signal(stop)
    first.wait_until_ended()
    instances = [test_bed.instance("s-1", "draining"), test_bed.instance("s-2")]
    test_bed.config_overrides["known"] = known(instances)
    test_bed.call(lambda: test_bed.change_log.renumber(*instances))
    for _ in range(later_events):
        test_bed.call(lambda: test_bed.change_log.append(test_bed.instance("s-2")))
    start(test_bed)
    assert not lookups_received(test_bed, "s-1")


def test_newer_stored_list_of_the_same_start_is_used(test_bed: ProcessTestBed) -> None:
    """Guards against a stored drain that is forgotten if the configuration is unchanged after a crash."""
    first = start(test_bed)
    stored = seq_stored_by(test_bed)
    test_bed.call(lambda: test_bed.change_log.append(test_bed.instance("s-1", "draining")))
    wait_until(lambda: len(seq_stored_by(test_bed)) > len(stored), "the journal to store the event")
    first.signal(signal.SIGKILL)
    first.wait_until_ended()
    test_bed.call(test_bed.change_log.stop_listening)
    start(test_bed)
    assert not lookups_received(test_bed, "s-1")
