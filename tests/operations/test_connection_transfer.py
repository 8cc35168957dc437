"""Tests of the channels between processes."""

from __future__ import annotations

import array
import os
import socket
from collections.abc import Iterator

import pytest

from lilacfront.operations.connection_transfer import (
    MAX_QUEUED_ANSWER_BYTES,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_CONNECTIONS,
    TransferChannel,
)
from lilacfront.operations.transfer_messages import (
    MAX_MESSAGE_BYTES,
    AnswerReady,
    ConnectionPassed,
    Message,
    RequestCancelled,
    decode_message,
    encode_message,
)
from lilacfront.sched import Loop

ANSWER_COUNT = 16_000  # of 500 connections with 32 open requests each
PASSED = ConnectionPassed(1, b"", (), False)


class Recorder:
    """Records the messages and the closing of channels."""

    def __init__(self) -> None:
        self.messages: list[tuple[Message, int | None]] = []
        self.closed: list[TransferChannel] = []

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None:
        assert not channel.closed
        self.messages.append((message, descriptor))

    def on_channel_closed(self, channel: TransferChannel) -> None:
        self.closed.append(channel)


class Rig:
    """A channel on an event loop, and the socket at its other end."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.recorder = Recorder()
        ours, self.other_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.other_end.settimeout(20)
        self.channel = TransferChannel(self.loop, ours, self.recorder)

    def receive(self, data: bytes, *descriptors: int) -> None:
        """Send one datagram to the channel and let it receive it."""
        rights = array.array("i", descriptors)
        ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)] if descriptors else []
        self.other_end.sendmsg([data], ancillary)
        self.loop.turn(0)

    def close(self) -> None:
        self.channel.close()
        self.other_end.close()
        self.loop.close()


def open_descriptors() -> set[str]:
    return set(os.listdir("/proc/self/fd"))


@pytest.fixture
def rig() -> Iterator[Rig]:
    channel_rig = Rig()
    try:
        yield channel_rig
    finally:
        channel_rig.close()


def test_connection_arrives_with_its_descriptor(rig: Rig) -> None:
    read_end, write_end = os.pipe()
    rig.receive(encode_message(PASSED), write_end)
    ((message, descriptor),) = rig.recorder.messages
    assert message == PASSED
    assert descriptor is not None
    os.write(descriptor, b"x")
    assert os.read(read_end, 1) == b"x"
    for open_descriptor in (read_end, write_end, descriptor):
        os.close(open_descriptor)


def test_connection_without_descriptor_is_cancelled(rig: Rig) -> None:
    rig.receive(encode_message(PASSED))
    assert rig.recorder.messages == []
    assert decode_message(rig.other_end.recv(100)) == RequestCancelled(PASSED.connection_id)
    assert not rig.channel.closed


@pytest.mark.parametrize(
    ("data", "descriptors"),
    [
        pytest.param(b"\xc1", 0, id="undecodable"),
        pytest.param(b"\xc1", 1, id="undecodable-with-descriptor"),
        pytest.param(encode_message(AnswerReady(1, 1, b"")), 1, id="unexpected-descriptor"),
        pytest.param(encode_message(PASSED), 2, id="two-descriptors"),
        pytest.param(encode_message(AnswerReady(1, 1, bytes(MAX_MESSAGE_BYTES))), 0, id="message-too-long"),
    ],
)
def test_malformed_message_closes_the_channel_and_its_descriptors(
    rig: Rig, data: bytes, descriptors: int
) -> None:
    before = open_descriptors()
    rig.receive(data, *([rig.other_end.fileno()] * descriptors))
    assert rig.recorder.messages == []
    assert rig.recorder.closed == [rig.channel]
    assert len(open_descriptors()) == len(before) - 1  # the channel closed its socket


def test_answers_are_not_dropped_while_the_other_process_is_slow(rig: Rig) -> None:
    """Guards against a channel that is closed with answers in it, as all requests end in one turn."""
    frame = b"x" * 100
    for number in range(ANSWER_COUNT):
        rig.channel.send(AnswerReady(1, number, frame))
    assert rig.recorder.closed == []
    for number in range(ANSWER_COUNT):
        rig.loop.turn(0)
        assert decode_message(rig.other_end.recv(MAX_MESSAGE_BYTES)) == AnswerReady(1, number, frame)


def test_long_answers_are_refused_while_the_other_process_is_slow(rig: Rig) -> None:
    frame = b"x" * 48_000
    assert rig.channel.has_answer_capacity(MAX_QUEUED_ANSWER_BYTES + 1), "the other process keeps up"
    number = 0
    while rig.channel.has_answer_capacity(len(frame)):
        rig.channel.send(AnswerReady(1, number, frame))
        number += 1
    assert 1 < number * len(frame) <= 2 * MAX_QUEUED_ANSWER_BYTES
    assert rig.channel.has_answer_capacity(100)


def test_channel_with_too_many_queued_bytes_is_closed(rig: Rig) -> None:
    for number in range(2 * MAX_QUEUED_BYTES // 48_000):
        rig.channel.send(AnswerReady(1, number, b"x" * 48_000))
    assert rig.recorder.closed == [rig.channel]


def test_channel_with_too_many_queued_connections_closes_all_descriptors(rig: Rig) -> None:
    before = open_descriptors()
    for _ in range(MAX_QUEUED_CONNECTIONS + 1000):
        rig.channel.send(PASSED, os.dup(rig.other_end.fileno()))
        if rig.channel.closed:
            break
    assert rig.recorder.closed == [rig.channel]
    rig.channel.send(PASSED, os.dup(rig.other_end.fileno()))  # a closed channel closes the descriptor at once
    rig.channel.close()
    assert rig.recorder.closed == [rig.channel]
    assert len(open_descriptors()) == len(before) - 1
