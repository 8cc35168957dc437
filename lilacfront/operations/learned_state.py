"""Exports the measurements of a request router, and imports them into the router of another process. No I/O.

Measurements are imported only while they are recent, and only where the process has none of its own. Those of
an engine are valid only for the same incarnation of it. Requests in flight, queues, retry budgets and quotas
are never shared, since they belong to the requests of one process.
"""

from __future__ import annotations

from lilacfront.decisions.router import RequestRouter
from lilacfront.operations.state_record import LearnedClass, LearnedEngine, LearnedState

MAX_CLASS_AGE_S = 60.0
MAX_ENGINE_AGE_S = 10.0


def export_learned_state(router: RequestRouter) -> LearnedState:
    """Return the measurements of a router."""
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
    """Import measurements that are `age_s` seconds old where the router has none of its own."""
    same_classes = len(learned.classes) == len(router.state.class_estimates)
    if 0 <= age_s <= MAX_CLASS_AGE_S and same_classes:
        _import_classes(router, learned)
    if 0 <= age_s <= MAX_ENGINE_AGE_S:
        _import_engines(router, learned)


def _import_classes(router: RequestRouter, learned: LearnedState) -> None:
    for estimate, imported in zip(router.state.class_estimates, learned.classes, strict=True):
        plausible = min(imported.latency_us, imported.work_us) > 0 and imported.uncontended_us >= 0
        if estimate.sample_count < imported.samples and plausible:
            estimate.sample_count = imported.samples
            estimate.run_time_us = imported.latency_us
            estimate.work_us = imported.work_us
            estimate.uncontended_run_time_us = imported.uncontended_us


def _import_engines(router: RequestRouter, learned: LearnedState) -> None:
    for imported in learned.engines:
        engine = router.state.engines.get(imported.engine)
        if engine is None or engine.concurrency.has_ratio or engine.attempts:
            continue
        is_same_incarnation = engine.endpoint.started_us == imported.started_us
        if is_same_incarnation and imported.thread_limit >= router.state.max_class_threads:
            engine.concurrency.limit = imported.thread_limit
            engine.concurrency.latency_ratio = imported.load_ratio
