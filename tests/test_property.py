"""Random sequences of valid events: no action breaks an operating rule, and the checker detects faults."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.checker import Checker, RuleBrokenError
from tests.helpers import settings
from workspond.policy import server as server_module
from workspond.policy.actions import FailRequest, PolicyAction, RejectRequest, SendAttempt, SetTimer
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    NodeStarted,
    Outcome,
    PolicyEvent,
    RequestReceived,
    TimerFired,
    UpdateKind,
)
from workspond.policy.retry_policy import NEVER_RAN_OUTCOMES, RetryPolicy
from workspond.policy.server import Server
from workspond.policy.settings import RequestClass

OUTCOMES = list(Outcome)
OUTCOME_WEIGHTS = [12, 3, 3, 1, 3, 1, 1, 0]  # in the order of `Outcome`


@dataclass
class Attempt:
    sent_at_ms: float
    server_id: int
    outcome: Outcome | None = None  # None while the attempt is in flight


@dataclass
class PendingRequest:
    request_class: RequestClass
    deadline_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    answers: int = 0  # number of final answers, at most 1 if rule 1 holds

    @property
    def in_flight(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].outcome is None


class Environment:
    """Simulates the clients, servers and discovery of one balancer, and checks each of its actions."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now_ms = 0.0
        # A heap of timers and of requests' deadlines: the time, a serial number, and the event or request id.
        self.scheduled: list[tuple[float, int, TimerFired | str]] = []
        self.scheduled_count = 0
        self.requests: dict[str, PendingRequest] = {}
        self.sends: list[tuple[float, int]] = []  # time and server id of each attempt
        self.deliver(NodeStarted())
        self.update_endpoints([self.endpoint(n) for n in range(self.rng.randrange(7))])

    def endpoint(self, server_id: int, state: EndpointState = EndpointState.IN_SERVICE) -> Endpoint:
        started_at_ms = self.now_ms if self.rng.random() < 0.2 else None
        return Endpoint(server_id, f"z{server_id % 2}", "k", server_id % 3, state, 1.0, started_at_ms)

    def update_endpoints(self, listed: list[Endpoint], kind: UpdateKind = UpdateKind.COMPLETE) -> None:
        self.deliver(EndpointUpdate(kind, 1, listed))

    def schedule(self, at_ms: float, timer_or_request_id: TimerFired | str) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at_ms, self.scheduled_count, timer_or_request_id))

    def deliver(self, event: PolicyEvent) -> None:
        self.checker.record_event(event, self.now_ms)
        for action in self.balancer.handle(event, self.now_ms):
            self.carry_out(action)

    def carry_out(self, action: PolicyAction) -> None:
        self.checker.check_action(action, self.now_ms)
        if isinstance(action, SetTimer):
            assert action.delay_ms >= 0.0
            self.schedule(self.now_ms + action.delay_ms, TimerFired(action.token))
        elif isinstance(action, SendAttempt):
            self.requests[action.request_id].attempts.append(Attempt(self.now_ms, action.server_id))
            self.sends.append((self.now_ms, action.server_id))
        elif isinstance(action, FailRequest | RejectRequest):
            self.requests[action.request_id].answers += 1

    def receive(self, request_id: str, request_class: RequestClass, ttl_ms: float) -> None:
        self.requests[request_id] = PendingRequest(request_class, self.now_ms + ttl_ms)
        self.schedule(self.now_ms + ttl_ms, request_id)
        self.deliver(RequestReceived(request_id, request_class.name, ttl_ms))

    def end_attempt(self, request_id: str, outcome: Outcome) -> None:
        request = self.requests[request_id]
        attempt = request.attempts[-1]
        attempt.outcome = outcome
        is_finished = bool(request.answers) or outcome is Outcome.SUCCESS
        if outcome is Outcome.SUCCESS and not request.answers:
            request.answers += 1
        attempt_number = len(request.attempts) - 1
        duration_ms = self.now_ms - attempt.sent_at_ms
        self.deliver(
            AttemptEnded(request_id, attempt_number, attempt.server_id, outcome, duration_ms, is_finished)
        )

    def requests_in_flight(self) -> list[str]:
        return [request_id for request_id, request in self.requests.items() if request.in_flight]

    def advance(self, step_ms: float) -> None:
        target_ms = self.now_ms + step_ms
        while self.scheduled and self.scheduled[0][0] <= target_ms:
            at_ms, _, timer_or_request_id = heapq.heappop(self.scheduled)
            self.now_ms = max(self.now_ms, at_ms)
            if isinstance(timer_or_request_id, TimerFired):
                self.deliver(timer_or_request_id)
            else:
                self.reach_deadline(timer_or_request_id)
        self.now_ms = target_ms

    def reach_deadline(self, request_id: str) -> None:
        request = self.requests[request_id]
        if request.answers:
            return
        if not request.in_flight:
            raise RuleBrokenError("rule 1: a request got no final answer")
        self.end_attempt(request_id, Outcome.TIMEOUT)
        assert self.requests[request_id].answers == 1

    def step(self, number: int) -> None:
        choice = self.rng.random()
        if choice < 0.35:
            request_class = self.rng.choice(self.settings.classes)
            self.receive(f"r{number}", request_class, self.rng.choice([1.0, 50.0, 700.0, 3000.0]))
        elif choice < 0.7 and self.requests_in_flight():
            request_id = self.rng.choice(self.requests_in_flight())
            self.end_attempt(request_id, self.rng.choices(OUTCOMES, OUTCOME_WEIGHTS)[0])
        elif choice < 0.75:
            server_id = self.rng.randrange(8)
            state = self.rng.choice([EndpointState.IN_SERVICE, EndpointState.DRAINING, EndpointState.REMOVED])
            self.update_endpoints([self.endpoint(server_id, state)], UpdateKind.INCREMENTAL)
        elif choice < 0.77:
            self.update_endpoints([self.endpoint(n) for n in range(8) if self.rng.random() < 0.7])
        elif choice < 0.78:
            self.deliver(EndpointUpdate(UpdateKind.FAILED))
        else:
            self.advance(self.rng.choice([1.0, 5.0, 40.0, 300.0]))


