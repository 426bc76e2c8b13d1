"""A fleet of copies in one process, in simulated time, in front of servers of which some are cold.

Each copy is a `Balancer` of its own that hears only its own events. Servers work off one request at a time, a
cold one slower by its warmth. What all copies together send a cold server is held against what the operators
let it bear: N requests of mean work in the stated time, N being what the settings allow then, and 2 x root of
N + 2 more for chance.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from workspond.policy.actions import SendAttempt, SetTimer
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint
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
from workspond.policy.settings import Idempotency, RequestClass, Settings

START, RAMP_MS, FACTOR, SPAN_MS = 0.2, 10_000.0, 2.5, 1_500.0
HOP_MS = 1.0  # each way


@dataclass
class Work:
    """A class of requests: its share of all, and how long a warm server works on one."""

    cls: RequestClass
    share: float
    work_ms: float


def request_class(name: str) -> RequestClass:
    return RequestClass(name, 400.0, 1200.0, idempotency=Idempotency.IDEMPOTENT)


USUAL = (Work(request_class("usual"), 1.0, 20.0),)
HEAVY = (Work(request_class("light"), 0.85, 10.0), Work(request_class("heavy"), 0.15, 80.0))


@dataclass
class Day:
    """What happens; times in ms from the start of the cold servers."""

    warm: int = 6
    cold: int = 2
    load: Callable[[float], float] = lambda _: 0.6  # of what the warm servers (all, if none is) bear, by time
    classes: tuple[Work, ...] = USUAL
    hear_ms: float = 0.0  # copies hear of the start so far apart
    restarts: tuple[float, ...] = ()  # moments at which a third of the copies start anew
    again: bool = False  # the cold servers were there before, and restarted under their names
    news_ms: float = math.inf  # from one whole list to the next, as in a release that goes on
    tier: int = 1
    before_ms: float = 8_000.0
    after_ms: float = RAMP_MS


@dataclass
class Machine:
    """A server."""

    started_at_ms: float  # -inf: long ago
    free_ms: float = 0.0
    got: list[tuple[float, float]] = field(default_factory=list)  # when, and what share of mean work

    def warmth(self, now: float) -> float:
        return START + (1.0 - START) * min(1.0, max(0.0, (now - self.started_at_ms) / RAMP_MS))


class Fleet:
    """Plays a day; `worst` and `sends` tell of the cold servers."""

    def __init__(self, day: Day, copies: int, seed: int) -> None:
        self.day, self.copies = day, copies
        self._rng = random.Random(seed)
        self._now = 0.0
        self._order = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._mean_ms = sum(work.share * work.work_ms for work in day.classes)
        self._machines = {n: Machine(-math.inf) for n in range(day.warm)}
        if day.again or not day.warm:
            self._machines |= {day.warm + n: Machine(-math.inf) for n in range(day.cold)}
        self._nodes: list[Balancer] = []
        self._told = [False] * copies
        self._sent: dict[tuple[int, str], tuple[int, float]] = {}  # of each copy's requests: attempts, work
        self._ids = 0
        for number in range(copies):
            self._nodes.append(self._start(number))
        self._at(day.before_ms, self._cold_start)
        for moment in day.restarts:
            self._at(day.before_ms + moment, self._restart_some)
        self._arrive()
        end = day.before_ms + day.after_ms
        while self._due and self._due[0][0] <= end:
            self._now, _, what = heapq.heappop(self._due)
            what()

    def _at(self, when: float, what: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._due, (when, self._order, what))

    def _start(self, number: int) -> Balancer:
        settings = Settings(
            classes=[work.cls for work in self.day.classes],
            replicas=self.copies,
            replica_index=number,
            tier=self.day.tier,
            tiers=3,
            max_attempts=3,
            start_capacity=START,
            ramp_time_ms=RAMP_MS,
            overload_factor=FACTOR,
            overload_window_ms=SPAN_MS,
            tick_ms=1.0,
        )
        node = Balancer(settings, self._rng.getrandbits(32))
        self._do(number, node, NodeStarted())
        self._do(number, node, self._list(self._told[number]))
        return node

    def _list(self, told: bool) -> EndpointUpdate:
        def entry(id: int, machine: Machine) -> Endpoint:
            started = machine.started_at_ms if told and machine.started_at_ms > -math.inf else None
            return Endpoint(id, "z", "k", id % 2, started_at_ms=started)

        old = self.day.again or not self.day.warm
        listed = {id: m for id, m in self._machines.items() if told or old or id < self.day.warm}
        return EndpointUpdate(UpdateKind.COMPLETE, 1, [entry(id, m) for id, m in listed.items()])

    def _cold_start(self) -> None:
        for n in range(self.day.cold):
            self._machines[self.day.warm + n] = Machine(self._now, self._now)
        for number in range(self.copies):
            late = self._rng.random() * self.day.hear_ms
            self._at(self._now + late, partial(self._hear, number))

    def _hear(self, number: int) -> None:
        self._told[number] = True
        self._do(number, self._nodes[number], self._list(True))

        if self.day.news_ms < math.inf:
            self._at(self._now + self.day.news_ms, lambda: self._hear(number))

    def _restart_some(self) -> None:
        for number in self._rng.sample(range(self.copies), max(1, self.copies // 3)):
            self._nodes[number] = self._start(number)

    def _arrive(self) -> None:
        """A request to one copy, and when the next one comes."""
        able = self.day.warm or self.day.cold
        load = self.day.load(self._now - self.day.before_ms)
        self._at(self._now + self._rng.expovariate(load * able / self._mean_ms), self._arrive)
        work = self._rng.choices(self.day.classes, [w.share for w in self.day.classes])[0]
        number, self._ids = self._rng.randrange(self.copies), self._ids + 1
        id, node = str(self._ids), self._nodes[number]
        self._sent[number, id] = 0, work.work_ms * self._rng.uniform(0.7, 1.3)
        self._do(number, node, RequestReceived(id, work.cls.name, work.cls.deadline_ms))

    def _do(self, number: int, node: Balancer, event: PolicyEvent) -> None:
        for action in node.handle(event, self._now):
            if isinstance(action, SendAttempt):
                self._send(number, node, action)
            elif isinstance(action, SetTimer):
                fired = TimerFired(action.token)
                self._at(self._now + action.delay_ms, partial(self._do, number, node, fired))

    def _send(self, number: int, node: Balancer, send: SendAttempt) -> None:
        attempt, work_ms = self._sent[number, send.request_id]
        self._sent[number, send.request_id] = attempt + 1, work_ms
        machine, sent_at_ms = self._machines[send.server_id], self._now
        # What copies send that have not been told breaks no rule, and is not counted.
        if machine.started_at_ms > -math.inf and self._told[number]:
            machine.got.append((self._now, work_ms / self._mean_ms))
        begins = max(self._now + HOP_MS, machine.free_ms)
        machine.free_ms = begins + work_ms / machine.warmth(begins)
        result, ends = Outcome.SUCCESS, machine.free_ms + HOP_MS
        if ends > self._now + send.timeout_ms:
            result, ends = Outcome.TIMEOUT, self._now + send.timeout_ms

        def ended() -> None:
            request_finished = result is Outcome.SUCCESS
            event = AttemptEnded(
                send.request_id, attempt, send.server_id, result, ends - sent_at_ms, request_finished
            )
            self._do(number, node, event)

        self._at(ends, ended)

    def _cold(self) -> list[Machine]:
        return [machine for machine in self._machines.values() if machine.started_at_ms > -math.inf]

    def worst(self) -> float:
        """The most that a cold server got in any window, as a share of what it is allowed there."""
        worst = 0.0
        for machine in self._cold():
            for first, (since, _) in enumerate(machine.got):
                got = 0.0
                for at, work in machine.got[first:]:
                    if at - since >= SPAN_MS:
                        break
                    got += work
                allowed = FACTOR * machine.warmth(since + SPAN_MS / 2.0) * SPAN_MS / self._mean_ms
                worst = max(worst, got / (allowed + 2.0 * math.sqrt(allowed) + 2.0))
        return worst

    def sends(self) -> float:
        """Requests of mean work that cold servers got, as a share of what they could serve meanwhile."""
        able = sum(
            (START + (1.0 - START) / 2.0) * self.day.after_ms / self._mean_ms for _ in range(self.day.cold)
        )
        return sum(work for machine in self._cold() for _, work in machine.got) / able
