"""Records that the processes of one front end share, and the format of state files. No I/O.

Several processes of one front end may receive admin commands, crash at any time and restart. Directives are
therefore merged as last-writer-wins registers, one for each target, with Lamport timestamps. The revision of
a new directive is one higher than the highest revision that its process knows. The directive with the highest
pair of revision and author is in force. Merging is commutative, associative and idempotent.

A state file has one header line, `lilacfront-operations VERSION CRC32 LENGTH`, and a JSON body.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from lilacfront.errors import LilacfrontError

VERSION = 1
MAGIC = b"lilacfront-operations"
MAX_FILE_BYTES = 1 << 20
PAUSE_TARGET = ""  # can't be the id of a warehouse, which is never empty
HEADER_FIELD_COUNT = 4


class OperatorDirective(msgspec.Struct, frozen=True, array_like=True):
    """The latest admin command for one target.

    It is encoded as an array, so the order of the fields is part of the format.

    Attributes:
        target: Id of the warehouse that is suspended or restored, or `PAUSE_TARGET` for the front end.
        revision: Logical timestamp of the directive; see the docstring of the module.
        author: Token of the process that received the command.
        active: Whether the command starts the suspension or pause; otherwise it ends it.
        active_since_s: Unix time in seconds at which the suspension or pause began.
        issued_at_s: Unix time in seconds at which the command was received.
    """

    target: str
    revision: int
    author: str
    active: bool
    active_since_s: float
    issued_at_s: float

    def supersedes(self, other: OperatorDirective | None) -> bool:
        """Return whether this directive is newer than `other` for the same target."""
        return other is None or (self.revision, self.author) > (other.revision, other.author)


class LearnedClass(msgspec.Struct, frozen=True, array_like=True):
    """Measurements of one request class by one process; encoded as an array.

    Attributes:
        samples: Number of requests measured.
        latency_us: Expected latency of a request, in microseconds.
        work_us: Expected processor time of a request, in microseconds.
        uncontended_us: Expected latency on an engine that runs nothing else, in microseconds.
    """

    samples: int
    latency_us: float
    work_us: float
    uncontended_us: float


class LearnedEngine(msgspec.Struct, frozen=True, array_like=True):
    """Measurements of one incarnation of an engine by one process; encoded as an array.

    Attributes:
        engine: Number of the engine.
        started_us: Start of the incarnation, Unix time in microseconds.
        thread_limit: Concurrency limit of the engine, in threads.
        load_ratio: Smoothed ratio of measured to expected latency.
    """

    engine: int
    started_us: int
    thread_limit: float
    load_ratio: float


class LearnedState(msgspec.Struct, frozen=True, array_like=True):
    """All measurements that a process shares with the others; encoded as an array."""

    classes: tuple[LearnedClass, ...] = ()
    engines: tuple[LearnedEngine, ...] = ()


class ProcessState(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "front_end": "name",
        "saved_at_s": "saved",
        "directives": "said",
        "learned": "learnt",
        "change_log_seq": "seq",
    },
):
    """State that a process shares with the other processes of its front end.

    Attributes:
        front_end: Name of the front end.
        token: Unique id of the process.
        stage: Value of a `LifecycleStage`. It is a string, since other versions may have further stages.
        saved_at_s: Unix time in seconds at which the record was created.
        directives: The latest directive for each target that the process knows.
        learned: Measurements to be used by a process that has none of its own yet.
        change_log_seq: Number of the last change log event applied; 0 without one.
        holds_keys: Whether the process reads `KeysInUse` and `KeysFree`; older versions don't set it.
    """

    front_end: str
    token: str
    stage: str
    saved_at_s: float
    directives: tuple[OperatorDirective, ...] = ()
    learned: LearnedState = LearnedState()
    change_log_seq: int = 0
    holds_keys: bool | msgspec.UnsetType = msgspec.UNSET


class ProcessStateError(LilacfrontError, ValueError):
    """The state file is damaged or truncated, or belongs to another version or front end."""


def encode_state(state: ProcessState) -> bytes:
    """Encode the state of a process as the content of its state file."""
    body = msgspec.json.encode(state)
    return b"%s %d %08x %d\n%s" % (MAGIC, VERSION, zlib.crc32(body), len(body), body)


def decode_state(data: bytes, front_end: str) -> ProcessState:
    """Decode the content of a state file.

    Raises:
        ProcessStateError: The content is damaged or truncated, or belongs to another version or front end.
    """
    header, newline, body = data.partition(b"\n")
    fields = header.split(b" ")
    if not newline or len(fields) != HEADER_FIELD_COUNT or fields[0] != MAGIC:
        raise ProcessStateError("header of a state file is missing or malformed")
    _magic, version, checksum, length = fields
    if version != b"%d" % VERSION:
        raise ProcessStateError(f"unsupported version {_printable(version[:8])}, expected {VERSION}")
    if length != b"%d" % len(body):
        raise ProcessStateError(f"body has {len(body)} bytes, but the header says {_printable(length[:12])}")
    if checksum != b"%08x" % zlib.crc32(body):
        raise ProcessStateError("checksum of the body does not match the header")
    try:
        state = msgspec.json.decode(body, type=ProcessState)
    except msgspec.MsgspecError as error:
        raise ProcessStateError(str(error)) from error
    if state.front_end != front_end:
        raise ProcessStateError(f"state of another front end, {state.front_end[:40]!r}")
    return state


def _printable(field: bytes) -> str:
    return field.decode("ascii", "replace")


def merge_directives(
    current: dict[str, OperatorDirective], directives: Iterable[OperatorDirective]
) -> list[OperatorDirective]:
    """Merge `directives` into `current`, which is keyed by target.

    Returns:
        The directives that are newly in force.
    """
    accepted = [directive for directive in directives if directive.supersedes(current.get(directive.target))]
    for directive in accepted:
        if directive.supersedes(current.get(directive.target)):
            current[directive.target] = directive
    return [directive for directive in accepted if current[directive.target] is directive]
