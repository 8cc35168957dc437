"""Parses the gateway file, `deploy/clickhouse.toml`: ClickHouse frontend, HTTP engines and etcd."""

from __future__ import annotations

import re

import msgspec

from lilacfront.config.addresses import parse_address_setting
from lilacfront.config.model import ClickHouseSettings, ConfigError, GatewaySettings, UpstreamProtocol
from lilacfront.core.statement_class import ClassRule, StatementClassifier
from lilacfront.decisions.settings import Idempotency, PolicySettings

MAX_BODY_MB = 64
MAX_STALL_TIMEOUT_S = 3600


class RuleTable(msgspec.Struct, forbid_unknown_fields=True, rename={"class_name": "class"}):
    """[[clickhouse.rules]]: assigns the class to reads of the user whose statement matches the pattern."""

    class_name: str
    user: str = ""
    pattern: str = ""


class ClickHouseTable(msgspec.Struct, forbid_unknown_fields=True):
    """[clickhouse]: the frontend for the ClickHouse HTTP interface; it is off without `listen`."""

    listen: str = ""
    read_class: str = ""
    load_class: str = ""
    max_body_mb: int = msgspec.field(default=16, name="body_most_mb")
    max_bodies_mb: int = msgspec.field(default=48, name="bodies_most_mb")
    rules: list[RuleTable] = []


class WarehousesTable(msgspec.Struct, forbid_unknown_fields=True):
    """[warehouses]: the protocol of the engines."""

    protocol: UpstreamProtocol = "resp"
    stall_s: float = 5.0


class EtcdTable(msgspec.Struct, forbid_unknown_fields=True):
    """[etcd]: the etcd endpoints to watch for the endpoint list instead of the change log."""

    endpoints: list[str] = []
    prefix: str = "/warehouses/"


class GatewayFile(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file; on the platform it is absent or contains only comments."""

    clickhouse: ClickHouseTable = msgspec.field(default_factory=ClickHouseTable)
    warehouses: WarehousesTable = msgspec.field(default_factory=WarehousesTable)
    etcd: EtcdTable = msgspec.field(default_factory=EtcdTable)


def parse_gateway_file(text: bytes, class_names: tuple[str, ...], policy: PolicySettings) -> GatewaySettings:
    """Decode and validate the file.

    Raises:
        ConfigError: The file is invalid; the error names the key.
    """
    try:
        file = msgspec.toml.decode(text, type=GatewayFile)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigError("gateway file", error) from error
    has_frontend = bool(file.clickhouse.listen)
    if has_frontend and file.warehouses.protocol != "clickhouse":
        raise ConfigError("warehouses.protocol", 'must be "clickhouse" if clickhouse.listen is set')
    if not 0 < file.warehouses.stall_s <= MAX_STALL_TIMEOUT_S:
        raise ConfigError(
            "warehouses.stall_s",
            f"{file.warehouses.stall_s} s must be above 0 and at most {MAX_STALL_TIMEOUT_S} s",
        )
    if not file.etcd.prefix:
        raise ConfigError("etcd.prefix", "must not be empty")
    return GatewaySettings(
        clickhouse=_parse_clickhouse(file.clickhouse, class_names, policy) if has_frontend else None,
        upstream_protocol=file.warehouses.protocol,
        stall_timeout_s=file.warehouses.stall_s,
        etcd_endpoints=tuple(
            parse_address_setting(endpoint, f"etcd.endpoints[{index}]")
            for index, endpoint in enumerate(file.etcd.endpoints)
        ),
        etcd_prefix=file.etcd.prefix,
    )


def _parse_clickhouse(
    table: ClickHouseTable, class_names: tuple[str, ...], policy: PolicySettings
) -> ClickHouseSettings:
    for key, size_mb in (("body_most_mb", table.max_body_mb), ("bodies_most_mb", table.max_bodies_mb)):
        if not 0 < size_mb <= MAX_BODY_MB:
            raise ConfigError(f"clickhouse.{key}", f"{size_mb} MB is not between 1 and {MAX_BODY_MB} MB")
    classes = _ClassLookup(class_names, policy)
    rules = tuple(_parse_rule(rule, index, classes) for index, rule in enumerate(table.rules))
    classifier = StatementClassifier(
        read_class=classes.find_read(table.read_class, "clickhouse.read_class"),
        load_class=classes.find_load(table.load_class, "clickhouse.load_class"),
        rules=rules,
        deadlines_s=tuple(request_class.deadline_us / 1e6 for request_class in policy.classes),
    )
    return ClickHouseSettings(
        listen_address=parse_address_setting(table.listen, "clickhouse.listen", min_port=0),
        classifier=classifier,
        max_body_bytes=table.max_body_mb << 20,
        max_bodies_bytes=table.max_bodies_mb << 20,
    )


def _parse_rule(rule: RuleTable, index: int, classes: _ClassLookup) -> ClassRule:
    key = f"clickhouse.rules[{index}]"
    try:
        pattern = re.compile(rule.pattern.encode(), re.IGNORECASE | re.DOTALL) if rule.pattern else None
    except re.error as error:
        raise ConfigError(f"{key}.pattern", error) from error
    return ClassRule(classes.find_read(rule.class_name, f"{key}.class"), rule.user.encode(), pattern)


class _ClassLookup:
    """Looks up classes by name, and checks whether their requests may run twice, as the setting requires."""

    def __init__(self, names: tuple[str, ...], policy: PolicySettings) -> None:
        self._names = names
        self._policy = policy

    def find_read(self, name: str, key: str) -> int:
        """Return the index of a class whose requests may run twice."""
        index = self._find(name, key)
        if self._policy.classes[index].idempotency is Idempotency.NOT_IDEMPOTENT:
            raise ConfigError(
                key, f"requests of class {name!r} must not run twice; a class that may run twice is needed"
            )
        return index

    def find_load(self, name: str, key: str) -> int:
        """Return the index of a class whose requests must not run twice."""
        index = self._find(name, key)
        if self._policy.classes[index].idempotency is not Idempotency.NOT_IDEMPOTENT:
            raise ConfigError(
                key, f"requests of class {name!r} may run twice; a class that must not run twice is needed"
            )
        return index

    def _find(self, name: str, key: str) -> int:
        if name not in self._names:
            raise ConfigError(key, f"{name!r} is not one of the classes {', '.join(self._names)}")
        return self._names.index(name)
