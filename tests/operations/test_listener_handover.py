"""Replacing the process while the ClickHouse front end, whose socket the platform does not pass, is on."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import pytest

from lilacfront.lab.test_bed import FIRST_SEQ, FrontEndProcess, ProcessTestBed, wait_until

GATEWAY = """
[clickhouse]
listen = "127.0.0.1:{port}"
read_class = "lookup"
load_class = "load"
[warehouses]
protocol = "clickhouse"
"""
QUERY = "/?query=SELECT%20x%20FROM%20sales_17.orders&query_id={}"
HTTP_OK = 200
REPLACEMENTS = 3


class WarehouseHandler(BaseHTTPRequestHandler):
    """Answers each query with one row, under the id of the query."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        (query_id,) = parse_qs(urlsplit(self.path).query)["query_id"]
        self.send_response(HTTP_OK)
        self.send_header("X-ClickHouse-Query-Id", query_id)
        self.send_header("Content-Length", "6")
        self.end_headers()
        self.wfile.write(b"1\t2\t3\n")

    def log_message(self, *_: object) -> None:
        """Log nothing."""


@pytest.fixture
def http_test_bed(tmp_path: Path) -> Iterator[ProcessTestBed]:
    """A test bed with one warehouse that speaks HTTP."""
    warehouse = ThreadingHTTPServer(("127.0.0.1", 0), WarehouseHandler)
    threading.Thread(target=warehouse.serve_forever, daemon=True).start()
    instance = {
        "instanceId": "s-1",
        "hostPort": f"127.0.0.1:{warehouse.server_port}",
        "zone": "hall-a",
        "machineType": "c12",
        "lifecycle": "ready",
    }
    results = [{"seq": FIRST_SEQ, "fleet": {"reset": True, "instances": [instance]}}]
    processes = ProcessTestBed(tmp_path, known={"seq": FIRST_SEQ, "results": results})
    try:
        yield processes
    finally:
        processes.close()
        warehouse.shutdown()
        warehouse.server_close()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


class HttpClients:
    """Sends one query after the other, each on a connection of its own, and records the outcomes."""

    def __init__(self, port: int) -> None:
        self.outcomes: list[object] = []
        self._port = port
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._is_stopping.is_set():
            self.outcomes.append(query(self._port, len(self.outcomes)))

    def stop(self) -> None:
        self._is_stopping.set()
        self._thread.join()


def query(port: int, number: int) -> object:
    """Send one query; returns the status of its answer, or the error."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        connection.request("GET", QUERY.format(f"q{number}"))
        return connection.getresponse().status
    except (OSError, http.client.HTTPException) as error:
        return error
    finally:
        connection.close()


def start(test_bed: ProcessTestBed, gateway: Path) -> FrontEndProcess:
    return test_bed.start(options=["--gateway", str(gateway)]).wait_until_ready()


@pytest.fixture
def gateway(tmp_path: Path) -> Path:
    path = tmp_path / "gateway.toml"
    path.write_text(GATEWAY.format(port=free_port()))
    return path


def port_of(gateway: Path) -> int:
    return int(gateway.read_text().split('"')[1].split(":")[1])


# Issue 43: the new process ended with "Address already in use".
def test_process_with_clickhouse_front_end_is_replaced_without_a_lost_query(
    http_test_bed: ProcessTestBed, gateway: Path
) -> None:
    old = start(http_test_bed, gateway)
    wait_until(lambda: query(port_of(gateway), 0) == HTTP_OK, "the first query to be served")
    clients = HttpClients(port_of(gateway))
    for _ in range(REPLACEMENTS):
        new = start(http_test_bed, gateway)
        old.wait_for_log("listening socket passed")
        served = len(clients.outcomes)
        old.signal(signal.SIGTERM)
        assert old.wait_until_ended() == 0
        wait_until(lambda served=served: len(clients.outcomes) > served + 3, "queries at the new process")  # type: ignore[misc]
        old = new
    clients.stop()
    assert [outcome for outcome in clients.outcomes if outcome != HTTP_OK] == []


def test_process_without_clickhouse_front_end_closes_the_address(
    http_test_bed: ProcessTestBed, gateway: Path
) -> None:
    """A front end that the new configuration lacks is drained and closed with the old process."""
    old = start(http_test_bed, gateway)
    new = http_test_bed.start().wait_until_ready()
    old.signal(signal.SIGTERM)
    assert old.wait_until_ended() == 0
    assert isinstance(query(port_of(gateway), 0), ConnectionRefusedError)
    assert not new.logged("listening socket received")


def test_address_of_another_program_is_an_error(http_test_bed: ProcessTestBed, gateway: Path) -> None:
    """A replacement that can't start leaves the old process serving."""
    old = http_test_bed.start().wait_until_ready()
    with socket.create_server(("127.0.0.1", port_of(gateway))):
        new = http_test_bed.start(options=["--gateway", str(gateway)])
        assert new.wait_until_ended() == 2
    assert "Address already in use" in str(new.log_lines)
    assert old.admin_request("STATUS").startswith("ok")
