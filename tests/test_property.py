"""Random legal event sequences: the six rules hold on every action, and the checker sees breaks."""

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
    outcome: Outcome | None = None  # None: in flight


@dataclass
class PendingRequest:
    request_class: RequestClass
    deadline_at_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    answers: int = 0

    @property
    def in_flight(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].outcome is None


class Environment:
    """Clients, servers and discovery of one balancer; checks each of its actions."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now_ms = 0.0
        self.scheduled: list[tuple[float, int, TimerFired | str]] = []  # timers, and deadlines by request
        self.scheduled_count = 0
        self.requests: dict[str, PendingRequest] = {}
        self.sends: list[tuple[float, int]] = []  # when, and to which server
        self.deliver(NodeStarted())
        self.update_endpoints([self.endpoint(n) for n in range(self.rng.randrange(7))])

    def endpoint(self, server_id: int, state: EndpointState = EndpointState.IN_SERVICE) -> Endpoint:
        started_at_ms = self.now_ms if self.rng.random() < 0.2 else None
        return Endpoint(server_id, f"z{server_id % 2}", "k", server_id % 3, state, 1.0, started_at_ms)

    def update_endpoints(self, listed: list[Endpoint], kind: UpdateKind = UpdateKind.COMPLETE) -> None:
        self.deliver(EndpointUpdate(kind, 1, listed))

    def schedule(self, at_ms: float, what: TimerFired | str) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at_ms, self.scheduled_count, what))

    def deliver(self, event: PolicyEvent) -> None:
        self.checker.event(event, self.now_ms)
        for action in self.balancer.handle(event, self.now_ms):
            self.carry_out(action)

    def carry_out(self, action: PolicyAction) -> None:
        self.checker.action(action, self.now_ms)
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
        number = len(request.attempts) - 1
        duration_ms = self.now_ms - attempt.sent_at_ms
        self.deliver(AttemptEnded(request_id, number, attempt.server_id, outcome, duration_ms, is_finished))

    def in_flight(self) -> list[str]:
        return [request_id for request_id, request in self.requests.items() if request.in_flight]

    def advance(self, step_ms: float) -> None:
        target_ms = self.now_ms + step_ms
        while self.scheduled and self.scheduled[0][0] <= target_ms:
            at_ms, _, what = heapq.heappop(self.scheduled)
            self.now_ms = max(self.now_ms, at_ms)
            if isinstance(what, TimerFired):
                self.deliver(what)
            else:
                self.reach_deadline(what)
        self.now_ms = target_ms

    def reach_deadline(self, request_id: str) -> None:
        request = self.requests[request_id]
        if request.answers:
            return
        if not request.in_flight:
            raise RuleBrokenError("rule 1: a request was lost")
        self.end_attempt(request_id, Outcome.TIMEOUT)
        assert self.requests[request_id].answers == 1

    def step(self, number: int) -> None:
        choice = self.rng.random()
        if choice < 0.35:
            request_class = self.rng.choice(self.settings.classes)
            self.receive(f"r{number}", request_class, self.rng.choice([1.0, 50.0, 700.0, 3000.0]))
        elif choice < 0.7 and self.in_flight():
            request_id = self.rng.choice(self.in_flight())
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
    """Deliver random legal events, until each request must have been answered."""
    environment = Environment(seed, **changes)
    for number in range(150):
        environment.step(number)
    environment.advance(20_000.0)
    environment.checker.end()


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.booleans(), st.booleans())
def test_rules_hold_on_random_days(seed: int, attempts: int, tier: int, budget: bool, full: bool) -> None:
    extra = RETRY_BUDGET if budget else {}
    run_random_events(
        seed,
        max_attempts=attempts,
        tier=tier,
        requires_subscription=bool(seed % 2),
        rejected_may_have_run=full,
        **extra,
    )


def first_violation(**changes: Any) -> str:
    """The first rule that is broken in a number of random runs; "none" if none is."""
    for seed in range(60):
        try:
            run_random_events(seed, **({"max_attempts": 4} | changes))
        except RuleBrokenError as error:
            return str(error)
    return "none"


def test_the_checker_catches_broken_modules(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault is one that a careless change could introduce; without a fault nothing is reported."""
    assert first_violation(**RETRY_BUDGET, rejected_may_have_run=True) == "none"

    def always(*_: object) -> bool:
        return True

    with monkeypatch.context() as patch:
        patch.setattr(RetryPolicy, "may_be_repeated", always)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(RetryPolicy, "within_retry_budget", always)
        assert first_violation(**RETRY_BUDGET).startswith("rule 5")
    with monkeypatch.context() as patch:
        patch.setattr(Server, "deduplication_group", lambda *_: None)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_reject_or_fail", always)
        assert first_violation().startswith("rule 1")
    with monkeypatch.context() as patch:
        patch.setattr(
            server_module,
            "EndpointState",
            type("AllInService", (), {"IN_SERVICE": EndpointState.DRAINING, "REMOVED": 0}),
        )
        assert first_violation(drain_grace_ms=0.0).startswith("rule 3")

    class TrustsRejections(RetryPolicy):
        """Takes a rejection for a proof that the attempt never ran, whatever the settings say."""

        def may_have_run(self, outcome: Outcome) -> bool:
            return outcome not in NEVER_RAN_OUTCOMES

    with monkeypatch.context() as patch:
        patch.setattr("workspond.policy.balancer.RetryPolicy", TrustsRejections)
        assert first_violation(rejected_may_have_run=True).startswith("rule 2")


@pytest.mark.parametrize("seed", range(6))
def test_a_burst_onto_cold_servers_stays_in_budget(seed: int) -> None:
    """Two servers join, then a burst comes: each is sent less than the allowed multiple of its capacity."""
    environment = Environment(seed, tier=1)
    environment.update_endpoints([Endpoint(n) for n in range(4)])
    idempotent = environment.settings.classes[0]

    def load(seconds: float, gap_ms: float, phase: int) -> None:
        for k in range(int(seconds * 1000 / gap_ms)):
            request_id = f"{phase}-{k}"
            environment.requests[request_id] = PendingRequest(idempotent, environment.now_ms + 3000.0)
            environment.deliver(RequestReceived(request_id, idempotent.name, 3000.0))
            environment.advance(gap_ms)
            for other in environment.in_flight():
                if environment.now_ms - environment.requests[other].attempts[-1].sent_at_ms >= 30.0:
                    environment.end_attempt(other, Outcome.SUCCESS)

    load(20, 10.0, 0)
    rate_per_s = 100.0 / 4  # to a server that has warmed up
    started_at_ms = environment.now_ms
    warming_up = [Endpoint(n, started_at_ms=started_at_ms) for n in (8, 9)]
    environment.update_endpoints([Endpoint(n) for n in range(4)] + warming_up)
    load(3, 4.0, 1)
    for server_id in (8, 9):
        times_ms = [at_ms for at_ms, to in environment.sends if to == server_id]
        assert times_ms, "a server that is warming up gets something"
        for start_ms in times_ms:
            sent = sum(start_ms <= at_ms < start_ms + 1000.0 for at_ms in times_ms)
            capacity_fraction = 0.25 + 0.75 * (start_ms - started_at_ms) / 8000.0
            assert sent <= 3.0 * rate_per_s * capacity_fraction
