"""Estimates of the run time and work of each request class, learned from finished attempts."""

from __future__ import annotations

from dataclasses import dataclass

from lilacfront.decisions.settings import RequestClass

MIN_SAMPLE_WEIGHT = 0.02  # low, because run times within a class vary widely
SLOW_SAMPLE_FACTOR = 0.5  # a slow run mostly shows contention, so it counts less for the uncontended time
OVERDUE_FACTOR = 4.0  # ratio to the likely run time at which an attempt counts as overdue
TARGET_OBJECTIVE_FRACTION = 0.2  # target of the mean run time, as a fraction of the latency objective


@dataclass(slots=True, eq=False)
class ClassEstimate:
    """Estimates for one request class. Times and work are in microseconds.

    Attributes:
        spec: Settings of the class.
        run_time_us: Estimated run time of an attempt.
        work_us: Estimated work of an attempt: the total time of all its threads.
        uncontended_run_time_us: Estimated run time without other load; 0 before the first sample.
        sample_count: Number of finished attempts in the estimate.
    """

    spec: RequestClass
    run_time_us: float
    work_us: float
    uncontended_run_time_us: float = 0.0
    sample_count: int = 0

    @classmethod
    def initial(cls, spec: RequestClass) -> ClassEstimate:
        """Return the initial estimate, which is high because it is based on the latency objective."""
        return cls(
            spec,
            run_time_us=spec.latency_objective_us * TARGET_OBJECTIVE_FRACTION,
            work_us=float(spec.latency_objective_us * spec.threads),
        )

    @property
    def uncontended_work_us(self) -> float:
        """The work of a run without other load; runs on busy or cold engines overstate it."""
        if self.uncontended_run_time_us:
            return self.uncontended_run_time_us * self.spec.threads
        return self.work_us

    def add_sample(self, run_time_us: int, work_us: int | None) -> None:
        """Update the estimate from a successful attempt; `work_us` is None if the work was not reported."""
        self.sample_count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.sample_count)
        self.run_time_us += weight * (min(run_time_us, OVERDUE_FACTOR * self.run_time_us) - self.run_time_us)
        self._add_uncontended_sample(run_time_us, weight)
        work = work_us if work_us is not None else run_time_us * self.spec.threads
        self.work_us += weight * (work - self.work_us)

    def _add_uncontended_sample(self, run_time_us: int, weight: float) -> None:
        current = self.uncontended_run_time_us
        capped = min(run_time_us, OVERDUE_FACTOR * current) if current else run_time_us
        factor = SLOW_SAMPLE_FACTOR if capped > current and self.sample_count > 1 else 1.0
        self.uncontended_run_time_us += factor * weight * (capped - current)
