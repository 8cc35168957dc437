"""Plays the recorded exchanges: those common to both protocol paths, and those of one path."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from play import EXCHANGES_DIRECTORY, SETTINGS, Dialect, Etcd, Harness, Http, ThriftHttp, ThriftResp

PROTOCOL_PATHS = pytest.mark.parametrize(
    "path", [pytest.param(ThriftResp, id="thrift-resp"), pytest.param(Http, id="http")]
)
ALL_PATHS = pytest.mark.parametrize(
    "path",
    [
        pytest.param(ThriftResp, id="thrift-resp"),
        pytest.param(Http, id="http"),
        pytest.param(ThriftHttp, id="thrift-http"),
    ],
)
# The first line of an exchange can ask for settings other than the defaults.
ONE_STREAM, DEFAULT_STREAMS = 1, 32
FEW_DESCRIPTORS, DEFAULT_DESCRIPTORS = 16, 1024
TEAMS_PREFIX = "#= "


def exchanges(directory: str) -> pytest.MarkDecorator:
    """Parametrize a test with the names of the exchanges in a directory."""
    files = (EXCHANGES_DIRECTORY / directory).glob("*.txt")
    return pytest.mark.parametrize("name", sorted(file.stem for file in files))


@pytest.mark.parametrize("split", [False, True], ids=["whole", "bytewise"])
@ALL_PATHS
@exchanges("rules")
def test_rule(name: str, path: Callable[[], Dialect], split: bool) -> None:
    play(f"rules/{name}", path(), split)


@PROTOCOL_PATHS
@exchanges("teams")
def test_teams(name: str, path: Callable[[], Dialect]) -> None:
    play(f"teams/{name}", path())


@exchanges("platform")
def test_platform(name: str) -> None:
    play(f"platform/{name}", ThriftResp())


@exchanges("clickhouse")
def test_clickhouse(name: str) -> None:
    play(f"clickhouse/{name}", Http())


# review/1: an HTTP warehouse's error reached the platform's clients as a result.
@exchanges("http_warehouses")
def test_http_warehouses(name: str) -> None:
    play(f"http_warehouses/{name}", ThriftHttp())


@exchanges("etcd")
def test_etcd(name: str) -> None:
    play(f"etcd/{name}", Etcd())


def play(name: str, dialect: Dialect, split: bool = False) -> None:
    """Play an exchange against a front end with the settings named in its first line."""
    text = (EXCHANGES_DIRECTORY / f"{name}.txt").read_text()
    lines = text.splitlines()
    streams = ONE_STREAM if "one stream" in lines[0] else DEFAULT_STREAMS
    settings = {**SETTINGS, "policy-limits": {**SETTINGS["policy-limits"], "streams-per-conn": streams}}
    descriptors = FEW_DESCRIPTORS if "16 descriptors" in lines[0] else DEFAULT_DESCRIPTORS
    engines = 0 if "no warehouses" in lines[0] else 2
    teams = "\n".join(line.removeprefix(TEAMS_PREFIX) for line in lines if line.startswith(TEAMS_PREFIX))
    stage = Harness(dialect, split, engines, teams, settings=settings, limits={"sockets": descriptors})
    try:
        stage.replay_exchange(text)
    finally:
        stage.close()
