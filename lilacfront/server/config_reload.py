"""Reloads the configuration on SIGHUP and applies the settings that don't need a restart."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from lilacfront.config import Config, ConfigError
from lilacfront.logs import Log

if TYPE_CHECKING:
    from lilacfront.server.server import Server

log = Log(__name__)
# Fields that are set to the same value in both configurations before they are compared. The change log's
# address, the teams and the peers' keys are applied by a reload. The admin address may come from the
# environment, and cached events are used only at the start.
FIELDS_NOT_COMPARED: dict[str, Any] = {
    "change_log_address": None,
    "cached_events": None,
    "teams": None,
    "admin_address": None,
    "peer_keys": {},
}


class ConfigReloader:
    """Reads the configuration again and applies the settings that don't need a restart."""

    def __init__(self, server: Server, read_config: Callable[[], Config]) -> None:
        self._server = server
        self._read_config = read_config

    def reload(self) -> None:
        """Apply the new configuration; an invalid one is logged and changes nothing."""
        try:
            config = self._read_config()
        except ConfigError as error:
            log.error("configuration invalid, previous one kept", error=error)
            return
        self._apply_change_log_address(config)
        self._apply_peer_keys(config)
        self._apply_teams(config)
        if replace(config, **FIELDS_NOT_COMPARED) != replace(self._server.config, **FIELDS_NOT_COMPARED):
            log.warning("configuration change needs a restart, except for change log, teams and keys")
        log.warning("configuration reloaded", change_log=config.change_log_address)

    def _apply_change_log_address(self, config: Config) -> None:
        server = self._server
        change_log = server.endpoint_feed.change_log
        if change_log is not None and config.change_log_address is not None:
            change_log.set_address(config.change_log_address)
        elif config.change_log_address != server.config.change_log_address:
            log.warning("change log can't be turned on or off without a restart")
        server.config = replace(server.config, change_log_address=config.change_log_address)

    def _apply_peer_keys(self, config: Config) -> None:
        server = self._server
        if server.membership is None or not config.peer_keys:
            return
        if config.peer_keys != server.config.peer_keys:
            server.membership.detector.set_keys(config.peer_keys)
            server.config = replace(server.config, peer_keys=config.peer_keys)
            log.warning("peer keys reloaded", keys=len(config.peer_keys))

    def _apply_teams(self, config: Config) -> None:
        server = self._server
        if config.teams == server.config.teams:
            return
        if config.teams is None or not server.dispatcher.has_teams:
            log.warning("teams can't be turned on or off without a restart")
            return
        server.dispatcher.replace_team_settings(config.teams)
        server.config = replace(server.config, teams=config.teams)
        log.warning("teams reloaded", teams=len(config.teams.leaves))
