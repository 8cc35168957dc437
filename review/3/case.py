"""Case 3: loads that share a key, while one of six engines takes requests and answers none."""

from __future__ import annotations

import asyncio
import random
from itertools import count

from common.bed import Bed, Record, has_trouble, main
from common.change_log import ChangeLog
from common.deployments import dublin, instance
from common.resp_warehouse import Request, RespWarehouse
from common.thrift_client import ThriftClient

SEED = 3
ENGINES = 6
FRONT_ENDS = 2
KEYS = 6  # keys at each front end
LOOKUP_CLIENTS = 2  # at each front end
RUN_S = 30.0
HANG_FROM_S, HANG_TO_S = 6.0, 18.0
LOAD_S, LOOKUP_S, NOTE_S = 0.8, 0.06, 0.5
LOAD_INTERVAL_S = 3.0  # between two loads of one key; an engine that does not hang ends one in 0.8 s
LOAD_TTL_MS, LOOKUP_TTL_MS = 20_000, 1_200
LATE_S = 0.55


class KeyedLoads:
    """The loads of each key at each front end, in the order in which the front end took them."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._taken: dict[str, list[str]] = {}  # the loads of one front end and key, by each of their ids
        self._out: dict[str, str] = {}  # the engine at which an attempt of a load is out
        self._over: set[str] = set()
        self._applied: set[str] = set()

    def add(self, call: str, earlier: list[str]) -> None:
        """Add a load behind the earlier ones of its key and front end."""
        earlier.append(call)
        self._taken[call] = earlier

    def begin(self, call: str, engine: str) -> None:
        """Note that an attempt has reached an engine, and check that all earlier loads are over."""
        taken = self._taken[call]
        for other in taken[: taken.index(call)]:
            if other in self._out:
                state = f"is out at {self._out[other]}"
            elif other not in self._over:
                state = "has no answer yet"
            else:
                continue
            self._record.add_break(
                f"{call} was sent to {engine}, but {other} of the same key, taken earlier, {state}"
            )
        self._out[call] = engine

    def applied(self, call: str) -> None:
        """Note that an engine has applied a load, and check that no later one was applied before it."""
        taken = self._taken[call]
        for other in taken[taken.index(call) + 1 :]:
            if other in self._applied:
                self._record.add_break(f"{call} was applied over {other} of the same key, taken later")
        self._applied.add(call)

    def end(self, call: str) -> None:
        """Note that an attempt is not out any more."""
        self._out.pop(call, None)

    def answered(self, call: str) -> None:
        """Note that a load has its final answer."""
        self._over.add(call)


class Site:
    """The engines, the front ends and the clients."""

    def __init__(self, record: Record) -> None:
        self.began_at = 0.0
        self.loads = KeyedLoads(record)
        self.engines = [RespWarehouse(f"e-{n}", record, self._run, NOTE_S) for n in range(ENGINES)]
        self._record = record
        self._calls = count(1)
        for engine in self.engines:
            engine.on_end = self.loads.end
        if has_trouble():
            self.engines[0].hangs = lambda: HANG_FROM_S <= self.at_s < HANG_TO_S

    @property
    def at_s(self) -> float:
        """Seconds since the clients began."""
        return self._record.now() - self.began_at

    async def _run(self, engine: RespWarehouse, request: Request) -> bytes:
        is_load = request.fields[b"lane"] == b"scan-load"
        if is_load:
            self.loads.begin(request.call, engine.name)
        await engine.wait_while_hanging()
        await asyncio.sleep(LOAD_S if is_load else LOOKUP_S)
        await engine.wait_while_hanging()
        if is_load:
            self.loads.applied(request.call)
        return f"{request.call}\t{engine.name}\t1\n".encode()

    async def send_loads(self, address: str, key: str, group: int) -> None:
        """Send loads of one key on one connection, one every few seconds."""
        client = await ThriftClient.connect(address)
        earlier: list[str] = []
        pending = []
        while self.at_s < RUN_S:
            call = f"{next(self._calls):016x}"
            self.loads.add(call, earlier)
            pending.append(asyncio.create_task(self._send_load(client, call, key, group)))
            await asyncio.sleep(LOAD_INTERVAL_S)
        await asyncio.gather(*pending)
        await client.close()

    async def _send_load(self, client: ThriftClient, call: str, key: str, group: int) -> None:
        fields = {
            "op": "scan-load",
            "call": call,
            "ttl": str(LOAD_TTL_MS),
            "org": "westcoast-parcels",
            "dedupe": call + call,
            "work": "1600.0",
            "heap": "96",
            "row": key,
        }
        self._record.add(f"client sends {call} scan-load row={key}")
        statement = f"insert into scans_{group}.parcels select * from staging.batch"
        kind = await self._invoke(client, fields, statement, LOAD_TTL_MS)
        self.loads.answered(call)
        if kind is None:
            self._record.add_break(f"{call} scan-load: no answer in its time")

    async def send_lookups(self, address: str, rng: random.Random) -> None:
        """Send lookups of other tables, one after the other."""
        client = await ThriftClient.connect(address)
        while self.at_s < RUN_S:
            await asyncio.sleep(rng.uniform(0.05, 0.15))
            fields = {
                "op": "lookup",
                "call": f"{next(self._calls):016x}",
                "ttl": str(LOOKUP_TTL_MS),
                "org": "midland-post",
                "work": "60.0",
                "heap": "16",
            }
            statement = f"select a, b, c from scans_{rng.randrange(21, 40)}.parcels"
            await self._invoke(client, fields, statement, LOOKUP_TTL_MS)
        await client.close()

    async def _invoke(
        self, client: ThriftClient, fields: dict[str, str], statement: str, ttl_ms: int
    ) -> str | None:
        encoded = {name.encode(): value.encode() for name, value in fields.items()}
        answer = await client.invoke(encoded, statement.encode(), ttl_ms / 1000 + LATE_S)
        kind = None if answer is None else answer.kind
        self._record.add(f"client gets {fields['call']} {kind}")
        return kind


async def play(bed: Bed, record: Record) -> None:
    """Play the case."""
    site = Site(record)
    for engine in site.engines:
        await engine.start()
    kinds = dublin(0, FRONT_ENDS)["kinds"]
    change_log = ChangeLog([instance(e.name, n, e.address, kinds) for n, e in enumerate(site.engines)])
    await change_log.start()
    addresses = []
    for number in range(FRONT_ENDS):
        configuration = {
            "seed": f"{SEED + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": change_log.address,
            "known": change_log.known(),
            "settings": dublin(number, FRONT_ENDS),
        }
        addresses.append(bed.start_front_end(f"n{number}", configuration))
    for address in addresses:
        await bed.wait_until_ready(address)
    site.began_at = record.now()
    clients = []
    for number, address in enumerate(addresses):
        keys = range(number * KEYS, (number + 1) * KEYS)
        clients += [site.send_loads(address, f"{0x7F3A9C21E0B4D600 + key:016x}", key + 1) for key in keys]
        clients += [
            site.send_lookups(address, random.Random(f"{SEED} {number} {index}"))
            for index in range(LOOKUP_CLIENTS)
        ]
    await asyncio.gather(*clients)


if __name__ == "__main__":
    main(play, __file__)
