"""Tests of one real process: pause, admin commands, command line and failing starts."""

from __future__ import annotations

import signal
import socket

import pytest
from click.testing import CliRunner

from lilacfront.cli import main
from lilacfront.lab.test_bed import ProcessTestBed, wait_until
from lilacfront.lab.thrift_client import ThriftClient


def test_pause_drains_all_clients_and_resume_accepts_them_again(test_bed: ProcessTestBed) -> None:
    process = test_bed.start().wait_until_ready()
    idle = ThriftClient(test_bed.address)
    busy = ThriftClient(test_bed.address)
    assert idle.ping()
    busy.wait_until_served()
    test_bed.suspend_answers()
    load = busy.send_request(2, "load")
    wait_until(lambda: b"%016x" % 2 in test_bed.received(), "the load at a warehouse")
    assert process.admin_request("PAUSE").startswith("ok")
    assert process.admin_request("PAUSE").startswith("ok")
    assert not ThriftClient(test_bed.address).ping()
    assert process.admin_request("STATUS") == "fail paused"
    idle.wait_until_closed()
    test_bed.resume_answers()
    assert busy.is_served(load)  # the request in flight finishes before the connection is closed
    busy.wait_until_closed()
    new_client = ThriftClient(test_bed.address)
    new_client.wait_until_served()  # the platform may still route here, so new connections are served
    new_client.wait_until_closed()
    assert process.admin_request("RESUME").startswith("ok")
    assert ThriftClient(test_bed.address).ping()


def test_admin_requests_are_answered_despite_many_idle_connections(
    test_bed: ProcessTestBed,
) -> None:
    process = test_bed.start().wait_until_ready()
    callers = [socket.create_connection(process.admin_address) for _ in range(100)]
    for number, caller in enumerate(callers):
        caller.sendall(b"SUSP" if number % 2 else b"")
    clients = [socket.create_connection(test_bed.address) for _ in range(400)]
    try:
        assert process.admin_request("STATUS").startswith("ok")
        assert process.admin_request("NONSENSE").startswith("fail no call")
        assert process.admin_request("").startswith("fail an empty call")
    finally:
        for sock in (*callers, *clients):
            sock.close()


@pytest.mark.parametrize(
    ("environment", "message"),
    [
        ({"PROXY_ADMIN": "{used_address}"}, "PROXY_ADMIN or admin: {used_address}: Address already in use"),
        ({"PROXY_ADMIN": "nowhere"}, "PROXY_ADMIN: 'nowhere' is not HOST:PORT"),
        ({"PROXY_LISTEN": "{used_address}"}, "listen: {used_address}: Address already in use"),
        ({"PROXY_PASSED_SOCKET": "97"}, "PROXY_PASSED_SOCKET: descriptor 97: Bad file descriptor"),
        ({"PROXY_PASSED_SOCKET": "1"}, "PROXY_PASSED_SOCKET: descriptor 1 is no"),
        ({"PROXY_PASSED_SOCKET": "x"}, "PROXY_PASSED_SOCKET: 'x' is not a descriptor number"),
    ],
)
def test_unusable_address_or_descriptor_fails_start_with_one_log_line(
    test_bed: ProcessTestBed, environment: dict[str, str], message: str
) -> None:
    used_address = "{}:{}".format(*test_bed.address)
    variables = {key: value.format(used_address=used_address) for key, value in environment.items()}
    process = test_bed.start(inherit_socket=False, **{"PROXY_LISTEN": "127.0.0.1:0", **variables})
    assert process.wait_until_ended() == 2
    assert len(process.log_lines) == 1
    event = process.log_lines[0]["event"]
    assert message.format(used_address=used_address) in event
    assert "Traceback" not in event


def test_ops_commands_print_answers_and_set_exit_codes(test_bed: ProcessTestBed) -> None:
    process = test_bed.start().wait_until_ready()

    def ops(*arguments: str, admin: str = "") -> tuple[int, str]:
        admin = admin or "{}:{}".format(*process.admin_address)
        result = CliRunner().invoke(main, ["ops", "--admin", admin, *arguments])
        return result.exit_code, result.output.strip()

    assert ops("status") == (0, "ok ready")
    assert ops("suspend", "s-1") == (0, "ok s-1 is left out")
    assert ops("suspend", "s-9") == (1, "fail no warehouse has the id s-9")
    assert ops("restore", "s-1")[0] == ops("resume")[0] == ops("pause")[0] == 0
    assert ops("status") == (1, "fail paused")
    assert ops("status", admin="nowhere")[0] == 2
    process.signal(signal.SIGKILL)
    process.wait_until_ended()
    assert ops("status")[0] == 3
