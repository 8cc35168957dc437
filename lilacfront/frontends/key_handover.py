"""Keeps the order of keyed requests while one process replaces another one of the same front end.

A process that shuts down tells its successor all ordering keys that are in use, before it announces that it
shuts down, which is when the successor begins to accept clients. The successor holds back requests of these
keys until the old process reports that they are free.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice

from lilacfront.core.dispatcher import RequestDispatcher
from lilacfront.logs import Log
from lilacfront.operations.connection_transfer import TransferChannel
from lilacfront.operations.transfer_messages import KeysFree, KeysInUse
from lilacfront.sched import Loop, Task

log = Log(__name__)
CHECK_INTERVAL_S = 0.02
KEYS_PER_MESSAGE = 1000


class KeyHandover:
    """The ordering keys that this process has announced to its successor, or that others announced to it.

    Attributes:
        open_keys: Number of requests in flight on client connections, by ordering key.
    """

    def __init__(self, loop: Loop, dispatcher: RequestDispatcher, longest_deadline_s: float) -> None:
        """Make a hand-over that has not begun.

        Args:
            loop: The event loop.
            dispatcher: Holds back requests of a key.
            longest_deadline_s: Time after which the other process has no request in flight any more.
        """
        self.open_keys: Counter[int] = Counter()
        self._loop = loop
        self._dispatcher = dispatcher
        self._longest_deadline_s = longest_deadline_s
        self._has_begun = False
        self._announced: set[int] = set()
        self._held: dict[TransferChannel, set[int]] = {}

    # ---- the process that shuts down -----------------------------------------------------------------
    @property
    def has_begun(self) -> bool:
        """Whether the successor may send requests of any key, so that none may begin here."""
        return self._has_begun

    @property
    def is_pending(self) -> bool:
        """Whether the successor still holds back requests of keys that this process has announced."""
        return bool(self._announced)

    def add_request(self, key: int) -> None:
        """Record a request in flight; a key of 0 stands for no key."""
        if key:
            self.open_keys[key] += 1

    def remove_request(self, key: int) -> None:
        """Record the end of a request."""
        if not key:
            return
        self.open_keys[key] -= 1
        if not self.open_keys[key]:
            del self.open_keys[key]

    def begin(self, successor: TransferChannel) -> None:
        """Announce all keys in use to the successor, and report each as soon as it is free."""
        self._has_begun = True
        self._announced = self._keys_in_use()
        for keys in _batches(self._announced):
            successor.send(KeysInUse(keys))
        if self._announced:
            log.info("ordering keys announced", count=len(self._announced))
            self._loop.spawn(self._report_free_keys, successor)

    def _keys_in_use(self) -> set[int]:
        return set(self.open_keys) | self._dispatcher.keys_in_use()

    def _report_free_keys(self, task: Task, successor: TransferChannel) -> None:
        while self._announced and not successor.closed:
            self._loop.sleep(task, self._loop.now + CHECK_INTERVAL_S)
            free = self._announced - self._keys_in_use()
            self._announced -= free
            for keys in _batches(free):
                successor.send(KeysFree(keys))
        self._announced.clear()

    # ---- the successor -------------------------------------------------------------------------------
    def on_keys_in_use(self, channel: TransferChannel, keys: Iterable[int]) -> None:
        """Hold back requests of keys that the other process uses, as long as it may use them."""
        new_keys = set(keys) - self._held.setdefault(channel, set())
        self._held[channel] |= new_keys
        for key in new_keys:
            self._dispatcher.hold_key(key)
        latest = self._loop.now + self._longest_deadline_s + self._dispatcher.ordering_gap_s
        self._loop.call_at(latest, lambda: self.on_keys_free(channel, new_keys))

    def on_keys_free(self, channel: TransferChannel, keys: Iterable[int]) -> None:
        """Release keys that are free at the other process; does nothing for those not held."""
        held = self._held.get(channel, set())
        for key in held & set(keys):
            held.discard(key)
            self._dispatcher.release_key(key)
        if not held:
            self._held.pop(channel, None)

    def on_channel_closed(self, channel: TransferChannel) -> None:
        """Release the keys of a process that has ended once its last attempts can't run any more."""
        keys = frozenset(self._held.get(channel, ()))
        if keys:
            released_at = self._loop.now + self._dispatcher.ordering_gap_s
            self._loop.call_at(released_at, lambda: self.on_keys_free(channel, keys))


def _batches(keys: Iterable[int]) -> Iterator[tuple[int, ...]]:
    remaining = iter(keys)
    while batch := tuple(islice(remaining, KEYS_PER_MESSAGE)):
        yield batch
