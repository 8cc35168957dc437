"""Interfaces through which the front ends query the state of their process."""

from __future__ import annotations

from typing import Protocol


class HealthSource(Protocol):
    """Reports the health of this process; implemented by `operations.service.Operations`."""

    def is_healthy(self) -> bool:
        """Whether clients may send requests here."""
        ...


class DrainPolicy(Protocol):
    """Decides whether a drain rejects new requests; see `operations.draining.DrainController`."""

    def retry_after_s(self, connected_at: float) -> float | None:
        """Return the delay in seconds before the client may retry elsewhere; None: serve the request."""
        ...
