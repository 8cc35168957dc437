"""The command line, and the program running as a process."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from config_builders import config_text
from play import ThriftResp

from lilacfront.cli import main
from lilacfront.protocols import thrift

TIMEOUT_S = 20


@pytest.fixture
def config_path(tmp_path: Path) -> Path:
    """A valid configuration file; port 0 makes the system choose the port."""
    path = tmp_path / "config.json"
    path.write_bytes(config_text(listen="127.0.0.1:0"))
    return path


def test_version_succeeds() -> None:
    assert CliRunner().invoke(main, ["version"]).exit_code == 0


def test_check_config_names_the_environment_variable_of_a_missing_file(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["check-config"], env={"PROXY_CONFIG": str(tmp_path / "none")})
    assert result.exit_code == 2
    assert "PROXY_CONFIG" in result.output


def test_check_config_accepts_a_valid_file(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_bytes(config_text())
    result = CliRunner().invoke(main, ["check-config"], env={"PROXY_CONFIG": str(tmp_path / "config.json")})
    assert result.exit_code == 0
    assert "3 classes" in result.output


def test_process_serves_reloads_on_sighup_and_exits_after_sigterm(config_path: Path) -> None:
    command = [sys.executable, "-m", "lilacfront", "serve"]
    environment = {**os.environ, "PROXY_CONFIG": str(config_path)}
    with subprocess.Popen(command, env=environment, stderr=subprocess.PIPE) as program:
        try:
            assert program.stderr is not None
            line = program.stderr.readline()
            assert b"lilacfront.server.server: listening " in line
            port = int(line.rpartition(b":")[2])
            with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as client:
                for is_healthy in (True, False):
                    client.sendall(ThriftResp.ping_request)
                    answer = thrift.encode_answer(b"ping", 1, b"", is_healthy)
                    assert client.recv(len(answer), socket.MSG_WAITALL) == answer
                    if is_healthy:
                        program.send_signal(signal.SIGHUP)
                        assert b"configuration reloaded" in program.stderr.readline()
                    program.send_signal(signal.SIGTERM)
            assert program.wait(TIMEOUT_S) == 0
        finally:
            program.kill()
