"""The settings of the front end that the exchanges are replayed against."""

from __future__ import annotations

from pathlib import Path
from typing import Any

EXCHANGES_DIRECTORY = Path(__file__).parent.parent / "exchanges"
CLASSES = [
    {"name": "lookup", "aim": 800_000, "deadline": 4_000_000, "effect": "free", "worth": 1.0},
    {"name": "report", "aim": 1_500_000, "deadline": 20_000_000, "effect": "free", "worth": 6.0},
    {"name": "load", "aim": 4_000_000, "deadline": 20_000_000, "effect": "single_shot", "worth": 5.0},
]
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "kinds": ["c12"],
    "zones": ["hall-a", "hall-b"],
    "instances": 2,
    "extra": {
        "cpu-of-kind": [12],
        "threads-by-class": [1, 4, 2],
        "class-load": [False, False, True],
        "blocked-by-loads": [True, True, False],
        "takes-priority": True,
    },
    "policy-limits": {
        "cancel": True,
        "most-tries": 5,
        "retry-after": True,
        "max-retry-after": 2_000_000,
        "streams-per-conn": 32,
        "connect-timeout": 250_000,
        "conn-idle": 30_000_000,
    },
    "safety": {"answer-slack": 20_000, "stop-sending-within": 500_000},
}
HTTP_WAREHOUSES = """
[warehouses]
protocol = "clickhouse"
"""
GATEWAY = (
    """
[clickhouse]
listen = "127.0.0.1:0"
read_class = "report"
load_class = "load"
rules = [{class = "lookup", user = "dash"}]
"""
    + HTTP_WAREHOUSES
)
# With these ids, W1 is first in the engine order of table group 17 for reads and last for loads.
INSTANCE_IDS = {"W1": "s-3", "W2": "s-1"}
