"""Requests, attempts and outcomes. Failures are returned as values that state how far an attempt got."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

from lilacfront.decisions.events import LoadReport, NotificationKind
from lilacfront.sched import PeerState, SendBudget, Task


class DeliveryStage(IntEnum):
    """How far an attempt got before it ended."""

    NOT_CONNECTED = 0
    CONNECTED = 1  # connected, but no byte of the request is written
    PARTLY_WRITTEN = 2
    WRITTEN = 3  # the whole request is written, and the engine may have received it
    RESPONDING = 4  # a part of the response was received

    @property
    def never_ran(self) -> bool:
        """Whether the engine can't have run any part of the request.

        A partly written request may have run: engines start a streamed insert before its last byte.
        """
        return self <= DeliveryStage.CONNECTED


class AttemptEnding(Enum):
    """How an attempt ended; the values appear in the log."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # the engine reports that it did not run the request
    ERROR = "error"  # the engine reports a failure; the request may have run
    STATEMENT_ERROR = "statement error"  # the engine reports an error that the statement causes on any engine
    CONNECT_FAILED = "connect failed"
    CONNECTION_LOST = "connection lost"  # also used if the response can't be parsed
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"  # by the router or by the client
    # The engine left the endpoint list, the deadline passed, or this process had no resources left before the
    # first byte.
    NOT_SENT = "not sent"


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """The end of one attempt.

    Attributes:
        ending: How the attempt ended.
        stage: How far the attempt got.
        load_report: Load that the engine reported with the response.
        detail: Error text of the engine, passed on to the client.
    """

    ending: AttemptEnding
    stage: DeliveryStage
    load_report: LoadReport | None = None
    detail: bytes = b""

    @property
    def never_ran(self) -> bool:
        """Whether the engine provably ran no part of the request."""
        return self.ending is AttemptEnding.REJECTED or self.stage.never_ran


class RequestClient(Protocol):
    """The connection that a request came on; nothing is sent to an engine unless it is `OPEN` then."""

    def peer_state(self) -> PeerState:
        """Return whether the client has closed, or whether its close may lie behind input."""
        ...

    def wait_for_handled_input(self, task: Task, until: float) -> None:
        """Wait until the state is not `UNREAD`, or until a time in seconds."""
        ...


class ConnectedClient:
    """A client that never leaves."""

    def peer_state(self) -> PeerState:
        """Return `OPEN`."""
        return PeerState.OPEN

    def wait_for_handled_input(self, task: Task, until: float) -> None:
        """Return at once."""


CONNECTED_CLIENT = ConnectedClient()


@dataclass(slots=True)
class Request:
    """A request of one client.

    Attributes:
        call_id: Identifier that the client gave the request.
        class_index: Index of the request class in the settings.
        deadline: Deadline in seconds of the loop's clock.
        body: Request body, forwarded as received.
        table_group: Number of the table group that the request reads; 0 if unknown.
        protocol_context: Data that the frontend passes to an upstream of the same protocol.
        query_id: Id that the client named for the engine, which names it in its response; empty if none.
        user: User name of the client; used only to choose the team.
        headers: Headers of the request; used only to choose the team.
        statement: The statement, if the body contains more than the statement.
        idempotency_key: Key by which engines recognise a repeated request; forwarded as received.
        ordering_key: Key whose requests run one at a time in the order received; 0 if there is none.
        tenant: Index of the tenant in the settings; None if the client names none.
        is_client_retry: Whether the client repeats a request that it has sent before.
        estimated_work_us: Estimated total time of all threads, in microseconds; None if unknown.
        estimated_memory_mb: Estimated memory, in MB; None if unknown.
        client: The connection that the request came on.
    """

    call_id: bytes
    class_index: int
    deadline: float
    body: bytes
    table_group: int = 0
    protocol_context: object = None
    query_id: bytes = b""
    user: bytes = b""
    headers: Sequence[tuple[bytes, bytes]] = ()
    statement: bytes = b""
    idempotency_key: bytes = b""
    ordering_key: int = 0
    tenant: int | None = None
    is_client_retry: bool = False
    estimated_work_us: int | None = None
    estimated_memory_mb: float | None = None
    client: RequestClient = CONNECTED_CLIENT


