"""The validated configuration of one process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from lilacfront.core.statement_class import StatementClassifier
from lilacfront.decisions.settings import PolicySettings
from lilacfront.discovery.change_log import CachedEvents
from lilacfront.errors import SettingsError
from lilacfront.membership.settings import MembershipSettings
from lilacfront.recovery.settings import RecoverySettings
from lilacfront.teams.settings import TeamsSettings

Address = tuple[str, int]
UpstreamProtocol = Literal["resp", "clickhouse"]


class ConfigError(SettingsError):
    """The configuration is invalid; the key names the file or the setting."""


@dataclass(slots=True, frozen=True)
class ClickHouseSettings:
    """Settings of the frontend for the ClickHouse HTTP interface.

    Attributes:
        listen_address: Address that clients connect to.
        classifier: Assigns a class to each statement.
        max_body_bytes: Maximum size of a request body.
        max_bodies_bytes: Maximum size of all request bodies in flight together.
    """

    listen_address: Address
    classifier: StatementClassifier
    max_body_bytes: int
    max_bodies_bytes: int


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of the gateway file (`deploy/clickhouse.toml`).

    Attributes:
        clickhouse: Settings of the ClickHouse frontend; None turns it off.
        upstream_protocol: Protocol of the engines.
        stall_timeout_s: A result that has begun is considered broken after this many seconds without data.
        etcd_endpoints: etcd endpoints to watch for the endpoint list; empty to use the change log.
        etcd_prefix: Prefix of the keys that make up the endpoint list.
    """

    clickhouse: ClickHouseSettings | None
    upstream_protocol: UpstreamProtocol
    stall_timeout_s: float
    etcd_endpoints: tuple[Address, ...]
    etcd_prefix: str


@dataclass(slots=True, frozen=True)
class Config:
    """All settings of one process, validated.

    Attributes:
        name: Name of the front end, shared by all of its processes.
        listen_address: Address that clients of the platform's protocol connect to.
        seed: Seed of the random draws of the router and the network code.
        max_descriptors: Maximum number of open descriptors of all processes of the front end together.
        memory_bytes: Memory that all processes of the front end may use together.
        change_log_address: Address of the change log, a source of the endpoint list; None if there is none.
        cached_events: Change log events up to the start of the process.
        policy: Settings of the router.
        class_names: Names of the request classes, by class index.
        tenant_names: Names of the tenants, by tenant index; empty if there are no tenants.
        zone_names: Names of the zones, by zone number.
        machine_types: Names of the machine types, by machine type number.
        streams_per_connection: Maximum number of concurrent requests on one connection to an engine.
        connect_timeout_s: Timeout for connecting to an engine, in seconds.
        connection_idle_s: Seconds after which an idle connection to an engine is closed.
        gateway: Settings of the gateway file.
        teams: Settings of the team queues and budgets; None turns them off.
        peer_listen_address: Address that receives datagrams of other front ends; None if there is none.
        peer_addresses: Addresses of all front ends, by gateway index.
        membership: Settings of the membership protocol between front ends.
        peer_keys: Keys that authenticate the peers' datagrams, by key number.
        recovery: Settings of the recovery after a power loss.
        admin_address: Address that operators connect to; None if there is none.
        passed_descriptor: Descriptor of an inherited listening socket; None if there is none.
        state_directory: Directory that the processes of this front end share; None if there is only one.
    """

    name: str
    listen_address: Address
    seed: int
    max_descriptors: int
    memory_bytes: int
    change_log_address: Address | None
    cached_events: CachedEvents
    policy: PolicySettings
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    zone_names: list[str]
    machine_types: list[str]
    streams_per_connection: int
    connect_timeout_s: float
    connection_idle_s: float
    gateway: GatewaySettings
    teams: TeamsSettings | None
    peer_listen_address: Address | None
    peer_addresses: tuple[Address, ...]
    membership: MembershipSettings
    peer_keys: dict[int, bytes]
    recovery: RecoverySettings
    admin_address: Address | None
    passed_descriptor: int | None
    state_directory: str | None
