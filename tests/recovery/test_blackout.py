"""Power losses of real front end processes: restored state, exchange with peers, and answers meanwhile.

Each test waits for logs and answers of the processes with generous timeouts; none depends on exact times.
"""

import shutil
import signal
import socket
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any, Protocol

import pytest

from lilacfront.lab.fake_services import all_received
from lilacfront.lab.fault_script import FaultScript
from lilacfront.lab.fleet import Fleet
from lilacfront.lab.test_bed import COMMAND, wait_until
from lilacfront.lab.thrift_client import ThriftClient
from lilacfront.membership.settings import MembershipSettings
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.recovery.store import Store

CALL_IDS = count(5000)
SEED = 3
STAGE_SETTINGS: dict[str, Any] = {
    "short_reads_stage_s": 0.3,
    "idempotent_stage_s": 0.3,
    "confirm_timeout_s": 60.0,
}
# The default lengths. On a busy machine a peer may start only after the shorter stages above have ended, and
# a front end in the stage OPEN no longer applies state of peers.
DEFAULT_STAGE_SETTINGS: dict[str, Any] = {"short_reads_stage_s": 3.0, "idempotent_stage_s": 3.0}


class StartFleet(Protocol):
    """Starts front ends with recovery on; `settings` are fields of `RecoverySettings`."""

    def __call__(self, members: int, peers: bool = True, **settings: Any) -> Fleet: ...


@pytest.fixture
def start_fleet(tmp_path: Path) -> Iterator[StartFleet]:
    with ExitStack() as stack:

        def start(members: int, peers: bool = True, **settings: Any) -> Fleet:
            script = FaultScript(
                members=members,
                warehouses=3,
                membership=MembershipSettings(enabled=peers),
                recovery=RecoverySettings(directory="x", **{**STAGE_SETTINGS, **settings}),
            )
            fleet = Fleet(tmp_path, script, SEED)
            stack.callback(fleet.close)
            return fleet.wait_until_ready()

        yield start


def wait_until_open(fleet: Fleet, member: int) -> None:
    fleet.processes[member].wait_for_log("recovery stage entered", stage="open")


def start_all(fleet: Fleet, *members: int) -> None:
    for member in members:
        fleet.start(member)
    for member in members:
        wait_until_open(fleet, member)
        fleet.processes[member].wait_until_ready()


def state_on_disk(fleet: Fleet, member: int) -> DurableState:
    """The state that a start would restore now."""
    return Store(str(fleet.recovery_directories[member]), f"n{member}", "").restore()


def wait_for_list_on_disk(fleet: Fleet, seq: int, *members: int) -> None:
    def written() -> bool:
        return all(state_on_disk(fleet, member).list_seq == seq for member in members)

    wait_until(written, f"the endpoint list of event {seq} on the disk")


def send_directive(fleet: Fleet, member: int, command: str, warehouse: str) -> None:
    """Suspend or restore an engine, and wait until the directive is on the disk."""
    assert fleet.processes[member].admin_request(f"{command} {warehouse}").startswith("ok")
    suspended = command == "SUSPEND"

    def written() -> bool:
        directives = state_on_disk(fleet, member).directives
        return warehouse in directives and directives[warehouse].active is suspended

    wait_until(written, "the directive on the disk")


def suspend(fleet: Fleet, member: int, warehouse: str) -> None:
    send_directive(fleet, member, "SUSPEND", warehouse)


def restore(fleet: Fleet, member: int, warehouse: str) -> None:
    send_directive(fleet, member, "RESTORE", warehouse)


def requests_received_by(fleet: Fleet, warehouse: str) -> int:
    return len(fleet.services.warehouses[warehouse].received)


def wait_for_lookups(fleet: Fleet, member: int, lookups: int = 20) -> None:
    """Send lookups of several table groups, each until it is served; cold engines reject some."""
    client = ThriftClient(fleet.test_beds[member].address)

    def served(group: int) -> bool:
        reply = client.wait_for_reply(client.send_request(next(CALL_IDS), group=group))
        return reply is not None and reply.kind == "answer"

    for group in range(lookups):
        wait_until(partial(served, group), "a lookup that is served")
    client.close()


def lose_disk(fleet: Fleet, member: int) -> None:
    shutil.rmtree(fleet.recovery_directories[member])
    fleet.recovery_directories[member].mkdir()


def status(fleet: Fleet, member: int) -> str:
    return fleet.processes[member].admin_request("STATUS")


