"""Plays the faults of a schedule on a run's nodes, servers, discovery agents and clients."""

from __future__ import annotations

import asyncio
import errno
import random
import signal
from collections.abc import Callable, Sequence

from soak.clients import NodeView, PatientClient
from soak.discovery import AgentMode, Status
from soak.faulty_clients import FaultyClient
from soak.node_process import NodeProcess
from soak.proxy import ProxyMode
from soak.schedule import RESTART_KINDS, SERVER_KINDS, Fault, FaultKind
from soak.servers import ServerMode, SimulatedServer
from soak.shim import NS_PER_S, Field, ShimControl

CLOCK_STEP_S = 3600
RELOAD_INTERVAL_S = 0.2
SIGNALS_BEFORE_STOP = 3
SIGNAL_INTERVAL_S = 0.15
CROWD_CLIENTS = 100  # the descriptors of a node allow 140
FAULTY_CLIENTS_PER_FAULT = 4
REMOVAL_DELAY_S = 1.5  # a draining server is removed from the list this long after the end of the fault
CRASH_AFTER_REMOVAL_S = 0.5
ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED)
LOG_ERRORS = (errno.ENOSPC, errno.EIO)


class FaultPlayer:
    """Starts and ends each fault at its time."""

    def __init__(
        self,
        servers: Sequence[SimulatedServer],
        nodes: Sequence[NodeProcess],
        clients: Sequence[Sequence[PatientClient]],
        make_faulty_client: Callable[[NodeView], FaultyClient],
        rng: random.Random,
    ) -> None:
        """`clients` lists the clients of each node, by node number."""
        self._servers = servers
        self._nodes = nodes
        self._clients = clients
        self._make_faulty_client = make_faulty_client
        self._rng = rng

    async def play(self, fault: Fault) -> None:
        """Wait until the start of a fault and play it to its end."""
        await asyncio.sleep(fault.at_s)
        if fault.kind in SERVER_KINDS:
            await self._play_server_fault(fault, self._servers[fault.target % len(self._servers)])
            return
        node = self._nodes[fault.target % len(self._nodes)]
        if fault.kind.value.startswith("agent_"):
            await self._play_agent_fault(fault, node)
        elif fault.kind.value.startswith("callers_"):
            await self._play_client_fault(fault, node)
        else:
            await self._play_node_fault(fault, node)

    # Servers

    async def _play_server_fault(self, fault: Fault, server: SimulatedServer) -> None:
        if fault.kind is FaultKind.SERVER_DRAIN:
            await self._drain(server, fault.lasts_s)
        elif fault.kind is FaultKind.SERVER_RESTART:
            await self._restart(server, fault.lasts_s)
        elif fault.kind.value.startswith("proxy_"):
            server.proxy.set_mode(ProxyMode(fault.kind.value.removeprefix("proxy_")))
            await asyncio.sleep(fault.lasts_s)
            server.proxy.set_mode(ProxyMode.NORMAL)
        else:
            server.set_mode(ServerMode(fault.kind.value.removeprefix("server_")))
            await asyncio.sleep(fault.lasts_s)
            server.set_mode(ServerMode.NORMAL)

    async def _drain(self, server: SimulatedServer, lasts_s: float) -> None:
        async with server.restarting:
            server.set_status(Status.DRAINING)
            await asyncio.sleep(lasts_s + REMOVAL_DELAY_S)
            server.set_status(Status.REMOVED)
            await asyncio.sleep(CRASH_AFTER_REMOVAL_S)
            server.crash()
            await server.restart_cold()

    async def _restart(self, server: SimulatedServer, lasts_s: float) -> None:
        async with server.restarting:
            server.crash()
            await asyncio.sleep(lasts_s)
            await server.restart_cold()

    # Discovery

    async def _play_agent_fault(self, fault: Fault, node: NodeProcess) -> None:
        for agent in node.agents:
            if fault.kind is FaultKind.AGENT_RESETS:
                agent.reset_connections()
            else:
                agent.set_mode(AgentMode(fault.kind.value.removeprefix("agent_")))
        await asyncio.sleep(fault.lasts_s)
        for agent in node.agents:
            agent.set_mode(AgentMode.NORMAL)

    # Clients

    async def _play_client_fault(self, fault: Fault, node: NodeProcess) -> None:
        faulty = [self._make_faulty_client(node.view) for _ in range(FAULTY_CLIENTS_PER_FAULT)]
        match fault.kind:
            case FaultKind.CALLERS_LEAVE:
                await self._disconnect_early(self._clients[node.view.number], fault.lasts_s)
            case FaultKind.CALLERS_FLOOD:
                await asyncio.gather(*(client.flood() for client in faulty))
            case FaultKind.CALLERS_GARBAGE:
                await asyncio.gather(
                    *(client.send_garbage() for client in faulty),
                    *(client.send_garbage_after_request() for client in faulty),
                )
            case FaultKind.CALLERS_CROWD:
                crowd = [self._make_faulty_client(node.view) for _ in range(CROWD_CLIENTS)]
                await asyncio.gather(*(client.send_unfinished_long_request() for client in crowd))
            case FaultKind.CALLERS_HALF:
                await asyncio.gather(*(client.send_half_request() for client in faulty))
            case _:
                await faulty[0].hold_idle_connections(fault.lasts_s)

    async def _disconnect_early(self, clients: Sequence[PatientClient], lasts_s: float) -> None:
        for client in clients:
            client.disconnects_early = True
        await asyncio.sleep(lasts_s)
        for client in clients:
            client.disconnects_early = False

    # Nodes

    async def _play_node_fault(self, fault: Fault, node: NodeProcess) -> None:
        match fault.kind:
            case kind if kind in RESTART_KINDS:
                async with node.restarting:  # no other restart until the new process is ready
                    await self._restart_node(fault, node)
            case FaultKind.NODE_PAUSE:
                await self._pause(node, fault.lasts_s)
            case FaultKind.NODE_RELOAD:
                node.reload(change_agent=True)
            case FaultKind.NODE_RELOADS:
                await self._reload_repeatedly(node, fault.lasts_s)
            case FaultKind.NODE_BAD_RELOAD:
                node.reload_invalid_config()
            case FaultKind.LOG_STALLS:
                await self._stall_log(node, fault.lasts_s)
            case _ if node.shim is not None:
                await self._play_shim_fault(fault, node.shim)

    async def _restart_node(self, fault: Fault, node: NodeProcess) -> None:
        match fault.kind:
            case FaultKind.NODE_STOP:
                await node.stop()
            case FaultKind.NODE_SIGNALS:
                await self._stop_with_signals(node)
            case _:
                await node.kill()
        if fault.kind is FaultKind.NODE_LATE_LIST:
            await asyncio.sleep(fault.lasts_s)  # the endpoint list may change in this time
            await self._start_with_late_list(node)
        else:
            await node.start()

    async def _stop_with_signals(self, node: NodeProcess) -> None:
        """Stop a node while it gets SIGHUP and SIGTERM in turn, the first ones shortly before the stop."""
        for _ in range(SIGNALS_BEFORE_STOP):
            node.reload(change_agent=True)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        signals = asyncio.create_task(self._repeat_signals(node))
        await node.stop()
        signals.cancel()

    async def _repeat_signals(self, node: NodeProcess) -> None:
        while True:
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            node.reload(change_agent=True)
            node.signal(signal.SIGTERM)

    async def _start_with_late_list(self, node: NodeProcess) -> None:
        for agent in node.agents:
            agent.set_mode(AgentMode.LATE)
        await node.start()
        for agent in node.agents:
            agent.set_mode(AgentMode.NORMAL)

    async def _pause(self, node: NodeProcess, lasts_s: float) -> None:
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts_s)
        node.signal(signal.SIGCONT)

    async def _reload_repeatedly(self, node: NodeProcess, lasts_s: float) -> None:
        for _ in range(int(lasts_s / RELOAD_INTERVAL_S) + 1):
            node.reload(change_agent=self._rng.random() < 0.5)
            await asyncio.sleep(RELOAD_INTERVAL_S)

    async def _stall_log(self, node: NodeProcess, lasts_s: float) -> None:
        node.log.may_read.clear()
        await asyncio.sleep(lasts_s)
        node.log.may_read.set()

    # System calls and clocks

    async def _play_shim_fault(self, fault: Fault, shim: ShimControl) -> None:
        match fault.kind:
            case FaultKind.CLOCK_STEP:
                sign = 1 if self._rng.random() < 0.5 else -1
                shim.set(Field.WALL_OFFSET_NS, sign * CLOCK_STEP_S * NS_PER_S)
            case FaultKind.ACCEPT_FAILS:
                await self._fail_calls(shim, Field.ACCEPT_ERRNO, self._rng.choice(ACCEPT_ERRORS), fault)
            case FaultKind.SOCKET_FAILS:
                await self._fail_calls(shim, Field.SOCKET_ERRNO, errno.EMFILE, fault)
            case _:
                await self._fail_calls(shim, Field.LOG_ERRNO, self._rng.choice(LOG_ERRORS), fault)

    async def _fail_calls(self, shim: ShimControl, field: Field, error: int, fault: Fault) -> None:
        """Make the system calls that `field` controls fail with `error` for the duration of the fault."""
        shim.set(field, error)
        await asyncio.sleep(fault.lasts_s)
        shim.set(field, 0)
