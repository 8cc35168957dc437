"""Converts the settings in a fault script to settings files for the front ends of a fleet."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from lilacfront.membership.settings import MembershipSettings
from lilacfront.recovery.settings import RecoverySettings


def membership_toml(settings: MembershipSettings, enabled: bool) -> str:
    """Encode the [membership] table; `enabled` replaces the value in the settings."""
    table = msgspec.to_builtins(settings)
    uses = table.pop("uses")
    table["on"] = enabled
    return f"[membership]\n{_toml_lines(table)}\n[membership.uses]\n{_toml_lines(uses)}"


def recovery_toml(settings: RecoverySettings, directory: Path) -> str:
    """Encode the [recovery] table; `directory` replaces the value in the settings."""
    table = {**msgspec.to_builtins(settings), "directory": str(directory)}
    return f"[recovery]\n{_toml_lines(table)}"


def _toml_lines(table: Mapping[str, object]) -> str:
    return "".join(f"{key} = {msgspec.json.encode(value).decode()}\n" for key, value in table.items())
