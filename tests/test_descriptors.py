"""A process whose descriptors idle clients use up, by a real limit, while the discovery agent is down."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from enum import Enum
from pathlib import Path

import pytest

from tests.peers import HANG, Client, ScriptedDiscoveryAgent, Server, node_environment, request, run, until
from tests.program import Program

MAX_UPDATE_LATENCY_S = 6.0  # from the agent's return to the node's next watch
MAX_RELOAD_LATENCY_S = 4.0  # from SIGHUP to a watch at the new address
PENDING_REQUESTS = 4  # clients that wait for a response
READY_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"

Address = tuple[str, int]


class AgentFailure(Enum):
    """How calls to the discovery agent fail."""

    REFUSED = "refused"
    SILENT = "silent"


@pytest.fixture
def sockets_for_clients() -> Iterator[None]:
    """A higher limit for the test itself: it holds as many sockets as the program, and more."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4096 if hard == resource.RLIM_INFINITY else min(4096, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class IdleClients:
    """Clients that connect and send nothing, many at once."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []

    async def connect(self, count: int) -> None:
        """Connect so many more."""
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                client.connect(self._address)
            self._sockets.append(client)
        await asyncio.sleep(0)

    def close(self) -> None:
        for client in self._sockets:
            client.close()


async def status_of(address: Address, data: bytes) -> int:
    """Send a request, each time on a new connection, until one is not closed unread; its status."""
    while True:
        with contextlib.suppress(ConnectionError, AssertionError):  # closed: "closed without an answer"
            client = Client(*await asyncio.open_connection(*address))
            try:
                client.write(data)
                return (await client.read()).status
            finally:
                client.writer.close()
        await asyncio.sleep(0.02)


async def until_ready(address: Address) -> None:
    """Wait until the program has endpoints to send to."""
    while True:
        if await status_of(address, READY_CHECK) == 200:
            return
        await asyncio.sleep(0.05)


async def send_pending_requests(address: Address) -> list[Client]:
    """Clients with a request each to which there is no response yet."""
    clients = []
    for number in range(PENDING_REQUESTS):
        client = Client(*await asyncio.open_connection(*address))
        client.write(request(f"held-{number}"))
        clients.append(client)
    return clients


def fail_agent(agent: ScriptedDiscoveryAgent, failure: AgentFailure) -> None:
    if failure is AgentFailure.REFUSED:
        agent._server.close()
    else:
        agent.may_respond.clear()


async def restore_agent(agent: ScriptedDiscoveryAgent, failure: AgentFailure) -> None:
    if failure is AgentFailure.REFUSED:
        host, _, port = agent.address.rpartition(":")
        agent._server = await asyncio.start_server(agent._serve, host, int(port))
    agent.may_respond.set()


@contextlib.asynccontextmanager
async def started(*peers: Server | ScriptedDiscoveryAgent) -> AsyncIterator[None]:
    """Peers that run apart from those of a scene."""
    for peer in peers:
        await peer.start()
    try:
        yield
    finally:
        for peer in peers:
            await peer.stop()


@pytest.mark.usefixtures("sockets_for_clients")
@pytest.mark.parametrize("limit", [256, 512, 1024])
@pytest.mark.parametrize("failure", AgentFailure, ids=lambda failure: failure.value)
def test_a_node_full_of_idle_callers_hears_discovery_again_and_serves(
    limit: int, failure: AgentFailure, tmp_path: Path
) -> None:
    old = Server(default=HANG, name="old")
    new = Server(name="new")
    other = Server(name="other")
    agent_elsewhere = ScriptedDiscoveryAgent()

    async def test() -> None:
        async with (
            started(new, other, agent_elsewhere),
            node_environment(
                tmp_path, old, start=False, sockets=limit, membership_mode="pushed", tier=1
            ) as environment,
        ):
            agent_elsewhere.endpoints = [other.entry()]
            fail_agent(environment.agent, failure)
            program = await Program.start(environment, descriptors=limit)
            assert await status_of(environment.address, READY_CHECK) in (200, 500)
            idle = IdleClients(environment.address)
            await idle.connect(limit + 100)
            await until_ready(environment.address)  # by its cached endpoints
            pending = await send_pending_requests(environment.address)
            await until(lambda: len({seen.request_id for seen in old.received}) == PENDING_REQUESTS)
            await idle.connect(limit + 100)
            assert await status_of(environment.address, READY_CHECK) == 200

            environment.agent.endpoints = [new.entry()]
            async with asyncio.timeout(MAX_UPDATE_LATENCY_S):
                await restore_agent(environment.agent, failure)
                await idle.connect(limit + 100)
                await until(lambda: environment.agent.watches() >= 1)
            assert await status_of(environment.address, request("fresh")) == 200
            assert "fresh" in [seen.request_id for seen in new.received]

            # A new configuration is a file to open: there is a descriptor left for it.
            await idle.connect(limit + 100)
            environment.path.write_text(
                json.dumps(environment.config | {"discovery": agent_elsewhere.address})
            )
            program.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(MAX_RELOAD_LATENCY_S):
                await until(lambda: agent_elsewhere.watches() >= 1)
            assert await status_of(environment.address, request("moved")) == 200
            assert [seen.request_id for seen in other.received] == ["moved"]

            for client in pending:
                client.writer.close()
            idle.close()

    run(test())
