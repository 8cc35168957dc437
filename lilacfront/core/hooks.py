"""Interfaces that the dispatcher calls; the server connects the implementations."""

from __future__ import annotations

from typing import Protocol

from lilacfront.core.model import FinalAnswer, Request


class EngineConnections(Protocol):
    """Connections to engines; every `Upstream` implements this."""

    def stop_sending(self, engine: int, is_removed: bool) -> None:
        """Withdraw attempts that have not begun to be sent.

        Called when the engine starts to drain, or, with `is_removed`, when it is removed from the list.
        """
        ...


class PeerTransport(Protocol):
    """Sends datagrams to the other gateways."""

    def send(self, peer: int | None, data: bytes) -> None:
        """Send `data` to one peer, or to all peers if `peer` is None."""
        ...


class AdmissionPolicy(Protocol):
    """Restricts admission while a gateway recovers; implemented by the recovery coordinator."""

    def admission_answer(self, request: Request) -> FinalAnswer | None:
        """Return the final answer for a request that can't be admitted yet, or None to admit it."""
        ...

    def retry_after_ms(self, request: Request, proposed_ms: int) -> int:
        """Return the Retry-After for a request that the router rejects with `proposed_ms`."""
        ...

    def load_forwarded(self, request: Request) -> None:
        """Called before a request that is not idempotent is sent to an engine."""
        ...

    def load_answered(self, request: Request) -> None:
        """Called when a forwarded request that is not idempotent has its final answer."""
        ...
