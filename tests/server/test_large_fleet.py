"""Memory use with 1024 warehouses and front ends, under the smallest memory limit of a deployment."""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import msgspec
from play import SETTINGS, Clock

from lilacfront import config as configuration
from lilacfront.decisions.actions import Forward
from lilacfront.decisions.events import AttemptEnded, AttemptResult, RequestReceived
from lilacfront.decisions.router import RequestRouter
from lilacfront.discovery.endpoint_list import EndpointUpdate
from lilacfront.sched import Loop
from lilacfront.server import Server

FLEET_SIZE = 1024
REQUESTS = 400
# Half of the smallest memory limit of 32 MB, minus the memory of the interpreter and the libraries.
MAX_CURRENT_BYTES = 6 << 20
MAX_PEAK_BYTES = 8 << 20


def warehouse_entry(number: int, **changes: Any) -> dict[str, Any]:
    """An entry of the endpoint list."""
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"10.9.{number >> 8}.{number & 255}:7001",
        "zone": f"zone-{number % 7}",
        "machineType": "std",
        "cell": number // 8,
        "lifecycle": "ready",
        "weight": 4,
        "startedAtMs": 0,
        **changes,
    }


def config_json() -> bytes:
    """A configuration with FLEET_SIZE warehouses and peers."""
    fleet = {
        "generation": 1,
        "reset": True,
        "instances": [warehouse_entry(number) for number in range(FLEET_SIZE)],
    }
    limits = {"most-tries": 5, "cancel": True, "may-tell": True}
    config = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "a1",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
        "peer_listen": "127.0.0.1:0",
        "peers": [f"10.8.{number >> 8}.{number & 255}:7946" for number in range(FLEET_SIZE)],
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
        "settings": {**SETTINGS, "instances": FLEET_SIZE, "slot-no": 7, "policy-limits": limits},
    }
    return json.dumps(config).encode()


def engines_used(router: RequestRouter, requests: int) -> set[int]:
    """Route requests of different table groups, end each at once, and return the engines used."""
    engines = set()
    start_us = router.state.now_us + 1_000_000
    for number in range(requests):
        now_us = start_us + number
        request = RequestReceived(1_000_000 + number, 0, 4_000_000, number)
        for action in router.handle(now_us, request):
            if isinstance(action, Forward):
                engines.add(action.engine)
                router.handle(
                    now_us, AttemptEnded(action.request, 0, action.engine, AttemptResult.OK, 0, True)
                )
    return engines


def test_large_fleet_fits_in_the_smallest_memory_limit() -> None:
    """Load the list, route requests, apply an update, and reload the configuration."""
    text = config_json()
    loop = Loop(Clock())
    tracemalloc.start()
    config = configuration.parse(text, {})
    server = Server(config, loop, lambda: configuration.parse(text, {}))
    router = server.dispatcher.router
    assert len(router.state.ready_engines) == FLEET_SIZE
    assert len(config.peer_addresses) == FLEET_SIZE
    assert router.state.is_pooled
    assert len(engines_used(router, REQUESTS)) > 200
    changes = [warehouse_entry(number, lifecycle="draining") for number in range(0, FLEET_SIZE, 2)]
    server.receive_update(msgspec.convert({"instances": changes}, EndpointUpdate))
    assert len(router.state.ready_engines) == FLEET_SIZE // 2
    server.reload_config()
    current_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert current_bytes < MAX_CURRENT_BYTES
    assert peak_bytes < MAX_PEAK_BYTES
    server.close()
