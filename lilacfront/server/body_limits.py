"""Fits the limits for request bodies into the memory that the settings allow."""

from __future__ import annotations

from dataclasses import replace

from lilacfront.config import Config
from lilacfront.frontends.partial_messages import PARTIAL_MEMORY_DIVISOR
from lilacfront.logs import Log
from lilacfront.server.builders import ProcessLimits

log = Log(__name__)
IDLE_MEMORY_BYTES = 24 << 20  # of a process without requests
MIN_BODY_BYTES = 1 << 20


def fit_body_limits(config: Config) -> Config:
    """Return the configuration with limits for bodies that fit beside all other memory limits.

    A body is held twice for a moment, when its request is complete. Limits that don't fit are lowered, and a
    warning names their keys.
    """
    clickhouse = config.gateway.clickhouse
    if clickhouse is None:
        return config
    available_bytes = max(2 * MIN_BODY_BYTES, _available_bytes(config))
    max_body_bytes = min(clickhouse.max_body_bytes, available_bytes // 2)
    max_bodies_bytes = min(clickhouse.max_bodies_bytes, available_bytes - max_body_bytes)
    if (max_body_bytes, max_bodies_bytes) == (clickhouse.max_body_bytes, clickhouse.max_bodies_bytes):
        return config
    log.warning(
        "clickhouse.body_most_mb and clickhouse.bodies_most_mb lowered to fit limits.memory_mb",
        body_mb=round(max_body_bytes / (1 << 20), 1),
        bodies_mb=round(max_bodies_bytes / (1 << 20), 1),
        memory_mb=config.memory_bytes >> 20,
    )
    fitted = replace(clickhouse, max_body_bytes=max_body_bytes, max_bodies_bytes=max_bodies_bytes)
    return replace(config, gateway=replace(config.gateway, clickhouse=fitted))


def _available_bytes(config: Config) -> int:
    """The memory that is left for bodies: without the idle process, queues and incomplete messages."""
    queues_bytes = 2 * ProcessLimits.for_process(config).max_queued_bytes
    partial_bytes = config.memory_bytes // PARTIAL_MEMORY_DIVISOR
    return config.memory_bytes - IDLE_MEMORY_BYTES - queues_bytes - partial_bytes