@dataclass(slots=True, frozen=True)
class EngineAddress:
    """Identity of an engine's process. The same address under another number or start is another process.

    Attributes:
        number: Number of the engine.
        address: Host and port.
        started_us: Start of the process, Unix time in microseconds; 0 if it started before the list began.
    """

    number: int
    address: tuple[str, int]
    started_us: int = 0


@dataclass(slots=True, frozen=True)
class Notification:
    """Progress that an engine reports for an attempt under way; the meaning of `value` depends on `kind`."""

    kind: NotificationKind
    value: float


@dataclass(slots=True, frozen=True)
class Assignment:
    """Decision to send the request to this engine now.

    Attributes:
        engine: The engine to send the request to.
        attempt: Number of the attempt, starting at 0.
        priority: Priority to send to the engine; None if no priority is set.
        deadline: Time at which to abort the attempt, in seconds of the loop's clock.
    """

    engine: EngineAddress
    attempt: int
    priority: int | None
    deadline: float


@dataclass(slots=True, frozen=True)
class Rejected:
    """Final answer: the request did not run, and the client may retry.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds; 0 leaves the delay to the client.
        wait_range_ms: Bounds between which nine in ten retries would wait in the team's queue, in
            milliseconds; None if unknown.
    """

    retry_after_ms: int
    wait_range_ms: tuple[int, int] | None = None


@dataclass(slots=True, frozen=True)
class Failed:
    """Final answer: the request failed, and may have run."""

    is_deadline_exceeded: bool = False
    detail: bytes = b""


@dataclass(slots=True, frozen=True)
class Completed:
    """Final answer: the response sink has received the whole result."""


@dataclass(slots=True, frozen=True)
class StatementFailed:
    """Final answer: the statement itself is at fault; the response sink has the engine's error response."""


@dataclass(slots=True, frozen=True)
class Cancelled:
    """Final answer: the client has disconnected, so no answer is sent."""


FinalAnswer = Rejected | Failed | StatementFailed | Completed | Cancelled
RoutingDecision = Assignment | FinalAnswer


class ResponseSink(Protocol):
    """Receives the response of an attempt in order, part by part."""

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent to the client, which rules out another attempt."""
        ...

    def clear(self) -> None:
        """Discard what is buffered from the previous attempt; called before each attempt."""
        ...

    def start(self, head: object) -> None:
        """Receive the head of a response before its first part; used by frontends of the same protocol."""
        ...

    def write(self, data: bytes) -> bool:
        """Accept a part of the result, waiting for a slow client; return False to abort the attempt."""
        ...

    def is_valid_result(self) -> bool:
        """Whether the complete result has the form that the client's protocol prescribes."""
        ...


class Upstream(Protocol):
    """Sends attempts to engines; failures are reported in the outcome, never raised.

    Attributes:
        max_connections: Maximum number of connections open at once.
        send_budget: Limits the bytes queued for all engines together. It is not that of the clients, so that
            large requests don't use up the memory for answers.
    """

    max_connections: int
    send_budget: SendBudget

    def attempt(
        self,
        task: Task,
        assignment: Assignment,
        request: Request,
        sink: ResponseSink,
        context: AttemptContext,
    ) -> AttemptOutcome:
        """Make the attempt and return its outcome.

        An attempt that may still run on the engine is cancelled there before this returns.
        """
        ...

    def stop_sending(self, engine: int, is_removed: bool) -> None:
        """Withdraw attempts that have not begun to be sent; see `EngineConnections.stop_sending`."""
        ...


class AttemptContext(Protocol):
    """Interface of an attempt under way to the router."""

    def may_begin(self) -> bool:
        """Whether the attempt may still begin.

        Must be called right before the first byte is sent. After a wait for a connection, or for a peer that
        does not read, an earlier answer is out of date.
        """
        ...

    def notify(self, notification: Notification) -> None:
        """Report progress of the attempt."""
        ...

    def subscribe_priority(self, callback: Callable[[int], None]) -> None:
        """Call `callback` whenever the priority of the attempt changes."""
        ...
