"""Assembles the parts of a process and runs them until SIGTERM.

`builders`: creates parts from the configuration. `server`: the process. `endpoint_feed`, `client_listeners`,
`peer_connection`, `operations_host`, `recovery_wiring`: connect the parts. `config_reload`: SIGHUP.
`graceful_shutdown`: SIGTERM.
"""

from lilacfront.server.server import Server
from lilacfront.server.start import StartError

__all__ = ["Server", "StartError"]
