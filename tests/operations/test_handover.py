"""Tests of the hand-over between real processes of one front end."""

from __future__ import annotations

import signal
import threading

import pytest

from lilacfront.lab.test_bed import FrontEndProcess, ProcessTestBed, wait_until
from lilacfront.lab.thrift_client import ThriftClient

LOAD_ID = b"%016x" % 1  # id of the request that `hold_load` sends


class ContinuousClients:
    """Sends one request after the other in a thread, each on a new connection."""

    def __init__(self, test_bed: ProcessTestBed) -> None:
        self._test_bed = test_bed
        self._stopping = threading.Event()
        self.failures: list[str] = []
        self.last_request_number = 100  # the numbers up to here are for other clients
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.last_request_number += 1
            try:
                client = ThriftClient(self._test_bed.address)
                client.wait_for_reply(client.send_request(self.last_request_number))  # served or rejected
                client.close()
            except (OSError, AssertionError) as error:
                self.failures.append(f"request {self.last_request_number}: {error}")

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()


def start_successor(test_bed: ProcessTestBed, old: FrontEndProcess) -> FrontEndProcess:
    """Start a second process, and wait until it is ready and the old process knows it."""
    new = test_bed.start().wait_until_ready()
    old.wait_for_log("front end processes changed", running=2)
    return new


def hold_load(test_bed: ProcessTestBed) -> tuple[ThriftClient, int]:
    """Send a load that stays pending at a warehouse; returns its client and sequence number."""
    test_bed.suspend_answers()
    client = ThriftClient(test_bed.address)
    load = client.send_request(1, "load")
    wait_until(test_bed.received, "the load at a warehouse")
    return client, load


def test_handover_loses_no_client_connection(test_bed: ProcessTestBed) -> None:
    old = test_bed.start().wait_until_ready()
    client = ThriftClient(test_bed.address)
    client.wait_until_served()
    clients = ContinuousClients(test_bed)
    new = start_successor(test_bed, old)
    old.signal(signal.SIGTERM)
    assert old.wait_until_ended() == 0
    client.wait_until_served()  # on the transferred connection
    new.wait_for_log("front end processes changed", running=1)
    before = clients.last_request_number
    wait_until(lambda: clients.last_request_number > before + 20, "requests to the new process")
    clients.stop()
    assert not clients.failures


def test_handover_answers_each_request_in_flight_once(
    test_bed: ProcessTestBed,
) -> None:
    old = test_bed.start().wait_until_ready()
    test_bed.suspend_answers()
    client = ThriftClient(test_bed.address)
    # Only loads are sent: a lookup that waits while a process starts may be retried and then rejected.
    loads = [client.send_request(1, "load"), client.send_request(2, "load")]
    wait_until(
        lambda: sum(len(warehouse.pending) for warehouse in test_bed.warehouses.values()) == 2,
        "both loads at warehouses",
    )
    new = start_successor(test_bed, old)
    old.signal(signal.SIGTERM)
    new.wait_for_log("process state received", stage="leaving")
    test_bed.resume_answers()
    assert all(client.is_served(load) for load in loads)
    assert old.wait_until_ended() == 0
    client.wait_until_served()  # the connection has been transferred
    assert not client.duplicates
    received = test_bed.received()
    assert received.count(LOAD_ID) == received.count(b"%016x" % 2) == 1


def hand_over_with_requests_in_flight(
    test_bed: ProcessTestBed,
) -> tuple[FrontEndProcess, FrontEndProcess, ThriftClient, int, int]:
    """Hand over a connection with a load in flight and a partially received lookup.

    The rest of the lookup is sent after the hand-over, and the new process forwards it.

    Returns:
        The old and the new process, the client, and the sequence numbers of the load and the lookup.
    """
    old = test_bed.start().wait_until_ready()
    client, load = hold_load(test_bed)
    new = start_successor(test_bed, old)
    # Sent after the new process is ready: a partial message times out after 2.6 s, and starting a process may
    # take that long.
    lookup = client.send_partial_request(2, byte_limit=40)
    old.signal(signal.SIGTERM)
    new.wait_for_log("client connections adopted", count=1)
    client.sock.sendall(client.unsent)
    wait_until(lambda: len(test_bed.received()) >= 2, "the lookup at a warehouse")
    return old, new, client, load, lookup


def test_crash_of_old_process_fails_request_in_flight_once(test_bed: ProcessTestBed) -> None:
    old, _new, client, load, lookup = hand_over_with_requests_in_flight(test_bed)
    old.signal(signal.SIGKILL)
    reply = client.wait_for_reply(load)  # not retried, since it may have run
    assert reply is not None
    assert reply.kind == "fault"
    test_bed.resume_answers()
    assert client.is_served(lookup)
    assert not client.duplicates


def test_crash_of_new_process_cancels_request_in_flight(
    test_bed: ProcessTestBed,
) -> None:
    old, new, client, _load, _lookup = hand_over_with_requests_in_flight(test_bed)
    new.signal(signal.SIGKILL)
    client.wait_until_closed()
    (receiver,) = [warehouse for warehouse in test_bed.warehouses.values() if LOAD_ID in warehouse.received]
    wait_until(lambda: LOAD_ID in receiver.cancelled, "the cancellation of the load")
    assert old.wait_until_ended() == 0


