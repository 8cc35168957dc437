"""Tests of `Operations`, with several instances on one event loop instead of real processes."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from play import Harness as ServerRig
from play import ThriftResp

from lilacfront.decisions.events import EndpointList
from lilacfront.lab.test_bed import wait_until
from lilacfront.membership.datagram_link import DatagramLink
from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.drain import Drain
from lilacfront.operations.lifecycle import CATCH_UP_TIMEOUT_S
from lilacfront.operations.service import Operations
from lilacfront.operations.state_directory import StateDirectory
from lilacfront.operations.state_record import (
    LearnedState,
    OperatorDirective,
    ProcessState,
    decode_state,
)
from lilacfront.operations.state_writer import THREAD_NAME
from lilacfront.operations.transfer_messages import Message
from lilacfront.sched import Loop


class IdleHost:
    """A host with an up-to-date endpoint list that ignores all other calls."""

    def __init__(self, seq: int = 0) -> None:
        self.seq = seq

    def update_endpoints(self, update: EndpointList) -> None: ...
    def set_process_count(self, processes: int) -> None: ...
    def set_drain(self, drain: Drain | None) -> None: ...
    def set_accepting(self, accepting: bool) -> None: ...
    def transfer_connections(self, successor: TransferChannel) -> None: ...
    def announce_keys(self, successor: TransferChannel) -> None: ...
    def on_message(self, channel: TransferChannel, message: Message, descriptor: int | None) -> None: ...
    def on_channel_closed(self, channel: TransferChannel) -> None: ...
    def on_directive(self, directive: OperatorDirective) -> None: ...
    def import_learned_state(self, learned: LearnedState, age_s: float) -> None: ...

    def export_learned_state(self) -> LearnedState:
        return LearnedState()

    def is_endpoint_list_current(self) -> bool:
        return True

    def is_recovering(self) -> bool:
        return False

    def change_log_seq(self) -> int:
        return self.seq

    def status_details(self) -> str:
        return ""

    def member_lines(self) -> list[str] | None:
        return None


def turn_until(loop: Loop, done: Callable[[], object], what: str) -> None:
    """Run a loop until `done` returns a true value."""

    def is_done() -> object:
        loop.turn(0.01)
        return done()

    wait_until(is_done, what)


class Group:
    """Simulated processes of one front end on one event loop."""

    def __init__(self, directory: Path, clock: Callable[[], float] | None = None) -> None:
        self.loop = Loop(clock)
        self._directory = directory
        self._processes: list[Operations] = []

    def create(self, host: IdleHost | None = None) -> Operations:
        process = Operations(self.loop, "n0", str(self._directory), host or IdleHost())
        self._processes.append(process)
        return process

    def start(self) -> Operations:
        """Start a process that polls the others and knows a warehouse."""
        process = self.create()
        process.start()
        process.operator_state.record_listed(["s-1"])
        self.loop.spawn(process.run)
        return process

    def until(self, done: Callable[[], object], what: str) -> None:
        """Run the loop until `done` returns a true value."""
        turn_until(self.loop, done, what)

    def stop(self) -> None:
        """Close all processes in the order of their start."""
        while self._processes:
            self._processes.pop(0).close()

    def close(self) -> None:
        self.stop()
        self.loop.close()


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    processes = Group(tmp_path)
    try:
        yield processes
    finally:
        processes.close()


def test_limits_are_divided_among_the_processes() -> None:
    rig = ServerRig(ThriftResp(), limits={"sockets": 64, "memory_mb": 64})
    try:
        server = rig.server
        (listener,) = server.listeners

        def limits() -> tuple[int, ...]:
            return (
                listener.max_connections,
                server.upstream.max_connections,
                server.loop.send_budget.max_bytes,
                server.upstream.send_budget.max_bytes,
                server.platform_frontend.partial_messages.max_bytes,
            )

        alone = limits()
        clients = [socket.create_connection(listener.address) for _ in range(30)]
        rig.until(lambda: listener.open_count == 30, "the connections")
        server.set_process_count(2)
        assert limits() == tuple(limit // 2 for limit in alone)
        assert listener.open_count == 16  # idle connections were closed
        server.set_process_count(1)
        assert limits() == alone
        for client in clients:
            client.close()
    finally:
        rig.close()


def test_last_process_to_bind_the_peer_address_receives_the_datagrams() -> None:
    loop = Loop()
    received: list[tuple[str, bytes]] = []
    peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peer.bind(("127.0.0.1", 0))
    peers = (peer.getsockname(),)
    old = DatagramLink(
        loop, ("127.0.0.1", 0), peers, lambda _peer, data: received.append(("old", data)), True
    )
    with pytest.raises(OSError, match="Address already in use"):
        DatagramLink(loop, old.address, peers, lambda _peer, _data: None)  # not shared
    new = DatagramLink(loop, old.address, peers, lambda _peer, data: received.append(("new", data)), True)

    def send(data: bytes) -> None:
        count = len(received)
        peer.sendto(data, old.address)
        turn_until(loop, lambda: len(received) > count, "a datagram")

    send(b"1")
    new.close()
    send(b"2")
    assert received == [("new", b"1"), ("old", b"2")]
    old.close()
    peer.close()
    loop.close()


def test_blocked_disk_does_not_delay_directives(
    group: Group, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """State files are written outside the event loop.

    A rename may take seconds on a busy disk, during which all clients would wait.
    """
    released = threading.Event()
    save = StateDirectory.save

    def blocked_save(directory: StateDirectory, state: ProcessState) -> None:
        assert threading.current_thread().name == THREAD_NAME, "state file written on the event loop"
        released.wait(30)
        save(directory, state)

    try:
        old = group.start()
        new = group.start()
        group.until(lambda: old.process_count == new.process_count == 2, "both to know each other")
        monkeypatch.setattr(StateDirectory, "save", blocked_save)
        assert old.handle_line(b"SUSPEND s-1").ok
        group.until(lambda: new.operator_state.suspended, "the suspension at the other process")
        assert new.handle_line(b"RESTORE s-1").ok
        group.until(lambda: not old.operator_state.suspended, "the restoration at the first")
        assert not released.is_set()
    finally:
        released.set()
        group.stop()
    saved = [decode_state(path.read_bytes(), "n0") for path in tmp_path.glob("*.json")]
    assert saved
    assert all(not directive.active for state in saved for directive in state.directives)


def test_command_succeeds_after_death_of_other_process(group: Group) -> None:
    """Publishing must tolerate a channel that closes while the state is sent to all channels."""
    process = group.create()
    process.start()
    process.operator_state.record_listed(["s-1"])
    own_end, other_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    transfer_socket = process.group.transfer_socket
    assert transfer_socket is not None
    assert transfer_socket.open_channel(own_end) is not None
    other_end.close()
    assert process.handle_line(b"SUSPEND s-1").ok
    assert not transfer_socket.channels


def test_new_process_is_ready_only_after_catching_up(tmp_path: Path) -> None:
    now = 1000.0
    group = Group(tmp_path, lambda: now)
    try:
        old = group.create(IdleHost(seq=5))
        old.start()
        host = IdleHost(seq=1)
        new = group.create(host)
        third = group.create(IdleHost(seq=2))
        new.start()
        assert not new.handle_line(b"STATUS").ok
        assert old.handle_line(b"STATUS").ok
        host.seq = 5
        assert new.handle_line(b"STATUS").ok
        third.start()  # never reaches event 5, as if the change log had been renumbered
        assert not third.handle_line(b"STATUS").ok
        now += CATCH_UP_TIMEOUT_S
        group.loop.clock()
        assert third.handle_line(b"STATUS").ok
    finally:
        group.close()
