"""Runs a plan against a stand-in server in one event loop on a virtual clock.

Minutes of load are simulated in seconds, and the same seeds give the same figures.
"""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lilacfront.lab.fault_model import Behaviour
from lilacfront.lab.standin import StandInServer
from lilacfront.lab.virtual_clock import VirtualClock, run_virtual_time
from lilacfront.load.codecs import codec_factory
from lilacfront.load.measurements import Second, WorkerMeasurements, merge_seconds
from lilacfront.load.plan import Plan
from lilacfront.load.recorder import Recorder
from lilacfront.load.schedule import schedule
from lilacfront.load.sender import Sender
from lilacfront.sched import Loop

RUN_TOKEN = "0badcafe"


@dataclass(slots=True, frozen=True)
class SimulatedRun:
    """What the generator measured in a simulated run, and what the stand-in counted and logged.

    Attributes:
        measured: The measurements of the generator.
        seconds: The measurements by second.
        server_actions: The number of requests by the stand-in's action.
        server_log: The log of the stand-in, one line per answer.
        start_time: The start of the run on the virtual clock.
    """

    measured: WorkerMeasurements
    seconds: list[Second]
    server_actions: Counter[str]
    server_log: bytes
    start_time: float


def simulate_run(
    plan: Plan,
    behaviour: Behaviour,
    on_turn: Callable[[VirtualClock, Sender], None] | None = None,
    refuse_connections: bool = False,
) -> SimulatedRun:
    """Runs a plan against a stand-in; ignores the addresses of the plan.

    Args:
        plan: The plan; one worker sends all requests.
        behaviour: The behaviour of the stand-in.
        on_turn: Called at every turn of the loop; may advance the clock to simulate a lack of CPU time.
        refuse_connections: Whether the listening socket is closed before the run.
    """
    clock = VirtualClock()
    loop = Loop(clock)
    server_log = io.BytesIO()
    seconds_file = io.BytesIO()
    standin = StandInServer(loop, behaviour, ("127.0.0.1", 0), server_log)
    if refuse_connections:
        standin.close()
    recorder = Recorder(seconds_file, plan.max_timeout_s)
    codecs = codec_factory(plan, RUN_TOKEN)
    sender = Sender(loop, plan, plan.connections, [standin.address], codecs, recorder)
    start_time = loop.now
    sender.run(schedule(plan), start_time)
    ended_at = 0.0

    def is_done() -> bool:
        nonlocal ended_at
        if on_turn is not None:
            on_turn(clock, sender)
        ended_at = sender.now()
        return sender.done

    def is_quiescent() -> bool:
        return not sender.pool.connecting and sender.pool.in_flight == standin.pending

    try:
        run_virtual_time(loop, clock, is_done, is_quiescent)
    finally:
        standin.close()
        for connection in list(sender.pool.connections):
            connection.stream.close()
        loop.close()
    measured = recorder.close(0, [], ended_at)
    seconds = list(merge_seconds([seconds_file.getvalue().splitlines()]))
    return SimulatedRun(measured, seconds, standin.action_counts, server_log.getvalue(), start_time)
