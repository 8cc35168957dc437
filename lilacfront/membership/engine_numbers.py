"""Short engine numbers, which datagrams contain instead of the full ones. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

SHORT_MASK = 0xFFFFFFFF  # bits of the engine's number that are sent


def engines_by_short_number(engines: Iterable[int]) -> dict[int, int]:
    """Map the last 32 bits of each engine's number to the number, or to 0 if several engines share them."""
    by_short_number: dict[int, int] = {}
    for engine in engines:
        short_number = engine & SHORT_MASK
        by_short_number[short_number] = 0 if short_number in by_short_number else engine
    return by_short_number
