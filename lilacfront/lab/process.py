"""Stand-in servers in separate processes, on free loopback ports."""

from __future__ import annotations

import contextlib
import gc
import multiprocessing
import signal
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnProcess
from pathlib import Path

from lilacfront.lab.fault_model import Behaviour, parse_behaviour
from lilacfront.lab.standin import StandInServer
from lilacfront.sched import Loop

STARTUP_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 5.0
BUSY_WAIT_S = 0.005  # busy-waits this long before a timer, so that delays are exact to a fraction of 1 ms


def serve(
    behaviour: Behaviour,
    address: tuple[str, int],
    record_path: Path | None,
    on_listening: Callable[[tuple[str, int]], None],
) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        behaviour: Script of the server's actions.
        address: Host and port to listen on; port 0 selects a free port.
        record_path: File for the record of each request; None writes no records.
        on_listening: Called with the listener's address.
    """
    loop = Loop(time.monotonic, BUSY_WAIT_S)
    with record_path.open("wb") if record_path is not None else contextlib.nullcontext() as record_file:
        server = StandInServer(loop, behaviour, address, record_file)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: loop.stop())
        signal.set_wakeup_fd(loop.wakeup_socket.fileno(), warn_on_full_buffer=False)
        on_listening(server.address)
        gc.collect()
        gc.freeze()
        loop.run()
        server.close()


def _run_server(behaviour: bytes, record_path: str, ready: Connection) -> None:
    serve(parse_behaviour(behaviour), ("127.0.0.1", 0), Path(record_path), ready.send)


class StandInProcesses:
    """Context manager that runs several servers with the same behaviour.

    Attributes:
        record_paths: The file of request records of each server.
        addresses: `host:port` of each server.
    """

    def __init__(self, behaviour: bytes, count: int, folder: Path) -> None:
        self._behaviour = behaviour
        self.record_paths = [folder / f"truth-{n}.jsonl" for n in range(count)]
        self.addresses: list[str] = []
        self._processes: list[SpawnProcess] = []

    def __enter__(self) -> StandInProcesses:
        try:
            pipes = [self._start(path) for path in self.record_paths]
            for pipe in pipes:
                self.addresses.append(_wait_for_address(pipe))
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self, record_path: Path) -> Connection:
        """Start a server; the returned connection receives its address."""
        context = multiprocessing.get_context("spawn")
        receiver, sender = context.Pipe()
        arguments = (self._behaviour, str(record_path), sender)
        process = context.Process(target=_run_server, args=arguments, daemon=True)
        process.start()
        sender.close()
        self._processes.append(process)
        return receiver

    def __exit__(self, *_: object) -> None:
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.join(EXIT_TIMEOUT_S)
            if process.is_alive():
                process.kill()
                process.join()


def _wait_for_address(pipe: Connection) -> str:
    if not pipe.poll(STARTUP_TIMEOUT_S):
        raise OSError(f"stand-in server did not listen within {STARTUP_TIMEOUT_S:.0f} s")
    try:
        host, port = pipe.recv()
    except EOFError:
        raise OSError("stand-in server exited before it listened") from None
    pipe.close()
    return f"{host}:{port}"
