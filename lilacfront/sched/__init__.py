"""The project's scheduler: greenlets over select.poll."""

from lilacfront.sched.chunk import Chunk
from lilacfront.sched.lingering import RejectedInput
from lilacfront.sched.loop import READ_BYTES, SMALL_READ_BYTES, Interrupted, Loop, Task, TimedOut, Wait
from lilacfront.sched.send_budget import SendBudget
from lilacfront.sched.socket_state import PeerState
from lilacfront.sched.stream import ConnectFailure, Stream

__all__ = [
    "READ_BYTES",
    "SMALL_READ_BYTES",
    "Chunk",
    "ConnectFailure",
    "Interrupted",
    "Loop",
    "PeerState",
    "RejectedInput",
    "SendBudget",
    "Stream",
    "Task",
    "TimedOut",
    "Wait",
]
