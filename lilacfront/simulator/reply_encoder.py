"""Encoder of the replies to the simulator; this module alone knows their layout and codes.

A reply consists of its length and the encoded actions. An action consists of a code byte, the number of the
gateway and fields of a fixed layout; in some kinds of actions, variable-length data follows.
"""

from __future__ import annotations

import struct
from enum import IntEnum

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

REPLY_HEADER = struct.Struct(">I")  # length in bytes, including this header
TEXT_LENGTH = struct.Struct(">H")
MAX_TEXT_BYTES = 65535
ALL_PEERS = 0xFFFF  # the peer number of a broadcast
ENGINE_BYTES = 6


class ActionCode(IntEnum):
    """The kinds of actions in a reply."""

    FORWARD = 65
    REJECT = 66
    FAIL = 67
    CANCEL_ATTEMPT = 68
    SET_TIMER = 69
    HEALTH_CHECK = 70
    CLOSE_IDLE_CONNECTIONS = 71
    SEND_PEER_MESSAGE = 72
    LOG_MESSAGE = 73
    EXCEPTION = 74
    WATCH_ENDPOINTS = 75
    POLL_ENDPOINTS = 76
    SET_REQUEST_TERMS = 77


def encode_action(gateway: int, action: Action) -> bytes:
    """Encode one action of a gateway."""
    match action:
        case Forward() | SetRequestTerms() | SetTimer() | Reject() | Fail() | CancelAttempt():
            return _encode_request_action(gateway, action)
        case HealthCheck(engine):
            return struct.pack(">BI6s", ActionCode.HEALTH_CHECK, gateway, _engine_bytes(engine))
        case CloseIdleConnections(engine):
            return struct.pack(">BI6s", ActionCode.CLOSE_IDLE_CONNECTIONS, gateway, _engine_bytes(engine))
        case SendPeerMessage(peer, data):
            target = ALL_PEERS if peer is None else peer
            head = struct.pack(">BIHH", ActionCode.SEND_PEER_MESSAGE, gateway, target, len(data))
            return head + data
        case WatchEndpoints(enabled):
            return struct.pack(">BIB", ActionCode.WATCH_ENDPOINTS, gateway, enabled)
        case PollEndpoints():
            return struct.pack(">BI", ActionCode.POLL_ENDPOINTS, gateway)
        case LogMessage(text):
            return struct.pack(">BI", ActionCode.LOG_MESSAGE, gateway) + _encode_text(text)
    raise TypeError(f"unknown kind of action: {action!r}")


def _encode_request_action(
    gateway: int, action: Forward | SetRequestTerms | SetTimer | Reject | Fail | CancelAttempt
) -> bytes:
    match action:
        case Forward(request, engine, deadline_us):
            code = ActionCode.FORWARD
            return struct.pack(">BIQQ6s", code, gateway, request, deadline_us, _engine_bytes(engine))
        case SetRequestTerms(request, memory_mb, priority):
            return struct.pack(">BIQfB", ActionCode.SET_REQUEST_TERMS, gateway, request, memory_mb, priority)
        case SetTimer(at_us, token):
            return struct.pack(">BIQQ", ActionCode.SET_TIMER, gateway, at_us, token)
        case Reject(request, retry_after_us):
            return struct.pack(">BIQI", ActionCode.REJECT, gateway, request, retry_after_us)
        case Fail(request):
            return struct.pack(">BIQ", ActionCode.FAIL, gateway, request)
        case CancelAttempt(request, attempt):
            return struct.pack(">BIQB", ActionCode.CANCEL_ATTEMPT, gateway, request, attempt)


def encode_exception(gateway: int, text: str) -> bytes:
    """Encode the report that a gateway raised an exception. The simulator stops and shows this text."""
    return struct.pack(">BI", ActionCode.EXCEPTION, gateway) + _encode_text(text)


def encode_reply(actions: list[bytes]) -> bytes:
    """Encode the reply to a batch."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body)) + body


def _engine_bytes(engine: int) -> bytes:
    return engine.to_bytes(ENGINE_BYTES, "big")


def _encode_text(text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return TEXT_LENGTH.pack(len(raw)) + raw
