"""Plays a schedule: starts the stand-ins and the nodes, lets faults begin and end, gathers what broke."""

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
from soak.node_process import Launch, NodeProcess
from soak.oracle import Oracle
from soak.records import Rule, Violation
from soak.schedule import MAX_DURATION_S, FaultKind, Schedule
from soak.servers import ServerIdentity, ServerStandIn
from soak.settings import GROUPS
from soak.shim import NoCompilerError, build_shim
from standins.checkout import ROOT

ClientType = TypeVar("ClientType", PatientClient, FaultyClient)
MIN_SERVERS = 4
CLIENTS_PER_NODE = 6
AGENTS_PER_NODE = 2
MEAN_GAP_S = 0.12  # between a client's answer and its next request
ANSWER_S = 0.02  # about the time that an answer takes, for the load that servers are built for
UTILIZATION = 0.8  # of servers by that load
LAG_INTERVAL_S = 0.02
LAG_SAMPLES = 25  # whose worst counts
LAG_FACTOR = 2.0  # by which the slack exceeds the lag measured
LISTEN_PORT = 9000  # of nodes
FIRST_SERVER_HOST = 100  # the last part of the first server's address
START_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Result:
    """What a run found, and how much it tried."""

    violations: tuple[Violation, ...]
    requests: int
    attempts: int
    answers: dict[int, int]  # by status
    has_shim: bool  # system calls and clocks could be made to fail
    worst_lag_s: float  # of the soak itself


def servers_for(nodes: int) -> int:
    """How many servers a run with so many nodes has."""
    return max(MIN_SERVERS, nodes // 2)


def server_capacity_per_s(nodes: int) -> float:
    """The requests that each warm server of a run can do."""
    requests_per_s = nodes * CLIENTS_PER_NODE / (MEAN_GAP_S + ANSWER_S)
    return requests_per_s / servers_for(nodes) / UTILIZATION


def own_network() -> str:
    """The first three parts of addresses that no other run on this machine uses.

    On a shared address a port that is free during a restart may go to any connection.
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
        self._network = own_network()
        self.oracle = self._make_oracle()
        self._registry = EndpointRegistry()
        self._servers = [self._make_server(number) for number in range(servers_for(schedule.nodes))]
        self._nodes: list[NodeProcess] = []
        self._clients: list[list[PatientClient]] = []  # of each node
        self._tasks: set[asyncio.Task[object]] = set()
        self._problems: list[BaseException] = []  # of the soak itself
        self._requests = 0
        self._has_shim = False

    def _make_oracle(self) -> Oracle:
        capacity = server_capacity_per_s(self._schedule.nodes)
        oracle = Oracle(self._loop.time, self._active_faults, capacity)
        if any(fault.kind is FaultKind.NODE_PAUSE for fault in self._schedule.faults):
            oracle.pause_allowance_s = MAX_DURATION_S[FaultKind.NODE_PAUSE]
        return oracle

    def _make_server(self, number: int) -> ServerStandIn:
        host = f"{self._network}.{FIRST_SERVER_HOST + number}"
        identity = ServerIdentity(f"s{number}", number % GROUPS, host)
        capacity = server_capacity_per_s(self._schedule.nodes)
        return ServerStandIn(self.oracle, self._registry, identity, capacity, self._rng)

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
        """Keep what went wrong in the soak itself: its run proves nothing then."""
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self._problems.append(problem)

    async def play(self) -> Result:
        """Play the schedule to its end; raises what went wrong in the soak itself."""
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self._start(Path(folder))
                await self._play_faults()
            finally:
                await self._end()
            if self._problems:
                raise self._problems[0]
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
        launch = Launch(self._schedule.nodes, folder, self._root, shim)
        for number in range(self._schedule.nodes):
            self._nodes.append(await self._make_node(number, launch))
        await asyncio.gather(*(node.start() for node in self._nodes))
        self._spawn(self._measure_lag())
        self._start_clients()

    async def _make_node(self, number: int, launch: Launch) -> NodeProcess:
        agents = [Agent(self._registry, self.oracle, number) for _ in range(AGENTS_PER_NODE)]
        for agent in agents:
            await agent.start()
        view = NodeView(number, (f"{self._network}.{number + 1}", LISTEN_PORT))
        return NodeProcess(self.oracle, view, agents, launch)

    def _start_clients(self) -> None:
        for node in self._nodes:
            clients = [self._make_client(node.view, PatientClient) for _ in range(CLIENTS_PER_NODE)]
            self._clients.append(clients)
            for client in clients:
                self._spawn(client.run(MEAN_GAP_S))

    def _make_client(self, node: NodeView, client_type: type[ClientType]) -> ClientType:
        return client_type(self.oracle, node, random.Random(self._rng.getrandbits(64)), self._new_id)

    def _make_faulty_client(self, node: NodeView) -> FaultyClient:
        return self._make_client(node, FaultyClient)

    async def _measure_lag(self) -> None:
        """Widen the limits by how late the soak itself runs, and have agents count what is overdue."""
        recent_s = [0.0] * LAG_SAMPLES
        while True:
            due_s = self._loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            recent_s = [*recent_s[1:], self._loop.time() - due_s]
            self.oracle.slack_s = LAG_FACTOR * max(recent_s)
            self._worst_lag_s = max(self._worst_lag_s, recent_s[-1])
            for agent in self._registry.agents:
                agent.count_overdue()

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
    """Play a schedule with the program of a checkout.

    Raises:
        CheckoutError: The checkout's deploy file names no module.
    """

    async def play_run() -> Result:
        return await Run(schedule, root).play()

    return uvloop.run(play_run())
