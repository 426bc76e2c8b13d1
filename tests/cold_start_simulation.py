"""A simulation of balancer replicas that send to servers of which some are cold, that is, warming up.

Each replica is a `Balancer` of its own that gets only its own events. A server works on one request at a
time, and is slower while it is warming up. The work that all replicas together send to a cold server is
compared with a limit: N requests of mean work in each overload window, where N follows from the settings,
plus 2 * sqrt(N) + 2 requests of tolerance for random variation.
"""

from __future__ import annotations

import heapq
import itertools
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

START_CAPACITY = 0.2
RAMP_MS = 10_000.0
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW_MS = 1_500.0
NETWORK_DELAY_MS = 1.0  # one way, between a replica and a server
MAX_ATTEMPTS = 3
WORK_RATIO_RANGE = (0.7, 1.3)  # the work of a request, as a ratio of the mean work of its class


@dataclass
class WorkClass:
    """A request class, with the frequency and the work of its requests.

    Attributes:
        request_class: The class in the settings.
        fraction: The fraction of all requests that belong to the class.
        work_ms: The mean time that a warm server works on a request of the class.
    """

    request_class: RequestClass
    fraction: float
    work_ms: float


def request_class(name: str) -> RequestClass:
    """Return an idempotent request class."""
    return RequestClass(name, 400.0, 1200.0, idempotency=Idempotency.IDEMPOTENT)


SINGLE_CLASS = (WorkClass(request_class("standard"), 1.0, 20.0),)
MIXED_CLASSES = (
    WorkClass(request_class("light"), 0.85, 10.0),
    WorkClass(request_class("heavy"), 0.15, 80.0),
)


def steady_load(_at_ms: float) -> float:
    """Return a constant load that the warm servers can serve, as a ratio of their capacity."""
    return 0.6


@dataclass
class Scenario:
    """The parameters of a simulation; times are relative to the start of the cold servers.

    Attributes:
        warm: The number of servers that are warm during the whole simulation.
        cold: The number of servers that start cold.
        load: The load at a time in ms, as a ratio of the capacity of the warm servers, or of all servers if
            none is warm.
        work_classes: The request classes.
        update_spread_ms: Each replica learns of the cold servers at a random time within this interval.
        replica_restarts_at_ms: The times at which a third of the replicas restart.
        servers_restart: Whether the cold servers were listed before and restart with their old ids.
        update_interval_ms: The interval between complete endpoint lists, as during a rollout.
        tier: The tier that the replicas send to.
        before_ms: The time that is simulated before the start of the cold servers.
        after_ms: The time that is simulated after the start of the cold servers.
    """

    warm: int = 6
    cold: int = 2
    load: Callable[[float], float] = steady_load
    work_classes: tuple[WorkClass, ...] = SINGLE_CLASS
    update_spread_ms: float = 0.0
    replica_restarts_at_ms: tuple[float, ...] = ()
    servers_restart: bool = False
    update_interval_ms: float = math.inf
    tier: int = 1
    before_ms: float = 8_000.0
    after_ms: float = RAMP_MS

    @property
    def lists_cold_servers_before(self) -> bool:
        """Whether the servers that will start cold are listed as warm servers before their start."""
        return self.servers_restart or not self.warm

    def mean_work_ms(self) -> float:
        """Return the mean work of a request over all classes."""
        return sum(work_class.fraction * work_class.work_ms for work_class in self.work_classes)


@dataclass
class ReceivedRequest:
    """A request that a server has received from a replica."""

    at_ms: float
    work_ratio: float  # the work of the request, divided by the mean work of all requests


@dataclass
class SimulatedServer:
    """A server that works on one request at a time."""

    started_at_ms: float = -math.inf
    busy_until_ms: float = 0.0  # the time at which all received requests will have been processed
    # Contains only the requests of replicas that know of the cold start.
    received: list[ReceivedRequest] = field(default_factory=list)

    @property
    def has_started(self) -> bool:
        """Whether the server has started cold during the simulation."""
        return self.started_at_ms > -math.inf

    def capacity_fraction(self, now_ms: float) -> float:
        """Return the server's speed, as a fraction of the speed of a warm server."""
        ramp = min(1.0, max(0.0, (now_ms - self.started_at_ms) / RAMP_MS))
        return START_CAPACITY + (1.0 - START_CAPACITY) * ramp


