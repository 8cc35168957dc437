"""A fleet of real front end processes, with relays between them, fake warehouses and a fake change log.

The membership view of each front end is read through its admin interface.
"""

from __future__ import annotations

import shutil
import signal
from functools import partial
from pathlib import Path
from typing import Any

from lilacfront.lab.fault_script import FaultScript
from lilacfront.lab.fleet_settings import membership_toml, recovery_toml
from lilacfront.lab.relay import RelayNetwork
from lilacfront.lab.test_bed import COMMAND, SETTINGS, FrontEndProcess, ProcessTestBed, wait_until

ADMIN_TIMEOUT_S = 2.0
DEAD_STATES = ("dead", "left")

View = list[str]  # the state of each member, by member number


class Fleet:
    """Front end processes, each in its own directory.

    Attributes:
        script: The fault script that defines the fleet.
        relays: The network between the members.
        services: The test bed of the fake warehouses and change log.
        test_beds: The test bed of each front end.
        processes: The current process of each front end.
        recovery_directories: The recovery store of each front end; empty without recovery.
        start_commands: The start command of each front end that does not use `COMMAND`, by member.
        paused: The members stopped by SIGSTOP.
        starting: The members that were started again and have not answered yet.
        ended: The members that were killed or left.
    """

    def __init__(self, folder: Path, script: FaultScript, seed: int = 1) -> None:
        self.script = script
        self.relays = RelayNetwork(script, seed)
        self._folder = folder
        services_folder = folder / "warehouses"
        services_folder.mkdir()
        self.services = ProcessTestBed(services_folder, script.warehouses)
        self.test_beds: list[ProcessTestBed] = []
        self.recovery_directories: list[Path] = []
        self.start_commands: dict[int, list[str]] = {}
        self.paused: set[int] = set()
        self.starting: set[int] = set()
        self.ended: set[int] = set()
        for member in range(script.members):
            self._prepare_member(member)
        self.processes = [self.start_process(member) for member in range(script.members)]

    # ---- set-up ---------------------------------------------------------------------------------------
    def _prepare_member(self, member: int) -> None:
        """Create the directory, the settings files and the test bed of a member."""
        folder = self._folder / str(member)
        folder.mkdir()
        self._write_settings(folder, member)
        host, port = self.relays.listen_addresses[member]
        test_bed = ProcessTestBed(
            folder,
            0,
            name=f"n{member}",
            settings=self._front_end_settings(member),
            changelog=self.services.change_log.address,
            known=self._known_list(),
            peers=self.relays.peer_addresses(member),
            peer_listen=f"{host}:{port}",
        )
        self.test_beds.append(test_bed)

    def _write_settings(self, folder: Path, member: int) -> None:
        script = self.script
        enabled = script.membership.enabled and member not in script.legacy_members
        self._peers_path(member).write_text(membership_toml(script.membership, enabled))
        if script.recovery.enabled:
            directory = folder / "disk"
            directory.mkdir()
            self.recovery_directories.append(directory)
            self._recovery_path(member).write_text(recovery_toml(script.recovery, directory))

    def _peers_path(self, member: int) -> Path:
        return self._folder / str(member) / "peers.toml"

    def _recovery_path(self, member: int) -> Path:
        return self._folder / str(member) / "recovery.toml"

    def _front_end_settings(self, member: int) -> dict[str, Any]:
        limits = {**SETTINGS["policy-limits"], "may-tell": True}
        return {**SETTINGS, "instances": self.script.members, "slot-no": member, "policy-limits": limits}

    def _known_list(self) -> dict[str, Any]:
        instances = [self.services.instance(name) for name in self.services.warehouses]
        return {"seq": 1, "results": [{"seq": 1, "fleet": {"reset": True, "instances": instances}}]}

    def start_process(self, member: int) -> FrontEndProcess:
        """Start a process of a member; an earlier process of it may still be running."""
        options = ["--peers", str(self._peers_path(member))]
        if self.recovery_directories:
            options += ["--recovery", str(self._recovery_path(member))]
        command = self.start_commands.get(member, COMMAND)
        return self.test_beds[member].start(options=options, command=command)

    def wait_until_ready(self) -> Fleet:
        """Wait until all front ends are ready, and those with membership have received from each other."""
        for process in self.processes:
            process.wait_until_ready()
        if self.script.membership.enabled:
            members = [n for n in range(self.script.members) if n not in self.script.legacy_members]
            for viewer in members:
                wait_until(
                    partial(self._received_from_all, viewer, members),
                    f"member {viewer} to receive datagrams from all members",
                )
        return self

    def _received_from_all(self, viewer: int, members: list[int]) -> bool:
        lines = self.processes[viewer].admin_request("PEERS").splitlines()
        return all("never" not in lines[1 + member] for member in members)

    def close(self) -> None:
        """End all processes and services."""
        for test_bed in self.test_beds:
            test_bed.close()
        self.services.close()
        self.relays.close()

    # ---- views ----------------------------------------------------------------------------------------
    def view(self, viewer: int) -> View | None:
        """The state of each member in the view of one front end; None if it does not answer."""
        try:
            lines = self.processes[viewer].admin_request("PEERS", ADMIN_TIMEOUT_S).splitlines()
        except OSError:
            return None
        if not lines or not lines[0].startswith("ok"):
            return None
        return [line.split(" ")[1] for line in lines[1:]]

    def viewers(self) -> list[int]:
        """The members whose views are scored: running, with membership, without falsified datagrams."""
        excluded = self.ended | self.paused | set(self.relays.false_reports) | set(self.script.legacy_members)
        return [member for member in range(self.script.members) if member not in excluded]

    def state_seen_by(self, viewer: int, member: int) -> str:
        """The state of a member in the view of one front end."""
        view = self.view(viewer)
        return "no answer" if view is None else view[member]

    def all_see_state(self, member: int, state: str, excluded: tuple[int, ...] = ()) -> bool:
        """Whether a member has this state in the views of all running, not excluded front ends."""
        return all(
            self.state_seen_by(viewer, member) == state
            for viewer in range(self.script.members)
            if viewer not in (member, *excluded)
            and viewer not in self.ended
            and viewer not in self.script.legacy_members
        )

    # ---- processes ------------------------------------------------------------------------------------
    def kill(self, member: int) -> None:
        """Kill a front end with SIGKILL, and wait until it has ended."""
        self.processes[member].signal(signal.SIGKILL)
        self._wait_until_ended(member)

    def start(self, member: int) -> None:
        """Start a front end that has ended."""
        self.processes[member] = self.start_process(member)
        self.ended.discard(member)
        self.starting.add(member)
        self.relays.dead_members.discard(member)

    def pause(self, member: int) -> None:
        """Stop a process with SIGSTOP until `resume`."""
        self.processes[member].signal(signal.SIGSTOP)
        self.paused.add(member)

    def resume(self, member: int) -> None:
        """Continue a paused process with SIGCONT."""
        self.processes[member].signal(signal.SIGCONT)
        self.paused.discard(member)

    def leave(self, member: int) -> None:
        """Start the graceful shutdown of a front end."""
        self.processes[member].signal(signal.SIGTERM)
        self.ended.add(member)

    def blackout(self) -> None:
        """Simulate a power loss: kill all front ends at once and delete their temporary files."""
        for member, process in enumerate(self.processes):
            if member not in self.ended:
                process.signal(signal.SIGKILL)
        for member, test_bed in enumerate(self.test_beds):
            self._wait_until_ended(member)
            for path in (test_bed.directory / "tmp").iterdir():
                path.unlink()

    def _wait_until_ended(self, member: int) -> None:
        self.processes[member].wait_until_ended()
        self.ended.add(member)
        self.relays.dead_members.add(member)

    # ---- recovery stores ------------------------------------------------------------------------------
    def save_recovery_directories(self) -> None:
        """Save a copy of each recovery store for `restore_recovery_directory`."""
        for member, directory in enumerate(self.recovery_directories):
            shutil.copytree(directory, self._saved_directory(member))

    def restore_recovery_directory(self, member: int) -> None:
        """Replace a recovery store with its saved copy."""
        self.replace_recovery_directory(member, self._saved_directory(member))

    def replace_recovery_directory(self, member: int, source: Path) -> None:
        """Replace a recovery store with a copy of a directory."""
        shutil.rmtree(self.recovery_directories[member])
        shutil.copytree(source, self.recovery_directories[member])

    def _saved_directory(self, member: int) -> Path:
        return self._folder / "old" / str(member)
