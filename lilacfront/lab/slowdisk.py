"""The program with a disk that stalls: `python -m lilacfront.lab.slowdisk SECONDS serve ...`.

Every read of a file of recovery and every sync waits so long first, as on a disk that other work keeps busy.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from lilacfront.cli import main
from lilacfront.recovery.store import Store


def stall(seconds: float) -> None:
    """Have this process's disk answer so late from now on."""
    sync, recall = Store._sync, Store.recall

    def slow_sync(self: Store, file: int) -> None:
        time.sleep(seconds)
        sync(self, file)

    def slow_recall(self: Store) -> Any:
        time.sleep(seconds)
        return recall(self)

    Store._sync, Store.recall = slow_sync, slow_recall  # type: ignore[method-assign]


if __name__ == "__main__":
    stall(float(sys.argv.pop(1)))
    main()
