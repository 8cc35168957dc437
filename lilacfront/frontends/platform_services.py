"""Services that all connections of the platform's protocol share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.core.model import Upstream
from lilacfront.frontends.call_ids import CallIds
from lilacfront.frontends.connection_handover import TransferRegistry
from lilacfront.frontends.key_handover import KeyHandover
from lilacfront.frontends.partial_messages import PartialMessageBudget
from lilacfront.frontends.process_state import DrainPolicy, HealthSource
from lilacfront.frontends.request_budget import RequestBudget
from lilacfront.sched import Loop


@dataclass(slots=True, frozen=True)
class PlatformClass:
    """A request class that clients of the platform can name in a request.

    Attributes:
        index: Index of the class in the settings.
        deadline_s: Time from receiving a request to answering it, in seconds.
        is_idempotent: Whether a request may run again once it is answered.
        is_ordered: Whether requests with the same ordering key run one at a time, in order.
    """

    index: int
    deadline_s: float
    is_ordered: bool = False
    is_idempotent: bool = True


@dataclass(slots=True, frozen=True)
class ClientNames:
    """Names that the settings define and that clients use in their requests.

    Attributes:
        classes: The request classes by name.
        tenants: The indices of the tenants by name; empty if the deployment has no tenants.
    """

    classes: Mapping[bytes, PlatformClass]
    tenants: Mapping[bytes, int]

    def is_idempotent(self, class_index: int) -> bool:
        """Whether requests of a class may run again once they are answered."""
        return any(
            request_class.is_idempotent
            for request_class in self.classes.values()
            if request_class.index == class_index
        )

    @property
    def longest_deadline_s(self) -> float:
        """The longest time that a client waits for an answer, in seconds."""
        return max((request_class.deadline_s for request_class in self.classes.values()), default=0.0)


@dataclass(slots=True, frozen=True)
class PlatformServices:
    """Services of the process that a connection uses.

    Attributes:
        loop: The event loop that runs the tasks of the connections.
        dispatcher: Decides which engine serves a request.
        upstream: Sends attempts to engines.
        names: The names that clients use.
        health: Health that `ping` reports.
        drain_policy: Rejects new requests late in a drain.
        partial_messages: Limits the memory for incomplete messages.
        request_budget: Limits the memory for requests in flight.
        transfers: Registry of the connections transferred between processes.
        call_ids: Ids of the requests in flight on all connections, and of recent ones that may have run.
        keys: Ordering keys of the requests in flight, and their hand-over between processes.
    """

    loop: Loop
    dispatcher: RequestDispatcher
    upstream: Upstream
    names: ClientNames
    health: HealthSource
    drain_policy: DrainPolicy
    partial_messages: PartialMessageBudget
    request_budget: RequestBudget
    transfers: TransferRegistry
    call_ids: CallIds
    keys: KeyHandover
