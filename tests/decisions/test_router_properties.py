"""Property-based tests of the router on random sequences of events.

The rules are checked on the actions alone, without the state of the router.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from helpers import KEYED, LIMITS, LONG, RULES, SHORT, UNSAFE, policy_settings
from hypothesis import given
from hypothesis import strategies as st

from lilacfront.decisions.actions import CancelAttempt, Fail, Forward, Reject, SetTimer
from lilacfront.decisions.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    ListScope,
    RequestReceived,
    TimerFired,
)
from lilacfront.decisions.router import RequestRouter
from lilacfront.decisions.settings import DeduplicationScope, Idempotency, PolicySettings

NEVER_RAN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NEVER_SENT)
CLASSES = (
    SHORT,
    replace(LONG, allowed_zones=(0,)),
    KEYED,
    replace(KEYED, deduplication_scope=DeduplicationScope.CELL),
    UNSAFE,
    replace(SHORT, is_ordered=True),
)
BUDGET_WINDOW_US = 5_000_000
ORDERING_GAP_US = 300_000
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
CONFIGS = tuple(
    policy_settings(
        *CLASSES,
        gateway_count=gateway_count,
        sets_priorities=True,
        limits=replace(LIMITS, max_attempts=max_attempts, may_cancel=may_cancel),
        rules=replace(
            RULES,
            ordering_gap_us=ORDERING_GAP_US,
            retry_budget_window_us=window_us,
            retry_budget_min=2.0,
            retry_budget_ratio=0.25,
            overload_factor=2.5,
            cold_capacity_fraction=0.3,
            overload_window_us=1_500_000,
            warm_up_us=14_000_000,
        ),
    )
    for gateway_count, max_attempts, may_cancel, window_us in (
        (1, 4, True, BUDGET_WINDOW_US),
        (3, 3, False, None),
        (2, 6, True, None),
        (200, 5, True, BUDGET_WINDOW_US),
    )
)
STEPS = st.tuples(
    st.sampled_from(("request", "request", "end", "end", "timer", "list", "disconnect")),
    st.integers(0, 10**6),
    st.integers(0, 600_000),
)
Step = tuple[str, int, int]


@dataclass(slots=True)
class SentAttempt:
    """A forwarded attempt as recorded by the caller."""

    engine: int
    sent_us: int
    result: AttemptResult | None = None
    ended_us: int = 0


class Caller:
    """Carries out the actions, records requests and attempts, and checks the rules for them."""

    def __init__(self, config: PolicySettings) -> None:
        self.config = config
        self.now = 100_000_000
        self.router = RequestRouter(config, 1)
        self.endpoints = {n: Endpoint(n, EndpointState.READY, 0, n % 2, n % 2, n % 2) for n in range(1, 5)}
        self.draining: set[int] = set()
        self.requests: dict[int, RequestReceived] = {}
        self.received_us: dict[int, int] = {}
        self.answered: set[int] = set()
        self.attempts: dict[int, list[SentAttempt]] = {}
        self.timers: list[tuple[int, int]] = []
        self.retries_us: list[int] = []

    def run(self, steps: list[Step]) -> None:
        self.handle(EndpointList(ListScope.CACHED, tuple(self.endpoints.values())))
        for step in steps:
            self.step(*step)

    def handle(self, event: Event) -> None:
        for action in self.router.handle(self.now, event):
            match action:
                case Forward():
                    self.check_forward(action)
                case Reject(request) | Fail(request):
                    self.check_final_answer(action, request)
                case SetTimer(at_us, token):
                    self.timers.append((at_us, token))
                case CancelAttempt(request, attempt):
                    assert self.config.limits.may_cancel
                    assert attempt < len(self.attempts[request])

    def deadline_us(self, request: int) -> int:
        return self.received_us[request] + self.requests[request].time_left_us

    def may_have_run(self, request: int) -> list[SentAttempt]:
        return [attempt for attempt in self.attempts[request] if attempt.result not in NEVER_RAN]

    def running(self) -> list[int]:
        """Return the numbers of the requests with a running attempt."""
        return [r for r, attempts in self.attempts.items() if attempts and attempts[-1].result is None]

    # ---- rules --------------------------------------------------------------------------------------
    def check_forward(self, action: Forward) -> None:
        request, attempts = self.requests[action.request], self.attempts[action.request]
        spec, endpoint = self.config.classes[request.class_index], self.endpoints[action.engine]
        assert action.request not in self.answered, (
            f"request {action.request} forwarded after its final answer"
        )
        assert all(attempt.result is not None for attempt in attempts), (
            f"request {action.request} forwarded while another attempt runs"
        )
        assert len(attempts) < self.config.limits.max_attempts
        assert action.engine not in self.draining
        assert spec.allowed_zones is None or endpoint.zone in spec.allowed_zones
        assert self.now < action.deadline_us <= self.deadline_us(request.request)
        self.check_idempotency(request, endpoint)
        if spec.is_ordered and request.ordering_key:
            self.check_order(request)
        if attempts:
            self.check_retry_budget()
        attempts.append(SentAttempt(action.engine, self.now))

    def check_idempotency(self, request: RequestReceived, endpoint: Endpoint) -> None:
        spec = self.config.classes[request.class_index]
        ran = self.may_have_run(request.request)
        if spec.idempotency is Idempotency.NOT_IDEMPOTENT:
            assert not ran
        if spec.idempotency is Idempotency.IDEMPOTENT_BY_KEY and ran:
            assert self.now < ran[0].sent_us + spec.deduplication_window_us
            assert spec.deduplication_scope is DeduplicationScope.ALL or all(
                self.endpoints[attempt.engine].cell == endpoint.cell for attempt in ran
            )

    def check_order(self, request: RequestReceived) -> None:
        for number, earlier in self.requests.items():
            spec = self.config.classes[earlier.class_index]
            is_same_key = earlier.ordering_key == request.ordering_key and spec.is_ordered
            if number >= request.request or not is_same_key:
                continue
            assert number in self.answered, (
                f"request {request.request} forwarded before request {number} ended"
            )
            for attempt in self.attempts[number]:
                assert attempt.result is not None
                if attempt.result in MAY_STILL_RUN:
                    assert self.now > attempt.ended_us + ORDERING_GAP_US

    def check_retry_budget(self) -> None:
        if self.config.rules.retry_budget_window_us is None:
            return
        self.retries_us.append(self.now)
        retries = sum(at_us >= self.now - BUDGET_WINDOW_US for at_us in self.retries_us)
        requests = sum(at_us > self.now - BUDGET_WINDOW_US for at_us in self.received_us.values())
        assert retries <= 2 + 0.25 * requests

    def check_final_answer(self, action: Reject | Fail, request: int) -> None:
        assert request not in self.answered, f"request {request} answered twice"
        spec = self.config.classes[self.requests[request].class_index]
        if isinstance(action, Reject) and spec.idempotency is not Idempotency.IDEMPOTENT:
            assert not self.may_have_run(request) or (
                spec.idempotency is Idempotency.IDEMPOTENT_BY_KEY
                and spec.deduplication_scope is DeduplicationScope.ALL
            )
        self.answered.add(request)

    # ---- events -------------------------------------------------------------------------------------
    def advance(self, until: int) -> None:
        """Advance the clock: fire timers, time out attempts at their deadlines, check for late answers."""
        while True:
            timers = sorted(timer for timer in self.timers if timer[0] <= until)
            timeouts = sorted(
                (self.deadline_us(r), r) for r in self.running() if self.deadline_us(r) <= until
            )
            if not timers and not timeouts:
                break
            if timeouts and (not timers or timeouts[0][0] <= timers[0][0]):
                self.now = max(self.now, timeouts[0][0])
                self.end_attempt(timeouts[0][1], AttemptResult.TIMEOUT)
            else:
                self.timers.remove(timers[0])
                self.now = max(self.now, timers[0][0])
                self.handle(TimerFired(timers[0][1]))
        self.now = until
        for request in self.requests:
            is_late = self.now > self.deadline_us(request) + self.config.rules.answer_slack_us
            assert request in self.answered or not is_late, f"request {request} not answered by its deadline"

    def end_attempt(self, request: int, result: AttemptResult) -> None:
        number = len(self.attempts[request]) - 1
        attempt = self.attempts[request][number]
        attempt.result = result
        attempt.ended_us = self.now
        if result is AttemptResult.OK:
            self.answered.add(request)
        duration_us = self.now - attempt.sent_us
        is_final = request in self.answered
        self.handle(AttemptEnded(request, number, attempt.engine, result, duration_us, is_final))

    def receive_request(self, choice: int) -> None:
        number = len(self.requests) + 1
        time_left_us = 1_000_000 + choice * 5
        request = RequestReceived(number, choice % len(CLASSES), time_left_us, choice % 3, choice % 2 + 1)
        self.requests[number] = request
        self.received_us[number] = self.now
        self.attempts[number] = []
        self.handle(request)

    def change_endpoint(self, choice: int) -> None:
        number = choice % 4 + 1
        endpoint = self.endpoints[number]
        started_us = self.now if choice % 5 == 0 else endpoint.started_us
        if choice % 3:
            self.endpoints[number] = replace(endpoint, state=EndpointState.READY, started_us=started_us)
            self.draining.discard(number)
        else:
            self.endpoints[number] = replace(endpoint, state=EndpointState.DRAINING, started_us=started_us)
            self.draining.add(number)
        self.handle(EndpointList(ListScope.DELTA, (self.endpoints[number],)))

    def step(self, kind: str, choice: int, wait_us: int) -> None:
        self.advance(self.now + wait_us)
        if kind == "request":
            self.receive_request(choice)
        elif kind == "end":
            if running := self.running():
                result = list(AttemptResult)[choice % len(AttemptResult)]
                self.end_attempt(running[choice % len(running)], result)
        elif kind == "timer":
            self.handle(TimerFired(choice % 3))
        elif kind == "list":
            self.change_endpoint(choice)
        elif self.requests:
            number = choice % len(self.requests) + 1
            self.answered.add(number)
            self.handle(ClientDisconnected(number))


@given(st.sampled_from(CONFIGS), st.lists(STEPS, min_size=30, max_size=120))
def test_rules_hold_on_random_event_sequences(config: PolicySettings, steps: list[Step]) -> None:
    caller = Caller(config)
    caller.run(steps)
    caller.advance(caller.now + 30_000_000)
    for request in caller.running():
        caller.end_attempt(request, AttemptResult.TIMEOUT)
    assert set(caller.requests) == caller.answered
    assert not caller.router.state.requests
    assert all(engine.concurrency.used == 0 for engine in caller.router.state.engines.values())


@given(st.sampled_from(CONFIGS), st.lists(STEPS, min_size=10, max_size=60))
def test_the_same_events_give_the_same_actions(config: PolicySettings, steps: list[Step]) -> None:
    first, second = Caller(config), Caller(config)
    first.run(steps)
    second.run(steps)
    assert first.attempts == second.attempts
