"""Decoder of the simulator's binary batches; this module alone knows their layout and codes.

A batch consists of a header and records. A record consists of a code byte and fields of a fixed layout; in
some kinds of records, variable-length data follows, whose length is one of the fields. Truncated or malformed
input raises `FrameError`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, BinaryIO

from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptNotification,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    HealthCheckResult,
    ListScope,
    LoadReport,
    NotificationKind,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from lilacfront.errors import LilacfrontError


class RecordCode(IntEnum):
    """The kinds of records in a batch."""

    PEER_MESSAGE = 1
    HEALTH_CHECK_RESULT = 2
    RESPONSE_STARTED = 3
    TIMER_FIRED = 4
    CLIENT_DISCONNECTED = 5
    GATEWAY_STOPPED = 6
    ENDPOINTS = 7
    GATEWAY_STARTED = 8
    ENDPOINT_LIST = 9
    ATTEMPT_ENDED = 10
    NOTIFICATION = 11
    REQUEST_RECEIVED = 12


HEADER = struct.Struct(">IIQ")  # record count, length in bytes including the header, clock in us
ENDPOINT = struct.Struct(">Q6sHBBBf")
ENDPOINTS_HEAD = struct.Struct(">HI")
ENDPOINT_LIST = struct.Struct(">IBQH")
REQUEST_RECEIVED = struct.Struct(">IQQIIBBffI")
ATTEMPT_ENDED = struct.Struct(">IQB6sHIBI")
NOTIFICATION = struct.Struct(">IQB6sBf")
RESPONSE_STARTED = struct.Struct(">IQB6sI")
HEALTH_CHECK_RESULT = struct.Struct(">IHI6s")
PEER_MESSAGE_HEAD = struct.Struct(">IIH")
GATEWAY_STARTED_HEAD = struct.Struct(">IQI")
GATEWAY_AND_NUMBER = struct.Struct(">IQ")
GATEWAY = struct.Struct(">I")

RESULT_CODES = {
    0: AttemptResult.OK,
    255: AttemptResult.ERROR,
    254: AttemptResult.REJECTED,
    253: AttemptResult.TIMEOUT,
    252: AttemptResult.CONNECT_FAILED,
    251: AttemptResult.RESET,
    250: AttemptResult.CANCELLED,
    249: AttemptResult.NEVER_SENT,
}
STATE_CODES = {2: EndpointState.READY, 0: EndpointState.DRAINING, 1: EndpointState.REMOVED}
SCOPE_CODES = {0: ListScope.FAILED, 1: ListScope.CACHED, 2: ListScope.SNAPSHOT, 3: ListScope.DELTA}
NOTIFICATION_CODES = {
    1: NotificationKind.PROGRESS,
    2: NotificationKind.SPILLING,
    3: NotificationKind.WAITING_FOR_MEMORY,
}
WAITING_CODE = 3
WAITING_FOR_LOAD_VALUE = 2
HAS_ESTIMATE_FLAG = 1
IS_CLIENT_RETRY_FLAG = 2
COST_RADIX = 4096  # cost = work in ms * COST_RADIX + memory in units of COST_MEMORY_UNIT_MB
COST_MEMORY_UNIT_MB = 4
US_PER_MS = 1000
CPU_FIELD = "cpu"
IN_FLIGHT_FIELD = "active"
QUEUED_FIELD = "waiting"
ENGINE_BYTES = 6
FLOAT_BYTES = 4


class FrameError(LilacfrontError, ValueError):
    """The input is truncated or malformed."""


@dataclass(slots=True, frozen=True)
class GatewayStarted:
    """A gateway was started with these settings."""

    gateway: int
    seed: int
    settings_text: bytes


@dataclass(slots=True, frozen=True)
class GatewayStopped:
    """A gateway was killed."""

    gateway: int


@dataclass(slots=True, frozen=True)
class GatewayEvent:
    """An event for one gateway."""

    gateway: int
    event: Event


Record = GatewayStarted | GatewayStopped | GatewayEvent


@dataclass(slots=True, frozen=True)
class Batch:
    """A batch whose header has been decoded: record count, clock in microseconds, and undecoded records."""

    record_count: int
    clock_us: int
    body: bytes


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read one batch; None at a clean end of input.

    Raises:
        FrameError: The input ended inside the batch.
    """
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise FrameError("input ended inside a batch header")
    count, size, clock_us = HEADER.unpack(head)
    if size < HEADER.size:
        raise FrameError(f"batch header states a length of {size} bytes, less than the header itself")
    body = stream.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise FrameError("input ended inside a batch")
    return Batch(count, clock_us, body)


