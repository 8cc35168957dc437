"""Measurements that a process passes on to its successor. No I/O, and nothing is decided here.

They are a hint: used by a process that has measured nothing of its own yet, and only while they are fresh.
Those of an engine hold only for the same incarnation of it. Requests in flight, queues, retry budgets and
quotas are never passed on, since they belong to one process's requests.
"""

from __future__ import annotations

from lilacfront.decisions.router import RequestRouter
from lilacfront.operations.state_record import LearnedClass, LearnedEngine, LearnedState

MAX_CLASS_AGE_S = 60.0
MAX_ENGINE_AGE_S = 10.0


def export_learned_state(router: RequestRouter) -> LearnedState:
    """Collect the measurements of this process."""
    classes = tuple(
        LearnedClass(
            estimate.sample_count, estimate.run_time_us, estimate.work_us, estimate.uncontended_run_time_us
        )
        for estimate in router.state.class_estimates
    )
    engines = tuple(
        LearnedEngine(
            number,
            engine.endpoint.started_us,
            engine.concurrency.limit,
            engine.concurrency.latency_ratio,
        )
        for number, engine in router.state.engines.items()
        if engine.concurrency.has_ratio
    )
    return LearnedState(classes, engines)


def import_learned_state(router: RequestRouter, learned: LearnedState, age_s: float) -> None:
    """Start from another process's measurements, `age_s` old, where this one has none."""
    same_classes = len(learned.classes) == len(router.state.class_estimates)
    if 0 <= age_s <= MAX_CLASS_AGE_S and same_classes:
        _import_classes(router, learned)
    if 0 <= age_s <= MAX_ENGINE_AGE_S:
        _import_engines(router, learned)


def _import_classes(router: RequestRouter, learned: LearnedState) -> None:
    for estimate, found in zip(router.state.class_estimates, learned.classes, strict=True):
        plausible = min(found.latency_us, found.work_us) > 0 and found.uncontended_us >= 0
        if estimate.sample_count < found.samples and plausible:
            estimate.sample_count = found.samples
            estimate.run_time_us = found.latency_us
            estimate.work_us = found.work_us
            estimate.uncontended_run_time_us = found.uncontended_us


def _import_engines(router: RequestRouter, learned: LearnedState) -> None:
    for found in learned.engines:
        engine = router.state.engines.get(found.engine)
        if engine is None or engine.concurrency.has_ratio or engine.attempts:
            continue
        is_same_incarnation = engine.endpoint.started_us == found.started_us
        if is_same_incarnation and found.thread_limit >= router.state.max_class_threads:
            engine.concurrency.limit = found.thread_limit
            engine.concurrency.latency_ratio = found.load_ratio
