"""Settings of small deployments: figures of the two sites, under the names of the wire page."""

from __future__ import annotations

from typing import Any

ZONES = ["hall-a", "hall-b"]
SECOND = 1_000_000


def _request_class(
    name: str, aim_ms: int, stretch: float, deadline_ms: int, worth: float, late_worth: float
) -> dict[str, Any]:
    return {
        "name": name,
        "aim": aim_ms * 1000,
        "aim-stretch": stretch,
        "deadline": deadline_ms * 1000,
        "worth": worth,
        "late-worth": late_worth,
        "effect": "free",
        "group": "all",
        "stream": False,
    }


def colombo(front_end: int, front_ends: int) -> dict[str, Any]:
    """Settings of a deployment like `colombo-main`."""
    load = _request_class("load", 4000, 2.5, 20_000, 5.0, 0.6)
    load["effect"] = "single_shot"
    return {
        "classes": [
            _request_class("lookup", 800, 1.5, 4_000, 1.0, 0.1),
            _request_class("report", 1500, 2.5, 20_000, 6.0, 0.3),
            load,
        ],
        "kinds": ["c12", "c8"],
        "zones": ZONES,
        "zone": front_end % len(ZONES),
        "instances": front_ends,
        "slot-no": front_end,
        "discovery": "push",
        "tick": 5000,
        "extra": {
            "cpu-of-kind": [12, 8],
            "threads-by-class": [1, 4, 2],
            "class-load": [False, False, True],
            "blocked-by-loads": [True, True, False],
            "takes-priority": True,
            "progress": 2 * SECOND,
        },
        "policy-limits": _limits(most_tries=5, streams=32),
        "safety": _safety(stop_ms=500, factor=4.0, fall_ms=2000, share=0.3, warm_ms=14_000),
        "stats": {"fields": ["cpu", "active", "x1", "x0"], "via": "piggyback"},
    }


def dublin(front_end: int, front_ends: int) -> dict[str, Any]:
    """Settings of a deployment like `dublin-sort`."""
    load = _request_class("scan-load", 3000, 2.5, 20_000, 30.0, 0.5)
    load |= {"effect": "guarded", "repeat-window": 12 * SECOND, "in-order": True}
    return {
        "classes": [
            _request_class("lookup", 250, 2.0, 1_200, 1.0, 0.1),
            _request_class("report", 3000, 2.5, 20_000, 20.0, 0.3),
            load,
        ],
        "kinds": ["std-8a", "std-8b"],
        "zones": ZONES,
        "zone": front_end % len(ZONES),
        "instances": front_ends,
        "slot-no": front_end,
        "discovery": "push",
        "tick": 5000,
        "orgs": [
            {"name": "westcoast-parcels", "share": 0.81, "allowance-per-s": 90.0},
            {"name": "midland-post", "share": 0.19, "allowance-per-s": 25.0},
        ],
        "over-share-worth": 0.05,
        "extra": {
            "cpu-of-kind": [8, 8],
            "threads-by-class": [1, 4, 2],
            "class-load": [False, False, True],
            "blocked-by-loads": [True, False, False],
            "grants": True,
            "takes-priority": False,
            "says-cost": True,
            "progress": SECOND // 2,
        },
        "policy-limits": _limits(most_tries=6, streams=100),
        "safety": _safety(stop_ms=250, factor=2.5, fall_ms=1000, share=0.35, warm_ms=15_000)
        | {"turn-gap": 0},
        "stats": {"fields": ["cpu", "waiting", "x0"], "via": "pull"},
    }


def _limits(most_tries: int, streams: int) -> dict[str, Any]:
    return {
        "cancel": True,
        "conn-idle": 30 * SECOND,
        "connect-timeout": 250_000,
        "max-retry-after": 2 * SECOND,
        "most-held": 30_000,
        "most-tries": most_tries,
        "retry-after": True,
        "second-copies": False,
        "streams-per-conn": streams,
    }


def _safety(stop_ms: int, factor: float, fall_ms: int, share: float, warm_ms: int) -> dict[str, Any]:
    return {
        "answer-slack": 20_000,
        "stop-sending-within": stop_ms * 1000,
        "overload-factor": factor,
        "fall": fall_ms * 1000,
        "cold-share": share,
        "warm-after": warm_ms * 1000,
    }


def instance(name: str, number: int, address: str, kinds: list[str]) -> dict[str, Any]:
    """Return the list entry of a warehouse that has run for long."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": ZONES[number % len(ZONES)],
        "machineType": kinds[number % len(kinds)],
        "cell": number // 4,
        "lifecycle": "ready",
        "weight": 1,
        "startedAtMs": 0,
    }
