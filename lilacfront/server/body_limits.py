"""Fits the limits for request bodies into the memory that the settings allow, and names what does not fit."""

from __future__ import annotations

from dataclasses import replace

from lilacfront.config import Config
from lilacfront.frontends.client_memory import ClientMemoryLimits
from lilacfront.logs import Log
from lilacfront.server.builders import CLIENT_DESCRIPTORS_DIVISOR

log = Log(__name__)


def fit_body_limits(config: Config) -> Config:
    """Return the configuration with limits for bodies that fit beside all other memory limits.

    A body is held twice for a moment, when its request is complete. Limits that don't fit are lowered, and a
    warning names their keys.
    """
    limits = ClientMemoryLimits.for_memory(config.memory_bytes)
    if limits.connections < config.max_descriptors // CLIENT_DESCRIPTORS_DIVISOR:
        log.warning(
            "limits.sockets allows more client connections than fit limits.memory_mb",
            connections=limits.connections,
            memory_mb=config.memory_bytes >> 20,
        )
    clickhouse = config.gateway.clickhouse
    if clickhouse is None:
        return config
    max_body_bytes = min(clickhouse.max_body_bytes, limits.bodies // 2)
    max_bodies_bytes = min(clickhouse.max_bodies_bytes, limits.bodies - max_body_bytes)
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