def test_suspensions_apply_to_all_processes_and_survive_upgrades(test_bed: ProcessTestBed) -> None:
    old = test_bed.start().wait_until_ready()
    assert old.admin_request("SUSPEND s-1").startswith("ok")
    assert old.admin_request("SUSPEND s-1").startswith("ok")
    assert old.admin_request("SUSPEND s-9").startswith("fail no warehouse")
    new = test_bed.start().wait_until_ready()
    assert "left out: s-1" in new.admin_request("STATUS")
    # It stays suspended when the change log reports that it has restarted and is ready.
    test_bed.call(lambda: test_bed.change_log.append(test_bed.instance("s-1", started_s=1.0)))
    client = ThriftClient(test_bed.address)
    for group in range(20):
        client.wait_until_served(group)
    client.close()
    assert not test_bed.warehouses["s-1"].received
    assert len(test_bed.warehouses["s-2"].received) >= 20
    # Directives received by one process apply to the other in both directions.
    assert new.admin_request("RESTORE s-1").startswith("ok")
    wait_until(lambda: "left out" not in old.admin_request("STATUS"), "the restoration at the old process")
    assert old.admin_request("SUSPEND s-2").startswith("ok")
    wait_until(lambda: "left out: s-2" in new.admin_request("STATUS"), "the suspension at the new process")
    old.signal(signal.SIGKILL)
    old.wait_until_ended()
    new.wait_for_log("front end processes changed", running=1)
    third = test_bed.start().wait_until_ready()
    assert "left out: s-2" in third.admin_request("STATUS")
    pattern = f"*.{old.popen.pid:x}-*"
    wait_until(
        lambda: not list((test_bed.directory / "tmp").glob(pattern)),
        "the removal of the dead process's files",
    )


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_old_process_keeps_serving_if_new_one_fails_before_ready(
    test_bed: ProcessTestBed, signal_number: signal.Signals
) -> None:
    old = test_bed.start().wait_until_ready()
    new = test_bed.start()
    old.wait_for_log("front end processes changed", running=2)
    new.signal(signal_number)
    assert old.admin_request("SUSPEND s-1").startswith("ok")  # must not wait for the stopped process
    client = ThriftClient(test_bed.address)
    for _ in range(5):
        client.wait_until_served()
    client.close()
    if signal_number is signal.SIGSTOP:
        new.signal(signal.SIGKILL)
    new.wait_until_ended()
    old.wait_for_log("front end processes changed", running=1)
    assert old.admin_request("STATUS").startswith("ok ready")


def test_third_process_takes_over_during_shutdown_of_first(test_bed: ProcessTestBed) -> None:
    first = test_bed.start().wait_until_ready()
    client, load = hold_load(test_bed)
    second = start_successor(test_bed, first)
    first.signal(signal.SIGTERM)
    second.wait_for_log("process state received", stage="leaving")
    third = test_bed.start().wait_until_ready()
    first.wait_for_log("front end processes changed", running=3)
    second.wait_for_log("front end processes changed", running=3)
    second.signal(signal.SIGTERM)
    wait_until(lambda: len(third.logged("process state received", stage="leaving")) > 1, "both to shut down")
    # The connection was transferred twice, and the answer is passed on twice in the same way.
    test_bed.resume_answers()
    assert client.is_served(load)
    assert first.wait_until_ended() == second.wait_until_ended() == 0
    client.wait_until_served()
    third.wait_for_log("front end processes changed", running=1)
    ThriftClient(test_bed.address).wait_until_served()


def test_pause_during_handover_applies_to_both_processes(test_bed: ProcessTestBed) -> None:
    old = test_bed.start().wait_until_ready()
    client, load = hold_load(test_bed)
    new = start_successor(test_bed, old)
    old.signal(signal.SIGTERM)
    new.wait_for_log("process state received", stage="leaving")
    assert old.admin_request("STATUS") == "fail leaving"
    assert old.admin_request("PAUSE").startswith("ok")
    wait_until(lambda: new.admin_request("STATUS") == "fail paused", "the pause at the new process")
    assert not ThriftClient(test_bed.address).ping()
    test_bed.resume_answers()
    assert client.is_served(load)
    assert old.wait_until_ended() == 0
    client.wait_until_closed()  # the pause also drains transferred connections
    assert new.admin_request("RESUME").startswith("ok")
    assert ThriftClient(test_bed.address).ping()
    new.signal(signal.SIGTERM)  # a shutdown without a successor
    assert new.wait_until_ended() == 0


def test_pause_applies_to_process_started_later(test_bed: ProcessTestBed) -> None:
    old = test_bed.start().wait_until_ready()
    assert old.admin_request("PAUSE").startswith("ok")
    new = test_bed.start()
    new.wait_for_log("directives merged", paused=True)
    assert new.admin_request("STATUS") == "fail paused"
    assert new.admin_request("RESUME").startswith("ok")
    wait_until(lambda: old.admin_request("STATUS") == "ok ready", "the resume at the old process")


def test_damaged_state_file_is_logged_and_ignored(test_bed: ProcessTestBed) -> None:
    old = test_bed.start().wait_until_ready()
    old.admin_request("SUSPEND s-1")
    (path,) = (test_bed.directory / "tmp").glob("*.json")
    old.signal(signal.SIGKILL)
    old.wait_until_ended()
    path.write_bytes(path.read_bytes()[:-3])
    new = test_bed.start().wait_until_ready()
    new.wait_for_log("state file rejected", file=path.name)
    assert new.admin_request("STATUS") == "ok ready"
