"""The router dispatches each event to the modules that handle it.

- Known engines: `endpoint_table`, `slow_start`.
- Choice of an engine for a request: `admission`, `engine_selection`, `engine_capacity`, `send_rules`.
- Concurrency limits: `concurrency_limit`, `pooled_limit`.
- Retries, ordering and quotas: `retry_policy`, `ordered_keys`, `tenant_quota`.
- Observed load, latency and errors: `load_view`, `load_gossip`, `table_group_demand`, `estimates`,
  `outlier_ejection`, `attempt_monitor`, `attempt_evaluation`.
- Attempts and final answers: `request_lifecycle`.
"""

from __future__ import annotations

from lilacfront.decisions.actions import Action, SetTimer, WatchEndpoints
from lilacfront.decisions.admission import Admission
from lilacfront.decisions.attempt_evaluation import AttemptEvaluation
from lilacfront.decisions.attempt_monitor import RESCHEDULE_TOKENS_PER_REQUEST, AttemptMonitor
from lilacfront.decisions.endpoint_table import EndpointTable
from lilacfront.decisions.engine_capacity import EngineCapacity
from lilacfront.decisions.engine_selection import EngineSelection
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptNotification,
    ClientDisconnected,
    EndpointList,
    Event,
    ListScope,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from lilacfront.decisions.load_gossip import LoadGossip
from lilacfront.decisions.load_view import LoadView
from lilacfront.decisions.ordered_keys import OrderedKeys
from lilacfront.decisions.outlier_ejection import OutlierEjection
from lilacfront.decisions.pooled_limit import PooledLimit
from lilacfront.decisions.request_lifecycle import RequestLifecycle
from lilacfront.decisions.retry_policy import RetryBudget, RetryPolicy
from lilacfront.decisions.send_rules import SendRules
from lilacfront.decisions.settings import PolicySettings
from lilacfront.decisions.slow_start import SlowStart
from lilacfront.decisions.state import STEP_INTERVAL_US, PendingRequest, RouterState
from lilacfront.decisions.table_group_demand import TableGroupDemand
from lilacfront.decisions.tenant_quota import TenantQuotas

STEP_TIMER = 0
POLL_TIMER = 1
FIRST_DEADLINE_TIMER = 2  # the deadline timer of request n has the token FIRST_DEADLINE_TIMER + n
MAX_DISPATCH_MISSES = 8  # requests without an engine per dispatch; bounds the time spent on an ended attempt
RESIZE_INTERVAL_US = 500_000  # between two updates of the pooled limit while engines warm up


