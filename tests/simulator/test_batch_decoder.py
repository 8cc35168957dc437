"""Recorded encodings of the simulator's records and actions."""

from __future__ import annotations

import pytest

from lilacfront.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    Forward,
    HealthCheck,
    LogMessage,
    PollEndpoints,
    Reject,
    SendPeerMessage,
    SetRequestTerms,
    SetTimer,
    WatchEndpoints,
)
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptNotification,
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointState,
    Event,
    HealthCheckResult,
    ListScope,
    NotificationKind,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from lilacfront.simulator.batch_decoder import Batch, GatewayEvent, RecordReader
from lilacfront.simulator.reply_encoder import encode_action


def decode(text: str, reader: RecordReader | None = None) -> GatewayEvent:
    """Decode a batch of one record."""
    batch = Batch(1, 0, bytes.fromhex(text.replace(" ", "")))
    (record,) = (reader or RecordReader()).records(batch)
    assert isinstance(record, GatewayEvent)
    return record


def test_a_request_record_is_decoded() -> None:
    record = decode(
        "0c 00000003 000b394b5d3a91c4 91f03b7c55d20a64 0003a980 00000000 00 01 43c00000 41300000 00002ee0"
    )
    event = RequestReceived(0xB394B5D3A91C4, 0, 240_000, 11, 0x91F03B7C55D20A64, 0, False, 12_000, 384.0)
    assert record == GatewayEvent(3, event)


def test_the_end_of_an_attempt_is_decoded_with_its_cost_and_load_report() -> None:
    reader = RecordReader()
    reader.report_fields[3] = ("cpu", "active")
    event = decode(
        "0a 00000003 000b394b5d3a91c4 00 0a124a07 1f43 0000 00004844 01 00011060 02 3f1eb85240e00000", reader
    ).event
    assert isinstance(event, AttemptEnded)
    assert (event.result, event.duration_us, event.is_final) == (AttemptResult.OK, 0x4844, True)
    assert (event.work_us, event.memory_mb) == (17_000, 384.0)
    assert event.report is not None
    assert event.report.cpu_utilization == pytest.approx(0.62)
    assert event.report.in_flight == 7.0


def test_reference_resolves_to_the_latest_endpoint_list_with_its_number() -> None:
    entry = "00000000005d1420 0a9011f2 1f6c 0000 02 00 01 3fc00000".replace(" ", "")
    removed = "0000000000000000 0a9011f2 1f6c 0000 01 00 01 3fc00000".replace(" ", "")
    reference = "09 00000003 03 0000000000000029 0000".replace(" ", "")
    body = bytes.fromhex(f"07000000000001{entry}{reference}07000000000001{removed}{reference}")
    first, second = RecordReader().records(Batch(4, 0, body))
    assert isinstance(first, GatewayEvent)
    assert isinstance(second, GatewayEvent)
    assert isinstance(first.event, EndpointList)
    assert isinstance(second.event, EndpointList)
    assert first.event.endpoints[0].state is EndpointState.READY
    assert first.event.endpoints[0].started_us == 0x5D1420
    assert first.event.endpoints[0].zone == 1
    assert second.event.endpoints[0].state is EndpointState.REMOVED


@pytest.mark.parametrize(
    ("text", "event"),
    [
        ("04 00000003 000000000000004d", TimerFired(77)),
        ("05 00000005 0008d1d50e6f2b19", ClientDisconnected(0x8D1D50E6F2B19)),
        ("01 00000003 00000002 0004 68692037", PeerMessageReceived(2, b"hi 7")),
        ("09 00000003 00 0000000000000029 0000", EndpointList(ListScope.FAILED, (), 41)),
        (
            "0b 00000003 000b394b5d3a91c4 00 0a124a07 1f43 01 3f000000",
            AttemptNotification(0xB394B5D3A91C4, 0, 0x0A124A071F43, NotificationKind.PROGRESS, 0.5),
        ),
        (
            "0b 00000003 000b394b5d3a91c4 00 0a124a07 1f43 03 40000000",
            AttemptNotification(0xB394B5D3A91C4, 0, 0x0A124A071F43, NotificationKind.WAITING_FOR_LOAD, 2.0),
        ),
        (
            "03 00000003 000b394b5d3a91c4 00 0a124a07 1f43 00002422",
            ResponseStarted(0xB394B5D3A91C4, 0, 0x0A124A071F43),
        ),
        (
            "02 00000003 0000 00000578 0a9011f2 1f6c 00",
            HealthCheckResult(0x0A9011F21F6C, AttemptResult.OK, 1400),
        ),
    ],
)
def test_other_events_are_decoded(text: str, event: Event) -> None:
    assert decode(text).event == event


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (
            Forward(0xB394B5D3A91C4, 0x0A124A071F43, 0x8194DA),
            "41 00000003 000b394b5d3a91c4 00000000008194da 0a124a07 1f43",
        ),
        (Reject(0x8D1D50E6F2B19, 250_000), "42 00000003 0008d1d50e6f2b19 0003d090"),
        (Fail(0x8D1D50E6F2B19), "43 00000003 0008d1d50e6f2b19"),
        (CancelAttempt(0xB394B5D3A91C4, 0), "44 00000003 000b394b5d3a91c4 00"),
        (SetTimer(0x87FD7A, 77), "45 00000003 000000000087fd7a 000000000000004d"),
        (HealthCheck(0x0A9011F21F6C), "46 00000003 0a9011f2 1f6c"),
        (CloseIdleConnections(0x0A9011F21F6C), "47 00000003 0a9011f2 1f6c"),
        (SendPeerMessage(None, b"hi 7"), "48 00000003 ffff 0004 68692037"),
        (LogMessage("two servers unknown"), "49 00000003 0013" + b"two servers unknown".hex()),
        (WatchEndpoints(True), "4b 00000003 01"),
        (PollEndpoints(), "4c 00000003"),
        (SetRequestTerms(0xB394B5D3A91C4, 640.0, 2), "4d 00000003 000b394b5d3a91c4 44200000 02"),
    ],
)
def test_actions_are_encoded(action: Action, text: str) -> None:
    assert encode_action(3, action) == bytes.fromhex(text.replace(" ", ""))
