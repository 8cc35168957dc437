"""Decodes the platform file, whose path is in `PROXY_CONFIG`."""

from __future__ import annotations

from typing import Any

import msgspec

from lilacfront.config.model import ConfigError
from lilacfront.discovery.change_log import CachedEvents

MIN_DESCRIPTORS = 16
MIN_MEMORY_MB = 1


class FrontEndLimits(msgspec.Struct):
    """`limits`: resources that all processes of one front end may use together."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class PlatformFile(msgspec.Struct):
    """The whole file; `settings` is parsed by `decisions.settings_file`."""

    listen: str
    settings: dict[str, Any]
    name: str = ""
    seed: str = "0"
    limits: FrontEndLimits = msgspec.field(default_factory=FrontEndLimits)
    changelog: str = ""
    known: CachedEvents = msgspec.field(default_factory=CachedEvents)
    peer_listen: str = ""
    peers: list[str] = []
    admin: str = ""


def decode_platform_file(text: bytes) -> PlatformFile:
    """Decode the file and validate its limits.

    Raises:
        ConfigError: The file is invalid; the error names the key.
    """
    try:
        file = msgspec.json.decode(text, type=PlatformFile)
    except msgspec.MsgspecError as error:
        raise ConfigError("PROXY_CONFIG", error) from error
    if file.limits.sockets < MIN_DESCRIPTORS:
        raise ConfigError(
            "limits.sockets", f"{file.limits.sockets} is below the minimum of {MIN_DESCRIPTORS}"
        )
    if file.limits.memory_mb < MIN_MEMORY_MB:
        raise ConfigError(
            "limits.memory_mb", f"{file.limits.memory_mb} is below the minimum of {MIN_MEMORY_MB}"
        )
    return file


def parse_seed(file: PlatformFile) -> int:
    """Return the seed as a number.

    Raises:
        ConfigError: The seed is not a hexadecimal number.
    """
    try:
        return int(file.seed, 16)
    except ValueError:
        raise ConfigError("seed", f"{file.seed!r} is not a hexadecimal number") from None


def parse_class_names(file: PlatformFile) -> tuple[str, ...]:
    """Return the names of the classes, by class index.

    Raises:
        ConfigError: A name is missing or not unique.
    """
    names = tuple(request_class.get("name", "") for request_class in file.settings["classes"])
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ConfigError("settings.classes", f"class names {names!r} must be non-empty strings and unique")
    return names


def parse_tenant_names(file: PlatformFile) -> tuple[str, ...]:
    """Return the names of the tenants, by tenant index.

    Raises:
        ConfigError: A name is not a text, or names are not unique.
    """
    names = tuple(tenant.get("name", "") for tenant in file.settings.get("orgs") or [])
    if not all(isinstance(name, str) for name in names) or len(set(names)) < len(names):
        raise ConfigError("settings.orgs", f"tenant names {names!r} must be unique texts")
    return names
