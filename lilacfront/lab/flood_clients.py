"""Hostile and well-behaved clients of a front end, in a process of their own.

`python -m lilacfront.lab.flood_clients KIND HOST PORT CLIENTS SECONDS` runs that many clients of a kind and
prints a JSON object with what they received. The kinds `bystander` and `bystander-ping` are a single client
that sends one small lookup, or ping, after another.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field

from lilacfront.protocols import thrift

FRAME_BODY_BYTES = 250_000
STEP_BYTES = 12_000
STEP_INTERVAL_S = 0.1
SHORT_FIELDS = 19_000  # as many as fit into one frame
OPEN_REQUESTS = 32
BATCH_MESSAGES = 400
HTTP_BODY_BYTES = 15_000_000
HTTP_SENT_BODY_BYTES = 2_000_000
HTTP_FIELDS = 190
HTTP_PIPELINED = 4_000
HTTP_PADDING_BYTES = 60_000
READ_BYTES = 1 << 16
RECONNECT_DELAY_S = 0.01
TTL_MS = 4000
BYSTANDER_PAUSE_S = 0.005
BYSTANDER_TIMEOUT_S = 10.0
LOST = "lost"  # the outcome of a request without a reply
STATEMENT = b"select x from sales_17.orders"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0


@dataclass(slots=True)
class FloodCounts:
    """What the clients of one flood received.

    Attributes:
        connections: Number of connections established.
        answered_bytes: Bytes of answers.
    """

    connections: int = 0
    answered_bytes: int = 0


@dataclass(slots=True)
class BystanderReport:
    """The requests of the bystander.

    Attributes:
        latencies_s: Time until the answer to each answered request, in seconds.
        outcomes: Number of requests by the kind of their reply; `lost` without any.
    """

    latencies_s: list[float] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)


class FloodClient:
    """One client: connects again and again until the end of the flood."""

    def __init__(self, address: tuple[str, int], until: float, seed: int, counts: FloodCounts) -> None:
        self.address = address
        self.until = until
        self.random = random.Random(seed)
        self.counts = counts
        self.call_numbers = itertools.count(self.random.getrandbits(60))
        self.sock = socket.socket()
        self._loop = asyncio.get_running_loop()

    @property
    def is_over(self) -> bool:
        """Whether the flood has ended."""
        return time.monotonic() >= self.until

    async def run(self, behaviour: Callable[[FloodClient], Awaitable[None]]) -> None:
        """Run the behaviour on one connection after the other."""
        while not self.is_over:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            try:
                await asyncio.wait_for(
                    self._connect_and_run(behaviour), max(0.01, self.until - time.monotonic())
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
            finally:
                self.sock.close()

    async def _connect_and_run(self, behaviour: Callable[[FloodClient], Awaitable[None]]) -> None:
        await self._loop.sock_connect(self.sock, self.address)
        self.counts.connections += 1
        await behaviour(self)

    async def send(self, data: bytes) -> None:
        """Send bytes, waiting until the kernel has taken all of them."""
        await self._loop.sock_sendall(self.sock, data)

    async def read_to_end(self) -> None:
        """Read and count answers until the front end closes the connection."""
        while data := await self._loop.sock_recv(self.sock, READ_BYTES):
            self.counts.answered_bytes += len(data)

    def invoke(self, seqid: int, statement: bytes, class_name: bytes = b"lookup") -> bytes:
        """Encode a valid request with a new id."""
        fields = {b"op": class_name, b"call": b"%016x" % next(self.call_numbers), b"ttl": b"%d" % TTL_MS}
        return thrift.encode_invoke(seqid, fields, statement)


def large_statement() -> bytes:
    """A statement nearly as long as a message may be."""
    return STATEMENT + b" where x = '" + bytes(b"a" * FRAME_BODY_BYTES) + b"'"


async def stop_half_way(client: FloodClient) -> None:
    """Stop half way through a large message."""
    data = client.invoke(1, large_statement())
    await client.send(data[: len(data) // 2])
    await client.read_to_end()


async def write_slowly(client: FloodClient) -> None:
    """Write a large message in small steps."""
    data = client.invoke(1, large_statement())
    for start in range(0, len(data), STEP_BYTES):
        await client.send(data[start : start + STEP_BYTES])
        await asyncio.sleep(STEP_INTERVAL_S)
    await client.read_to_end()


async def open_large_requests(client: FloodClient) -> None:
    """Keep as many large valid requests open as the protocol allows."""
    statement = large_statement()
    reading = asyncio.ensure_future(client.read_to_end())
    try:
        for seqid in range(1, OPEN_REQUESTS + 1):
            await client.send(client.invoke(seqid, statement))
        await reading
    finally:
        reading.cancel()


async def send_short_fields(client: FloodClient) -> None:
    """Send complete messages with very many short fields."""
    fields = {b"%x" % number: b"" for number in range(SHORT_FIELDS)}
    reading = asyncio.ensure_future(client.read_to_end())
    try:
        for seqid in itertools.count(1):
            await client.send(thrift.encode_invoke(seqid, fields, STATEMENT))
    finally:
        reading.cancel()


def _unsound_message(client: FloodClient, seqid: int) -> bytes:
    name = b"method%x" % next(client.call_numbers)
    body = b"\x80\x01\x00\x01" + len(name).to_bytes(4, "big") + name + seqid.to_bytes(4, "big") + thrift.STOP
    return len(body).to_bytes(4, "big") + body


def _small_batch(client: FloodClient) -> bytes:
    messages = []
    for seqid in range(1, BATCH_MESSAGES + 1):
        if client.random.random() < 0.5:
            messages.append(_unsound_message(client, seqid))
        else:
            messages.append(client.invoke(seqid, b"select x from t_%x.y" % next(client.call_numbers)))
    return b"".join(messages)


async def send_small_requests(client: FloodClient) -> None:
    """Send small unsound and sound requests at full speed, under ever new names."""
    reading = asyncio.ensure_future(client.read_to_end())
    try:
        while not reading.done():
            await client.send(_small_batch(client))
    finally:
        reading.cancel()


async def send_pings(client: FloodClient) -> None:
    """Send pings at full speed, and read the answers."""
    pings = b"".join(thrift.encode_ping(seqid) for seqid in range(1, BATCH_MESSAGES + 1))
    reading = asyncio.ensure_future(client.read_to_end())
    try:
        while not reading.done():
            await client.send(pings)
    finally:
        reading.cancel()


async def send_pings_unread(client: FloodClient) -> None:
    """Send pings at full speed, and never read an answer."""
    pings = b"".join(thrift.encode_ping(seqid) for seqid in range(1, BATCH_MESSAGES + 1))
    while True:
        await client.send(pings)


async def stop_half_way_through_http_body(client: FloodClient) -> None:
    """Stop half way through a large HTTP body."""
    await client.send(
        b"POST /?query=INSERT+INTO+sales_17.orders+FORMAT+TSV HTTP/1.1\r\nHost: gate\r\n"
        b"Content-Length: %d\r\n\r\n" % HTTP_BODY_BYTES + bytes(HTTP_SENT_BODY_BYTES)
    )
    await client.read_to_end()


async def send_http_short_fields(client: FloodClient) -> None:
    """Send HTTP requests with very many short fields."""
    fields = b"".join(b"a%x:\r\n" % number for number in range(HTTP_FIELDS))
    request = b"GET /?query=select+1 HTTP/1.1\r\nHost: gate\r\n" + fields + b"\r\n"
    reading = asyncio.ensure_future(client.read_to_end())
    try:
        while not reading.done():
            await client.send(request * 20)
    finally:
        reading.cancel()


async def send_http_padding(client: FloodClient) -> None:
    """Send an invalid HTTP header with a long padding."""
    await client.send(b"GET / HTTP/1.1\r\nHost: gate\r\na:" + b" " * HTTP_PADDING_BYTES + b"\x01\r\n\r\n")
    await client.read_to_end()


async def pipeline_http_requests(client: FloodClient) -> None:
    """Send very many small HTTP requests at once, and read nothing."""
    request = b"GET /?query=select+1 HTTP/1.1\r\nHost:g\r\n\r\n"
    while True:
        await client.send(request * HTTP_PIPELINED)


BEHAVIOURS: dict[str, Callable[[FloodClient], Awaitable[None]]] = {
    "half-message": stop_half_way,
    "slow-message": write_slowly,
    "open-requests": open_large_requests,
    "short-fields": send_short_fields,
    "small-requests": send_small_requests,
    "pings": send_pings,
    "pings-unread": send_pings_unread,
    "http-half-body": stop_half_way_through_http_body,
    "http-short-fields": send_http_short_fields,
    "http-padding": send_http_padding,
    "http-pipeline": pipeline_http_requests,
}


async def run_flood(kind: str, address: tuple[str, int], clients: int, seconds: float) -> FloodCounts:
    """Run a flood to its end; see `BEHAVIOURS` for the kinds."""
    counts = FloodCounts()
    until = time.monotonic() + seconds
    flood = [FloodClient(address, until, seed, counts) for seed in range(clients)]
    await asyncio.gather(*(client.run(BEHAVIOURS[kind]) for client in flood))
    return counts


def run_bystander(address: tuple[str, int], seconds: float, with_pings: bool) -> BystanderReport:
    """Send one small lookup, or ping, after another on a connection of its own."""
    report = BystanderReport()
    until = time.monotonic() + seconds
    numbers = itertools.count(int.from_bytes(os.urandom(7), "big"))
    sock: socket.socket | None = None
    while time.monotonic() < until:
        began = time.monotonic()
        message = thrift.encode_ping(1) if with_pings else _lookup(next(numbers))
        kind, was_open = LOST, sock is not None
        # A front end may close an idle connection; a request that crosses the close is sent once more.
        for _ in range(1 + was_open):
            try:
                sock = sock or socket.create_connection(address, timeout=BYSTANDER_TIMEOUT_S)
                kind = _request(sock, message)
                break
            except (OSError, EOFError):
                sock = None
        if kind != LOST:
            report.latencies_s.append(time.monotonic() - began)
        report.outcomes[kind] = report.outcomes.get(kind, 0) + 1
        time.sleep(BYSTANDER_PAUSE_S)
    return report


def _lookup(number: int) -> bytes:
    fields = {b"op": b"lookup", b"call": b"%016x" % number, b"ttl": b"%d" % TTL_MS}
    return thrift.encode_invoke(1, fields, STATEMENT)


def _request(sock: socket.socket, message: bytes) -> str:
    """Send a request and return the kind of its reply.

    Raises:
        EOFError: The connection has ended without a reply.
    """
    sock.sendall(message)
    frames = thrift.FrameDecoder()
    while True:
        data = sock.recv(READ_BYTES)
        if not data:
            raise EOFError
        if complete := frames.feed(data):
            return str(thrift.parse_reply(complete[0]).kind)


def main() -> None:
    """Run the clients that the arguments describe and print what they received."""
    kind, host, port, clients, seconds = sys.argv[1:]
    address = (host, int(port))
    if kind.startswith("bystander"):
        print(json.dumps(asdict(run_bystander(address, float(seconds), kind.endswith("ping")))))
    else:
        print(json.dumps(asdict(asyncio.run(run_flood(kind, address, int(clients), float(seconds))))))


if __name__ == "__main__":
    main()
