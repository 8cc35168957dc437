"""The one place where configuration is read, checked and given defaults. Messages name the faulty key."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from lilacfront import interface as i
from lilacfront import wire
from lilacfront.membership.changelog import Known
from lilacfront.membership.fleet import ListError, parse_address

DEFAULT_STREAMS = 32
DEFAULT_CONNECT_US = 250_000
DEFAULT_IDLE_US = 30_000_000


class ConfigError(ValueError):
    """Configuration that can't be used; the text names the key."""


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class Platform(msgspec.Struct):
    """The file that PROXY_CONFIG names."""

    listen: str
    settings: dict[str, Any]
    name: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    changelog: str = ""
    known: Known = msgspec.field(default_factory=Known)


class Config(msgspec.Struct):
    """All that the program goes by, checked."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    changelog: tuple[str, int] | None
    known: Known
    settings: i.Settings
    class_names: tuple[str, ...]
    zones: list[str]
    kinds: list[str]
    streams: int
    connect_s: float
    idle_s: float


def _address(text: str, key: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ListError as problem:
        raise ConfigError(f"{key}: {problem}") from problem


def _count(table: Mapping[str, Any], key: str, default: int) -> int:
    value = table.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or value <= 0:
        raise ConfigError(f"settings.policy-limits.{key}: {value!r} is not a number above 0")
    return value


def parse(text: bytes, environment: Mapping[str, str]) -> Config:
    """Check the platform's file; the environment's address and name go before those in it."""
    try:
        raw = msgspec.json.decode(text, type=Platform)
    except msgspec.MsgspecError as problem:
        raise ConfigError(f"PROXY_CONFIG: {problem}") from problem
    listen = environment.get("PROXY_LISTEN", raw.listen)
    try:
        seed = int(raw.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {raw.seed!r} is not a hexadecimal number") from None
    if raw.limits.sockets < 16:
        raise ConfigError(f"limits.sockets: {raw.limits.sockets} leaves no room to serve")
    try:
        settings, _ = wire.parse_settings(msgspec.json.encode(raw.settings))
    except (wire.SettingsError, TypeError, ValueError, AttributeError) as problem:
        raise ConfigError(f"settings: {problem}") from problem
    names = tuple(one.get("name", "") for one in raw.settings["classes"])
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise ConfigError(f"settings.classes: names {names!r} must be given and differ")
    limits = raw.settings.get("policy-limits") or {}
    return Config(
        name=environment.get("PROXY_NAME", raw.name),
        listen=_address(listen, "PROXY_LISTEN" if "PROXY_LISTEN" in environment else "listen"),
        seed=seed,
        sockets=raw.limits.sockets,
        changelog=_address(raw.changelog, "changelog") if raw.changelog else None,
        known=raw.known,
        settings=settings,
        class_names=names,
        zones=list(raw.settings.get("zones") or []),
        kinds=list(raw.settings.get("kinds") or []),
        streams=_count(limits, "streams-per-conn", DEFAULT_STREAMS),
        connect_s=_count(limits, "connect-timeout", DEFAULT_CONNECT_US) / 1e6,
        idle_s=_count(limits, "conn-idle", DEFAULT_IDLE_US) / 1e6,
    )


def load(environment: Mapping[str, str] = os.environ) -> Config:
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set; it names the configuration file")
    try:
        text = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigError(f"PROXY_CONFIG: {problem}") from problem
    return parse(text, environment)
