"""Parameters and engines of the simulated fleets of `event_streams`, and the encoding of actions."""

from __future__ import annotations

from dataclasses import dataclass

from lilacfront.decisions.actions import (
    Action,
    CancelAttempt,
    Fail,
    Forward,
    Reject,
    SendPeerMessage,
    SetRequestTerms,
    SetTimer,
    WatchEndpoints,
)
from lilacfront.decisions.events import Endpoint
from lilacfront.decisions.settings import PolicySettings

# Codes of the actions that the router requests; the other actions of `Action` have none.
ACTION_CODES: dict[type, str] = {
    Forward: "F",
    Reject: "R",
    Fail: "X",
    CancelAttempt: "C",
    SetTimer: "T",
    SetRequestTerms: "P",
    SendPeerMessage: "G",
    WatchEndpoints: "W",
}


@dataclass(frozen=True, slots=True)
class Stream:
    """Parameters of one stream: the gateways, the fleet, and the rates of faults."""

    name: str
    seed: int
    event_count: int
    settings: PolicySettings
    gateways: tuple[int, ...] = (0,)  # indices of the simulated gateways
    engine_count: int = 6
    zone_count: int = 2
    relative_load: float = 1.0  # total demand as a fraction of the capacity of all engines
    table_group_count: int = 30
    fault_rate: float = 0.02  # fraction of attempts with a random result
    faulty_engines: int = 1  # maximum number of engines with a fault at a time
    change_interval_s: float = 2.0  # between changes of the endpoint list, times 0.3 to 2.0 at random
    has_load_reports: bool = True
    has_work_estimates: bool = True
    disconnect_rate: float = 0.03


@dataclass(slots=True)
class EngineModel:
    """A simulated engine."""

    endpoint: Endpoint
    in_flight: int = 0
    fault: str = ""  # "", "errors", "down", "hang", "resets"


@dataclass(slots=True)
class SentAttempt:
    """An attempt that a gateway forwarded."""

    engine: int
    sent_us: int
    is_sent: bool = False
    has_ended: bool = False


def encode_action(action: Action) -> str:
    """Return an action as its code and its values in order."""
    values: list[str] = []
    for name in type(action).__match_args__:
        value = getattr(action, name)
        if value is None:
            values.append("-")
        elif isinstance(value, bytes):
            values.append(value.hex())
        elif isinstance(value, bool):
            values.append(str(int(value)))
        else:
            values.append(repr(value))
    return ACTION_CODES[type(action)] + ",".join(values)
