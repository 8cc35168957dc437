"""The adapter as a process that is connected by pipes."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from typing import Any

import pytest

SETTINGS: dict[str, Any] = {
    "classes": [{"aim": 1_000_000, "deadline": 5_000_000, "effect": "free", "worth": 1.0}],
    "kinds": ["any"],
    "extra": {"cpu-of-kind": [8]},
    "instances": 2,
}


def frame(clock: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIQ", len(records), 16 + len(body), clock) + body


def start(gateway: int, config: dict[str, Any] = SETTINGS) -> bytes:
    text = json.dumps(config).encode()
    return struct.pack(">BIQI", 8, gateway, 1, len(text)) + text


def endpoints(gateway: int) -> tuple[bytes, bytes]:
    entry = struct.pack(">Q6sHBBBf", 0, b"\x0a\0\0\1\x1f\x40", 0, 2, 0, 0, 1.0)
    return struct.pack(">BHI", 7, 0, 1) + entry, struct.pack(">BIBQH", 9, gateway, 1, 1, 0)


def request_record(gateway: int, request: int) -> bytes:
    return struct.pack(">BIQQIIBBffI", 12, gateway, request, 0, 5_000_000, 0, 0, 0, 0, 1, 0)


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "lilacfront.simulator.adapter"],
        input=data,
        capture_output=True,
        timeout=20,
        check=False,
    )


def test_many_gateways_are_hosted_until_the_input_ends() -> None:
    gateway_stopped = struct.pack(">BI", 6, 0)
    done = run_adapter(
        frame(5)
        + frame(9, start(0), *endpoints(0), start(1), *endpoints(1))
        + frame(10, request_record(0, 1), request_record(1, 2))
        + frame(11, gateway_stopped, start(0), *endpoints(0), request_record(0, 3))
        + frame(12, request_record(7, 4))
    )
    assert done.returncode == 0
    assert done.stderr == b""
    replies: list[bytes] = []
    position = 0
    while position < len(done.stdout):
        (size,) = struct.unpack_from(">I", done.stdout, position)
        replies.append(done.stdout[position + 4 : position + size])
        position += size
    forward_counts = [
        reply.count(struct.pack(">BI", 65, gateway))
        for reply, gateway in zip(replies, (0, 0, 0, 0, 7), strict=True)
    ]
    assert forward_counts == [0, 0, 1, 1, 0]
    assert struct.pack(">BIQ", 65, 1, 2) in replies[2]


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0",
        frame(5)[:-1] + b"",
        struct.pack(">IIQ", 1, 99, 0),
        frame(5, b"\x63\0\0\0\1"),
        frame(5, b"\x04\0\0"),
        struct.pack(">IIQ", 0, 17, 0) + b"x",
        struct.pack(">IIQ", 0, 3, 0),
    ],
)
def test_malformed_input_ends_the_program_with_an_error_line_and_exit_status(data: bytes) -> None:
    done = run_adapter(data)
    assert done.returncode == 1
    assert done.stderr.count(b"\n") == 1
    assert done.stderr.startswith(b"lilacfront: ")


def test_exception_in_a_gateway_is_reported() -> None:
    done = run_adapter(frame(9, start(0, {"classes": []})))
    assert done.returncode == 0
    assert b"classes is empty" in done.stdout
    assert done.stdout[4:9] == struct.pack(">BI", 74, 0)
