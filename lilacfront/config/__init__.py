"""Reads the configuration files, validates them together and fills in defaults.

`model`: the validated configuration. `platform_file` and `gateway_file`: parse the two files whose schemas
belong to this package. `loader`: reads all files. The router's settings and the files of teams, membership
and recovery are parsed by the packages that use them. Errors name the setting.
"""

from lilacfront.config.loader import load, parse
from lilacfront.config.model import Config, ConfigError

__all__ = ["Config", "ConfigError", "load", "parse"]
