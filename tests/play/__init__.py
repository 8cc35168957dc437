"""Replays exchanges from text files against a front end, over real sockets and with a controlled clock.

A step is a line `ACTOR VERB REST`. A following line that begins with `|` is appended to the step and ended by
CR LF; one that begins with `.` is appended as it is. The actors are clients (C1, C2 …), warehouses (W1, W2),
change logs (L, M) and etcd (E). `$W1` stands for the address of a warehouse. The verbs of an actor are:

- `>`: the actor sends the bytes of the rest.
- `<`: the next bytes that the actor receives must be exactly those of the rest.
- `!close`, `!reset`: the actor closes its connection, or resets it.
- `!eof`: the front end must end the connection without sending more.
- `!only`: the front end must end all connections of the actor but the current one.
- `!nothing`: the actor must not have received anything more.
- `!refuse`: the actor refuses connections from now on.
- `!full`: the actor's accept queue is full from now on, so that connects don't complete.
- `!second`: the actor's current connection must be its second.
- Every other verb is a method of the dialect and stands for the bytes that the method returns, as in
  `C1 ask a lookup 4000 select 1`.

Steps without an actor are:

- `wait MS`: the clock advances.
- `term`: the front end receives SIGTERM.
- `hup ACTOR`: the front end receives SIGHUP; the configuration names the actor as the change log. Without an
  actor the configuration is invalid.
- `teams TOML`: the front end receives SIGHUP; the teams' file has this text.
- `ends`: the front end must end by itself.
"""

from play.actors import Actor, reset_on_close
from play.clock import Clock, ControlledPoll
from play.dialect import Dialect, encode_rows
from play.etcd import Etcd
from play.harness import TICK_S, Harness
from play.http import Http
from play.settings import EXCHANGES_DIRECTORY, GATEWAY, SETTINGS
from play.thrift_http import ThriftHttp
from play.thrift_resp import ThriftResp, encode_resp

__all__ = [
    "EXCHANGES_DIRECTORY",
    "GATEWAY",
    "SETTINGS",
    "TICK_S",
    "Actor",
    "Clock",
    "ControlledPoll",
    "Dialect",
    "Etcd",
    "Harness",
    "Http",
    "ThriftHttp",
    "ThriftResp",
    "encode_resp",
    "encode_rows",
    "reset_on_close",
]
