"""A node whose descriptors are used up by idle clients while the discovery agent is down."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from enum import Enum
from pathlib import Path

import pytest

from tests.peers import HANG, Client, ScriptedDiscoveryAgent, Server, node_environment, request, run, until
from tests.program import Program

# The update latency is measured from the agent's recovery to the node's next watch, and the reload latency
# from SIGHUP to the first watch at the new agent.
MAX_UPDATE_LATENCY_S = 6.0
MAX_RELOAD_LATENCY_S = 4.0
PENDING_REQUEST_COUNT = 4
READY_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"

Address = tuple[str, int]


class AgentFailure(Enum):
    """How calls to the discovery agent fail."""

    REFUSED = "refused"
    SILENT = "silent"


@pytest.fixture
def raised_descriptor_limit() -> Iterator[None]:
    """Raise the descriptor limit of the test process, which needs more sockets than the program."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = 4096 if hard == resource.RLIM_INFINITY else min(4096, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class IdleClients:
    """Many clients that connect and send nothing."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []

    async def connect(self, count: int) -> None:
        """Connect a number of further clients."""
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
    """Send a request on one new connection after another until a response arrives; return its status."""
    while True:
        # The client raises an AssertionError if its connection is closed without a response.
        with contextlib.suppress(ConnectionError, AssertionError):
            client = Client(*await asyncio.open_connection(*address))
            try:
                client.write(data)
                return (await client.read()).status
            finally:
                client.writer.close()
        await asyncio.sleep(0.02)


async def until_ready(address: Address) -> None:
    """Wait until the program is ready to serve requests."""
    while True:
        if await status_of(address, READY_CHECK) == 200:
            return
        await asyncio.sleep(0.05)


async def send_pending_requests(address: Address) -> list[Client]:
    """Connect clients that send one request each and do not wait for the response."""
    clients = []
    for number in range(PENDING_REQUEST_COUNT):
        client = Client(*await asyncio.open_connection(*address))
        client.write(request(f"pending-{number}"))
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
async def running_peers(*peers: Server | ScriptedDiscoveryAgent) -> AsyncIterator[None]:
    """Run peers that do not belong to a node environment."""
    for peer in peers:
        await peer.start()
    try:
        yield
    finally:
        for peer in peers:
            await peer.stop()


@pytest.mark.usefixtures("raised_descriptor_limit")
@pytest.mark.parametrize("limit", [256, 512, 1024])
@pytest.mark.parametrize("failure", AgentFailure, ids=lambda failure: failure.value)
def test_a_node_at_its_descriptor_limit_serves_requests_applies_updates_and_reloads(
    limit: int, failure: AgentFailure, tmp_path: Path
) -> None:
    old = Server(default=HANG, name="old")
    new = Server(name="new")
    other = Server(name="other")
    other_agent = ScriptedDiscoveryAgent()

    async def test() -> None:
        async with (
            running_peers(new, other, other_agent),
            node_environment(
                tmp_path, old, start=False, sockets=limit, membership_mode="pushed", tier=1
            ) as environment,
        ):
            other_agent.endpoints = [other.entry()]
            fail_agent(environment.agent, failure)
            program = await Program.start(environment, descriptors=limit)
            assert await status_of(environment.address, READY_CHECK) in (200, 500)
            idle = IdleClients(environment.address)
            await idle.connect(limit + 100)
            await until_ready(environment.address)  # uses the endpoints of the configuration file
            pending = await send_pending_requests(environment.address)
            await until(
                lambda: len({message.request_id for message in old.received}) == PENDING_REQUEST_COUNT
            )
            await idle.connect(limit + 100)
            assert await status_of(environment.address, READY_CHECK) == 200

            environment.agent.endpoints = [new.entry()]
            async with asyncio.timeout(MAX_UPDATE_LATENCY_S):
                await restore_agent(environment.agent, failure)
                await idle.connect(limit + 100)
                await until(lambda: environment.agent.watches() >= 1)
            assert await status_of(environment.address, request("fresh")) == 200
            assert "fresh" in [message.request_id for message in new.received]

            # The node must have kept a descriptor free to open the new configuration file.
            await idle.connect(limit + 100)
            environment.write_config(discovery=other_agent.address)
            program.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(MAX_RELOAD_LATENCY_S):
                await until(lambda: other_agent.watches() >= 1)
            assert await status_of(environment.address, request("moved")) == 200
            assert [message.request_id for message in other.received] == ["moved"]

            for client in pending:
                client.writer.close()
            idle.close()

    run(test())
