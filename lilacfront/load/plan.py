"""Load plans: which requests to send to which target. Reads and validates plans in TOML.

Every error names the invalid key. `field(name=...)` maps settings whose name differs from the attribute.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

from lilacfront.core.statement import is_read
from lilacfront.load.phases import (
    BurstPhase,
    DailyPhase,
    Phase,
    PlanError,
    PositiveFloat,
    TracePhase,
)

# The generator replaces `{id}`; ClickHouse's query parameters, such as `{id:UInt32}`, are not changed.
PLACEHOLDER = re.compile(r"\{([A-Za-z_]\w*)\}")
GROUP_PLACEHOLDER = "group"
MAX_BURSTS = 100_000  # in one phase
INTEGER_LIMIT = 1 << 62


class Target(msgspec.Struct, forbid_unknown_fields=True):
    """The addresses (`HOST:PORT`) that requests are sent to, and their protocol."""

    protocol: Literal["clickhouse", "platform"]
    addresses: Annotated[list[str], Meta(min_length=1)]


class IntegerRange(msgspec.Struct, forbid_unknown_fields=True):
    """Uniformly distributed integers from `low` to `high`, both included."""

    low: int
    high: int


class ZipfGroups(msgspec.Struct, forbid_unknown_fields=True):
    """A Zipf distribution over groups 1 to `count`: the weight of group k is k ** -exponent."""

    exponent: Annotated[float, Meta(ge=0, le=10)]
    count: Annotated[int, Meta(ge=1, le=999_999)]


class MixEntry(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One type of request. `{group}` and `{NAME}` in the statement are replaced by random values."""

    statement: str
    weight: Annotated[float, Meta(ge=0)] = 1.0
    class_name: str = field(default="", name="class")
    user: str = ""
    password_env: str = ""  # the environment variable that holds the user's password
    parameters: dict[str, IntegerRange | list[str]] = {}
    groups: ZipfGroups | Annotated[list[int], Meta(min_length=1)] | None = None
    timeout_s: Annotated[float, Meta(gt=0, le=3600)] | None = None
    idempotent: bool | None = field(default=None, name="repeatable")  # None: derived from the statement
    expected_result: str | None = field(default=None, name="expect")  # the complete result; None: not checked

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be executed more than once: as configured, or else if it only reads."""
        return is_read(self.statement.encode()) if self.idempotent is None else self.idempotent


class ClientSettings(msgspec.Struct, forbid_unknown_fields=True):
    """How a client retries after an attempt without a result.

    `retry` is "never", "at_once" (without a delay) or "told" (after the Retry-After time of the answer).
    """

    retry: Literal["never", "at_once", "told"] = "never"
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = field(default=3, name="tries")  # including the first
    # The largest random fraction that is added to the delay for `told`.
    jitter: Annotated[float, Meta(ge=0, le=1)] = 0.2
    # The delay for `told` if the answer has no Retry-After.
    default_retry_after_s: Annotated[float, Meta(ge=0, le=3600)] = field(default=0.5, name="wait_s")
    # The time from the due time of a request to its deadline, unless its mix entry has a timeout.
    timeout_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0


class ValidityBounds(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of a valid run; a run that exceeds them is void, since the generator could not keep up."""

    lag_p99_ms: PositiveFloat = 10.0  # schedule lag
    lag_max_ms: PositiveFloat = 500.0
    # The largest number of requests that wait for a connection.
    max_waiting: Annotated[int, Meta(ge=1, le=10_000_000)] = field(default=100_000, name="waiting")


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A complete load plan; the phases run one after another."""

    target: Target
    phases: Annotated[list[Phase], Meta(min_length=1, max_length=1000)]
    mix: list[MixEntry] = []
    seed: Annotated[int, Meta(ge=0)] = 0
    workers: Annotated[int, Meta(ge=1, le=64)] = 1
    connections: Annotated[int, Meta(ge=1, le=20_000)] = 64  # of all workers together
    arrivals: Literal["poisson", "even"] = "poisson"
    client: ClientSettings = field(default_factory=ClientSettings)
    bounds: ValidityBounds = field(default_factory=ValidityBounds)

    @property
    def max_timeout_s(self) -> float:
        """The longest timeout of any request of this plan."""
        return max([self.client.timeout_s, *(entry.timeout_s or 0.0 for entry in self.mix)])


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Parses `HOST:PORT`; `key` is the key of the setting, for the PlanError of an invalid address."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise PlanError(key, f"{text!r} is not HOST:PORT")
    return host, int(port)


def parse(text: bytes, folder: Path = Path(".")) -> Plan:
    """Decodes and validates a plan.

    Args:
        text: The TOML document.
        folder: The directory of the plan; trace files are relative to it.

    Raises:
        PlanError: The plan is invalid.
    """
    try:
        plan = msgspec.toml.decode(text, type=Plan)
    except msgspec.ValidationError as error:
        raise _validation_error(str(error)) from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlanError("", f"not TOML: {error}") from None
    for n, address in enumerate(plan.target.addresses):
        parse_address(address, f"target.addresses[{n}]")
    for n, phase in enumerate(plan.phases):
        _check_phase(phase, f"phases[{n}]", folder)
    for n, entry in enumerate(plan.mix):
        _check_entry(entry, f"mix[{n}]", plan.target.protocol == "platform")
    uses_mix = any(not isinstance(phase, TracePhase) for phase in plan.phases)
    if uses_mix and not any(entry.weight for entry in plan.mix):
        raise PlanError("mix", "no entry has a weight above 0, but a phase draws requests from the mix")
    return plan


def _check_entry(entry: MixEntry, key: str, is_platform: bool) -> None:
    placeholders = set(PLACEHOLDER.findall(entry.statement))
    if not entry.statement.strip():
        raise PlanError(f"{key}.statement", "must not be empty")
    if is_platform and not entry.class_name:
        raise PlanError(f"{key}.class", "required by the platform protocol")
    if GROUP_PLACEHOLDER in placeholders and entry.groups is None:
        raise PlanError(f"{key}.groups", "missing, but the statement has {group}")
    for name in sorted(placeholders - {GROUP_PLACEHOLDER} - set(entry.parameters)):
        raise PlanError(f"{key}.parameters.{name}", f"missing, but the statement has {{{name}}}")
    for name, values in entry.parameters.items():
        if name not in placeholders:
            raise PlanError(f"{key}.parameters.{name}", f"the statement has no {{{name}}}")
        _check_parameter(values, f"{key}.parameters.{name}")
    for name in (entry.user, entry.class_name):
        if not name.isprintable():
            raise PlanError(key, f"{name!r} has characters that are not allowed in a header")


def _check_parameter(values: IntegerRange | list[str], key: str) -> None:
    if isinstance(values, IntegerRange) and not values.low <= values.high < INTEGER_LIMIT:
        raise PlanError(
            key, f"low {values.low} and high {values.high} must satisfy low <= high < {INTEGER_LIMIT}"
        )
    if isinstance(values, list) and not values:
        raise PlanError(key, "must not be an empty list")


def _check_phase(phase: Phase, key: str, folder: Path) -> None:
    if isinstance(phase, DailyPhase):
        try:
            phase.hourly_rates()
        except PlanError as error:
            raise PlanError(f"{key}.{error.key}", error.problem) from None
    elif isinstance(phase, BurstPhase) and phase.burst_s > phase.period_s:
        raise PlanError(f"{key}.length", f"{phase.burst_s} is longer than the period {phase.period_s}")
    elif isinstance(phase, BurstPhase) and phase.seconds / phase.period_s > MAX_BURSTS:
        raise PlanError(
            f"{key}.period", f"{phase.period_s} is too short: the phase would have over {MAX_BURSTS:,} bursts"
        )
    elif isinstance(phase, TracePhase) and not (folder / phase.file).is_file():
        raise PlanError(f"{key}.file", f"{phase.file!r} is not a file in the plan's directory")


def _validation_error(text: str) -> PlanError:
    """Converts a msgspec message to a PlanError with the key in front: `phases[0].rate: Expected ...`."""
    problem, _, path = text.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    for pattern in (r"unknown field `([^`]*)`", r"missing required field `([^`]*)`"):
        field_name = re.search(pattern, problem)
        if field_name is not None:
            key = f"{key}.{field_name[1]}".lstrip(".")
            break
    return PlanError(key, problem)
