"""Slow start: limits the work that is sent to an engine while it warms up after its start."""

from __future__ import annotations

from collections import deque

from lilacfront.decisions.estimates import ClassEstimate
from lilacfront.decisions.events import Endpoint
from lilacfront.decisions.hashing import hash_pair
from lilacfront.decisions.state import Attempt, Engine, RouterState, WarmUpCharge

# Fraction of a warming engine's budget that is used. In a network partition the shares of all gateways may
# add up to twice the budget.
BUDGET_FRACTION = 0.5
FULL_CPU_FRACTION = 0.85  # fraction of busy cores at which an engine counts as fully loaded
WINDOW_GAP_US = 500_000  # gap between the overload windows of two successive turns


class SlowStart:
    """Tracks this gateway's share of the work budget of each warming engine."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def is_warming(self, endpoint: Endpoint) -> bool:
        """Return whether the engine started less than its warm-up time ago."""
        state = self._state
        return (
            endpoint.started_us > 0 and state.now_us < endpoint.started_us + state.settings.rules.warm_up_us
        )

    def capacity_fraction(self, engine: Engine) -> float:
        """Return the fraction of its capacity that an engine has now.

        The fraction is assumed to grow with the square of the time since the start.
        """
        rules, started_us = self._state.settings.rules, engine.endpoint.started_us
        age = 1.0
        if started_us:
            age = min(1.0, max(0.0, (self._state.now_us - started_us) / max(1, rules.warm_up_us)))
        return rules.cold_capacity_fraction + (1.0 - rules.cold_capacity_fraction) * age * age

    def has_budget(self, engine: Engine, estimate: ClassEstimate) -> bool:
        """Return whether a request of this class fits in this gateway's budget for the overload window.

        If each gateway's share is smaller than one request, a few gateways may send one whole request each
        and the others none. Which gateways may send changes with each window, by turns of their numbers. If
        limits are pooled, a gateway may use its turn for requests of any class.
        """
        state = self._state
        rules = state.settings.rules
        if rules.overload_factor is None:
            return True
        budget_us = self._window_budget_us(engine, rules.overload_factor)
        window_us = rules.overload_window_us + WINDOW_GAP_US
        while engine.warm_up_charges and engine.warm_up_charges[0].sent_us < state.now_us - window_us:
            engine.warm_up_charges.popleft()
        is_start_window = self._is_start_window(engine, window_us)
        turn = state.fleet_size.turn_of_gateway(hash_pair(engine.number, state.now_us // window_us))
        sent_work_us = sum(charge.work_us for charge in engine.warm_up_charges)
        work_us = estimate.uncontended_work_us
        share_us = budget_us / state.fleet_size.turn_divisor
        if not state.is_pooled:
            class_count = len(state.class_estimates)
            is_turn = (
                not (is_start_window or sent_work_us) and (turn + 1) * work_us * class_count <= budget_us
            )
            return sent_work_us + work_us <= share_us or is_turn
        largest_us = max(other.uncontended_work_us for other in state.class_estimates)
        turn_budget_us = max(share_us, min(budget_us, largest_us))
        return (
            not is_start_window
            and (turn + 1) * turn_budget_us <= budget_us
            and sent_work_us + work_us <= turn_budget_us
        )

    def charge(self, engine: Engine, estimate: ClassEstimate, attempt: Attempt) -> None:
        """Charge an attempt to the engine's budget at the current time."""
        engine.warm_up_charges.append(WarmUpCharge(self._state.now_us, estimate.uncontended_work_us, attempt))

    def recharge(self, engine: Engine, estimate: ClassEstimate, attempt: Attempt) -> bool:
        """Charge a delayed attempt to the current window instead; return False if it does not fit."""
        engine.warm_up_charges = deque(
            charge for charge in engine.warm_up_charges if charge.attempt is not attempt
        )
        if not self.has_budget(engine, estimate):
            return False
        self.charge(engine, estimate, attempt)
        return True

    def _window_budget_us(self, engine: Engine, overload_factor: float) -> float:
        """Return the work in microseconds that all gateways together may send in one overload window."""
        cores = self.capacity_fraction(engine) * FULL_CPU_FRACTION * engine.cores
        return BUDGET_FRACTION * overload_factor * cores * self._state.settings.rules.overload_window_us

    def _is_start_window(self, engine: Engine, window_us: int) -> bool:
        """Return whether this gateway's previous process may have used the turn of the current window.

        That is so if the gateway started in this window, and the engine before the gateway.
        """
        state = self._state
        if engine.endpoint.started_us >= state.started_at_us:
            return False
        return state.now_us // window_us == state.started_at_us // window_us
