"""The test harness: a front end, the actors that it communicates with, and the steps of an exchange."""

from __future__ import annotations

import codecs
import json
import re
import socket
import time
from collections.abc import Callable
from typing import Any

from lilacfront import config as configuration
from lilacfront.sched import Loop
from lilacfront.server import Server
from play.actors import Actor
from play.clock import Clock, ControlledPoll
from play.dialect import ConnectionEnd, Dialect, Transfer
from play.settings import INSTANCE_IDS, SETTINGS

TICK_S = 0.01
# Real time within which bytes arrive on loopback; only a failing test waits this long.
MAX_REAL_WAIT_S = 20.0
TURNS_PER_STEP = 3
LISTENING_ACTORS = ("W1", "W2", "L", "M", "E")


def unescape(text: str) -> bytes:
    """Decode a text with backslash escapes."""
    data = codecs.escape_decode(text.encode())[0]
    assert isinstance(data, bytes)
    return data


def join_lines(text: str) -> str:
    """Join the continuation lines (`|`, `.`) of an exchange to their steps."""
    text = re.sub(r" ([<>])$", r" \1 ", text, flags=re.M)
    text = re.sub(
        r"\n\|(?: (.*)|)$",
        lambda match: "\\r\\n" if not match[1] else match[1] + "\\r\\n",
        text,
        flags=re.M,
    )
    return re.sub(r"\n\. (.*)$", lambda match: match[1], text, flags=re.M)


