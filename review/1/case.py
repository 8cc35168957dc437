"""Case 1: one of eight HTTP warehouses fails for a while, before the platform's clients and HTTP clients."""

from __future__ import annotations

import random

from common.bed import Bed, Record, has_trouble, main
from common.gateway import GatewaySite
from common.http_warehouse import HttpAnswer, HttpWarehouse

SEED = 1
WAREHOUSES = 8
FRONT_ENDS = 2
CLIENTS = 4
RUN_S = 24.0
TROUBLE_FROM_S, TROUBLE_TO_S = 6.0, 18.0
FAILING_SHARE = 0.6
PAUSE_S = 0.15
DISK_FULL = 243, b"Code: 243. DB::Exception: Cannot reserve 1.00 MiB, not enough space. (NOT_ENOUGH_SPACE)\n"
DISK_FAULT = 74, b"Code: 74. DB::Exception: Cannot read from file. (CANNOT_READ_FROM_FILE_DESCRIPTOR)\n"


async def play(bed: Bed, record: Record) -> None:
    """Play the case."""
    rng = random.Random(SEED)

    def answer(warehouse: HttpWarehouse, _query_id: str, is_load: bool) -> HttpAnswer | None:
        is_failing = warehouse is site.warehouses[0] and TROUBLE_FROM_S <= site.at_s < TROUBLE_TO_S
        if not (has_trouble() and is_failing) or rng.random() >= FAILING_SHARE:
            return None
        return HttpAnswer(*(DISK_FULL if is_load else DISK_FAULT))

    site = GatewaySite(bed, record, SEED, WAREHOUSES, answer)
    await site.play(FRONT_ENDS, CLIENTS, RUN_S, PAUSE_S)


if __name__ == "__main__":
    main(play, __file__)
