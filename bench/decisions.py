"""Times the decision module alone, by the size of the endpoint list and the state of the servers.

The module's clock is simulated: requests arrive at a steady rate and servers answer after a fixed time. Only
the calls of `Balancer.handle` are timed. The module is imported from the first entry of `sys.path` that has
it, so that another checkout can be measured.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bench.server_state import ServerState
from workspond.policy.actions import SendAttempt, SetTimer
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    NodeStarted,
    Outcome,
    RequestReceived,
    TimerFired,
    UpdateKind,
)
from workspond.policy.settings import Idempotency, RequestClass, Settings

REQUESTS_PER_S = 160.0
RESPONSE_AFTER_MS = 10.0
CONNECT_FAILED_AFTER_MS = 0.1
OBJECTIVE_MS = 100.0
DEADLINE_MS = 400.0
RAMP_MS = 600_000.0  # long enough that a server that has just started stays cold for the whole run
BEGIN_MS = 1000.0
SERVERS_STARTED_AT_MS = 900.0
UPDATES = 20
COMPLETE_LISTS = 5
NS_PER_US = 1000.0
QUEUE_LENGTHS = (0, 0, 0, 1, 2)  # reported queue lengths, drawn with equal probability
ZONES = 5
GROUPS = 7
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # spreads server ids over 64 bits, as the hashes of names are spread


@dataclass(frozen=True, slots=True)
class Case:
    """One run: the numbers of servers, replicas and timed calls, and the state of the servers."""

    servers: int
    replicas: int
    state: ServerState
    calls: int
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean times of a run in microseconds: elapsed for requests and outcomes, processor time for lists."""

    request_us: float  # time to handle a request, including the selection of its server
    outcome_us: float  # time to handle the outcome of an attempt
    update_us: float  # time to apply a list update with one entry
    complete_list_us: float  # time to apply a complete list without changes


class Phase(Enum):
    """The phase of a request that an event belongs to."""

    REQUEST = "request"
    OUTCOME = "outcome"
    TIMER = "timer"


@dataclass(slots=True)
class Stopwatch:
    """The total time and number of the events of one phase."""

    spent_ns: int = 0
    count: int = 0

    def add(self, elapsed_ns: int) -> None:
        """Add the time of one event."""
        self.spent_ns += elapsed_ns
        self.count += 1

    def mean_us(self) -> float:
        """Return the mean time of an event, or 0 without events."""
        return self.spent_ns / max(1, self.count) / NS_PER_US


DueEvent = AttemptEnded | TimerFired


