"""Divides the memory limit of the process among all that clients can make it hold."""

from __future__ import annotations

from dataclasses import dataclass

IDLE_PROCESS_BYTES = 32 << 20  # of a process without clients
# Memory of an open connection without messages: the task with its saved stack, the objects of the connection.
CONNECTION_BYTES = 14 << 10
MIN_BODY_BYTES = 1 << 20
MIN_CONNECTIONS = 16
MIN_REQUESTS_BYTES = 1 << 20
MIN_RESERVE_BYTES = 8 << 20
CONNECTIONS_DIVISOR = 8
RESERVE_DIVISOR = 16  # for one message while it is parsed, and for gaps between blocks of memory
# Shares of the memory that the process without clients leaves.
ANSWERS_SHARE = 0.15
REQUESTS_SHARE = 0.15
PARTIAL_MESSAGES_SHARE = 0.075
# The memory that is shared out at the least. Limits under 64 MB can't be kept by any process.
MIN_SHARED_FRACTION = 5 / 6
MIN_MEMORY_BYTES = 2 * IDLE_PROCESS_BYTES


@dataclass(slots=True, frozen=True)
class ClientMemoryLimits:
    """What clients may make one process hold; sizes in bytes. All parts fit the memory limit together.

    Attributes:
        connections: Number of connections whose own memory fits.
        partial_messages: Received bytes that are not handled yet.
        requests: Requests in flight.
        answers: Answers that clients have not read.
        bodies: Rest for the bodies of HTTP requests, which are in memory twice for a moment.
    """

    connections: int
    partial_messages: int
    requests: int
    answers: int
    bodies: int

    def divided(self, process_count: int) -> ClientMemoryLimits:
        """Return the part of one of several processes."""
        return ClientMemoryLimits(
            connections=self.connections // process_count,
            partial_messages=self.partial_messages // process_count,
            requests=self.requests // process_count,
            answers=self.answers // process_count,
            bodies=self.bodies // process_count,
        )

    @classmethod
    def for_memory(cls, memory_bytes: int) -> ClientMemoryLimits:
        """Return the limits of a process that may use this much memory alone."""
        shared = memory_bytes - IDLE_PROCESS_BYTES
        if memory_bytes < MIN_MEMORY_BYTES:
            shared = int(memory_bytes * MIN_SHARED_FRACTION)
        connections = memory_bytes // CONNECTIONS_DIVISOR
        partial_messages = int(shared * PARTIAL_MESSAGES_SHARE)
        requests = max(MIN_REQUESTS_BYTES, int(shared * REQUESTS_SHARE))
        answers = int(shared * ANSWERS_SHARE)
        reserve = max(MIN_RESERVE_BYTES, memory_bytes // RESERVE_DIVISOR)
        used = IDLE_PROCESS_BYTES + connections + partial_messages + requests + answers + reserve
        return cls(
            connections=max(MIN_CONNECTIONS, connections // CONNECTION_BYTES),
            partial_messages=partial_messages,
            requests=requests,
            answers=answers,
            bodies=max(2 * MIN_BODY_BYTES, memory_bytes - used),
        )
