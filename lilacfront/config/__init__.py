"""Reads and validates the configuration and fills in defaults; no other package does.

`model`: the validated configuration. `platform_file` and `gateway_file`: parse the two files whose schemas
belong to this package. `loader`: reads all files and validates them together. Errors name the setting.
"""

from lilacfront.config.loader import load, parse
from lilacfront.config.model import Config, ConfigError

__all__ = ["Config", "ConfigError", "load", "parse"]
