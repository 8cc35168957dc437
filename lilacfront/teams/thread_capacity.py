"""The threads that admitted requests may use at once."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ThreadCapacity:
    """The number of threads of all ready engines and how many are in use.

    Attributes:
        cores: Number of cores of all ready engines.
        limit: Number of threads that may be in use.
        in_use: Number of threads used by requests that are admitted and have not ended.
    """

    cores: float = 0.0
    limit: float = 0.0
    in_use: int = 0

    @property
    def has_free(self) -> bool:
        """Whether another request may start."""
        return self.in_use < self.limit

    @property
    def free(self) -> float:
        """The number of threads that are not in use."""
        return max(0.0, self.limit - self.in_use)

    def resize(self, cores: float, threads_per_core: float) -> None:
        """Set the number of cores of all ready engines, and the limit that follows from it."""
        self.cores = cores
        self.limit = cores * threads_per_core
