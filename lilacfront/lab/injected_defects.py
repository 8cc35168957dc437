"""Defects to inject into a failure detector; the exploration of fault schedules has to find each of them."""

from __future__ import annotations

from collections.abc import Callable

from lilacfront.membership.failure_detector import FailureDetector
from lilacfront.membership.messages import MemberUpdate

DefectInjector = Callable[[FailureDetector], None]


def _ignore(*_: object) -> None:
    """Replaces a method and does nothing."""


def inject_nothing(detector: FailureDetector) -> None:
    """Leave the detector unchanged."""


def inject_missing_refutation(detector: FailureDetector) -> None:
    """The member does not refute reports of its own failure."""
    detector.update_rules.accept_about_self = _ignore  # type: ignore[method-assign, assignment]


def inject_missing_suspicion(detector: FailureDetector) -> None:
    """A failed probe does not start a suspicion."""
    detector.prober.on_probe_failed = _ignore  # type: ignore[method-assign, assignment]


def inject_stale_updates(detector: FailureDetector) -> None:
    """The view accepts updates with older incarnations."""
    view = detector.view

    def apply(update: MemberUpdate, now: float, reason: str) -> bool:  # noqa: ARG001 - the method's signature
        view.incarnations[update.member] = update.incarnation
        view.states[update.member] = update.state
        return True

    view.apply = apply  # type: ignore[method-assign]


# The keys are the values of the command line option `--spoil`.
DEFECTS: dict[str, DefectInjector] = {
    "none": inject_nothing,
    "refutes nothing": inject_missing_refutation,
    "suspects nobody": inject_missing_suspicion,
    "takes older news": inject_stale_updates,
}