class Harness:
    """A front end under test and the actors that it communicates with."""

    def __init__(
        self,
        dialect: Dialect,
        split: bool = False,
        engines: int = 2,
        teams: str = "",
        fresh: bool = False,
        **changes: Any,
    ) -> None:
        """Start the front end.

        Args:
            dialect: the translation of verbs into the bytes of the protocol path.
            split: whether actors send each byte separately.
            engines: the number of warehouses in the endpoint list.
            teams: the text of the teams' file.
            fresh: whether the front end must load the endpoint list before it is healthy.
            changes: further keys of the configuration.
        """
        self.teams = teams
        self.clock = Clock()
        self.dialect = dialect
        self.sends_bytewise = split
        self.actors = {name: Actor(True) for name in LISTENING_ACTORS}
        dialect.endpoints = self
        self.config_json = self._make_config_json(engines, changes)
        self.gateway_toml = dialect.gateway_toml.replace("$E", self.actors["E"].address).encode()
        loop = Loop(self.clock)
        self.poll = ControlledPoll(loop._poll)
        loop._poll = self.poll  # type: ignore[assignment]
        self.server = Server(self._read_config(), loop, self._read_config)
        if self.server.change_log is not None and not fresh:
            self.server.change_log.is_caught_up = True
        self.turn()

    def _make_config_json(self, engines: int, changes: dict[str, Any]) -> bytes:
        fleet = [self.entry(f"W{number + 1}") for number in range(engines)]
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "7",
            "changelog": self.actors["L"].address,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"reset": True, "instances": fleet}}]},
            "settings": SETTINGS,
            **changes,
        }
        return json.dumps(config).encode()

    def _read_config(self) -> configuration.Config:
        return configuration.parse(self.config_json, {}, self.gateway_toml, self.teams.encode())

    def entry(self, name: str, state: str = "ready") -> dict[str, Any]:
        """The entry of a warehouse in the endpoint list."""
        return {
            "instanceId": INSTANCE_IDS[name],
            "hostPort": self.address(name),
            "zone": "hall-a",
            "machineType": "c12",
            "lifecycle": state,
        }

    def address(self, name: str) -> str:
        """The address of an actor that listens."""
        return self.actors[name].address

    def turn(self) -> None:
        """Run turns of the front end and let the actors receive; the clock does not advance."""
        for _ in range(TURNS_PER_STEP):
            self.server.loop.turn(0)
            for actor in self.actors.values():
                actor.receive()

    def wait(self, seconds: float) -> None:
        """Advance the clock in ticks, with turns after each."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + TICK_S)
            self.turn()

    def until(self, is_done: Callable[[], object], awaited: str) -> None:
        """Run turns until a condition is true; the clock does not advance."""
        limit = time.monotonic() + MAX_REAL_WAIT_S
        while not is_done():
            assert time.monotonic() < limit, f"timed out waiting for {awaited}"
            self.turn()

    def replay_exchange(self, text: str) -> None:
        """Run all steps of an exchange."""
        for number, line in enumerate(join_lines(text).splitlines(), 1):
            if not line.strip() or line.startswith("#"):
                continue
            try:
                self.step(*[*line.split(" ", 2), "", ""][:3])
            except AssertionError as error:
                raise AssertionError(f"step {number}: {line[:200]}\n{error}") from None

    def step(self, name: str, verb: str, rest: str) -> None:
        """Run one step of an exchange."""
        match name:
            case "wait":
                self.wait(int(verb) / 1000)
            case "term":
                self.server.begin_shutdown()
            case "hup":
                self._move_change_log(verb)
            case "teams":
                self.teams = unescape(f"{verb} {rest}").decode()
                self.server.reload_config()
            case "ends":
                self.until(lambda: self.server.loop.stopping, "the loop to stop")
            case _:
                self._actor_step(name, verb, rest)

    def _move_change_log(self, name: str) -> None:
        config = json.loads(self.config_json)
        config["changelog"] = self.address(name) if name else "nowhere"
        self.config_json = json.dumps(config).encode()
        self.server.reload_config()

    def _actor_step(self, name: str, verb: str, rest: str) -> None:
        actor = self.actors.get(name) or self.connect_client(name)
        if verb.startswith("!"):
            self.apply_event(actor, verb[1:])
        elif verb in "<>":
            self._transfer(actor, Transfer(unescape(self._expand_addresses(rest)), verb == ">"))
        else:
            for effect in self.dialect.translate(name, verb, *rest.split(" ")):
                match effect:
                    case ConnectionEnd():
                        self.apply_event(actor, "eof")
                    case Transfer():
                        self._transfer(actor, effect)

    def connect_client(self, name: str) -> Actor:
        """Connect a new client to the front end."""
        actor = Actor(False)
        self.actors[name] = actor
        address = self.server.listeners[self.dialect.listener_index].address
        actor.use_connection(socket.create_connection(address))
        return actor

    def _expand_addresses(self, text: str) -> str:
        return re.sub(r"\$(W\d)", lambda match: self.address(match[1]), text)

    def _transfer(self, actor: Actor, transfer: Transfer) -> None:
        data = transfer.data
        if transfer.is_sent:
            self.send(actor, data)
            return
        self.until(lambda: len(actor.received) >= len(data) or actor.eof, f"{data!r}, got {actor.received!r}")
        assert actor.received[: len(data)] == data, f"expected {data!r}\n     got {actor.received!r}"
        actor.received = actor.received[len(data) :]

    def send(self, actor: Actor, data: bytes) -> None:
        """Send bytes on the actor's current connection."""
        if actor.connection is None:
            self.until(lambda: actor.connection is not None, "a connection")
        assert actor.connection is not None
        pieces = [data[n : n + 1] for n in range(len(data))] if self.sends_bytewise else [data]
        for piece in pieces:
            actor.connection.setblocking(True)
            actor.connection.sendall(piece)
            actor.connection.setblocking(False)
            self.turn()

    def apply_event(self, actor: Actor, verb: str) -> None:
        """Change the state of the actor's sockets, or check it."""
        match verb:
            case "close" | "reset":
                actor.close_connection(with_reset=verb == "reset")
                self.turn()
            case "refuse":
                actor.refuse_connections()
            case "full":
                actor.fill_backlog()
            case "second":
                assert len(actor.other_sockets) == 1, (
                    f"expected one earlier connection, got {len(actor.other_sockets)}"
                )
            case "eof":
                self.until(lambda: actor.eof, "the end of the connection")
                assert not actor.received, f"unexpected bytes: {actor.received!r}"
            case "swap":
                actor.swap_connections()
            case "only":
                self.until(actor.has_one_open_connection, "the ends of the earlier connections")
            case "nothing":
                self.turn()
                assert not actor.received, f"unexpected bytes: {actor.received!r}"
                assert not actor.eof, "the connection has ended"
            case _:
                raise AssertionError(f"unknown verb !{verb}")

    def close(self) -> None:
        """Close the actors and the front end."""
        for actor in self.actors.values():
            actor.close()
        self.server.close()
