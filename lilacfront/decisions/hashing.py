"""A hash for orders and turns that must be the same at all gateways."""

from __future__ import annotations

_MASK_64 = (1 << 64) - 1


def hash_pair(first: int, second: int) -> int:
    """Return a 64-bit hash of two integers that is the same in every process.

    Sorting engines by `hash_pair(engine, table_group)` is rendezvous hashing: if an engine joins or leaves,
    only the table groups that it serves are reassigned.
    """
    mixed = (first * 0x9E3779B97F4A7C15 ^ (second + 1) * 0xC2B2AE3D27D4EB4F) & _MASK_64
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & _MASK_64
    mixed = (mixed ^ mixed >> 29) * 0x94D049BB133111EB & _MASK_64
    return mixed ^ mixed >> 32