RETRY_BUDGET = {"retry_budget_ratio": 0.03, "retry_budget_floor": 3.0, "retry_budget_window_ms": 5000.0}


def run_random_events(seed: int, **changes: Any) -> None:
    """Deliver random valid events, then pass all deadlines and check that each request has been answered."""
    environment = Environment(seed, **changes)
    for number in range(150):
        environment.step(number)
    environment.advance(20_000.0)
    environment.checker.check_all_finished()


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.booleans(), st.booleans())
def test_rules_hold_for_random_events(
    seed: int, max_attempts: int, tier: int, has_retry_budget: bool, rejected_may_have_run: bool
) -> None:
    retry_budget = RETRY_BUDGET if has_retry_budget else {}
    run_random_events(
        seed,
        max_attempts=max_attempts,
        tier=tier,
        requires_subscription=bool(seed % 2),
        rejected_may_have_run=rejected_may_have_run,
        **retry_budget,
    )


def first_violation(**changes: Any) -> str:
    """Return the message of the first broken rule in 60 random runs; "none" if no rule is broken."""
    for seed in range(60):
        try:
            run_random_events(seed, **({"max_attempts": 4} | changes))
        except RuleBrokenError as error:
            return str(error)
    return "none"


def test_checker_detects_faults_in_the_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault is one that a careless change could introduce. Without a fault, no rule is broken."""
    assert first_violation(**RETRY_BUDGET, rejected_may_have_run=True) == "none"

    def return_true(*_: object) -> bool:
        return True

    with monkeypatch.context() as patch:
        patch.setattr(RetryPolicy, "may_be_repeated", return_true)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(RetryPolicy, "within_retry_budget", return_true)
        assert first_violation(**RETRY_BUDGET).startswith("rule 5")
    with monkeypatch.context() as patch:
        patch.setattr(Server, "deduplication_group", lambda *_: None)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_reject_or_fail", return_true)
        assert first_violation().startswith("rule 1")
    with monkeypatch.context() as patch:
        patch.setattr(
            server_module,
            "EndpointState",
            type("DrainingInService", (), {"IN_SERVICE": EndpointState.DRAINING, "REMOVED": 0}),
        )
        assert first_violation(drain_grace_ms=0.0).startswith("rule 3")

    class TrustsRejections(RetryPolicy):
        """Assumes that a rejected attempt never ran, regardless of the settings."""

        def may_have_run(self, outcome: Outcome) -> bool:
            return outcome not in NEVER_RAN_OUTCOMES

    with monkeypatch.context() as patch:
        patch.setattr("workspond.policy.balancer.RetryPolicy", TrustsRejections)
        assert first_violation(rejected_may_have_run=True).startswith("rule 2")


@pytest.mark.parametrize("seed", range(6))
def test_burst_on_servers_that_are_warming_up_stays_within_the_overload_factor(seed: int) -> None:
    """Two servers join before a burst. Each gets at most the allowed multiple of its current capacity."""
    environment = Environment(seed, tier=1)
    environment.update_endpoints([Endpoint(n) for n in range(4)])
    idempotent = environment.settings.classes[0]

    def send_load(seconds: float, gap_ms: float, phase: int) -> None:
        for number in range(int(seconds * 1000 / gap_ms)):
            request_id = f"{phase}-{number}"
            environment.requests[request_id] = PendingRequest(idempotent, environment.now_ms + 3000.0)
            environment.deliver(RequestReceived(request_id, idempotent.name, 3000.0))
            environment.advance(gap_ms)
            for other in environment.requests_in_flight():
                if environment.now_ms - environment.requests[other].attempts[-1].sent_at_ms >= 30.0:
                    environment.end_attempt(other, Outcome.SUCCESS)

    send_load(20, 10.0, 0)
    warm_rate_per_s = 100.0 / 4  # requests to each of the four warm servers
    started_at_ms = environment.now_ms
    warming_up = [Endpoint(n, started_at_ms=started_at_ms) for n in (8, 9)]
    environment.update_endpoints([Endpoint(n) for n in range(4)] + warming_up)
    send_load(3, 4.0, 1)
    for server_id in (8, 9):
        times_ms = [at_ms for at_ms, sent_to in environment.sends if sent_to == server_id]
        assert times_ms, f"server {server_id}, which is warming up, got no attempts"
        for start_ms in times_ms:
            sent = sum(start_ms <= at_ms < start_ms + 1000.0 for at_ms in times_ms)
            capacity_fraction = 0.25 + 0.75 * (start_ms - started_at_ms) / 8000.0
            assert sent <= 3.0 * warm_rate_per_s * capacity_fraction