class Run:
    """Drives one balancer through a case."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._rng = random.Random(case.seed)
        self._balancer = Balancer(_settings(case), case.seed)
        self._now_ms = BEGIN_MS
        self._due: list[tuple[float, int, DueEvent]] = []  # heap of time, order of scheduling, event
        self._events_scheduled = 0
        self._requests = 0
        self._attempts: dict[str, int] = {}  # attempts made so far, by request
        self._stopwatches = _stopwatches()
        self._server_numbers = {self._endpoint(n).server_id: n for n in range(case.servers)}
        self._balancer.handle(NodeStarted(), self._now_ms)
        self._balancer.handle(self._update(UpdateKind.COMPLETE, range(case.servers)), self._now_ms)

    def cost(self) -> Cost:
        """Play the case and return its cost; first, half as many requests are played as a warm-up."""
        for _ in range(self._case.calls // 2):
            self._play_request()
        self._stopwatches = _stopwatches()
        for _ in range(self._case.calls):
            self._play_request()
        update_us = self._time_updates()
        complete_list_us = self._time_complete_lists()
        return Cost(
            request_us=self._stopwatches[Phase.REQUEST].mean_us(),
            outcome_us=self._stopwatches[Phase.OUTCOME].mean_us(),
            update_us=update_us,
            complete_list_us=complete_list_us,
        )

    def _play_request(self) -> None:
        self._advance(self._now_ms + 1000.0 / REQUESTS_PER_S)
        self._requests += 1
        self._handle(Phase.REQUEST, RequestReceived(f"r{self._requests}", "read", DEADLINE_MS))

    def _advance(self, until_ms: float) -> None:
        """Advance the clock to `until_ms` and handle the events that are due by then."""
        while self._due and self._due[0][0] <= until_ms:
            self._now_ms, _, event = heapq.heappop(self._due)
            phase = Phase.TIMER if isinstance(event, TimerFired) else Phase.OUTCOME
            self._handle(phase, event)
        self._now_ms = until_ms

    def _handle(self, phase: Phase, event: RequestReceived | DueEvent) -> None:
        """Time the handling of an event, then perform the returned actions."""
        began_ns = time.perf_counter_ns()
        actions = self._balancer.handle(event, self._now_ms)
        self._stopwatches[phase].add(time.perf_counter_ns() - began_ns)
        for action in actions:
            if isinstance(action, SendAttempt):
                self._begin_attempt(action)
            elif isinstance(action, SetTimer):
                self._schedule(action.delay_ms, TimerFired(action.token))

    def _begin_attempt(self, send: SendAttempt) -> None:
        outcome, after_ms = self._outcome(send)
        has_queue = self._case.state is ServerState.QUEUES
        report = {"queue": float(self._rng.choice(QUEUE_LENGTHS))} if has_queue else None
        attempt = self._attempts.get(send.request_id, 0)
        self._attempts[send.request_id] = attempt + 1
        succeeded = outcome is Outcome.SUCCESS
        event = AttemptEnded(send.request_id, attempt, send.server_id, outcome, after_ms, succeeded, report)
        self._schedule(after_ms, event)

    def _outcome(self, send: SendAttempt) -> tuple[Outcome, float]:
        """Return how an attempt will end, and after how many milliseconds."""
        number = self._server_numbers[send.server_id]
        if self._case.state is ServerState.EJECTED and number % 3 == 0:
            return Outcome.CONNECT_FAILED, CONNECT_FAILED_AFTER_MS
        if self._case.state is ServerState.ZONE_GONE and number % ZONES == 0:
            return Outcome.TIMEOUT, send.timeout_ms
        return Outcome.SUCCESS, RESPONSE_AFTER_MS

    def _schedule(self, after_ms: float, event: DueEvent) -> None:
        self._events_scheduled += 1
        heapq.heappush(self._due, (self._now_ms + after_ms, self._events_scheduled, event))

    def _time_updates(self) -> float:
        """Return the mean microseconds for an update with one entry."""
        stopwatch = Stopwatch()
        for number in range(UPDATES):
            self._time_list(stopwatch, UpdateKind.INCREMENTAL, [number % self._case.servers])
        return stopwatch.mean_us()

    def _time_complete_lists(self) -> float:
        """Return the mean microseconds for a complete list."""
        stopwatch = Stopwatch()
        for _ in range(COMPLETE_LISTS):
            self._time_list(stopwatch, UpdateKind.COMPLETE, range(self._case.servers))
        return stopwatch.mean_us()

    def _time_list(self, stopwatch: Stopwatch, kind: UpdateKind, numbers: Iterable[int]) -> None:
        update = self._update(kind, numbers)
        began_ns = time.process_time_ns()
        self._balancer.handle(update, self._now_ms)
        stopwatch.add(time.process_time_ns() - began_ns)

    def _update(self, kind: UpdateKind, numbers: Iterable[int]) -> EndpointUpdate:
        return EndpointUpdate(kind, 1, [self._endpoint(number) for number in numbers])

    def _endpoint(self, number: int) -> Endpoint:
        """Build a server's entry, according to the state of the case."""
        state = self._case.state
        is_odd = number % 2 == 1
        is_draining = state is ServerState.DRAINING and is_odd
        has_just_started = state is ServerState.HALF_COLD and is_odd
        return Endpoint(
            number * HASH_MULTIPLIER % 2**64,
            f"z{number % ZONES}",
            "k",
            number % GROUPS,
            EndpointState.DRAINING if is_draining else EndpointState.IN_SERVICE,
            0.5 + (number * 37 % 101) / 101.0 if state is ServerState.WEIGHTED else 1.0,
            SERVERS_STARTED_AT_MS if has_just_started else None,
        )


def _stopwatches() -> dict[Phase, Stopwatch]:
    return {phase: Stopwatch() for phase in Phase}


def _settings(case: Case) -> Settings:
    return Settings(
        classes=[RequestClass("read", OBJECTIVE_MS, DEADLINE_MS, idempotency=Idempotency.IDEMPOTENT)],
        replicas=case.replicas,
        max_attempts=3,
        start_capacity=0.2,
        ramp_time_ms=RAMP_MS,
        overload_factor=2.5,
        overload_window_ms=1500.0,
    )
