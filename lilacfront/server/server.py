"""One front end process."""

from __future__ import annotations

import errno
import gc
import signal
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from lilacfront.config import Config
from lilacfront.discovery.change_log import ChangeLog
from lilacfront.discovery.endpoint_list import EndpointUpdate
from lilacfront.frontends.clickhouse import ClickHouseFrontend
from lilacfront.frontends.client_memory import CONNECTION_BYTES
from lilacfront.frontends.listener import Listener
from lilacfront.frontends.platform import PlatformFrontend
from lilacfront.logs import Log
from lilacfront.membership.service import MemberConfig, MembershipHooks, MembershipService
from lilacfront.operations.drain import Drain
from lilacfront.operations.listener_request import request_listener
from lilacfront.operations.service import Operations
from lilacfront.sched import Loop
from lilacfront.server.builders import ProcessLimits, build_dispatcher, build_upstream, client_names
from lilacfront.server.client_listeners import ClientListeners
from lilacfront.server.config_reload import ConfigReloader
from lilacfront.server.endpoint_feed import EndpointFeed
from lilacfront.server.graceful_shutdown import GracefulShutdown
from lilacfront.server.memory import run_memory_release
from lilacfront.server.operations_host import ServerOperationsHost
from lilacfront.server.peer_connection import PeerConnection
from lilacfront.server.recovery_wiring import build_recovery, run_recovery
from lilacfront.server.start import StartError, adopt_listening_socket, os_error_as_start_error

if TYPE_CHECKING:
    from lilacfront.recovery.coordinator import RecoveryCoordinator

log = Log(__name__)


