"""Recent demand for each table group."""

from __future__ import annotations

DEMAND_HALF_LIFE_US = 10_000_000
MAX_TABLE_GROUPS = 4096  # bounds memory, since clients choose the names of groups


class TableGroupDemand:
    """Request counts per table group with exponential decay.

    If a request arrives while `max_groups` are counted, the counts of all groups are cleared.
    """

    def __init__(self, half_life_us: int = DEMAND_HALF_LIFE_US, max_groups: int = MAX_TABLE_GROUPS) -> None:
        self.half_life_us = half_life_us
        self.max_groups = max_groups
        self.total = 0.0
        self.updated_at_us = 0
        self._counts: dict[int, tuple[float, int]] = {}  # by group: decayed count and its time

    def add(self, table_group: int, now_us: int) -> None:
        """Count one request."""
        self.total = self.total * self._decay(self.updated_at_us, now_us) + 1.0
        self.updated_at_us = now_us
        count, counted_at_us = self._counts.get(table_group, (0.0, 0))
        if len(self._counts) >= self.max_groups:
            self._counts.clear()
        self._counts[table_group] = (count * self._decay(counted_at_us, now_us) + 1.0, now_us)

    def fraction(self, table_group: int) -> float:
        """Return the group's fraction of recent requests, excluding its last one."""
        return (self._counts.get(table_group, (0.0, 0))[0] - 1.0) / max(1.0, self.total)

    def group_count(self) -> int:
        """Return the number of groups with a count."""
        return len(self._counts)

    def _decay(self, since_us: int, now_us: int) -> float:
        decay: float = 0.5 ** ((now_us - since_us) / self.half_life_us)
        return decay
