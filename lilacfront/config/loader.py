"""Reads all configuration files and validates them together."""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from lilacfront.config.addresses import parse_address_setting, parse_peer_addresses
from lilacfront.config.gateway_file import parse_gateway_file
from lilacfront.config.model import Address, Config, ConfigError
from lilacfront.config.platform_file import (
    PlatformFile,
    decode_platform_file,
    parse_class_names,
    parse_seed,
    parse_tenant_names,
)
from lilacfront.decisions.settings import PolicySettings
from lilacfront.decisions.settings_file import PolicySettingsError, parse_settings
from lilacfront.membership import settings as membership_settings
from lilacfront.membership.settings import MembershipSettings, MembershipSettingsError
from lilacfront.recovery import settings as recovery_settings
from lilacfront.recovery.settings import RecoverySettings, RecoverySettingsError
from lilacfront.teams.settings import TeamsSettings, TeamsSettingsError
from lilacfront.teams.settings_file import parse_teams

DEFAULT_STREAMS_PER_CONNECTION = 32
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_CONNECTION_IDLE_US = 30_000_000
MAX_DESCRIPTOR_DIGITS = 9


@dataclass(slots=True, frozen=True)
class ConfigPaths:
    """Paths of the optional files; what an absent file configures stays off."""

    gateway: Path
    teams: Path
    membership: Path
    recovery: Path


def load(paths: ConfigPaths, environment: Mapping[str, str] = os.environ) -> Config:
    """Read and validate all files; `PROXY_CONFIG` in the environment is the path of the platform file.

    Raises:
        ConfigError: A file or a value is invalid; the error names the file or the key.
    """
    platform_path = environment.get("PROXY_CONFIG", "")
    if not platform_path:
        raise ConfigError("PROXY_CONFIG", "not set; it must be the path of the configuration file")
    try:
        text = Path(platform_path).read_bytes()
    except OSError as error:
        raise ConfigError("PROXY_CONFIG", error) from error
    return parse(
        text,
        environment,
        gateway=_read_optional(paths.gateway, "gateway file"),
        teams=_read_optional(paths.teams, "teams file"),
        membership=_read_optional(paths.membership, "peers file"),
        recovery=_read_optional(paths.recovery, "recovery file"),
    )


def parse(
    text: bytes,
    environment: Mapping[str, str],
    gateway: bytes = b"",
    teams: bytes = b"",
    membership: bytes = b"",
    recovery: bytes = b"",
) -> Config:
    """Validate the contents of all files; addresses and name in the environment override the platform file.

    Raises:
        ConfigError: A file or a value is invalid; the error names the file or the key.
    """
    file = decode_platform_file(text)
    policy = _parse_policy(file)
    class_names = parse_class_names(file)
    limits = file.settings.get("policy-limits") or {}
    membership_file_settings = _parse_membership(membership, file)
    admin_address = _parse_admin_address(file, environment)
    passed_descriptor = _parse_passed_descriptor(environment)
    may_have_other_processes = admin_address is not None or passed_descriptor is not None
    return Config(
        name=environment.get("PROXY_NAME", file.name),
        listen_address=_parse_listen_address(file, environment),
        seed=parse_seed(file),
        max_descriptors=file.limits.sockets,
        memory_bytes=file.limits.memory_mb << 20,
        change_log_address=parse_address_setting(file.changelog, "changelog") if file.changelog else None,
        cached_events=file.known,
        policy=policy,
        class_names=class_names,
        tenant_names=parse_tenant_names(file),
        zone_names=list(file.settings.get("zones") or []),
        machine_types=list(file.settings.get("kinds") or []),
        streams_per_connection=int(_parse_limit(limits, "streams-per-conn", DEFAULT_STREAMS_PER_CONNECTION)),
        connect_timeout_s=_parse_limit(limits, "connect-timeout", DEFAULT_CONNECT_TIMEOUT_US) / 1e6,
        connection_idle_s=_parse_limit(limits, "conn-idle", DEFAULT_CONNECTION_IDLE_US, minimum=0) / 1e6,
        gateway=parse_gateway_file(gateway, class_names, policy),
        teams=_parse_teams(teams, class_names),
        peer_listen_address=_parse_peer_listen_address(file),
        peer_addresses=parse_peer_addresses(file.peers),
        membership=membership_file_settings,
        peer_keys=_load_peer_keys(membership_file_settings),
        recovery=_parse_recovery(recovery),
        admin_address=admin_address,
        passed_descriptor=passed_descriptor,
        state_directory=(environment.get("TMPDIR") or None) if may_have_other_processes else None,
    )


def _read_optional(path: Path, file_name: str) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return b""
    except OSError as error:
        raise ConfigError(file_name, error) from error


def _parse_policy(file: PlatformFile) -> PolicySettings:
    try:
        policy, _ = parse_settings(msgspec.json.encode(file.settings))
    except PolicySettingsError as error:
        raise ConfigError("settings", error) from error
    return policy


def _parse_limit(limits: Mapping[str, Any], key: str, default: int, minimum: int = 1) -> float:
    value = default if limits.get(key) is None else limits[key]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not minimum <= value < math.inf:
        raise ConfigError(
            f"settings.policy-limits.{key}", f"{value!r} is not a finite number of at least {minimum}"
        )
    return value


def _parse_listen_address(file: PlatformFile, environment: Mapping[str, str]) -> Address:
    if "PROXY_LISTEN" in environment:
        return parse_address_setting(environment["PROXY_LISTEN"], "PROXY_LISTEN", min_port=0)
    return parse_address_setting(file.listen, "listen", min_port=0)


def _parse_admin_address(file: PlatformFile, environment: Mapping[str, str]) -> Address | None:
    key = "PROXY_ADMIN" if "PROXY_ADMIN" in environment else "admin"
    text = environment.get("PROXY_ADMIN", file.admin)
    return parse_address_setting(text, key, min_port=0) if text else None


def _parse_peer_listen_address(file: PlatformFile) -> Address | None:
    if not file.peer_listen:
        return None
    return parse_address_setting(file.peer_listen, "peer_listen", min_port=0)


def _parse_passed_descriptor(environment: Mapping[str, str]) -> int | None:
    text = environment.get("PROXY_PASSED_SOCKET", "")
    if not text:
        return None
    if not text.isdecimal() or len(text) > MAX_DESCRIPTOR_DIGITS:
        raise ConfigError("PROXY_PASSED_SOCKET", f"{text!r} is not a descriptor number")
    return int(text)


def _parse_teams(text: bytes, class_names: tuple[str, ...]) -> TeamsSettings | None:
    try:
        return parse_teams(text, class_names)
    except TeamsSettingsError as error:
        raise ConfigError("teams file", error) from error


def _parse_membership(text: bytes, file: PlatformFile) -> MembershipSettings:
    try:
        settings = membership_settings.parse(text)
    except MembershipSettingsError as error:
        raise ConfigError("peers file", error) from error
    if settings.enabled and not (file.peers and file.peer_listen):
        raise ConfigError("peers file", "membership.on needs peers and peer_listen in the configuration")
    return settings


def _load_peer_keys(settings: MembershipSettings) -> dict[int, bytes]:
    if not settings.enabled or not settings.keys_path:
        return {}
    try:
        return membership_settings.parse_keys(Path(settings.keys_path).read_bytes())
    except (OSError, MembershipSettingsError) as error:
        raise ConfigError("peers file", f"membership.keys: {error}") from error


def _parse_recovery(text: bytes) -> RecoverySettings:
    try:
        return recovery_settings.parse(text)
    except RecoverySettingsError as error:
        raise ConfigError("recovery file", error) from error