class Server:
    """Creates, runs and closes the parts of one process.

    Attributes:
        config: The configuration in use; SIGHUP may change parts of it.
        loop: Runs all tasks.
        upstream: Sends attempts to engines.
        dispatcher: Connects requests and attempts to the router.
        endpoint_feed: Passes updates of the endpoint list to the parts that use it.
        operations: Handles admin commands, maintenance, draining and other processes of this front end.
        recovery: Restores state after a power loss; None if recovery is off.
        platform_frontend: Speaks the platform's protocol to clients.
        clickhouse_frontend: Speaks the ClickHouse HTTP interface to clients; None if it is off.
        clients: The listeners for clients.
        membership: Tracks which other front ends are alive; None if membership is off.
        peer_connection: Exchanges datagrams with the other front ends.
        shutdown: The graceful shutdown after SIGTERM.
    """

    def __init__(
        self, config: Config, loop: Loop | None = None, read_config: Callable[[], Config] | None = None
    ) -> None:
        """Create all parts and spawn their tasks, which begin once the loop runs.

        Args:
            config: The configuration.
            loop: Runs all tasks; by default a loop on the system's clock.
            read_config: Reads the configuration again on SIGHUP; None disables reloading.

        Raises:
            StartError: An address or a descriptor can't be used.
        """
        self.config = config
        self.loop = loop or Loop()
        self.upstream = build_upstream(config, self.loop)
        self._limit_queued_bytes(ProcessLimits.for_process(config))
        self.dispatcher = build_dispatcher(config, self.loop, self.upstream)
        self.endpoint_feed = EndpointFeed(config, self.dispatcher)
        self.shutdown = GracefulShutdown(self)
        self._reloader = None if read_config is None else ConfigReloader(self, read_config)
        self.recovery: RecoveryCoordinator | None = None
        self.membership: MembershipService | None = None
        self.clickhouse_frontend: ClickHouseFrontend | None = None
        self.operations = Operations(
            self.loop,
            config.name,
            config.state_directory,
            ServerOperationsHost(self),
            directives_are_durable=config.recovery.enabled,
        )
        if config.recovery.enabled:
            self.recovery = build_recovery(self)
        self.endpoint_feed.connect(self.operations, self.recovery)
        self._apply_cached_events()
        self.platform_frontend = self._build_platform_frontend()
        self.clients = ClientListeners(self.loop, self.platform_frontend)
        self.peer_connection = PeerConnection(config, self.loop, self.dispatcher, self._receive_datagram)
        try:
            self._listen_for_clients()
            self._start_membership()
            self._start_tasks()
        except StartError:
            self.close()
            raise

    @property
    def listeners(self) -> list[Listener]:
        """The listeners for clients; the first serves the platform's protocol."""
        return self.clients.listeners

    @property
    def change_log(self) -> ChangeLog | None:
        """The change log; None if it is not the source of the endpoint list."""
        return self.endpoint_feed.change_log

    def receive_update(self, update: EndpointUpdate, sequence: int | None = None) -> None:
        """Process an update of the endpoint list; see `EndpointFeed.receive_update`."""
        self.endpoint_feed.receive_update(update, sequence)

    def set_process_count(self, process_count: int) -> None:
        """Set this process's share of the limits, which apply to all processes of this front end together."""
        limits = ProcessLimits.for_process(self.config, process_count)
        self.upstream.max_connections = limits.max_upstream_connections
        self.platform_frontend.set_limits(limits.client_memory)
        self._limit_queued_bytes(limits)
        clickhouse = self.config.gateway.clickhouse
        if self.clickhouse_frontend is not None and clickhouse is not None:
            self.clickhouse_frontend.set_max_bodies(clickhouse.max_bodies_bytes // process_count)
        self.clients.set_max_connections(limits.max_client_connections)

    def _limit_queued_bytes(self, limits: ProcessLimits) -> None:
        self.loop.send_budget.max_bytes = limits.client_memory.answers
        self.upstream.send_budget.max_bytes = limits.max_upstream_queued_bytes

    def _client_bytes(self) -> dict[str, int]:
        """Return the memory that clients hold, in bytes, by its kind."""
        connections = sum(len(listener.slots) for listener in self.listeners)
        return {
            "connections_bytes": connections * CONNECTION_BYTES,
            "partial_messages_bytes": self.platform_frontend.partial_messages.used_bytes,
            "requests_bytes": self.platform_frontend.requests.used_bytes,
            "bodies_bytes": 0
            if self.clickhouse_frontend is None
            else self.clickhouse_frontend.used_body_bytes,
            "answers_bytes": self.loop.send_budget.queued_bytes,
            "upstream_bytes": self.upstream.send_budget.queued_bytes,
        }

    def set_drain(self, drain: Drain | None) -> None:
        """Close client connections by the rules of `drain`; with None, keep them open.

        Except during a shutdown, the process also leaves the membership while it drains, and then rejoins.
        """
        if self.membership is not None and not self.shutdown.has_begun:
            if drain is None:
                self.membership.rejoin()
            else:
                self.membership.leave()
        self.clients.set_drain(drain)

    def reload_config(self) -> None:
        """Reload the configuration, on SIGHUP."""
        if self._reloader is not None:
            self._reloader.reload()

    def begin_shutdown(self) -> None:
        """Start the graceful shutdown, on SIGTERM."""
        self.shutdown.begin()

    def install_signal_handlers(self) -> None:
        """Handle SIGTERM, SIGINT and SIGHUP.

        Each handler only spawns a task: the code that a signal interrupts may hold a lock, or be halfway
        through a change of state, that the shutdown or the reload needs.
        """
        handlers = {
            signal.SIGTERM: self.begin_shutdown,
            signal.SIGINT: self.begin_shutdown,
            signal.SIGHUP: self.reload_config,
        }
        for number, handle in handlers.items():
            signal.signal(number, lambda *_, handle=handle: self.loop.spawn(lambda _: handle()))
        signal.set_wakeup_fd(self.loop.wakeup_socket.fileno(), warn_on_full_buffer=False)

    def run(self) -> None:
        """Serve until the shutdown is complete."""
        self.install_signal_handlers()
        log.debug(
            "settings",
            settings=self.config.policy,
            connection_idle_s=self.config.connection_idle_s,
            connect_timeout_s=self.config.connect_timeout_s,
        )
        gc.collect()
        gc.freeze()  # objects created at the start are long-lived; later collections skip them
        for listener in self.listeners:
            log.warning("listening", name=self.config.name or "lilacfront", address=listener.address)
        self.loop.run()
        self.close()
        log.warning("shutdown complete")

    def close(self) -> None:
        """Close all sockets and files at once."""
        self.clients.close()
        self.peer_connection.close()
        if self.recovery is not None:
            self.recovery.close()
        self.operations.close()
        self.loop.close()

    def _apply_cached_events(self) -> None:
        for event in self.config.cached_events.events:
            if event.update is not None:
                self.receive_update(event.update, event.sequence)

    def _build_platform_frontend(self) -> PlatformFrontend:
        return PlatformFrontend(
            self.loop,
            self.dispatcher,
            self.upstream,
            client_names(self.config),
            ProcessLimits.for_process(self.config).client_memory,
            self.operations,
            self.operations.drain_controller,
        )

    def _listen_for_clients(self) -> None:
        config = self.config
        max_connections = ProcessLimits.for_process(config).max_client_connections
        passed_socket = (
            None if config.passed_descriptor is None else adopt_listening_socket(config.passed_descriptor)
        )
        with os_error_as_start_error("listen", config.listen_address):
            self.listeners.append(
                self.platform_frontend.listen(config.listen_address, max_connections, passed_socket)
            )
        clickhouse = config.gateway.clickhouse
        if clickhouse is None:
            return
        frontend = ClickHouseFrontend(
            self.loop,
            self.dispatcher,
            self.upstream,
            clickhouse.classifier,
            clickhouse.max_body_bytes,
            clickhouse.max_bodies_bytes,
            self.operations,
        )
        self.clickhouse_frontend = frontend
        with os_error_as_start_error("clickhouse.listen", clickhouse.listen_address):
            self.listeners.append(self._listen_or_share(frontend, clickhouse.listen_address, max_connections))

    def _listen_or_share(
        self, frontend: ClickHouseFrontend, address: tuple[str, int], max_connections: int
    ) -> Listener:
        """Listen at an address; if the process that this one replaces does, share its socket.

        Raises:
            OSError: The address can't be used.
        """
        try:
            return frontend.listen(address, max_connections)
        except OSError as error:
            directory = self.config.state_directory
            if error.errno != errno.EADDRINUSE or directory is None:
                raise
            descriptor = request_listener(directory, self.config.name, address)
            if descriptor is None:
                raise
            return frontend.listen(address, max_connections, socket.socket(fileno=descriptor))

    def _start_membership(self) -> None:
        config = self.config
        if config.membership.enabled:
            self.membership = self._build_membership()
            if self.recovery is not None:
                self.recovery.join_peers(self.membership)
            self.loop.spawn(self.membership.run)
        needs_link = config.policy.limits.may_gossip or self.membership is not None
        if needs_link and config.peer_listen_address is not None:
            self.peer_connection.open(config.peer_listen_address)

    def _build_membership(self) -> MembershipService:
        config = self.config
        member_count = len(config.peer_addresses)
        own_index = config.policy.gateway_index
        if not 0 <= own_index < member_count:
            raise StartError(
                "peers", f"the list has {member_count} addresses, but this gateway's index is {own_index}"
            )
        return MembershipService(
            self.loop,
            MemberConfig(config.membership, member_count, own_index, config.seed, config.peer_keys),
            self.dispatcher.router.state.fleet_size,
            self.dispatcher.router.state.outlier_gossip,
            MembershipHooks(
                send=self.peer_connection.send,
                receive_other=self.dispatcher.receive_peer_message,
                engine_name=self.endpoint_feed.engine_name,
            ),
        )

    def _receive_datagram(self, peer: int, data: bytes) -> None:
        if self.membership is not None:
            self.membership.receive(peer, data)
        else:
            self.dispatcher.receive_peer_message(peer, data)

    def _start_tasks(self) -> None:
        config = self.config
        self.loop.spawn(self.dispatcher.run_timers)
        self.loop.spawn(run_memory_release, self.loop, self._client_bytes)
        self.endpoint_feed.start_source(config, self.loop)
        if config.admin_address is not None:
            with os_error_as_start_error("PROXY_ADMIN or admin", config.admin_address):
                self.operations.listen(config.admin_address, config.max_descriptors)
        self.operations.start()
        self.loop.spawn(self.operations.run)
        if self.recovery is not None:
            self.loop.spawn(run_recovery, self, self.recovery)