def test_directives_are_restored_from_disk_or_peers_and_a_revoked_one_stays_revoked(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(3, **DEFAULT_STAGE_SETTINGS)
    for member in range(3):
        wait_until_open(fleet, member)
    for member in range(3):
        suspend(fleet, member, "s-1")
    restore(fleet, 2, "s-1")  # only on this front end, just before the power loss
    suspend(fleet, 1, "s-2")

    def replicated(member: int) -> bool:
        return state_on_disk(fleet, member).peer_directives.get(1, {}).keys() == {"s-1", "s-2"}

    for member in (0, 2):
        wait_until(partial(replicated, member), "replicas of the directives to front end 1")
    fleet.blackout()
    lose_disk(fleet, 1)
    sent_before = {warehouse: requests_received_by(fleet, warehouse) for warehouse in ("s-1", "s-2")}
    start_all(fleet, 0, 1, 2)
    fleet.processes[1].wait_for_log("directives restored from peer")
    wait_until(
        lambda: status(fleet, 1) == "ok ready; left out: s-1, s-2", "both directives in force at front end 1"
    )
    assert status(fleet, 0) == "ok ready; left out: s-1"
    assert status(fleet, 2) == "ok ready"
    wait_for_lookups(fleet, 0)
    wait_for_lookups(fleet, 1)
    assert requests_received_by(fleet, "s-1") == sent_before["s-1"]
    # Front end 0 has no directive about s-2.
    assert requests_received_by(fleet, "s-2") > sent_before["s-2"]
    restore(fleet, 1, "s-2")
    fleet.blackout()
    start_all(fleet, 0, 1, 2)
    assert status(fleet, 1) == "ok ready; left out: s-1"


def test_restored_list_is_used_and_reported_stale_without_change_log_and_peers(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(3, confirm_timeout_s=1.0)
    services = fleet.services
    services.call(lambda: services.change_log.append(services.instance("s-1", "draining")))
    wait_for_list_on_disk(fleet, 2, 0)
    fleet.blackout()
    services.call(services.change_log.stop_listening)
    fleet.start(0)
    process = fleet.processes[0]
    process.wait_for_log("recovery state restored", seq=2, planned_restart=False)
    wait_until(lambda: status(fleet, 0) == "fail starting; recovery: confirming", "the stage CONFIRMING")
    client = ThriftClient(fleet.test_beds[0].address)
    reply = client.wait_for_reply(client.send_request(next(CALL_IDS)))
    assert reply is not None
    assert reply.kind == "shed"
    assert int(reply.fields[b"pushback"]) > 0
    assert not client.ping()
    process.wait_for_log("recovery stage entered", stage="reads", endpoints_stale=True, fleet_outage=True)
    wait_until_open(fleet, 0)
    assert "list stale, as of event 2" in status(fleet, 0)
    assert client.ping()
    wait_for_lookups(fleet, 0)
    assert not requests_received_by(fleet, "s-1")
    services.call(services.change_log.resume_listening)
    wait_until(lambda: "stale" not in status(fleet, 0), "the change log's confirmation of the endpoint list")


def test_newer_list_of_a_peer_excludes_a_drained_engine_until_the_change_log_answers(
    start_fleet: StartFleet, tmp_path: Path
) -> None:
    fleet = start_fleet(4, confirm_timeout_s=3.0)
    services = fleet.services
    wait_for_list_on_disk(fleet, 1, *range(4))
    disk_copies = tmp_path / "old"
    for member in (0, 1):
        shutil.copytree(fleet.recovery_directories[member], disk_copies / str(member))
    services.call(lambda: services.change_log.append(services.instance("s-2", "gone")))
    wait_for_list_on_disk(fleet, 2, *range(4))
    fleet.blackout()
    services.call(services.change_log.stop_listening)
    for member in (0, 1):  # these two have an older list, and front end 3 below has none
        shutil.rmtree(fleet.recovery_directories[member])
        shutil.copytree(disk_copies / str(member), fleet.recovery_directories[member])
    lose_disk(fleet, 3)
    for member in range(4):
        fleet.start(member)
    for member in (0, 1, 3):
        fleet.processes[member].wait_for_log("peer has newer endpoint list", seq=2, excluded=1)
    for member in range(4):
        wait_until_open(fleet, member)
        wait_for_lookups(fleet, member)
    assert not requests_received_by(fleet, "s-2")
    services.call(lambda: services.change_log.append(services.instance("s-2", started_s=9.0)))
    services.call(services.change_log.resume_listening)

    def sent_again() -> bool:
        wait_for_lookups(fleet, 0)
        return requests_received_by(fleet, "s-2") > 0

    wait_until(sent_again, "requests at the engine that returned")


def test_renumbered_change_log_and_moved_address_are_applied(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(1, peers=False, confirm_timeout_s=1.0, renumbering_wait_s=2.0)
    services = fleet.services
    for _ in range(5):
        services.call(lambda: services.change_log.append(services.instance("s-1", "draining")))
    wait_for_list_on_disk(fleet, 6, 0)
    wait_until_open(fleet, 0)
    fleet.blackout()
    # In the renumbered log s-1 and s-3 are gone, and s-2 has the address of s-3.
    moved = {**services.instance("s-2"), "hostPort": services.warehouses["s-3"].address}
    services.call(lambda: services.change_log.renumber(moved))
    fleet.start(0)
    process = fleet.processes[0]
    process.wait_for_log("recovery state restored", seq=6)
    process.wait_for_log("change log renumbered", last_sequence=6, sequence=1)
    wait_until_open(fleet, 0)
    sent_before = {warehouse: requests_received_by(fleet, warehouse) for warehouse in services.warehouses}
    wait_until(lambda: status(fleet, 0) == "ok ready", "the renumbered list to be in use")
    wait_for_lookups(fleet, 0)
    assert requests_received_by(fleet, "s-1") == sent_before["s-1"]
    assert requests_received_by(fleet, "s-2") == sent_before["s-2"]
    fleet.blackout()
    fleet.start(0)
    fleet.processes[0].wait_for_log("recovery state restored", seq=1)


def test_load_that_may_have_run_is_never_sent_again_under_the_same_id(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(2)
    warehouses = list(fleet.services.warehouses.values())
    wait_until_open(fleet, 0)
    for warehouse in warehouses:
        warehouse.answers_suspended = True
    client = ThriftClient(fleet.test_beds[0].address)
    client.send_request(7, "load")
    wait_until(lambda: all_received(warehouses), "the load at a warehouse")
    wait_until(lambda: state_on_disk(fleet, 0).started_loads, "the load on the disk")
    fleet.blackout()

    def release_all() -> None:
        for warehouse in warehouses:
            warehouse.resume_answers()

    fleet.services.call(release_all)
    start_all(fleet, 0, 1)
    fleet.processes[0].wait_for_log("recovery state restored", loads=1)
    client = ThriftClient(fleet.test_beds[0].address)
    reply = client.wait_for_reply(client.send_request(7, "load"))
    assert reply is not None
    assert reply.kind == "fault"
    reply = client.wait_for_reply(client.send_request(8, "load"))
    assert reply is not None
    assert reply.kind == "answer"
    assert all_received(warehouses).count(b"%016x" % 7) == 1
    # A graceful shutdown keeps the load from before the power loss and drops the answered one.
    fleet.processes[0].signal(signal.SIGTERM)
    assert fleet.processes[0].wait_until_ended() == 0
    fleet.start(0)
    fleet.processes[0].wait_for_log("recovery state restored", planned_restart=True, loads=1)
    wait_until_open(fleet, 0)


def test_directives_survive_power_losses_during_the_recovery(start_fleet: StartFleet) -> None:
    fleet = start_fleet(2, short_reads_stage_s=30.0, idempotent_stage_s=30.0)
    suspend(fleet, 0, "s-3")
    fleet.blackout()
    for _ in range(3):
        fleet.start(0)
        fleet.start(1)
        fleet.processes[0].wait_for_log("recovery state restored", directives=1)
        fleet.blackout()
    fleet.start(0)
    fleet.start(1)
    fleet.processes[0].wait_for_log("recovery stage entered", stage="reads")
    client = ThriftClient(fleet.test_beds[0].address)
    # Loads are served in the last stage only.
    reply = client.wait_for_reply(client.send_request(next(CALL_IDS), "load"))
    assert reply is not None
    assert reply.kind == "shed"
    assert "left out: s-3; recovery: reads" in status(fleet, 0)


def test_restart_next_to_a_serving_peer_opens_at_once(start_fleet: StartFleet) -> None:
    fleet = start_fleet(2)
    wait_until_open(fleet, 0)
    wait_until_open(fleet, 1)
    fleet.kill(0)
    fleet.start(0)
    wait_until_open(fleet, 0)
    assert not fleet.processes[0].logged("recovery stage entered", stage="reads")
    assert fleet.processes[0].logged("recovery stage entered", stage="open", fleet_outage=False)


def remove_directory(directory: Path) -> None:
    shutil.rmtree(directory)


def replace_journals_with_foreign_content(directory: Path) -> None:
    for path in directory.glob("*.journal"):
        path.write_bytes(path.read_bytes().replace(b"-recovery", b"-anything")[:40])


def block_lock_file(directory: Path) -> None:
    shutil.rmtree(directory)
    directory.mkdir()
    (directory / "recovery.n0.lock").mkdir()


def block_new_generations(directory: Path) -> None:
    shutil.rmtree(directory)
    directory.mkdir()
    (directory / "recovery.n0.new").mkdir()


@pytest.fixture
def blacked_out(start_fleet: StartFleet) -> Fleet:
    """One front end without peers that lost power after it had written its endpoint list."""
    fleet = start_fleet(1, peers=False)
    wait_for_list_on_disk(fleet, 1, 0)
    fleet.blackout()
    return fleet


@pytest.mark.parametrize(
    "damage",
    [remove_directory, block_lock_file, block_new_generations],
    ids=["missing", "lock unusable", "not writable"],
)
def test_unavailable_store_is_logged_once_and_requests_are_served(
    blacked_out: Fleet, damage: Callable[[Path], None]
) -> None:
    damage(blacked_out.recovery_directories[0])
    start_all(blacked_out, 0)
    process = blacked_out.processes[0]
    wait_for_lookups(blacked_out, 0)
    process.wait_for_log("recovery store unavailable")
    assert "nothing is kept" in status(blacked_out, 0)
    assert len(process.logged("recovery store unavailable")) == 1


def test_foreign_journal_is_ignored_and_requests_are_served(blacked_out: Fleet) -> None:
    replace_journals_with_foreign_content(blacked_out.recovery_directories[0])
    start_all(blacked_out, 0)
    wait_for_lookups(blacked_out, 0)
    blacked_out.processes[0].wait_for_log("recovery journal ignored")


def test_stalled_disk_delays_neither_requests_nor_directives(start_fleet: StartFleet) -> None:
    slow_disk_command = [sys.executable, "-m", "lilacfront.lab.slowdisk", "4.0", *COMMAND[3:]]
    fleet = start_fleet(1, peers=False, restore_timeout_s=0.5)
    suspend(fleet, 0, "s-2")
    fleet.blackout()
    fleet.start_commands[0] = slow_disk_command
    fleet.start(0)
    process = fleet.processes[0]
    process.wait_for_log("recovery restore timed out")
    wait_until_open(fleet, 0)
    # The directive is restored after the timeout and is in force from then on.
    process.wait_for_log("recovery state restored", directives=1)
    wait_until(
        lambda: status(fleet, 0).startswith("ok ready; left out: s-2"), "the suspension of s-2 to be in force"
    )
    sent_before = requests_received_by(fleet, "s-2")
    wait_for_lookups(fleet, 0)
    assert requests_received_by(fleet, "s-2") == sent_before
    assert process.admin_request("SUSPEND s-3", timeout_s=3.0).startswith("ok")  # while the disk stalls


def test_rejections_before_service_begins_have_retry_after_times(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(1, peers=False)
    address = fleet.test_beds[0].address
    fleet.test_beds[0].config_overrides["limits"] = {"sockets": 256}
    fleet.blackout()
    fleet.services.call(fleet.services.change_log.stop_listening)
    fleet.start(0)
    fleet.processes[0].wait_for_log("recovery stage entered", stage="confirming")
    rejected_with_retry_after = 0
    last_batch_start = 950
    for first in range(0, 1000, 50):
        clients: list[tuple[ThriftClient, int]] = []
        for number in range(first, first + 50):
            try:
                client = ThriftClient(address)
                clients.append((client, client.send_request(20_000 + number)))
            except OSError:  # more clients than sockets
                continue
        for client, seq in clients:
            reply = client.wait_for_reply(seq, required=False)
            rejected_with_retry_after += (
                reply is not None and reply.kind == "shed" and b"pushback" in reply.fields
            )
        if first == last_batch_start:
            assert status(fleet, 0) == "fail starting; recovery: confirming"
            for client, _ in clients:
                client.close()
    assert rejected_with_retry_after >= 900
    fleet.services.call(fleet.services.change_log.resume_listening)
    wait_until_open(fleet, 0)
    wait_for_lookups(fleet, 0)
    assert socket.create_connection(address, timeout=5)


def test_new_process_writes_the_store_after_the_old_one_has_ended(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(1, peers=False)
    old_process = fleet.processes[0]
    wait_until_open(fleet, 0)
    suspend(fleet, 0, "s-1")
    new_process = fleet.start_process(0)
    new_process.wait_for_log("recovery store locked")
    new_process.wait_for_log("recovery stage entered", stage="open", fleet_outage=False)
    new_process.wait_until_ready()
    assert not new_process.logged("recovery stage entered", stage="reads")
    old_process.signal(signal.SIGTERM)
    assert old_process.wait_until_ended() == 0
    new_process.wait_for_log("recovery state restored", directives=1, planned_restart=True)
    fleet.processes[0] = new_process
    assert new_process.admin_request("STATUS") == "ok ready; left out: s-1"
    suspend(fleet, 0, "s-2")  # written by the new process
    fleet.blackout()
    start_all(fleet, 0)
    assert status(fleet, 0) == "ok ready; left out: s-1, s-2"
