"""Operations of one process: admin commands, maintenance, draining and hand-over to another process.

`Operations` runs on the event loop and coordinates the other modules of this package. It calls the rest of
the process through `OperationsHost`.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterable

from lilacfront.decisions.events import EndpointList
from lilacfront.logs import Log
from lilacfront.operations.admin_commands import AdminCommands
from lilacfront.operations.admin_protocol import (
    READ_ONLY_COMMANDS,
    AdminRequestError,
    AdminResponse,
    Command,
    failure,
    parse_request,
)
from lilacfront.operations.admin_server import AdminServer
from lilacfront.operations.directives import DirectiveController
from lilacfront.operations.drain import DrainDeadlines
from lilacfront.operations.draining import DrainController
from lilacfront.operations.host import OperationsHost
from lilacfront.operations.lifecycle import LifecycleStage, Readiness
from lilacfront.operations.operator_state import OperatorState
from lilacfront.operations.process_group import ProcessGroup
from lilacfront.operations.state_record import OperatorDirective, ProcessState
from lilacfront.sched import Loop, Task

log = Log(__name__)
IMPORT_PERIOD_S = 2.0  # seconds after the start in which measurements of other processes are imported
POLL_INTERVAL_S = 0.05


class Operations:
    """Admin commands, maintenance, draining and hand-over of one process.

    Attributes:
        drain_controller: Starts and ends drains, and decides which requests a drain rejects.
        group: The processes of this front end.
        operator_state: The latest operator directives.
        process_count: Number of running processes of this front end, including this one.
    """

    def __init__(
        self,
        loop: Loop,
        front_end: str,
        state_directory: str | None,
        host: OperationsHost,
        *,
        directives_are_durable: bool = False,
    ) -> None:
        """Join the process group of this front end, without reading or publishing any state yet.

        Args:
            loop: The loop to run on.
            front_end: Name of the front end.
            state_directory: Directory that the processes of the front end share; None if this process is
                the only one.
            host: Interface to the rest of the process.
            directives_are_durable: Whether directives are also stored outside these processes. If so, a
                restoration is kept, because the stored suspension that it ends may be merged again.
        """
        self._loop = loop
        self._front_end = front_end
        self._host = host
        self._directives_are_durable = directives_are_durable
        token = f"{os.getpid():x}-{time.time_ns():x}"
        self.operator_state = OperatorState(token, lambda: loop.now)
        self.group = ProcessGroup(loop, state_directory, front_end, token, self, host)
        self.process_count = 1
        self._started_at = loop.now
        self._readiness = Readiness(loop, host)
        self.drain_controller = DrainController(loop, host)
        self._directives = DirectiveController(self.operator_state, host, self.drain_controller)
        self._commands = AdminCommands(self.operator_state, self)
        self._admin_server: AdminServer | None = None
        self._published_stage: LifecycleStage | None = None
        self._shutting_down = False
        self._handed_over = False
        self._may_accept = False  # whether there was a time without another process that serves clients

    # ---- lifecycle ----------------------------------------------------------------------------------
    def start(self) -> None:
        """Read the states of the other processes; later disk access happens in the `StateWriter` thread."""
        if self.group.is_joined:
            self.group.start()
            self.on_processes_changed()

    def run(self, task: Task) -> None:
        """Poll the states of the other processes until the program ends."""
        while self.group.is_joined:
            self._loop.sleep(task, self._loop.now + POLL_INTERVAL_S)
            try:
                self.poll()
            except Exception:  # a faulty state of another process must not stop commands or clients
                log.exception("process group poll failed")

    def close(self) -> None:
        """Close the admin server and leave the process group."""
        if self._admin_server is not None:
            self._admin_server.close()
        self.group.close()

    def stage(self) -> LifecycleStage:
        """Return the lifecycle stage of this process."""
        if self._shutting_down:
            return LifecycleStage.SHUTTING_DOWN
        if self.operator_state.paused:
            return LifecycleStage.PAUSED
        return LifecycleStage.READY if self._readiness.is_ready() else LifecycleStage.STARTING

    def is_healthy(self) -> bool:
        """Return the result of the platform's health check, which applies to the front end as a whole.

        A process that has handed over stays healthy, since its successor serves at the same address.
        """
        if self.operator_state.paused or not self._readiness.is_ready():
            return False
        return not self._shutting_down or self._handed_over

    def begin_shutdown(self, kill_after_s: float, deadlines_without_successor: DrainDeadlines) -> bool:
        """Start the shutdown after SIGTERM.

        Args:
            kill_after_s: Seconds from now until SIGKILL.
            deadlines_without_successor: Deadlines for the client connections if no other process takes over.

        Returns:
            Whether another process takes over.
        """
        self.poll()
        self._shutting_down = True
        self.drain_controller.begin_shutdown()
        registry = self.group.registry
        self._handed_over = registry.has_successor()
        successor = registry.successor_channel() if self._handed_over else None
        if successor is not None and registry.holds_keys(successor):
            # Before the state is published: the successor accepts clients as soon as it has read that.
            self._host.announce_keys(successor)
        self.group.publish()
        if self._handed_over:
            self.drain_controller.hand_over(successor, kill_after_s)
        else:
            self.drain_controller.shut_down(deadlines_without_successor)
        return self._handed_over

    # ---- admin commands -----------------------------------------------------------------------------
    def listen(self, address: tuple[str, int], max_descriptors: int) -> AdminServer:
        """Listen at the admin address.

        Raises:
            OSError: The address can't be used.
        """
        self._admin_server = AdminServer(self._loop, address, max_descriptors, self)
        return self._admin_server

    def handle_line(self, line: bytes) -> AdminResponse:
        """Execute one line of the admin protocol and return its answer."""
        try:
            request = parse_request(line)
        except AdminRequestError as error:
            log.info("admin request invalid", error=error)
            return failure(str(error))
        if request.command is Command.STATUS:
            self._publish_stage()  # the state file must agree with the answer before a caller acts on it
        response = self._commands.execute(request)
        if request.command not in READ_ONLY_COMMANDS:
            log.warning(
                "admin command",
                command=request.command.value,
                warehouse=request.warehouse_id,
                ok=response.ok,
                answer=response.text,
            )
        return response

    def status_details(self) -> str:
        """Return the text that STATUS appends to the stage and the suspended warehouses."""
        return self._host.status_details()

    def member_lines(self) -> list[str] | None:
        """Return the lines of the answer to PEERS; None without membership."""
        return self._host.member_lines()

    # ---- directives ---------------------------------------------------------------------------------
    def issue_directive(self, target: str, active: bool) -> None:
        """Issue a directive in the name of this process; apply and publish it if it changes anything."""
        if self._directives.issue(target, active):
            self.group.publish()

    def adopt_directives(self, directives: Iterable[OperatorDirective]) -> None:
        """Restore directives from before a power loss, read from disk or received from peers."""
        if self._directives.adopt(directives):
            self.group.publish()

    def apply_maintenance(self, update: EndpointList, warehouse_ids: Iterable[str]) -> EndpointList:
        """Apply suspensions and restorations to an update of the endpoint list.

        Args:
            update: The update as received from the source of the list.
            warehouse_ids: Ids of the warehouses in the update.

        Returns:
            The update to pass to the request router.
        """
        return self._directives.apply_maintenance(update, warehouse_ids)

    # ---- the other processes ------------------------------------------------------------------------
    def local_state(self) -> ProcessState:
        """Return the state of this process, to be published to the other processes."""
        stage = self.stage()
        self._published_stage = stage
        return ProcessState(
            front_end=self._front_end,
            token=self.operator_state.token,
            stage=stage.value,
            saved_at_s=self._loop.now,
            change_log_seq=self._host.change_log_seq(),
            directives=tuple(self.operator_state.directives.values()),
            learned=self._host.export_learned_state(),
            holds_keys=True,
        )

    def on_process_state(self, state: ProcessState) -> None:
        """Merge the directives of another process, and import its measurements shortly after the start."""
        if self._loop.now < self._started_at + IMPORT_PERIOD_S:
            self._readiness.require_seq(state.change_log_seq)
            self._host.import_learned_state(state.learned, self._loop.now - state.saved_at_s)
        if self._directives.merge(state.directives):
            suspended = len(self.operator_state.suspended)
            log.warning("directives merged", suspended=suspended, paused=self.operator_state.paused)
            self.group.publish()

    def on_processes_changed(self) -> None:
        """Divide the limits by the number of running processes, and start or stop accepting clients.

        While another process serves clients, this one accepts none before the other shuts down, since neither
        knows which ordering keys are in use at the other. It does not either while it is starting again and
        another one is ready.
        """
        stages = self.group.registry.stages()
        running = 1 + len(stages)
        if running != self.process_count:
            self.process_count = running
            log.warning("front end processes changed", running=running)
            self._host.set_process_count(running)
            self.group.publish()
        if self._shutting_down:
            return
        is_other_ready = LifecycleStage.READY.value in stages.values()
        is_other_serving = is_other_ready or LifecycleStage.PAUSED.value in stages.values()
        self._may_accept = self._may_accept or not is_other_serving
        is_started = self.stage() is not LifecycleStage.STARTING
        self.drain_controller.set_accepting(self._may_accept and (is_started or not is_other_ready))

    def poll(self) -> None:
        """Process new states, forget old restorations, and publish the stage if it has changed."""
        self.group.poll()
        self.on_processes_changed()
        is_only_copy = self.process_count == 1 and not self._directives_are_durable
        self._directives.forget_restorations(is_only_copy)
        self._publish_stage()

    def _publish_stage(self) -> None:
        if self.stage() is not self._published_stage:
            self.group.publish()
