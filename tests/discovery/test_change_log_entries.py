"""Tests of change log entries that can't be decoded."""

from __future__ import annotations

import json

import pytest

from lilacfront.decisions.events import EndpointState
from lilacfront.discovery.change_log import ChangeEvent, decode_event
from lilacfront.discovery.endpoint_list import EndpointRegistry, split_repeats


def test_undecodable_entry_does_not_hide_drain_in_same_event(caplog: pytest.LogCaptureFixture) -> None:
    draining = {"instanceId": "b", "hostPort": "1.1.1.1:3", "lifecycle": "draining", "zone": "nowhere"}
    repeated = {**draining, "instanceId": "c", "zone": "else"}
    undecodable = {"instanceId": "a", "hostPort": "1.1.1.1:2", "weight": "heavy"}
    line = json.dumps(
        {"seq": 4, "fleet": {"instances": [undecodable, draining, repeated, repeated]}}
    ).encode()
    event = decode_event(line)
    assert isinstance(event, ChangeEvent)
    assert event.sequence == 4
    assert event.update is not None
    registry = EndpointRegistry(["hall-a"], [])
    updates = [registry.apply(part)[0] for part in split_repeats(event.update)]
    entries = [entry for update in updates for entry in update.endpoints]
    assert [len(update.endpoints) for update in updates] == [2, 1]
    assert [entry.state for entry in entries] == [EndpointState.DRAINING] * 3
    # Zones that are not in the settings get a number each, different from the numbers of named zones.
    assert [entry.zone for entry in entries] == [1, 2, 2]
    logged = " ".join(str(getattr(record, "fields", "")) for record in caplog.records)
    assert "'index': 0" in logged
    assert "weight" in logged