@dataclass
class SimulatedRequest:
    """A request that a replica has received."""

    work_ms: float  # the time that a warm server works on the request
    attempts: int = 0


@dataclass
class Replica:
    """A balancer replica."""

    index: int
    balancer: Balancer
    requests: dict[str, SimulatedRequest]  # by id; kept over a restart, because attempts in flight continue


class ColdStartSimulation:
    """Runs a scenario when created; `max_window_ratio` and `sent_work_ratio` return the results."""

    def __init__(self, scenario: Scenario, replicas: int, seed: int) -> None:
        self._scenario = scenario
        self._replica_count = replicas
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._serials = itertools.count()
        # A heap of time in ms, serial number and action.
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._mean_work_ms = scenario.mean_work_ms()
        listed_before = scenario.warm + (scenario.cold if scenario.lists_cold_servers_before else 0)
        self._servers = {server_id: SimulatedServer() for server_id in range(listed_before)}
        self._knows_cold_start = [False] * replicas  # whether each replica knows of the cold start
        self._request_ids = itertools.count(1)
        self._replicas = [self._start_replica(index, {}) for index in range(replicas)]
        self._schedule_scenario()
        self._run()

    def _schedule_scenario(self) -> None:
        start_at_ms = self._scenario.before_ms
        self._schedule(start_at_ms, self._start_cold_servers)
        for at_ms in self._scenario.replica_restarts_at_ms:
            self._schedule(start_at_ms + at_ms, self._restart_replicas)
        self._generate_request()

    def _run(self) -> None:
        end_at_ms = self._scenario.before_ms + self._scenario.after_ms
        while self._events and self._events[0][0] <= end_at_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._serials), action))

    # Replicas

    def _start_replica(self, index: int, requests: dict[str, SimulatedRequest]) -> Replica:
        settings = Settings(
            classes=[work_class.request_class for work_class in self._scenario.work_classes],
            replicas=self._replica_count,
            replica_index=index,
            tier=self._scenario.tier,
            tiers=3,
            max_attempts=MAX_ATTEMPTS,
            start_capacity=START_CAPACITY,
            ramp_time_ms=RAMP_MS,
            overload_factor=OVERLOAD_FACTOR,
            overload_window_ms=OVERLOAD_WINDOW_MS,
            tick_ms=1.0,
        )
        replica = Replica(index, Balancer(settings, self._rng.getrandbits(32)), requests)
        self._handle(replica, NodeStarted())
        self._handle(replica, self._complete_list(knows_start=self._knows_cold_start[index]))
        return replica

    def _restart_replicas(self) -> None:
        for index in self._rng.sample(range(self._replica_count), max(1, self._replica_count // 3)):
            self._replicas[index] = self._start_replica(index, self._replicas[index].requests)

    def _complete_list(self, *, knows_start: bool) -> EndpointUpdate:
        """Return the complete endpoint list from before or after the start of the cold servers."""
        lists_all = knows_start or self._scenario.lists_cold_servers_before
        endpoints = [
            Endpoint(
                server_id,
                "z",
                "k",
                server_id % 2,
                started_at_ms=server.started_at_ms if knows_start and server.has_started else None,
            )
            for server_id, server in self._servers.items()
            if lists_all or server_id < self._scenario.warm
        ]
        return EndpointUpdate(UpdateKind.COMPLETE, 1, endpoints)

    def _update_list(self, index: int) -> None:
        self._knows_cold_start[index] = True
        self._handle(self._replicas[index], self._complete_list(knows_start=True))
        if self._scenario.update_interval_ms < math.inf:
            self._schedule(
                self._now_ms + self._scenario.update_interval_ms, partial(self._update_list, index)
            )

    def _handle(self, replica: Replica, event: PolicyEvent) -> None:
        for action in replica.balancer.handle(event, self._now_ms):
            if isinstance(action, SendAttempt):
                self._send(replica, action)
            elif isinstance(action, SetTimer):
                fired = TimerFired(action.token)
                self._schedule(self._now_ms + action.delay_ms, partial(self._handle, replica, fired))

    # Servers

    def _start_cold_servers(self) -> None:
        for number in range(self._scenario.cold):
            server = SimulatedServer(self._now_ms, self._now_ms)
            self._servers[self._scenario.warm + number] = server
        for index in range(self._replica_count):
            delay_ms = self._rng.random() * self._scenario.update_spread_ms
            self._schedule(self._now_ms + delay_ms, partial(self._update_list, index))

    def _cold_servers(self) -> list[SimulatedServer]:
        return [server for server in self._servers.values() if server.has_started]

    # Requests

    def _generate_request(self) -> None:
        """Send a client request to a random replica, and schedule the next one."""
        scenario = self._scenario
        load = scenario.load(self._now_ms - scenario.before_ms)
        rate_per_ms = load * (scenario.warm or scenario.cold) / self._mean_work_ms
        self._schedule(self._now_ms + self._rng.expovariate(rate_per_ms), self._generate_request)
        fractions = [work_class.fraction for work_class in scenario.work_classes]
        work_class = self._rng.choices(scenario.work_classes, fractions)[0]
        replica = self._replicas[self._rng.randrange(self._replica_count)]
        request_id = str(next(self._request_ids))
        work_ms = work_class.work_ms * self._rng.uniform(*WORK_RATIO_RANGE)
        replica.requests[request_id] = SimulatedRequest(work_ms)
        selected_class = work_class.request_class
        self._handle(replica, RequestReceived(request_id, selected_class.name, selected_class.deadline_ms))

    def _send(self, replica: Replica, attempt: SendAttempt) -> None:
        request = replica.requests[attempt.request_id]
        attempt_number = request.attempts
        request.attempts += 1
        sent_at_ms = self._now_ms
        server = self._servers[attempt.server_id]
        # Requests from replicas that do not know of the start yet break no rule and are not counted.
        if server.has_started and self._knows_cold_start[replica.index]:
            server.received.append(ReceivedRequest(sent_at_ms, request.work_ms / self._mean_work_ms))
        starts_at_ms = max(sent_at_ms + NETWORK_DELAY_MS, server.busy_until_ms)
        server.busy_until_ms = starts_at_ms + request.work_ms / server.capacity_fraction(starts_at_ms)
        outcome = Outcome.SUCCESS
        ends_at_ms = server.busy_until_ms + NETWORK_DELAY_MS
        if ends_at_ms > sent_at_ms + attempt.timeout_ms:
            outcome = Outcome.TIMEOUT
            ends_at_ms = sent_at_ms + attempt.timeout_ms
        ended = AttemptEnded(
            attempt.request_id,
            attempt_number,
            attempt.server_id,
            outcome,
            duration_ms=ends_at_ms - sent_at_ms,
            request_finished=outcome is Outcome.SUCCESS,
        )
        self._schedule(ends_at_ms, partial(self._handle, replica, ended))

    # Results

    def max_window_ratio(self) -> float:
        """Return the maximum work that a cold server received in a window, as a ratio of the limit."""
        return max(
            (
                self._window_ratio(server, first)
                for server in self._cold_servers()
                for first in range(len(server.received))
            ),
            default=0.0,
        )

    def _window_ratio(self, server: SimulatedServer, first: int) -> float:
        """Return the work received in the window from request `first` on, as a ratio of the limit."""
        starts_at_ms = server.received[first].at_ms
        received_work = 0.0
        for received in server.received[first:]:
            if received.at_ms - starts_at_ms >= OVERLOAD_WINDOW_MS:
                break
            received_work += received.work_ratio
        capacity_fraction = server.capacity_fraction(starts_at_ms + OVERLOAD_WINDOW_MS / 2.0)
        allowed_requests = OVERLOAD_FACTOR * capacity_fraction * OVERLOAD_WINDOW_MS / self._mean_work_ms
        return received_work / (allowed_requests + 2.0 * math.sqrt(allowed_requests) + 2.0)

    def sent_work_ratio(self) -> float:
        """Return the work that the cold servers received, as a ratio of the work that they could do."""
        mean_capacity = START_CAPACITY + (1.0 - START_CAPACITY) / 2.0
        capacity = self._scenario.cold * mean_capacity * self._scenario.after_ms / self._mean_work_ms
        sent = sum(received.work_ratio for server in self._cold_servers() for received in server.received)
        return sent / capacity