class RequestRouter:
    """Decisions of one gateway. The caller supplies the clock, reports events and carries out the actions."""

    def __init__(self, settings: PolicySettings, seed: int) -> None:
        """Create a router that knows no engines.

        Args:
            settings: The policy settings.
            seed: Seed of the random generator that picks the peers for gossip.
        """
        self.settings = settings
        self.state = RouterState.initial(settings)
        self.demand = TableGroupDemand()
        self.loads = LoadView(self.state, self.demand, LoadGossip(settings, seed))
        self.slow_start = SlowStart(self.state)
        self.pooled_limit = PooledLimit(self.state, self.loads, self.slow_start)
        self.outliers = OutlierEjection(self.state, self.loads)
        self.capacity = EngineCapacity(self.state, self.loads, self.slow_start)
        self.endpoints = EndpointTable(self.state, self.loads, self.slow_start)
        self.quotas = TenantQuotas(self.state)
        self._ordered_keys = OrderedKeys(self.state)
        self._retries = RetryPolicy(self.state)
        self._budget = RetryBudget(self.state)
        self._build_request_path()
        self.next_step_at_us = 0
        self._is_step_scheduled = False

    def _build_request_path(self) -> None:
        state = self.state
        self._send_rules = SendRules(state, self._retries, self._budget, self._ordered_keys, self.slow_start)
        self.selection = EngineSelection(
            state, self.pooled_limit, self.loads, self.demand, self.capacity, self._send_rules, self.outliers
        )
        self._lifecycle = RequestLifecycle(
            state, self.pooled_limit, self.slow_start, self._ordered_keys, self._retries, self._budget
        )
        self._admission = Admission(state, self.quotas, self.selection, self._lifecycle)
        self.monitor = AttemptMonitor(
            state, self.capacity, self.outliers, self._retries, self._budget, self._lifecycle
        )
        self._evaluation = AttemptEvaluation(
            state, self.loads, self.pooled_limit, self.slow_start, self.outliers, self.monitor
        )

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Process one event.

        Args:
            now_us: Time on the caller's clock in microseconds.
            event: The event.

        Returns:
            The actions to carry out, in order.
        """
        state = self.state
        state.now_us = max(state.now_us, now_us)
        state.actions = []
        if state.started_at_us < 0:
            state.started_at_us = now_us
        match event:
            case RequestReceived():
                self._on_request(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case AttemptNotification():
                self.monitor.record_notification(event)
            case TimerFired():
                self._on_timer(event.token)
            case EndpointList():
                self._on_endpoint_list(event)
            case PeerMessageReceived():
                self.loads.receive_gossip(event.data)
            case ClientDisconnected():
                self._on_client_disconnected(event)
            case ResponseStarted():
                self._on_response_started(event)
        return state.actions

    def may_begin(self, now_us: int, request: int) -> bool:
        """Return whether the first byte of the request's running attempt may be sent now."""
        self.state.now_us = max(self.state.now_us, now_us)
        return self._send_rules.may_begin(request)

    def hold_key(self, ordering_key: int) -> None:
        """Hold back new requests of a key because of an earlier one elsewhere; see `OrderedKeys.hold`."""
        self._ordered_keys.hold(ordering_key)

    def release_key(self, ordering_key: int) -> None:
        """End one hold of a key; its requests are sent with the next step."""
        self._ordered_keys.release(ordering_key)

    def keys_in_use(self, now_us: int) -> set[int]:
        """Return the keys of which no other process may send a request; see `OrderedKeys.in_use`."""
        self.state.now_us = max(self.state.now_us, now_us)
        return self._ordered_keys.in_use()

    def _on_request(self, event: RequestReceived) -> None:
        state = self.state
        if event.request in state.requests:
            return
        request = self._add_request(event)
        if state.is_pooled:
            self.demand.add(event.table_group, state.now_us)
            state.actions += self.loads.send_gossip()
        self._budget.record_request()
        self.monitor.earn_tokens(RESCHEDULE_TOKENS_PER_REQUEST)
        state.actions.append(SetTimer(request.deadline_us, FIRST_DEADLINE_TIMER + event.request))
        work_us = event.estimated_work_us
        if work_us is not None and work_us / request.spec.threads > event.time_left_us:
            self._lifecycle.answer(request)  # even an idle engine would miss the deadline
            return
        self._admission.prepare(request)
        self._admission.admit(request)
        self._schedule_step()

    def _add_request(self, event: RequestReceived) -> PendingRequest:
        state = self.state
        estimate = state.class_estimates[event.class_index]
        request = PendingRequest(event, estimate.spec, estimate, state.now_us + event.time_left_us)
        objective_us = int(request.latency_objective_us(event.estimated_work_us))
        request.objective_at_us = state.now_us + min(event.time_left_us, objective_us)
        self._admission.set_wait(request, request.objective_at_us)
        state.requests[event.request] = request
        self._ordered_keys.add(request)
        return request

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        state = self.state
        found = state.find_running(event.request, event.attempt)
        if found is None:
            return
        request, attempt = found
        attempt.result = event.result
        self._lifecycle.release(request, attempt)
        self._evaluation.record(request, attempt, event)
        self._ordered_keys.record_end(request, event.result)
        if request.is_answered or event.is_final:
            self._lifecycle.close(request)
        elif state.now_us >= request.deadline_us or attempt.is_streaming:
            self._lifecycle.answer(request)
        else:
            self._retry(request)
        self._admission.dispatch(MAX_DISPATCH_MISSES)

    def _retry(self, request: PendingRequest) -> None:
        """Retry a request after a failed attempt, queue it for an engine, or give the final answer."""
        may_forward = self._send_rules.may_forward
        is_request_at_fault = self._retries.is_request_at_fault(request)
        if is_request_at_fault or not any(
            may_forward(request, engine) for engine in self.state.ready_engines
        ):
            self._lifecycle.answer(request)
            return
        useful_until_us = request.objective_at_us if request.spec.late_weight == 0 else request.deadline_us
        self._admission.set_wait(request, useful_until_us)
        self._admission.admit(request)
        self._schedule_step()

    def _on_endpoint_list(self, event: EndpointList) -> None:
        state = self.state
        if event.scope is ListScope.FAILED:
            if self.settings.polls_discovery:
                poll_at_us = state.now_us + self.endpoints.poll_backoff_us()
                state.actions.append(SetTimer(poll_at_us, POLL_TIMER))
            return
        if event.scope is ListScope.CACHED and self.settings.polls_discovery:
            state.actions.append(WatchEndpoints(enabled=True))
        self.endpoints.apply(event)
        self.pooled_limit.resize()
        self.selection.reset()
        self._admission.dispatch()

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.state.requests.get(event.request)
        if request is not None and not request.is_answered:
            self._lifecycle.close(request)

    def _on_response_started(self, event: ResponseStarted) -> None:
        found = self.state.find_running(event.request, event.attempt)
        if found is not None:
            found[1].is_streaming = True

    def _on_timer(self, token: int) -> None:
        if token == STEP_TIMER:
            self._step()
        elif token == POLL_TIMER:
            self.state.actions.append(WatchEndpoints(enabled=True))
        else:
            self._on_deadline(token - FIRST_DEADLINE_TIMER)

    def _on_deadline(self, request_number: int) -> None:
        request = self.state.requests.get(request_number)
        if request is None or request.is_answered:
            return
        attempt = request.running_attempt()
        if attempt is None or not attempt.is_streaming:
            self._lifecycle.answer(request)

    def _step(self) -> None:
        """Check warming engines, silent engines and waiting requests.

        Runs every STEP_INTERVAL_US while there are requests. If it runs late, this gateway has stalled.
        """
        state = self.state
        self._is_step_scheduled = False
        if state.warming_engines and state.now_us - self.pooled_limit.resized_at_us >= RESIZE_INTERVAL_US:
            self.pooled_limit.resize()
            self.endpoints.refresh_warming()
        if state.now_us - self.next_step_at_us < 2 * STEP_INTERVAL_US:
            self.monitor.check_active_engines()
        else:
            self.monitor.reset_silence_timers()
        self._admission.dispatch()
        if state.requests:
            self._schedule_step()

    def _schedule_step(self) -> None:
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self.next_step_at_us = self.state.now_us + STEP_INTERVAL_US
            self.state.actions.append(SetTimer(self.next_step_at_us, STEP_TIMER))
