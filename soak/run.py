"""Plays a schedule: starts the servers, agents, nodes and clients, plays the faults, collects violations."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import tempfile
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT
from typing import Any, TypeVar

import uvloop

from soak.clients import NodeView, PatientClient
from soak.discovery import Agent, EndpointRegistry
from soak.faults import FaultPlayer
from soak.faulty_clients import FaultyClient
from soak.node_process import LaunchOptions, NodeProcess
from soak.oracle import Oracle
from soak.records import Rule, Violation
from soak.schedule import MAX_DURATION_S, FaultKind, Schedule
from soak.servers import ServerIdentity, SimulatedServer
from soak.settings import SERVER_GROUPS
from soak.shim import NoCompilerError, build_shim
from standins.checkout import ROOT

ClientType = TypeVar("ClientType", PatientClient, FaultyClient)
MIN_SERVERS = 4
CLIENTS_PER_NODE = 6
AGENTS_PER_NODE = 2
MEAN_THINK_TIME_S = 0.12  # mean time from an answer to the client's next request
EXPECTED_LATENCY_S = 0.02  # approximate time to an answer, used to size the servers
TARGET_UTILIZATION = 0.8  # fraction of the servers' capacity that the clients' requests use
LAG_INTERVAL_S = 0.02
LAG_SAMPLES = 25  # the slack is computed from the largest of this number of recent samples
SLACK_PER_LAG = 2.0
NODE_PORT = 9000
FIRST_SERVER_LAST_OCTET = 100  # the addresses below are those of the nodes
START_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Result:
    """The violations and totals of a run."""

    violations: tuple[Violation, ...]
    requests: int
    attempts: int
    answers: dict[int, int]  # by status
    has_shim: bool  # False without a C compiler: faults of clocks and system calls had no effect
    worst_lag_s: float  # largest delay of the soak's own event loop


def server_count(nodes: int) -> int:
    """Return the number of servers in a run with this number of nodes."""
    return max(MIN_SERVERS, nodes // 2)


def server_capacity_per_s(nodes: int) -> float:
    """Return the requests per second that each warm server of a run can serve."""
    requests_per_s = nodes * CLIENTS_PER_NODE / (MEAN_THINK_TIME_S + EXPECTED_LATENCY_S)
    return requests_per_s / server_count(nodes) / TARGET_UTILIZATION


def loopback_prefix() -> str:
    """Return the first three octets of loopback addresses that are derived from the process id.

    Other runs on the machine use other addresses. On a shared address, a port that is free while its owner
    restarts could be assigned to an unrelated connection.
    """
    process_id = os.getpid()
    return f"127.{1 + process_id // 256 % 250}.{process_id % 256}"


class Run:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, root: Path = ROOT) -> None:
        self._schedule = schedule
        self._root = root
        self._rng = random.Random(schedule.seed)
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()
        self._worst_lag_s = 0.0
        self._address_prefix = loopback_prefix()
        self.oracle = self._make_oracle()
        self._registry = EndpointRegistry()
        self._servers = [self._make_server(number) for number in range(server_count(schedule.nodes))]
        self._nodes: list[NodeProcess] = []
        self._clients: list[list[PatientClient]] = []  # by node number
        self._tasks: set[asyncio.Task[object]] = set()
        self._internal_errors: list[BaseException] = []  # raised by the soak's own tasks
        self._requests = 0
        self._has_shim = False

    def _make_oracle(self) -> Oracle:
        capacity = server_capacity_per_s(self._schedule.nodes)
        oracle = Oracle(self._loop.time, self._active_faults, capacity)
        if any(fault.kind is FaultKind.NODE_PAUSE for fault in self._schedule.faults):
            oracle.pause_allowance_s = MAX_DURATION_S[FaultKind.NODE_PAUSE]
        return oracle

    def _make_server(self, number: int) -> SimulatedServer:
        host = f"{self._address_prefix}.{FIRST_SERVER_LAST_OCTET + number}"
        identity = ServerIdentity(f"s{number}", number % SERVER_GROUPS, host)
        capacity = server_capacity_per_s(self._schedule.nodes)
        return SimulatedServer(self.oracle, self._registry, identity, capacity, self._rng)

    def _active_faults(self) -> tuple[str, ...]:
        at_s = self._loop.time() - self._began_s
        return tuple(f"{fault.kind.value}@{fault.target}" for fault in self._schedule.active(at_s))

    def _new_id(self) -> str:
        self._requests += 1
        return f"r{self._requests}"

    def _spawn(self, work: Coroutine[Any, Any, object]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[object]) -> None:
        """Keep an error of the soak itself, because it makes the run's result invalid."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._internal_errors.append(error)

    async def play(self) -> Result:
        """Play the schedule to its end; raises the first error of the soak itself."""
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self._start(Path(folder))
                await self._play_faults()
            finally:
                await self._end()
            if self._internal_errors:
                raise self._internal_errors[0]
            self._report_broken_invariants()
        return self._result()

    async def _play_faults(self) -> None:
        faults = FaultPlayer(self._servers, self._nodes, self._clients, self._make_faulty_client, self._rng)
        self._began_s = self._loop.time()
        for fault in self._schedule.faults:
            self._spawn(faults.play(fault))
        await asyncio.sleep(self._schedule.seconds)

    def _result(self) -> Result:
        return Result(
            violations=tuple(self.oracle.violations),
            requests=len(self.oracle.requests),
            attempts=sum(len(request.attempts) for request in self.oracle.requests.values()),
            answers=dict(self.oracle.answers),
            has_shim=self._has_shim,
            worst_lag_s=self._worst_lag_s,
        )

    async def _start(self, folder: Path) -> None:
        shim = None
        with contextlib.suppress(NoCompilerError):
            shim = await asyncio.to_thread(build_shim, folder)
        self._has_shim = shim is not None
        for server in self._servers:
            await server.start()
        options = LaunchOptions(self._schedule.nodes, folder, self._root, shim)
        for number in range(self._schedule.nodes):
            self._nodes.append(await self._make_node(number, options))
        await asyncio.gather(*(node.start() for node in self._nodes))
        self._spawn(self._measure_lag())
        self._start_clients()

    async def _make_node(self, number: int, options: LaunchOptions) -> NodeProcess:
        agents = [Agent(self._registry, self.oracle, number) for _ in range(AGENTS_PER_NODE)]
        for agent in agents:
            await agent.start()
        view = NodeView(number, (f"{self._address_prefix}.{number + 1}", NODE_PORT))
        return NodeProcess(self.oracle, view, agents, options)

    def _start_clients(self) -> None:
        for node in self._nodes:
            clients = [self._make_client(node.view, PatientClient) for _ in range(CLIENTS_PER_NODE)]
            self._clients.append(clients)
            for client in clients:
                self._spawn(client.run(MEAN_THINK_TIME_S))

    def _make_client(self, node: NodeView, client_type: type[ClientType]) -> ClientType:
        return client_type(self.oracle, node, random.Random(self._rng.getrandbits(64)), self._new_id)

    def _make_faulty_client(self, node: NodeView) -> FaultyClient:
        return self._make_client(node, FaultyClient)

    async def _measure_lag(self) -> None:
        """Widen the time limits by the soak's own lag, and let the agents record overdue entries."""
        recent_s = [0.0] * LAG_SAMPLES
        while True:
            due_s = self._loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            recent_s = [*recent_s[1:], self._loop.time() - due_s]
            self.oracle.slack_s = SLACK_PER_LAG * max(recent_s)
            self._worst_lag_s = max(self._worst_lag_s, recent_s[-1])
            for agent in self._registry.agents:
                agent.record_overdue()

    async def _end(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self._nodes:
            node.signal(SIGCONT)
            await node.end()

    def _report_broken_invariants(self) -> None:
        for node in self._nodes:
            for line in node.log.broken_invariants():
                self.oracle.report(Rule.INVARIANT, f"n{node.view.number}", line)


def play(schedule: Schedule, root: Path = ROOT) -> Result:
    """Play a schedule with the nodes of the checkout at `root`.

    Raises:
        CheckoutError: The checkout's deploy file names no module.
    """

    async def play_run() -> Result:
        return await Run(schedule, root).play()

    return uvloop.run(play_run())
