"""`lilacfront demo`: runs a gateway, stand-in warehouses and a load generator on the local machine."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
import urllib.error
import urllib.request
from itertools import count
from pathlib import Path
from socket import create_server
from typing import Any

import click

from lilacfront.errors import LilacfrontError
from lilacfront.lab.process import StandInProcesses
from lilacfront.load.cli import run_and_print
from lilacfront.load.report import write_report

STANDIN_BEHAVIOUR = b"""
protocol = "clickhouse"
delay = { shape = "lognormal", median_ms = 12.0, sigma = 0.6 }
shares = { error = 0.002, reset = 0.001 }
"""
GATEWAY_TEMPLATE = """
[clickhouse]
listen = "127.0.0.1:{port}"
read_class = "report"
load_class = "load"
rules = [{{ class = "lookup", user = "dashboards" }}]
[warehouses]
protocol = "clickhouse"
"""
PLAN_TEMPLATE = """# A lookup-heavy mix with a burst in the middle, as the demonstration runs it.
seed = 11
connections = 64
[target]
protocol = "clickhouse"
addresses = ["127.0.0.1:{port}"]
[client]
retry = "told"
timeout_s = 5.0
[[phases]]
shape = "ramp"
rate = 20.0
to = 120.0
seconds = {quarter}
[[phases]]
shape = "burst"
rate = 120.0
burst_rate = 300.0
length = {burst}
period = {half}
seconds = {half}
[[phases]]
shape = "constant"
rate = 120.0
seconds = {quarter}
[[mix]]
weight = 8.0
class = "lookup"
user = "dashboards"
statement = "SELECT body FROM reports_{{group}}.report WHERE report_id = {{id}}"
groups = {{ exponent = 1.1, count = 50 }}
parameters = {{ id = {{ low = 1, high = 100000 }} }}
[[mix]]
weight = 1.0
class = "report"
user = "support"
statement = "SELECT day, count() FROM reports_{{group}}.report GROUP BY day"
groups = {{ exponent = 1.1, count = 50 }}
[[mix]]
weight = 0.5
class = "load"
user = "loader"
statement = "INSERT INTO reports_{{group}}.report SELECT * FROM staging.fresh"
groups = {{ exponent = 1.1, count = 50 }}
"""
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
PING_TIMEOUT_S = 1.0
PING_INTERVAL_S = 0.05


class DemoError(LilacfrontError, RuntimeError):
    """The demonstration failed; the message says why."""


def free_port() -> int:
    """Returns a TCP port of 127.0.0.1 that is not in use."""
    with create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


def configuration(example: Path, warehouses: list[str]) -> dict[str, Any]:
    """Returns the settings of the example file, with its warehouses replaced by `warehouses`.

    Raises:
        DemoError: The example file can't be read.
    """
    try:
        settings: dict[str, Any] = json.loads(example.read_bytes())
    except (OSError, ValueError) as error:
        raise DemoError(f"{example}: {error}") from None
    instances = [
        {
            "instanceId": f"s-{n}",
            "hostPort": address,
            "zone": "hall-a",
            "machineType": "c12",
            "lifecycle": "ready",
        }
        for n, address in enumerate(warehouses, 1)
    ]
    fleet = {"generation": 1, "reset": True, "instances": instances}
    settings["listen"] = "127.0.0.1:0"
    settings["known"] = {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}
    return settings


class Gateway:
    """A gateway process with a ClickHouse front end; a context manager that starts and stops it."""

    def __init__(self, example: Path, warehouses: list[str], folder: Path) -> None:
        self.port = free_port()
        self.log = folder / "gateway.log"
        (folder / "config.json").write_text(json.dumps(configuration(example, warehouses), indent=1))
        (folder / "gateway.toml").write_text(GATEWAY_TEMPLATE.format(port=self.port))
        self._folder = folder

    def __enter__(self) -> Gateway:
        command = [sys.executable, "-m", "lilacfront", "--log-format", "json", "serve", "--gateway"]
        environment = {**os.environ, "PROXY_CONFIG": str(self._folder / "config.json")}
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                [*command, str(self._folder / "gateway.toml")], env=environment, stderr=log
            )
        start_deadline = time.monotonic() + START_TIMEOUT_S
        while not self._responds_to_ping():
            if self._process.poll() is not None or time.monotonic() > start_deadline:
                self.__exit__()
                raise DemoError(f"the gateway did not start; see {self.log}")
            time.sleep(PING_INTERVAL_S)
        return self

    def _responds_to_ping(self) -> bool:
        try:
            with urllib.request.urlopen(
                f"http://127.0.0.1:{self.port}/ping", timeout=PING_TIMEOUT_S
            ) as answer:
                return bool(answer.status == 200)
        except (urllib.error.URLError, OSError):
            return False

    def __exit__(self, *_: object) -> None:
        self._process.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


def load_plan(port: int, seconds: float) -> bytes:
    """Returns a load plan for the gateway on `port` that takes `seconds`."""
    return PLAN_TEMPLATE.format(port=port, quarter=seconds / 4, half=seconds / 2, burst=seconds / 8).encode()


@click.command("demo")
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("found/demo"),
    show_default=True,
    help="Directory in which each run creates a subdirectory.",
)
@click.option(
    "--config",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=Path("deploy/example.json"),
    show_default=True,
    help="Configuration file for the gateway; its warehouses are replaced.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(4, 3600),
    default=15.0,
    show_default=True,
    help="Duration of the load.",
)
def demo(out: Path, config: Path, seconds: float) -> None:
    """Run two stand-in warehouses, a gateway with a ClickHouse front end, and load against it."""
    folders = (out / f"run-{n}" for n in count(1))
    folder = next(path for path in folders if not path.exists())
    folder.mkdir(parents=True)
    try:
        with StandInProcesses(STANDIN_BEHAVIOUR, 2, folder) as warehouses:
            click.echo(f"warehouses at {', '.join(warehouses.addresses)}")
            with Gateway(config, warehouses.addresses, folder) as gateway:
                click.echo(f"gateway at 127.0.0.1:{gateway.port}; {seconds:g} s of load")
                text = load_plan(gateway.port, seconds)
                run_and_print(text, folder, folder / "load", [])
    except (DemoError, OSError) as error:
        raise click.ClickException(str(error)) from error
    write_report([folder / "load"], folder / "report.html")
    click.echo(f"report: {folder / 'report.html'}")
