"""Case 1: one of eight HTTP warehouses fails for a while, before the platform's clients and HTTP clients."""

from __future__ import annotations

import asyncio
import random

from common.bed import Bed, Record, has_trouble, main
from common.gateway import GatewaySite
from common.http_warehouse import HttpAnswer, HttpWarehouse

SEED = 1
WAREHOUSES = 8
FRONT_ENDS = 2
CLIENTS = 8  # of each front of each front end
RUN_S = 24.0
TROUBLE_FROM_S, TROUBLE_TO_S = 6.0, 18.0
FAILING_SHARE = 0.8
PAUSE_S = 0.1
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
    await site.start(FRONT_ENDS)
    clients = []
    for number in range(FRONT_ENDS):
        for client in range(CLIENTS):
            own = random.Random(f"{SEED} {number} {client}")
            clients.append(site.run_thrift_client(site.thrift_addresses[number], own, RUN_S, PAUSE_S))
            clients.append(site.run_http_client(site.http_addresses[number], own, RUN_S, PAUSE_S))
    await asyncio.gather(*clients)
    site.record_lost_loads()


if __name__ == "__main__":
    main(play, __file__)
