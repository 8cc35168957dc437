"""Injection of the faults of a script into a fleet of real processes."""

from __future__ import annotations

import shutil

from lilacfront.lab.fault_script import WAREHOUSE_ACTIONS, Fault
from lilacfront.lab.fleet import Fleet

BITS_PER_BYTE = 8


class FaultInjector:
    """Injects faults into the front ends, warehouses, network and change log of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def inject(self, fault: Fault) -> list[int]:
        """Inject a fault and return the numbers of its targets."""
        targets = self._targets(fault)
        if fault.action in WAREHOUSE_ACTIONS:
            self._apply_to_warehouses(fault)
            return targets
        self._apply_to_fleet(fault, targets)
        for member in targets:
            self._apply_to_member(fault, member)
        return targets

    def _targets(self, fault: Fault) -> list[int]:
        if not fault.target_fraction or fault.action in WAREHOUSE_ACTIONS:
            return list(fault.targets)
        fleet = self._fleet
        stopped = fleet.ended | fleet.paused
        running = [member for member in range(fleet.script.members) if member not in stopped]
        return fleet.relays.network.sample_members(running, fault.target_fraction)

    def _apply_to_warehouses(self, fault: Fault) -> None:
        services = self._fleet.services
        warehouses = list(services.warehouses.values())
        for number in fault.targets:
            warehouse = warehouses[number]
            match fault.action:
                case "shut":
                    services.call(warehouse.stop_listening)
                case "open":
                    services.call(warehouse.resume_listening)
                case "hold":
                    warehouse.answers_suspended = True
                case "serve":
                    services.call(warehouse.resume_answers)

    def _apply_to_fleet(self, fault: Fault, targets: list[int]) -> None:
        relays = self._fleet.relays
        match fault.action:
            case "cut":
                relays.network.partition(fault, targets)
            case "heal":
                relays.network.blocked_links.clear()
            case "lie":
                relays.false_reports.update(dict.fromkeys(targets, fault.lie))
            case "blackout":
                self._fleet.blackout()
            case "log":
                self._apply_to_change_log(fault.mode)

    def _apply_to_change_log(self, mode: str) -> None:
        services = self._fleet.services
        change_log = services.change_log
        match mode:
            case "away":
                services.call(change_log.stop_listening)
            case "back":
                services.call(change_log.resume_listening)
            case "anew":
                instances = [services.instance(name) for name in services.warehouses]
                services.call(lambda: change_log.renumber(*instances))

    def _apply_to_member(self, fault: Fault, member: int) -> None:
        fleet = self._fleet
        match fault.action:
            case "kill":
                fleet.kill(member)
            case "spoil":
                self._corrupt_recovery_directory(member, fault.mode)
            case "leave":
                fleet.leave(member)
            case "start":
                fleet.start(member)
            case "stop":
                fleet.pause(member)
            case "continue":
                fleet.resume(member)

    def _corrupt_recovery_directory(self, member: int, mode: str) -> None:
        fleet = self._fleet
        match mode:
            case "remove":
                shutil.rmtree(fleet.recovery_directories[member])
                fleet.recovery_directories[member].mkdir()
            case "old":
                fleet.restore_recovery_directory(member)
            case "swap":
                self._copy_from_next_member(member)
            case "cut" | "flip":
                self._corrupt_journals(member, truncate=mode == "cut")

    def _copy_from_next_member(self, member: int) -> None:
        fleet = self._fleet
        other = (member + 1) % fleet.script.members
        fleet.replace_recovery_directory(member, fleet.recovery_directories[other])
        directory = fleet.recovery_directories[member]
        for path in directory.iterdir():  # journal names contain the front end's name
            path.rename(directory / path.name.replace(f".n{other}.", f".n{member}."))

    def _corrupt_journals(self, member: int, truncate: bool) -> None:
        """Truncate each journal at a random byte, or flip a random bit in it."""
        rng = self._fleet.relays.network.rng
        for path in self._fleet.recovery_directories[member].glob("*.journal"):
            data = bytearray(path.read_bytes())
            position = rng.randrange(len(data))
            data[position] ^= 1 << rng.randrange(BITS_PER_BYTE)
            path.write_bytes(data[:position] if truncate else data)
