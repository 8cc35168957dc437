"""A small deployment of the gateway: front ends with both fronts on, before HTTP warehouses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from itertools import count

from common.bed import Bed, Record
from common.change_log import ChangeLog
from common.deployments import colombo, instance
from common.http_client import HttpClient
from common.http_warehouse import HttpAnswer, HttpWarehouse
from common.thrift_client import Answer, ThriftClient

LATE_S = 0.55  # an answer up to half a second late is not lost; each limit is 50 ms longer on sockets
GATEWAY_FILE = """
[clickhouse]
listen = "{listen}"
read_class = "report"
load_class = "load"

[[clickhouse.rules]]
class = "lookup"
pattern = 'where\\s+report_id\\s*='

[warehouses]
protocol = "clickhouse"
"""
# Class, time to wait in milliseconds, statement, share of the requests.
REQUESTS = (
    ("lookup", 4_000, "select a, b, c from reports_%d.crashes where report_id = 7", 81),
    ("report", 20_000, "select a, b, count(*) from reports_%d.crashes group by a, b", 13),
    ("load", 20_000, "insert into reports_%d.crashes values ('a', 'b', 'c')", 6),
)
TABLE_GROUPS = 20


class GatewaySite:
    """The warehouses, the change log, the front ends and the clients.

    Attributes:
        began_at: When the front ends were ready, on the record's clock.
        thrift_addresses: Where the front ends listen for the platform's clients.
        http_addresses: Where the front ends listen for HTTP clients.
        warehouses: The HTTP warehouses.
    """

    def __init__(
        self,
        bed: Bed,
        record: Record,
        seed: int,
        warehouses: int,
        answer: Callable[[HttpWarehouse, str, bool], HttpAnswer | None],
    ) -> None:
        """Create a site; `answer` may replace the answer of a warehouse, see `HttpWarehouse`."""
        self.began_at = 0.0
        self.warehouses = [HttpWarehouse(f"q-{number}", record, answer) for number in range(warehouses)]
        self.thrift_addresses: list[str] = []
        self.http_addresses: list[str] = []
        self._bed = bed
        self._record = record
        self._seed = seed
        self._calls = count(1)
        self._served_unrun: list[str] = []

    @property
    def at_s(self) -> float:
        """Seconds since the front ends were ready."""
        return self._record.now() - self.began_at

    async def start(self, front_ends: int) -> None:
        """Start the warehouses, the change log and the front ends, and wait until these are ready."""
        for warehouse in self.warehouses:
            await warehouse.start()
        kinds = colombo(0, front_ends)["kinds"]
        entries = [instance(w.name, number, w.address, kinds) for number, w in enumerate(self.warehouses)]
        change_log = ChangeLog(entries)
        await change_log.start()
        for number in range(front_ends):
            self.http_addresses.append(self._bed.reserve_address())
            self.thrift_addresses.append(self._start_front_end(number, front_ends, change_log))
        for address in self.thrift_addresses:
            await self._bed.wait_until_ready(address)
        self.began_at = self._record.now()

    def record_lost_loads(self) -> None:
        """Add a line on the loads that were answered 'served' and never ran."""
        lost = [call for call in self._served_unrun if not any(call in w.applied for w in self.warehouses)]
        self._record.add(f"loads answered 'served' that no warehouse ever ran: {len(lost)} {' '.join(lost)}")

    def _start_front_end(self, number: int, front_ends: int, change_log: ChangeLog) -> str:
        gateway = self._bed.write(
            f"gateway-{number}.toml", GATEWAY_FILE.format(listen=self.http_addresses[number])
        )
        configuration = {
            "seed": f"{self._seed + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": change_log.address,
            "known": change_log.known(),
            "settings": colombo(number, front_ends),
        }
        return self._bed.start_front_end(f"n{number}", configuration, f"--gateway {gateway}")

    async def run_thrift_client(self, address: str, rng: random.Random, run_s: float, pause_s: float) -> None:
        """Send requests of the platform's protocol, one after the other."""
        client = await ThriftClient.connect(address)
        while self.at_s < run_s:
            await asyncio.sleep(pause_s * rng.uniform(0.5, 1.5))
            call, name, ttl_ms, statement = self._next_request(rng)
            fields = {b"op": name.encode(), b"call": call.encode(), b"ttl": b"%d" % ttl_ms}
            answer = await client.invoke(fields, statement, ttl_ms / 1000 + LATE_S)
            self._judge(call, name, answer)
            if answer is None:
                await client.close()
                client = await ThriftClient.connect(address)
        for seqid in client.second_answers:
            self._record.add_break(f"request {seqid} of one connection was answered twice")
        await client.close()

    async def run_http_client(self, address: str, rng: random.Random, run_s: float, pause_s: float) -> None:
        """Send HTTP requests, one after the other."""
        client = HttpClient(address)
        while self.at_s < run_s:
            await asyncio.sleep(pause_s * rng.uniform(0.5, 1.5))
            call, name, ttl_ms, statement = self._next_request(rng)
            self._judge(call, name, await client.query(call, statement, ttl_ms / 1000 + LATE_S))
        client.close()

    def _next_request(self, rng: random.Random) -> tuple[str, str, int, bytes]:
        name, ttl_ms, statement, _ = rng.choices(REQUESTS, [request[3] for request in REQUESTS])[0]
        call = f"{next(self._calls):016x}"
        self._record.add(f"client sends {call} {name}")
        return call, name, ttl_ms, (statement % rng.randrange(1, TABLE_GROUPS + 1)).encode()

    def _judge(self, call: str, name: str, answer: Answer | None) -> None:
        """Record an answer, and what it breaks: a rule as the pages have it, seen from the client."""
        if answer is None:
            self._record.add_break(f"{call} {name}: no answer in its time")
            return
        self._record.add(f"client gets {call} {answer.kind} {answer.body[:60]!r}")
        applied = sum(call in warehouse.applied for warehouse in self.warehouses)
        if name == "load" and applied > 1:
            self._record.add_break(f"{call} load: {applied} warehouses ran it")
        if answer.kind != "served":
            return
        if name == "load" and not applied:
            self._served_unrun.append(call)
            self._record.add_break(f"{call} load: served, but no warehouse had run it")
        made = [warehouse.rows[call] for warehouse in self.warehouses if call in warehouse.rows]
        if name != "load" and answer.body not in made:
            self._record.add_break(f"{call} {name}: served with {answer.body[:50]!r}, not made for it")
