"""Builders for configuration files in tests."""

from __future__ import annotations

import json

from play import SETTINGS

CONFIG = {"listen": "127.0.0.1:7001", "seed": "a1", "settings": SETTINGS}


def config_text(**changes: object) -> bytes:
    """A valid configuration file with some keys replaced."""
    return json.dumps({**CONFIG, **changes}).encode()


def policy_settings(key: str, value: object) -> dict[str, object]:
    """The valid settings with one policy limit replaced."""
    return {**SETTINGS, "policy-limits": {**SETTINGS["policy-limits"], key: value}}
