"""Tests of the registry of other processes."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import msgspec
import pytest

from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.process_registry import ProcessRegistry
from lilacfront.operations.state_record import ProcessState
from lilacfront.operations.transfer_messages import Message
from lilacfront.sched import Loop


class NullObserver:
    """Ignores the messages and the closing of channels."""

    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None: ...
    def on_channel_closed(self, channel: TransferChannel) -> None: ...


@pytest.fixture
def make_channel() -> Iterator[Callable[[], TransferChannel]]:
    loop = Loop()
    channels: list[TransferChannel] = []
    other_ends: list[socket.socket] = []

    def make() -> TransferChannel:
        own_end, other_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        other_ends.append(other_end)
        channels.append(TransferChannel(loop, own_end, NullObserver()))
        return channels[-1]

    yield make
    for channel in channels:
        channel.close()
    for other_end in other_ends:
        other_end.close()
    loop.close()


@pytest.fixture
def registry() -> ProcessRegistry:
    return ProcessRegistry()


def test_process_without_a_state_counts_as_starting(registry: ProcessRegistry) -> None:
    registry.set_locked(frozenset({"a"}))
    assert registry.stages() == {"a": "starting"}
    assert registry.has_successor()


def test_older_state_is_not_accepted(
    registry: ProcessRegistry, make_state: Callable[..., ProcessState]
) -> None:
    state = make_state("a")
    assert registry.accept(state)
    assert registry.accept(state)  # the same state may arrive over a channel and in a file
    assert not registry.accept(msgspec.structs.replace(state, saved_at_s=0.5))


def test_state_of_an_ended_process_is_forgotten(
    registry: ProcessRegistry, make_state: Callable[..., ProcessState]
) -> None:
    registry.set_locked(frozenset({"a"}))
    registry.accept(make_state("a"))
    registry.set_locked(frozenset())
    registry.forget_ended()
    registry.set_locked(frozenset({"a"}))
    assert registry.stages() == {"a": "starting"}


def test_successor_is_a_ready_process_and_never_one_that_shuts_down(
    registry: ProcessRegistry,
    make_state: Callable[..., ProcessState],
    make_channel: Callable[[], TransferChannel],
) -> None:
    channels = {}
    for token, stage in (("ready", "ready"), ("starting", "starting"), ("ending", "leaving")):
        channels[token] = make_channel()
        registry.bind(channels[token], token)
        registry.accept(msgspec.structs.replace(make_state(token), stage=stage))
    assert registry.successor_channel() is channels["ready"]
    registry.unbind(channels["ready"])
    assert registry.successor_channel() is channels["starting"]
    registry.unbind(channels["starting"])
    assert registry.successor_channel() is None
    assert not registry.has_successor()
