"""Creates the parts of a server from its configuration."""

from __future__ import annotations

from dataclasses import dataclass

from lilacfront.config import Config
from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.model import Upstream
from lilacfront.decisions.settings import Idempotency
from lilacfront.frontends.client_memory import ClientMemoryLimits
from lilacfront.frontends.platform_services import ClientNames, PlatformClass
from lilacfront.sched import Loop
from lilacfront.teams.cost_model import CostModel
from lilacfront.teams.scheduler import TeamScheduler
from lilacfront.upstream.clickhouse import ClickHouseUpstream
from lilacfront.upstream.resp import RespUpstream

UPSTREAM_DESCRIPTORS_DIVISOR = 3
CLIENT_DESCRIPTORS_DIVISOR = 2


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Share of one process in the limits that apply to all processes of its front end together.

    Attributes:
        max_upstream_connections: Maximum number of connections to engines, a third of the descriptors.
        max_client_connections: Maximum number of connections of one listener. All listeners together get half
            of the descriptors, a third for clients that are served, and the rest for clients to be rejected;
            fewer, if that is all that fits the memory.
        client_memory: What clients may make the process hold.
        max_upstream_queued_bytes: Maximum size of the requests queued for all engines together. All bodies
            that are in memory fit.
    """

    max_upstream_connections: int
    max_client_connections: int
    client_memory: ClientMemoryLimits
    max_upstream_queued_bytes: int

    @classmethod
    def for_process(cls, config: Config, process_count: int = 1) -> ProcessLimits:
        """Return the limits of one of `process_count` processes."""
        clickhouse = config.gateway.clickhouse
        listeners = 1 if clickhouse is None else 2
        max_bodies_bytes = 0 if clickhouse is None else clickhouse.max_bodies_bytes
        client_memory = ClientMemoryLimits.for_memory(config.memory_bytes).divided(process_count)
        all_client_connections = max(2, config.max_descriptors // CLIENT_DESCRIPTORS_DIVISOR) // listeners
        all_upstream_connections = config.max_descriptors // UPSTREAM_DESCRIPTORS_DIVISOR
        return cls(
            max_upstream_connections=max(1, all_upstream_connections // process_count),
            max_client_connections=max(
                1, min(all_client_connections // process_count, client_memory.connections // listeners)
            ),
            client_memory=client_memory,
            max_upstream_queued_bytes=client_memory.requests + max_bodies_bytes // process_count,
        )


def build_upstream(config: Config, loop: Loop) -> Upstream:
    """Return the upstream for the protocol that the engines speak."""
    max_connections = ProcessLimits.for_process(config).max_upstream_connections
    if config.gateway.upstream_protocol == "clickhouse":
        return ClickHouseUpstream(
            loop, config.connect_timeout_s, config.gateway.stall_timeout_s, max_connections
        )
    return RespUpstream(
        loop,
        tuple(name.encode() for name in config.class_names),
        config.streams_per_connection,
        config.connect_timeout_s,
        config.connection_idle_s,
        max_connections,
        config.policy.gateway_count,
    )


def build_dispatcher(config: Config, loop: Loop, upstream: Upstream) -> RequestDispatcher:
    """Return the dispatcher, with a team scheduler if teams are configured."""
    team_scheduler = None
    if config.teams is not None:
        threads = [request_class.threads for request_class in config.policy.classes]
        team_scheduler = TeamScheduler(config.teams, CostModel(threads, loop.now), loop.now)
    return RequestDispatcher(loop, config.policy, config.seed, upstream, team_scheduler)


def client_names(config: Config) -> ClientNames:
    """Return the names that clients of the platform's protocol use."""
    classes = {
        name.encode(): PlatformClass(
            index,
            request_class.deadline_us / 1e6,
            request_class.is_ordered,
            request_class.idempotency is Idempotency.IDEMPOTENT,
        )
        for index, (name, request_class) in enumerate(
            zip(config.class_names, config.policy.classes, strict=True)
        )
    }
    tenants = {name.encode(): index for index, name in enumerate(config.tenant_names)}
    return ClientNames(classes, tenants)