class _Cursor:
    """A read position in the body of a batch."""

    __slots__ = ("body", "position")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.position = 0

    def byte(self) -> int:
        """Read one byte."""
        value = self.body[self.position]
        self.position += 1
        return value

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read fields of a fixed layout."""
        values = layout.unpack_from(self.body, self.position)
        self.position += layout.size
        return values

    def floats(self, count: int) -> tuple[float, ...]:
        """Read `count` 32-bit floats."""
        values = struct.unpack_from(f">{count}f", self.body, self.position)
        self.position += FLOAT_BYTES * count
        return values

    def data(self, size: int) -> bytes:
        """Read `size` bytes."""
        data = self.body[self.position : self.position + size]
        if len(data) < size:
            raise IndexError("record data extends beyond the end of the batch")
        self.position += size
        return data


class RecordReader:
    """Decodes the records of batches.

    Attributes:
        endpoint_lists: Endpoint lists by the number that records refer to them by. A later list with the same
            number replaces an earlier one.
        report_fields: The names of the values in the load reports of a gateway, in order, by gateway number.
    """

    def __init__(self) -> None:
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.report_fields: dict[int, tuple[str, ...]] = {}
        self._decoders: dict[int, Callable[[_Cursor], Record | None]] = {
            RecordCode.PEER_MESSAGE: _decode_peer_message,
            RecordCode.HEALTH_CHECK_RESULT: self._decode_health_check_result,
            RecordCode.RESPONSE_STARTED: _decode_response_started,
            RecordCode.TIMER_FIRED: _decode_timer_fired,
            RecordCode.CLIENT_DISCONNECTED: _decode_client_disconnected,
            RecordCode.GATEWAY_STOPPED: _decode_gateway_stopped,
            RecordCode.ENDPOINTS: self._decode_endpoints,
            RecordCode.GATEWAY_STARTED: _decode_gateway_started,
            RecordCode.ENDPOINT_LIST: self._decode_endpoint_list,
            RecordCode.ATTEMPT_ENDED: self._decode_attempt_ended,
            RecordCode.NOTIFICATION: _decode_notification,
            RecordCode.REQUEST_RECEIVED: _decode_request_received,
        }

    def records(self, batch: Batch) -> Iterator[Record]:
        """Decode the records of a batch, in order.

        Records that only change the state of the reader, and notifications of unknown kinds, are not yielded.

        Raises:
            FrameError: A record is malformed, or the records are shorter or longer than the batch.
        """
        cursor = _Cursor(batch.body)
        start = 0
        try:
            for _ in range(batch.record_count):
                start = cursor.position
                record = self._decode(cursor)
                if record is not None:
                    yield record
        except (struct.error, IndexError, KeyError) as error:
            raise FrameError(f"malformed record at byte {start} of the batch body: {error!r}") from error
        if cursor.position != len(batch.body):
            unread_bytes = len(batch.body) - cursor.position
            raise FrameError(f"{unread_bytes} bytes left over after {batch.record_count} records")

    def _decode(self, cursor: _Cursor) -> Record | None:
        code = cursor.byte()
        decoder = self._decoders.get(code)
        if decoder is None:
            raise FrameError(f"unknown record code {code}")
        return decoder(cursor)

    def _decode_load_report(self, gateway: int, cursor: _Cursor) -> LoadReport | None:
        count = cursor.byte()
        values = cursor.floats(count)
        if count == 0:
            return None
        values_by_name = dict(zip(self.report_fields.get(gateway, ()), values, strict=False))
        return LoadReport(
            values_by_name.get(CPU_FIELD),
            values_by_name.get(IN_FLIGHT_FIELD),
            values_by_name.get(QUEUED_FIELD),
        )

    def _decode_attempt_ended(self, cursor: _Cursor) -> Record:
        gateway, request, attempt, engine, code, duration_us, is_final, cost = cursor.unpack(ATTEMPT_ENDED)
        report = self._decode_load_report(gateway, cursor)
        work_us = cost // COST_RADIX * US_PER_MS if cost else None
        memory_mb = float(cost % COST_RADIX * COST_MEMORY_UNIT_MB) if cost else None
        event = AttemptEnded(
            request,
            attempt,
            _engine_number(engine),
            RESULT_CODES[code],
            duration_us,
            bool(is_final),
            work_us,
            memory_mb,
            report,
        )
        return GatewayEvent(gateway, event)

    def _decode_health_check_result(self, cursor: _Cursor) -> Record:
        gateway, code, duration_us, engine = cursor.unpack(HEALTH_CHECK_RESULT)
        report = self._decode_load_report(gateway, cursor)
        result = HealthCheckResult(_engine_number(engine), RESULT_CODES[code], duration_us, report)
        return GatewayEvent(gateway, result)

    def _decode_endpoints(self, cursor: _Cursor) -> None:
        """Store a numbered endpoint list, which later records refer to."""
        number, count = cursor.unpack(ENDPOINTS_HEAD)
        data = cursor.data(count * ENDPOINT.size)
        self.endpoint_lists[number] = tuple(
            Endpoint(_engine_number(engine), STATE_CODES[state], started_us, cell, machine_type, zone, weight)
            for started_us, engine, cell, state, machine_type, zone, weight in ENDPOINT.iter_unpack(data)
        )

    def _decode_endpoint_list(self, cursor: _Cursor) -> Record:
        gateway, code, version, number = cursor.unpack(ENDPOINT_LIST)
        scope = SCOPE_CODES[code]
        endpoints = () if scope is ListScope.FAILED else self.endpoint_lists[number]
        return GatewayEvent(gateway, EndpointList(scope, endpoints, version))


def _engine_number(raw: bytes) -> int:
    return int.from_bytes(raw, "big")


def _decode_request_received(cursor: _Cursor) -> Record:
    (
        gateway,
        request,
        ordering_key,
        time_left_us,
        tenant,
        class_index,
        flags,
        memory_mb,
        table_group,
        work_us,
    ) = cursor.unpack(REQUEST_RECEIVED)
    event = RequestReceived(
        request,
        class_index,
        time_left_us,
        int(table_group),
        ordering_key,
        tenant,
        is_client_retry=bool(flags & IS_CLIENT_RETRY_FLAG),
        estimated_work_us=work_us if flags & HAS_ESTIMATE_FLAG and work_us else None,
        estimated_memory_mb=memory_mb if memory_mb > 0 else None,
    )
    return GatewayEvent(gateway, event)


def _decode_notification(cursor: _Cursor) -> Record | None:
    """Decode a notification; returns None for an unknown kind."""
    gateway, request, attempt, engine, code, value = cursor.unpack(NOTIFICATION)
    kind = NOTIFICATION_CODES.get(code)
    if kind is None:
        return None
    if code == WAITING_CODE and value == WAITING_FOR_LOAD_VALUE:
        kind = NotificationKind.WAITING_FOR_LOAD
    return GatewayEvent(gateway, AttemptNotification(request, attempt, _engine_number(engine), kind, value))


def _decode_response_started(cursor: _Cursor) -> Record:
    gateway, request, attempt, engine, _duration_us = cursor.unpack(RESPONSE_STARTED)
    return GatewayEvent(gateway, ResponseStarted(request, attempt, _engine_number(engine)))


def _decode_timer_fired(cursor: _Cursor) -> Record:
    gateway, token = cursor.unpack(GATEWAY_AND_NUMBER)
    return GatewayEvent(gateway, TimerFired(token))


def _decode_client_disconnected(cursor: _Cursor) -> Record:
    gateway, request = cursor.unpack(GATEWAY_AND_NUMBER)
    return GatewayEvent(gateway, ClientDisconnected(request))


def _decode_peer_message(cursor: _Cursor) -> Record:
    gateway, sender, size = cursor.unpack(PEER_MESSAGE_HEAD)
    return GatewayEvent(gateway, PeerMessageReceived(sender, cursor.data(size)))


def _decode_gateway_started(cursor: _Cursor) -> Record:
    gateway, seed, size = cursor.unpack(GATEWAY_STARTED_HEAD)
    return GatewayStarted(gateway, seed, cursor.data(size))


def _decode_gateway_stopped(cursor: _Cursor) -> Record:
    (gateway,) = cursor.unpack(GATEWAY)
    return GatewayStopped(gateway)
