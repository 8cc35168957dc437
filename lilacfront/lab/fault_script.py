"""Scripts for fault injection among front ends: TOML format, validation and the timeline of faults.

`members.py` runs a script in a simulation, `fleet_run.py` with real processes.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

from lilacfront.errors import SettingsError
from lilacfront.membership.settings import MembershipSettings
from lilacfront.recovery.settings import RecoverySettings

MIN_MEMBERS = 2
MAX_MEMBERS = 4096

FaultAction = Literal[
    "kill",
    "start",
    "stop",
    "continue",
    "leave",
    "cut",
    "heal",
    "lie",
    "shut",
    "open",
    "hold",
    "serve",
    "blackout",
    "spoil",
    "log",
]
FaultMode = Literal["", "cut", "flip", "swap", "old", "remove", "away", "back", "anew"]
# "all dead" reports all other members as dead, "dead live" reports dead members as alive.
FalseReport = Literal["all dead", "dead live"]

WAREHOUSE_ACTIONS: tuple[FaultAction, ...] = ("shut", "open", "hold", "serve")


class Fault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A fault to inject, or the end of one.

    Attributes:
        at_s: Seconds after the start of the script.
        action: For front ends: `kill`, `start`, `leave`, and `stop` and `continue`, which pause and resume
            the process. For the network: `cut` creates a partition, `heal` removes all partitions. `lie`:
            members send false updates. For real processes only: `shut` and `open` close and reopen a
            warehouse's listener; `hold` and `serve` withhold and release its answers; `blackout` is a power
            loss of all front ends; `spoil` corrupts their files; `log` is a fault of the change log.
        mode: For `spoil`: files are truncated at a random byte (`cut`), have a bit flipped (`flip`), are
            replaced by those of the next front end (`swap`) or from the start of the script (`old`), or are
            removed (`remove`). For `log`: it becomes unreachable (`away`) or reachable (`back`), or restarts
            its numbering with the current list (`anew`).
        targets: Numbers of the affected members or warehouses.
        target_fraction: If not 0, replaces `targets` by this fraction of the running members, drawn with
            the seed.
        destinations: For `cut`: the members that the targets can't reach; empty: all others.
        bidirectional: For `cut`: whether the destinations can't reach the targets either.
        clock_offset_s: For `start`: offset of the member's wall clock, in seconds.
        lie: For `lie`: the false updates that the members send: all others are dead (`all dead`), or dead
            members are alive (`dead live`).
    """

    at_s: float = msgspec.field(name="at")
    action: FaultAction = msgspec.field(name="do")
    mode: FaultMode = msgspec.field(default="", name="how")
    targets: list[int] = msgspec.field(default_factory=list, name="who")
    target_fraction: float = msgspec.field(default=0.0, name="part")
    destinations: list[int] = msgspec.field(default_factory=list, name="to")
    bidirectional: bool = msgspec.field(default=True, name="both")
    clock_offset_s: float = msgspec.field(default=0.0, name="clock")
    lie: FalseReport = "all dead"


class FaultScript(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A run of several front ends with a faulty network and faults at given times.

    Attributes:
        members: Number of front ends.
        duration_s: Duration of the run.
        loss_fraction: Fraction of the datagrams that are lost.
        duplicate_fraction: Fraction of the datagrams that are sent twice.
        late_fraction: Fraction of the datagrams that are late, with a delay of 0 to `max_late_delay_s`.
        max_late_delay_s: Maximum delay of a late datagram.
        delay_range_s: Minimum and maximum delay of all other datagrams.
        membership: Settings of the failure detector.
        faults: The faults, in any order.
        repeat_interval_s: Interval after which all faults are repeated, with the member numbers increased
            by one each time; 0: no repetition.
        warehouses: Number of warehouses. This field and the following ones apply to real processes only.
        requests_per_s: Rate of the lookups that are sent to each front end.
        recovery: Settings of the recovery store; any directory enables it. Each front end uses its own.
        legacy_members: Members that run without membership, like an earlier version of the program.
    """

    members: int = 50
    duration_s: float = msgspec.field(default=30.0, name="seconds")
    loss_fraction: float = msgspec.field(default=0.0, name="loss")
    duplicate_fraction: float = msgspec.field(default=0.0, name="doubles")
    late_fraction: float = msgspec.field(default=0.0, name="late")
    max_late_delay_s: float = msgspec.field(default=1.0, name="late_s")
    delay_range_s: tuple[float, float] = msgspec.field(default=(0.0011, 0.038), name="delay_s")
    membership: MembershipSettings = MembershipSettings(enabled=True)
    faults: list[Fault] = []
    repeat_interval_s: float = msgspec.field(default=0.0, name="repeat_s")
    warehouses: int = 0
    requests_per_s: float = 0.0
    recovery: RecoverySettings = RecoverySettings()
    legacy_members: list[int] = msgspec.field(default_factory=list, name="old")

    def fault_timeline(self) -> list[Fault]:
        """All faults with their repetitions, ordered by time."""
        rounds = int(self.duration_s // self.repeat_interval_s) if self.repeat_interval_s > 0 else 1
        timeline = [self._repetition(fault, number) for number in range(rounds) for fault in self.faults]
        return sorted(timeline, key=lambda fault: fault.at_s)

    def _repetition(self, fault: Fault, number: int) -> Fault:
        return replace(
            fault,
            at_s=fault.at_s + number * self.repeat_interval_s,
            targets=self._shifted(fault.targets, number),
            destinations=self._shifted(fault.destinations, number),
        )

    def _shifted(self, members: list[int], offset: int) -> list[int]:
        return [(member + offset) % self.members for member in members]


class ScriptError(SettingsError):
    """A script is invalid."""


def parse_script(text: bytes) -> FaultScript:
    """Decode and check a script in TOML.

    Raises:
        ScriptError: The text is not a valid script.
    """
    try:
        script = msgspec.toml.decode(text, type=FaultScript)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ScriptError("", error) from error
    _check_script(script)
    return script


def _check_script(script: FaultScript) -> None:
    if not MIN_MEMBERS <= script.members <= MAX_MEMBERS:
        raise ScriptError("members", f"{script.members} is not from {MIN_MEMBERS} to {MAX_MEMBERS}")
    fractions = {
        "loss": script.loss_fraction,
        "doubles": script.duplicate_fraction,
        "late": script.late_fraction,
    }
    for key, fraction in fractions.items():
        if not 0.0 <= fraction <= 1.0:
            raise ScriptError(key, f"{fraction} is not from 0 to 1")
    for index, fault in enumerate(script.faults):
        limit = script.warehouses if fault.action in WAREHOUSE_ACTIONS else script.members
        for number in (*fault.targets, *fault.destinations):
            if not 0 <= number < limit:
                raise ScriptError(f"faults[{index}]", f"number {number} is not from 0 to {limit - 1}")
