"""Limits the memory that the requests in flight of all clients use together."""

from __future__ import annotations

from lilacfront.core.model import Request

# Memory of a request beside its body: the task with its saved stack, the objects of its attempt, the router's
# entries.
REQUEST_OBJECT_BYTES = 12 << 10
BODY_COPIES = 2  # the body itself, and its copy in a command that an engine has not accepted yet


class RequestBudget:
    """Counts the memory of the requests in flight.

    Attributes:
        max_bytes: The limit for all requests together.
        used_bytes: Memory of the requests in flight, in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def has_capacity(self, request: Request) -> bool:
        """Whether the request fits beside the others."""
        return self.used_bytes + memory_bytes(request) <= self.max_bytes

    def add(self, request: Request) -> None:
        """Count a request until `remove`."""
        self.used_bytes += memory_bytes(request)

    def remove(self, request: Request) -> None:
        """Stop counting a request, once nothing refers to its body."""
        self.used_bytes -= memory_bytes(request)


def memory_bytes(request: Request) -> int:
    """The memory that a request takes while it is in flight, in bytes."""
    return REQUEST_OBJECT_BYTES + BODY_COPIES * len(request.body)
