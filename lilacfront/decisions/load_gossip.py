"""Gossip of load reports between front ends (datagrams of version 1).

This module holds state and decisions without I/O; times are microseconds. With many front ends, each one gets
a load report of an engine only once in ten seconds or more, while the fleet gets many per second. So each
front end sends the most recent reports to a random peer once per `requests_per_message` requests. The cost
per request is therefore constant at any traffic and number of front ends, and a report reaches all front ends
in a few steps. Messages may be late or lost, and a peer may be wrong: an entry counts only as a load report
of that age, and only for a listed engine.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Iterable, Iterator
from heapq import nlargest
from typing import NamedTuple

from lilacfront.decisions.actions import Action, SendPeerMessage
from lilacfront.decisions.settings import PolicySettings
from lilacfront.membership.codec import MAX_DATAGRAM_BYTES
from lilacfront.membership.engine_numbers import SHORT_MASK, engines_by_short_number

VERSION = 1
ENTRY = struct.Struct(">IBB")  # last 32 bits of the engine's number, age in AGE_UNIT_US, encoded load
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - 1) // ENTRY.size
AGE_UNIT_US = 50_000
MAX_AGE_UNITS = 200  # older reports say too little about the current load
LOAD_UNITS = 32.0  # encoded value of a load per core of 1
MAX_LOAD_UNITS = 255
MAX_COST_FRACTION = 0.003  # cost of messages as a fraction of the value of requests
MIN_REQUESTS_PER_MESSAGE = 3


class LoadSample(NamedTuple):
    """The load per core of an engine at a given time."""

    engine: int
    load: float
    at_us: int


class LoadGossip:
    """Load gossip of one front end.

    Attributes:
        requests_per_message: Number of requests per gossip message.
        is_allowed: Whether the settings permit gossip and there are peers.
        is_needed: Whether front ends get too few reports on their own.
    """

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        self._gateway_index = settings.gateway_index
        self._gateway_count = settings.gateway_count
        cost_requests = math.ceil(settings.gossip_price / MAX_COST_FRACTION)
        self.requests_per_message = max(MIN_REQUESTS_PER_MESSAGE, cost_requests)
        self.is_allowed = settings.limits.may_gossip and settings.gateway_count > 1
        self.is_needed = False
        self._requests = 0
        self._random = random.Random(seed)
        self._samples: dict[int, tuple[float, int]] = {}  # by engine: load per core and its time
        self._engines: dict[int, int] = {}  # engine numbers by short number

    def set_engines(self, engines: Iterable[int], is_needed: bool) -> None:
        """Set the listed engines; entries for other engines are neither sent nor accepted."""
        self.is_needed = is_needed
        self._engines = engines_by_short_number(engines)
        listed = set(self._engines.values())
        self._samples = {engine: sample for engine, sample in self._samples.items() if engine in listed}

    def record(self, engine: int, load: float, at_us: int) -> None:
        """Record the latest load of an engine; a negative load means that none is known."""
        self._samples[engine] = (load, at_us)

    def count_request(self, now: int) -> list[Action]:
        """Count a request; return a message of the most recent reports once per `requests_per_message`."""
        self._requests += 1
        if not (self.is_allowed and self.is_needed) or self._requests % self.requests_per_message:
            return []
        entries = self._encoded_entries(now)
        if not entries:
            return []
        peer = self._random.randrange(self._gateway_count - 1)
        is_after_own_index = peer >= self._gateway_index
        return [SendPeerMessage(peer + is_after_own_index, bytes([VERSION]) + entries)]

    def _encoded_entries(self, now: int) -> bytes:
        entries = b""
        freshest = nlargest(MAX_ENTRIES, self._samples.items(), key=lambda sample: sample[1][1])
        for engine, (load, at_us) in freshest:
            age = max(0, now - at_us) // AGE_UNIT_US + 1  # rounded up, so that a report never looks newer
            if age <= MAX_AGE_UNITS and load >= 0:
                units = min(MAX_LOAD_UNITS, round(load * LOAD_UNITS))
                entries += ENTRY.pack(engine & SHORT_MASK, age, units)
        return entries

    def receive(self, now: int, data: bytes) -> Iterator[LoadSample]:
        """Yield the reports in a message that are newer than the known ones; none if it is malformed."""
        if not self.is_needed or not _is_well_formed(data):
            return
        for short, age, load in ENTRY.iter_unpack(data[1:]):
            engine, at_us = self._engines.get(short, 0), now - age * AGE_UNIT_US
            _, known_at_us = self._samples.get(engine, (0.0, 0))
            if engine and age <= MAX_AGE_UNITS and at_us > known_at_us:
                yield LoadSample(engine, load / LOAD_UNITS, at_us)


def _is_well_formed(data: bytes) -> bool:
    if not 0 < len(data) <= MAX_DATAGRAM_BYTES:
        return False
    return data[0] == VERSION and len(data) % ENTRY.size == 1
