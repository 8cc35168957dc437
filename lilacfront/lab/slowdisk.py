"""Runs the program with a simulated slow disk: `python -m lilacfront.lab.slowdisk SECONDS serve ...`.

Every restore and every sync of the recovery store is delayed by that time, as on a disk busy with other work.
"""

from __future__ import annotations

import sys
import time

from lilacfront.cli import main
from lilacfront.recovery.durable_state import DurableState
from lilacfront.recovery.store import Store


def delay_disk(seconds: float) -> None:
    """Delay every restore and every sync of the recovery store in this process."""
    sync, restore = Store._sync, Store.restore

    def slow_sync(self: Store, descriptor: int) -> None:
        time.sleep(seconds)
        sync(self, descriptor)

    def slow_restore(self: Store) -> DurableState:
        time.sleep(seconds)
        return restore(self)

    Store._sync, Store.restore = slow_sync, slow_restore  # type: ignore[method-assign]


if __name__ == "__main__":
    delay_disk(float(sys.argv.pop(1)))
    main()
