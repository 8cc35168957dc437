"""Delays a request of an ordering key until the answer to the previous one can have reached its client."""

from __future__ import annotations

from lilacfront.sched import Loop

ANSWER_TRANSIT_S = 0.05  # the time by which the platform extends each limit of its rules on sockets


class AnswerTransit:
    """The ordering keys with a recent answer, and when their next request may be sent.

    The router regards a request as finished when it decides the final answer. The answer leaves a little
    later, and on another connection than the next request of the key, so an engine could receive that request
    before the client has the answer.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._arrival_times: dict[int, float] = {}  # by key, in ascending order of time

    def __len__(self) -> int:
        return len(self._arrival_times)

    def record_answer(self, ordering_key: int) -> None:
        """Record that a request of the key has its final answer; a key of 0 stands for no key."""
        if not ordering_key:
            return
        self._remove_arrived()
        self._arrival_times.pop(ordering_key, None)
        self._arrival_times[ordering_key] = self._loop.now + ANSWER_TRANSIT_S

    def earliest_send(self, ordering_key: int) -> float:
        """Return the time from which the next request of the key may be sent, on the loop's clock."""
        return self._arrival_times.get(ordering_key, 0.0)

    def keys(self) -> set[int]:
        """Return the keys whose last answer may not have arrived."""
        self._remove_arrived()
        return set(self._arrival_times)

    def _remove_arrived(self) -> None:
        while self._arrival_times:
            key, arrival_time = next(iter(self._arrival_times.items()))
            if arrival_time > self._loop.now:
                return
            del self._arrival_times[key]
