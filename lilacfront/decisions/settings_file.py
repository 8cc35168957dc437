"""Reads the policy settings from JSON.

The JSON keys and values are used in this module only; `parse_settings` maps them to the names of
`decisions.settings`. A feature is off if its key is absent or null. Unknown keys are ignored.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar

from lilacfront.decisions.settings import (
    DeduplicationScope,
    Idempotency,
    MemoryShortage,
    PolicyLimits,
    PolicySettings,
    RequestClass,
    SafetyRules,
    TenantQuota,
)
from lilacfront.errors import SettingsError

MIN_CORES = 0.001
IDEMPOTENCY_VALUES = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_BY_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
SCOPE_VALUES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
SHORTAGE_VALUES = {
    "wait": MemoryShortage.WAIT,
    "shrink": MemoryShortage.SHRINK,
    "page": MemoryShortage.PAGE,
}

Choice = TypeVar("Choice")


class PolicySettingsError(SettingsError):
    """Policy settings that are incomplete, invalid or contradictory."""

    def __str__(self) -> str:
        return f"{self.key} {self.problem}" if self.key else self.problem


class ParsedSettings(NamedTuple):
    """The settings of one gateway.

    Attributes:
        policy: The policy settings.
        report_fields: Names of the values in a load report, in order.
    """

    policy: PolicySettings
    report_fields: tuple[str, ...]


def parse_settings(text: bytes | str) -> ParsedSettings:
    """Parse the JSON settings.

    Raises:
        PolicySettingsError: The text is not valid JSON, or a setting is invalid.
    """
    try:
        values = json.loads(text)
    except ValueError as error:
        raise PolicySettingsError("", f"settings are not JSON: {error}") from error
    if not isinstance(values, dict):
        raise PolicySettingsError("", "settings are not a JSON object")
    root = _Table(values)
    policy = _policy(root)
    root.items("zones")  # raises an error if the value is not a list
    return ParsedSettings(policy, tuple(root.table("stats").items("fields")))


class _Table:
    """A JSON object, with the path that precedes its keys in error messages."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self.path = path
        self._values = values

    @classmethod
    def from_value(cls, value: object, name: str) -> _Table:
        """Return a table of a JSON value that must be an object; `name` is its path."""
        if not isinstance(value, dict):
            raise PolicySettingsError(name, f"is {value!r}, not an object")
        return cls(value, f"{name}.")

    def get(self, key: str) -> Any:
        """Return the raw value of the key; None if the key is absent or null."""
        return self._values.get(key)

    def table(self, key: str) -> _Table:
        """Return the object under the key; an empty one if the key is absent."""
        value = self.get(key)
        return (
            _Table({}, f"{self.path}{key}.") if value is None else _Table.from_value(value, self.path + key)
        )

    def items(self, key: str) -> list[Any]:
        """Return the list under the key; an empty one if the key is absent."""
        value = self.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise PolicySettingsError(self.path + key, f"is {value!r}, not a list")
        return value

    def numbers(self, key: str, minimum: float = 0.0) -> tuple[float, ...]:
        """Return the list of numbers under the key."""
        name = self.path + key
        return tuple(
            _number(value, f"{name}[{index}]", minimum) for index, value in enumerate(self.items(key))
        )

    def number(self, key: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return the number under the key."""
        value = self.get(key)
        return default if value is None else _number(value, self.path + key, minimum)

    def required_number(self, key: str, minimum: float = 0.0) -> float:
        """Return the number under a required key."""
        if self.get(key) is None:
            raise PolicySettingsError(self.path + key, "is missing")
        return self.number(key, minimum=minimum)

    def integer(self, key: str, default: int = 0, minimum: int = 0) -> int:
        """Return the number under the key, truncated to an integer."""
        return int(self.number(key, default, minimum))

    def required_integer(self, key: str, minimum: int = 0) -> int:
        """Return the number under a required key, truncated to an integer."""
        return int(self.required_number(key, minimum))

    def optional_integer(self, key: str, minimum: int = 0) -> int | None:
        """Return the number under the key, truncated to an integer; None if the key is absent."""
        return None if self.get(key) is None else self.integer(key, minimum=minimum)

    def flag(self, key: str) -> bool:
        """Return the boolean under the key; False if the key is absent."""
        value = self.get(key)
        if value is not None and value not in (False, True):
            raise PolicySettingsError(self.path + key, f"is {value!r}, neither true nor false")
        return bool(value)

    def choice(self, key: str, choices: Mapping[str, Choice], default: Choice) -> Choice:
        """Return the member of `choices` for the text under the key."""
        value = self.get(key)
        if value is None:
            return default
        if not isinstance(value, str) or value not in choices:
            raise PolicySettingsError(self.path + key, f"is {value!r}, none of {', '.join(choices)}")
        return choices[value]


def _number(value: object, name: str, minimum: float = 0.0) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise PolicySettingsError(name, f"is {value!r}, not a number")
    if value < minimum:
        raise PolicySettingsError(name, f"is {value!r}, which must be {minimum:g} or more")
    return float(value)


def _policy(root: _Table) -> PolicySettings:
    extra, limits, prices = root.table("extra"), root.table("policy-limits"), root.table("penalties")
    classes = root.items("classes")
    if not classes:
        raise PolicySettingsError("classes", "is empty or missing")
    machine_type_cores = _machine_type_cores(root, extra)
    return PolicySettings(
        classes=tuple(_request_class(value, index, extra, root) for index, value in enumerate(classes)),
        machine_type_cores=machine_type_cores,
        limits=_policy_limits(limits),
        rules=_safety_rules(root.table("safety")),
        machine_type_memory_mb=extra.numbers("kind-memory-mb"),
        tenants=tuple(_tenant(value, index) for index, value in enumerate(root.items("orgs"))),
        over_quota_weight=root.number("over-share-worth", 1.0),
        gateway_count=root.integer("instances", 1, minimum=1),
        gateway_index=root.integer("slot-no"),
        zone=root.integer("zone"),
        polls_discovery=root.get("discovery") == "ask",
        grants_memory=extra.flag("grants"),
        max_memory_grant=extra.number("most-grant", 1.0),
        memory_shortage=extra.choice("out-of-memory", SHORTAGE_VALUES, MemoryShortage.WAIT),
        sets_priorities=extra.flag("takes-priority"),
        notification_interval_us=extra.integer("progress"),
        reports_cost=extra.flag("says-cost"),
        cross_zone_price=prices.number("cross-zone"),
        late_failure_price=prices.number("late-fail"),
        wasted_work_price=prices.number("waste"),
        gossip_price=prices.number("peer"),
        clock_tick_us=root.integer("tick"),
    )


def _machine_type_cores(root: _Table, extra: _Table) -> tuple[float, ...]:
    machine_types = len(root.items("kinds")) or 1
    cores = extra.numbers("cpu-of-kind", MIN_CORES)
    if cores and len(cores) < machine_types:
        raise PolicySettingsError("extra.cpu-of-kind", "has fewer entries than kinds")
    return cores or (1.0,) * machine_types


def _policy_limits(limits: _Table) -> PolicyLimits:
    return PolicyLimits(
        max_attempts=limits.integer("most-tries", 1, minimum=1),
        may_cancel=limits.flag("cancel"),
        may_health_check=limits.flag("probing"),
        may_gossip=limits.flag("may-tell"),
        may_hedge=limits.flag("second-copies"),
        may_send_retry_after=limits.flag("retry-after"),
        max_retry_after_us=limits.integer("max-retry-after"),
        max_in_flight=limits.optional_integer("most-held", minimum=1),
    )


def _request_class(value: object, index: int, extra: _Table, root: _Table) -> RequestClass:
    table = _Table.from_value(value, f"classes[{index}]")
    # At least 1 us, since the objective is a divisor. It may exceed the deadline.
    latency_objective_us = max(1, table.required_integer("aim"))
    deadline_us = table.required_integer("deadline", minimum=1)
    threads = _class_value(extra, "threads-by-class", index)
    return RequestClass(
        latency_objective_us=latency_objective_us,
        deadline_us=deadline_us,
        priority_weight=table.number("worth", 1.0),
        threads=1 if threads is None else int(_number(threads, f"extra.threads-by-class[{index}]", 1)),
        idempotency=table.choice("effect", IDEMPOTENCY_VALUES, Idempotency.IDEMPOTENT),
        latency_objective_stretch=table.number("aim-stretch"),
        late_weight=table.number("late-worth"),
        deduplication_scope=table.choice("group", SCOPE_VALUES, DeduplicationScope.ALL),
        deduplication_window_us=table.integer("repeat-window"),
        is_ordered=table.flag("in-order"),
        allowed_zones=_indices(table, "stays-in", root.items("zones")),
        allowed_machine_types=_indices(table, "kinds-only", root.items("kinds")),
        is_streamed=table.flag("stream"),
        is_load=bool(_class_value(extra, "class-load", index)),
        waits_for_loads=bool(_class_value(extra, "blocked-by-loads", index)),
    )


def _class_value(extra: _Table, key: str, index: int) -> Any:
    """Return the entry of a class in a list of values by class; None if the list is too short."""
    values = extra.items(key)
    return values[index] if index < len(values) else None


def _indices(table: _Table, key: str, names: list[Any]) -> tuple[int, ...] | None:
    """Return the indices of zones or machine types that are given by number or by name."""
    if table.get(key) is None:
        return None
    found = []
    for value in table.items(key):
        if value in names and not isinstance(value, int):
            found.append(names.index(value))
        elif isinstance(value, int) and not isinstance(value, bool):
            found.append(value)
        else:
            raise PolicySettingsError(f"{table.path}{key}", f"has the unknown entry {value!r}")
    return tuple(found)


def _safety_rules(table: _Table) -> SafetyRules:
    window_us = table.optional_integer("budget-span")
    for key in ("free-resends", "extra-ratio"):
        if table.get(key) is not None and window_us is None:
            raise PolicySettingsError(f"safety.{key}", "is set but safety.budget-span is missing")
    has_overload = table.get("overload-factor") is not None
    integer = table.required_integer if has_overload else table.integer
    overload_window_us = integer("fall")
    cold_capacity = table.required_number("cold-share") if has_overload else table.number("cold-share", 1.0)
    if cold_capacity > 1:
        raise PolicySettingsError("safety.cold-share", f"is {cold_capacity}, which must be 1 or less")
    return SafetyRules(
        answer_slack_us=table.integer("answer-slack"),
        drain_deadline_us=table.integer("stop-sending-within"),
        overload_factor=table.number("overload-factor") if has_overload else None,
        cold_capacity_fraction=cold_capacity,
        overload_window_us=overload_window_us,
        warm_up_us=integer("warm-after"),
        poll_deadline_us=table.optional_integer("ask-within"),
        ordering_gap_us=table.integer("turn-gap"),
        retry_budget_window_us=window_us,
        retry_budget_min=table.number("free-resends"),
        retry_budget_ratio=table.number("extra-ratio"),
    )


def _tenant(value: object, index: int) -> TenantQuota:
    return TenantQuota(_Table.from_value(value, f"orgs[{index}]").required_number("allowance-per-s"))
