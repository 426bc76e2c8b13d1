"""Plays a schedule: starts the stand-ins and the nodes, lets faults begin and end, gathers what broke."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import signal
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from soak.clients import BadCaller, HonestCaller, NodeView
from soak.discovery import Agent, AgentMode, Registry, Status
from soak.node_process import NodeProcess
from soak.oracle import Oracle, Rule, Violation
from soak.proxy import ProxyMode
from soak.schedule import LONGEST_S, SERVER_KINDS, Fault, FaultKind, Schedule
from soak.servers import ServerMode, ServerStandIn
from soak.settings import GROUPS
from soak.shim import NS_PER_S, Field, NoCompiler, build_shim

CallerType = TypeVar("CallerType", HonestCaller, BadCaller)
ROOT = Path(__file__).parent.parent
CALLERS_A_NODE = 6
MEAN_GAP_S = 0.12  # between a caller's answer and its next request
ANSWER_S = 0.02  # about the time that an answer takes, for the load that servers are built for
UTILIZATION = 0.8  # of servers by that load
LAG_EVERY_S = 0.02
CLOCK_STEP_S = 3600
RELOAD_EVERY_S = 0.2
BAD_CALLERS = 4  # at a time, for each such fault
DRAINED_S = 1.5  # from a drain's end to the server's leave
LEFT_S = 0.5
LISTEN_PORT, FIRST_SERVER = 9000, 100  # of nodes and servers; the last part of the first server's address
START_TIMEOUT_S = 60.0
ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED)
LOG_ERRORS = (errno.ENOSPC, errno.EIO)


@dataclass(frozen=True, slots=True)
class Result:
    """What a run found, and how much it tried."""

    violations: tuple[Violation, ...]
    requests: int
    attempts: int
    answers: dict[int, int]
    shimmed: bool  # system calls and clocks could be made to fail
    worst_lag_s: float  # of the soak itself


def servers_for(nodes: int) -> int:
    """How many servers a run has."""
    return max(4, nodes // 2)


class Run:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, root: Path = ROOT) -> None:
        self._schedule, self._root = schedule, root
        self._rng = random.Random(schedule.seed)
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()
        self._worst_lag_s = 0.0
        servers = servers_for(schedule.nodes)
        rate = schedule.nodes * CALLERS_A_NODE / (MEAN_GAP_S + ANSWER_S)
        capacity = rate / servers / UTILIZATION
        self.oracle = Oracle(self._loop.time, self._active, capacity)
        if any(fault.kind is FaultKind.NODE_PAUSE for fault in schedule.faults):
            self.oracle.held_up_s = LONGEST_S[FaultKind.NODE_PAUSE]
        # Addresses of this run's own: a port that is free during a restart may go to any connection.
        self._network = f"127.{1 + os.getpid() // 256 % 250}.{os.getpid() % 256}"
        self._registry = Registry()
        self._servers = [
            ServerStandIn(
                self.oracle,
                self._registry,
                f"s{n}",
                n % GROUPS,
                f"{self._network}.{FIRST_SERVER + n}",
                capacity,
                self._rng,
            )
            for n in range(servers)
        ]
        self._nodes: list[NodeProcess] = []
        self._callers: list[list[HonestCaller]] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self._problems: list[BaseException] = []
        self._ids = 0
        self._shimmed = False

    def _active(self) -> tuple[str, ...]:
        at_s = self._loop.time() - self._began_s
        return tuple(f"{fault.kind.value}@{fault.target}" for fault in self._schedule.active(at_s))

    def _new_id(self) -> str:
        self._ids += 1
        return f"r{self._ids}"

    def _spawn(self, work: Coroutine[Any, Any, object]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[object]) -> None:
        """Keep what went wrong in the soak itself: its run tells nothing then."""
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self._problems.append(problem)

    async def play(self) -> Result:
        """Play the schedule to its end."""
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = Path(name)
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await self._start(folder)
                self._began_s = self._loop.time()
                for fault in self._schedule.faults:
                    self._spawn(self._play_fault(fault))
                await asyncio.sleep(self._schedule.seconds)
            finally:
                await self._end()
            if self._problems:
                raise self._problems[0]
            self._count_invariants()
        attempts = sum(len(request.attempts) for request in self.oracle.requests.values())
        return Result(
            tuple(self.oracle.violations),
            len(self.oracle.requests),
            attempts,
            dict(self.oracle.answers),
            self._shimmed,
            self._worst_lag_s,
        )

    async def _start(self, folder: Path) -> None:
        library = None
        with contextlib.suppress(NoCompiler):
            library = await asyncio.to_thread(build_shim, folder)
        self._shimmed = library is not None
        for server in self._servers:
            await server.start()
        for number in range(self._schedule.nodes):
            agents = [Agent(self._registry, self.oracle, number) for _ in range(2)]
            for agent in agents:
                await agent.start()
            view = NodeView(number, (f"{self._network}.{number + 1}", LISTEN_PORT))
            self._nodes.append(
                NodeProcess(self.oracle, view, agents, self._schedule.nodes, folder, self._root, library)
            )
        await asyncio.gather(*(node.start() for node in self._nodes))
        self._spawn(self._measure_lag())
        for node in self._nodes:
            callers = [self._caller(node, HonestCaller) for _ in range(CALLERS_A_NODE)]
            self._callers.append(callers)
            for caller in callers:
                self._spawn(caller.run(MEAN_GAP_S))

    def _caller(self, node: NodeProcess, make: type[CallerType]) -> CallerType:
        return make(self.oracle, node.view, random.Random(self._rng.getrandbits(64)), self._new_id)

    async def _measure_lag(self) -> None:
        """Widen the limits by how late the soak itself runs, and have agents count what is overdue."""
        recent = [0.0] * 25
        while True:
            due_s = self._loop.time() + LAG_EVERY_S
            await asyncio.sleep(LAG_EVERY_S)
            recent = [*recent[1:], self._loop.time() - due_s]
            self.oracle.slack_s = 2.0 * max(recent)
            self._worst_lag_s = max(self._worst_lag_s, recent[-1])
            for agent in self._registry.agents:
                agent.count_overdue()

    async def _end(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self._nodes:
            node.signal(signal.SIGCONT)
            await node.end()

    def _count_invariants(self) -> None:
        for node in self._nodes:
            for line in node.broken_invariants():
                self.oracle.report(Rule.INVARIANT, f"n{node.view.number}", line[-200:])

    # Faults

    async def _play_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind in SERVER_KINDS:
            await self._server_fault(fault, self._servers[fault.target % len(self._servers)])
        elif fault.kind.value.startswith("agent_"):
            await self._agent_fault(fault, self._nodes[fault.target % len(self._nodes)])
        elif fault.kind.value.startswith("callers_"):
            await self._callers_fault(fault, self._nodes[fault.target % len(self._nodes)])
        else:
            await self._node_fault(fault, self._nodes[fault.target % len(self._nodes)])

    async def _server_fault(self, fault: Fault, server: ServerStandIn) -> None:
        if fault.kind is FaultKind.SERVER_DRAIN:
            async with server.restarting:
                server.set_status(Status.LEAVING)
                await asyncio.sleep(fault.lasts_s + DRAINED_S)
                server.set_status(Status.LEFT)
                await asyncio.sleep(LEFT_S)
                server.die()
                await server.return_cold()
        elif fault.kind is FaultKind.SERVER_RESTART:
            async with server.restarting:
                server.die()
                await asyncio.sleep(fault.lasts_s)
                await server.return_cold()
        elif fault.kind.value.startswith("proxy_"):
            server.proxy.set_mode(ProxyMode(fault.kind.value.removeprefix("proxy_")))
            await asyncio.sleep(fault.lasts_s)
            server.proxy.set_mode(ProxyMode.GOOD)
        else:
            server.mode = ServerMode(fault.kind.value.removeprefix("server_"))
            await asyncio.sleep(fault.lasts_s)
            server.mode = ServerMode.GOOD

    async def _agent_fault(self, fault: Fault, node: NodeProcess) -> None:
        for agent in node.agents:
            if fault.kind is FaultKind.AGENT_RESETS:
                agent.reset_calls()
            else:
                agent.set_mode(AgentMode(fault.kind.value.removeprefix("agent_")))
        await asyncio.sleep(fault.lasts_s)
        for agent in node.agents:
            agent.set_mode(AgentMode.GOOD)

    async def _callers_fault(self, fault: Fault, node: NodeProcess) -> None:
        bad = [self._caller(node, BadCaller) for _ in range(BAD_CALLERS)]
        if fault.kind is FaultKind.CALLERS_LEAVE:
            for caller in self._callers[node.view.number]:
                caller.leaves_early = True
            await asyncio.sleep(fault.lasts_s)
            for caller in self._callers[node.view.number]:
                caller.leaves_early = False
        elif fault.kind is FaultKind.CALLERS_FLOOD:
            await asyncio.gather(*(caller.flood() for caller in bad))
        elif fault.kind is FaultKind.CALLERS_GARBAGE:
            await asyncio.gather(
                *(caller.garbage() for caller in bad), *(caller.garbage_behind_a_request() for caller in bad)
            )
        elif fault.kind is FaultKind.CALLERS_HALF:
            await asyncio.gather(*(caller.half() for caller in bad))
        else:
            await bad[0].crowd(fault.lasts_s)

    async def _node_fault(self, fault: Fault, node: NodeProcess) -> None:
        match fault.kind:
            case FaultKind.NODE_STOP:
                async with node.restarting:  # one that is being restarted is not told to end meanwhile
                    await node.stop()
                    await node.start()
            case FaultKind.NODE_KILL:
                async with node.restarting:
                    await node.kill()
                    await node.start()
            case FaultKind.NODE_PAUSE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.lasts_s)
                node.signal(signal.SIGCONT)
            case FaultKind.NODE_RELOAD:
                node.reload(move=True)
            case FaultKind.NODE_RELOADS:
                for _ in range(int(fault.lasts_s / RELOAD_EVERY_S) + 1):
                    node.reload(move=self._rng.random() < 0.5)
                    await asyncio.sleep(RELOAD_EVERY_S)
            case FaultKind.NODE_BAD_RELOAD:
                node.reload_badly()
            case FaultKind.LOG_STALLS:
                node.log_read.clear()
                await asyncio.sleep(fault.lasts_s)
                node.log_read.set()
            case _:
                await self._shim_fault(fault, node)

    async def _shim_fault(self, fault: Fault, node: NodeProcess) -> None:
        if node.shim is None:
            return None
        match fault.kind:
            case FaultKind.CLOCK_STEP:
                sign = 1 if self._rng.random() < 0.5 else -1
                return node.shim.set(Field.WALL_OFFSET_NS, sign * CLOCK_STEP_S * NS_PER_S)
            case FaultKind.ACCEPT_FAILS:
                field, error = Field.ACCEPT_ERRNO, self._rng.choice(ACCEPT_ERRORS)
            case FaultKind.SOCKET_FAILS:
                field, error = Field.SOCKET_ERRNO, errno.EMFILE
            case _:
                field, error = Field.LOG_ERRNO, self._rng.choice(LOG_ERRORS)
        node.shim.set(field, error)
        await asyncio.sleep(fault.lasts_s)
        node.shim.set(field, 0)


def play(schedule: Schedule, root: Path = ROOT) -> Result:
    """Play a schedule with the program that lies under `root`."""

    async def play_it() -> Result:
        return await Run(schedule, root).play()

    return uvloop.run(play_it())


Play = Callable[[Schedule], Result]
