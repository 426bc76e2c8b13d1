"""Times the decision module alone, by the size of the list and the state of the servers in it.

The clock that the module sees is simulated: calls come at a steady rate, servers answer after a fixed time.
What is timed is `Balancer.handle`.
"""

from __future__ import annotations

import heapq
import importlib
import random
import sys
import time
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from types import SimpleNamespace
from typing import Any

ROOT = Path(__file__).parent.parent
RATE_PER_S, ANSWER_MS = 160.0, 10.0
AIM_MS, DEADLINE_MS = 100.0, 400.0
RAMP_MS = 600_000.0  # so long that a server which starts in a run stays cold
CHANGES, WHOLE_LISTS = 20, 5
NS_PER_US = 1000.0
QUEUES = (0, 0, 0, 1, 2)  # what servers that report a queue say, drawn evenly


class State(Enum):
    """What the servers of a run are like."""

    WARM = "warm"
    HALF_COLD = "half-cold"  # every second one has just started
    EJECTED = "ejected"  # a third can't be reached
    DRAINING = "draining"  # half are
    ZONE_GONE = "zone-gone"  # those of one zone of five are silent
    QUEUES = "queues"  # all report a queue now and then
    WEIGHTED = "weighted"  # each has a weight of its own


@dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    servers: int
    copies: int  # nodes that send to these servers
    state: State
    calls: int
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Cost:
    """Microseconds of processor time, the mean of a run."""

    request: float  # of a request, with the pick of its server
    outcome: float  # of an attempt's outcome
    change: float  # of a change to one entry of the list
    whole_list: float  # of a whole list with nothing new


class Program:
    """The decision module of a checkout."""

    def __init__(self, root: Path = ROOT) -> None:
        """Load it; this process must not have loaded another."""
        if root != ROOT:
            sys.path.insert(0, str(root))
        names: dict[str, Any] = {}
        for part in ("settings", "endpoint", "events", "actions"):
            names |= vars(importlib.import_module(f"workspond.policy.{part}"))
        self.api: Any = SimpleNamespace(**names)
        module = importlib.import_module("workspond.policy.balancer")
        self.balancer: Any = module.Balancer


class Run:
    """Drives one balancer through a case."""

    def __init__(self, program: Program, case: Case) -> None:
        api = program.api
        self._api, self._case, self._rng = api, case, random.Random(case.seed)
        classes = [api.RequestClass("read", AIM_MS, DEADLINE_MS, idempotency=api.Idempotency.IDEMPOTENT)]
        settings = api.Settings(
            classes=classes,
            replicas=case.copies,
            max_attempts=3,
            start_capacity=0.2,
            ramp_time_ms=RAMP_MS,
            overload_factor=2.5,
            overload_window_ms=1500.0,
        )
        self._balancer = program.balancer(settings, case.seed)
        self._now = 1000.0
        self._due: list[tuple[float, int, Any]] = []  # events by time
        self._order = self._calls = 0
        self._attempts: dict[str, int] = {}
        self._spent_ns = {"request": 0, "outcome": 0}
        self._count = {"request": 0, "outcome": 0}
        self._balancer.handle(api.NodeStarted(), self._now)
        self._balancer.handle(self._list(api.UpdateKind.COMPLETE, range(case.servers)), self._now)

    def _list(self, kind: Any, numbers: Any) -> Any:
        return self._api.EndpointUpdate(kind, 1, [self._entry(number) for number in numbers])

    def _entry(self, number: int) -> Any:
        state, health = self._case.state, self._api.EndpointState
        draining = state is State.DRAINING and number % 2
        share = 0.5 + (number * 37 % 101) / 101.0 if state is State.WEIGHTED else 1.0
        started_at_ms = 900.0 if state is State.HALF_COLD and number % 2 else None
        # Ids are spread as hashes of names are.
        id = number * 0x9E3779B97F4A7C15 % 2**64
        current = health.DRAINING if draining else health.IN_SERVICE
        return self._api.Endpoint(id, f"z{number % 5}", "k", number % 7, current, share, started_at_ms)

    def cost(self) -> Cost:
        """Play the case: half as many calls again, untimed, come first."""
        zones = {self._entry(n).server_id: n for n in range(self._case.servers)}
        warm_up = self._case.calls // 2
        for number in range(warm_up + self._case.calls):
            if number == warm_up:
                self._spent_ns, self._count = dict.fromkeys(self._spent_ns, 0), dict.fromkeys(self._count, 0)
            self._advance(self._now + 1000.0 / RATE_PER_S, zones)
            self._calls += 1
            self._handle("request", self._api.RequestReceived(f"r{self._calls}", "read", DEADLINE_MS), zones)
        change = self._time_lists(self._api.UpdateKind.INCREMENTAL, CHANGES)
        whole = self._time_lists(self._api.UpdateKind.COMPLETE, WHOLE_LISTS)
        per = {what: self._spent_ns[what] / max(1, self._count[what]) / NS_PER_US for what in self._count}
        return Cost(per["request"], per["outcome"], change, whole)

    def _time_lists(self, kind: Any, count: int) -> float:
        spent_ns = 0
        for number in range(count):
            whole = kind is self._api.UpdateKind.COMPLETE
            news = self._list(kind, range(self._case.servers) if whole else [number % self._case.servers])
            began_ns = time.process_time_ns()
            self._balancer.handle(news, self._now)
            spent_ns += time.process_time_ns() - began_ns
        return spent_ns / count / NS_PER_US

    def _advance(self, until_ms: float, zones: dict[int, int]) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self._now, _, event = heapq.heappop(self._due)
            timer = isinstance(event, self._api.TimerFired)
            self._handle("timer" if timer else "outcome", event, zones)
        self._now = until_ms

    def _handle(self, what: str, event: Any, zones: dict[int, int]) -> None:
        began_ns = time.perf_counter_ns()
        actions = self._balancer.handle(event, self._now)
        took_ns = time.perf_counter_ns() - began_ns
        if what in self._spent_ns:
            self._spent_ns[what] += took_ns
            self._count[what] += 1
        for action in actions:
            if isinstance(action, self._api.SendAttempt):
                self._begin(action, zones[action.server_id])
            elif isinstance(action, self._api.SetTimer):
                self._push(action.delay_ms, self._api.TimerFired(action.token))

    def _begin(self, send: Any, number: int) -> None:
        result = self._api.Outcome
        outcome, after_ms = result.SUCCESS, ANSWER_MS
        if self._case.state is State.EJECTED and number % 3 == 0:
            outcome, after_ms = result.CONNECT_FAILED, 0.1
        elif self._case.state is State.ZONE_GONE and number % 5 == 0:
            outcome, after_ms = result.TIMEOUT, send.timeout_ms
        report = {"queue": float(self._rng.choice(QUEUES))} if self._case.state is State.QUEUES else None
        attempt = self._attempts.get(send.request_id, 0)
        self._attempts[send.request_id] = attempt + 1
        settled = outcome is result.SUCCESS
        event = self._api.AttemptEnded(
            send.request_id, attempt, send.server_id, outcome, after_ms, settled, report
        )
        self._push(after_ms, event)

    def _push(self, after_ms: float, event: Any) -> None:
        self._order += 1
        heapq.heappush(self._due, (self._now + after_ms, self._order, event))
