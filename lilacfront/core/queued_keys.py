"""The order of keyed requests that are in the queues of different teams. No I/O."""

from __future__ import annotations

from collections import deque


class QueuedKeys:
    """Queues of request numbers by ordering key, in the order in which the requests were received.

    A key has an entry only while it has a request. A key of 0 stands for no key.
    """

    def __init__(self) -> None:
        self._queues: dict[int, deque[int]] = {}

    def __len__(self) -> int:
        return len(self._queues)

    def add(self, key: int, number: int) -> None:
        """Append a request to the queue of its key."""
        if key:
            self._queues.setdefault(key, deque()).append(number)

    def is_first(self, key: int, number: int) -> bool:
        """Whether no earlier request of the key is queued."""
        queue = self._queues.get(key)
        return queue is None or queue[0] == number

    def remove(self, key: int, number: int) -> int | None:
        """Remove a request; returns the first one of the key after that, None if there is none."""
        queue = self._queues.get(key)
        if queue is None or number not in queue:
            return None
        queue.remove(number)
        if queue:
            return queue[0]
        del self._queues[key]
        return None
