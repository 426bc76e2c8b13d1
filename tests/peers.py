"""Runs a node with scripted servers, clients and a discovery agent on 127.0.0.1, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from standins.client import ClientConnection
from standins.endpoint_list import endpoint_list
from standins.messages import Message, read_message, render_request, render_response
from standins.node_config import node_config
from standins.scripted import (
    CLOSE,
    HANG,
    RESET,
    ScriptedDiscoveryAgent,
    ScriptedListener,
    ScriptedServer,
)
from standins.sockets import free_port, hanging_listener
from tests.test_wire import SETTINGS
from workspond.config import read_config
from workspond.node import Node

__all__ = [
    "CLOSE",
    "HANG",
    "RESET",
    "WAIT_TIMEOUT_S",
    "Client",
    "Message",
    "NodeEnvironment",
    "ScriptedDiscoveryAgent",
    "ScriptedListener",
    "Server",
    "free_port",
    "hanging_listener",
    "node_environment",
    "read_message",
    "render_response",
    "request",
    "run",
    "settings",
    "until",
]

WAIT_TIMEOUT_S = 30.0  # long enough that a busy machine does not make a test fail
POLL_INTERVAL_S = 0.005
SEED = "8c1f30d27a5be964"

DEFAULT_RESPONSE = render_response()


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on uvloop, the event loop of the program, with a time limit."""

    async def run_with_timeout() -> None:
        await asyncio.wait_for(test, 2 * WAIT_TIMEOUT_S)

    uvloop.run(run_with_timeout())


async def until(done: Callable[[], bool]) -> None:
    """Wait until `done` returns true; raises `TimeoutError` after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            if done():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


class Server(ScriptedServer):
    """A scripted server whose default response has status 200."""

    def __init__(
        self, *script: bytes, default: bytes = DEFAULT_RESPONSE, name: str = "s", group: int = 0
    ) -> None:
        super().__init__(*script, default=default, name=name, group=group)


class Client(ClientConnection):
    """A client's connection, which renders the requests that it sends."""

    async def send_request(self, *args: Any, **kwargs: Any) -> Message:
        """Send a request, rendered from the arguments of `request`, and read the response."""
        return await self.send(request(*args, **kwargs))


def request(
    request_id: str,
    cls: str = "read",
    budget: str = "20",
    *,
    body: bytes = b"",
    extra: str = "",
    query: str = "",
) -> bytes:
    """Render a request as clients send it; the class determines the method."""
    return render_request(
        request_id, cls, budget, body, host="api.internal", extra_headers=extra, query=query
    )


@dataclass
class NodeEnvironment:
    """A node with its servers, its discovery agent and its clients.

    Attributes:
        config: The node's configuration as first written to its file.
        path: The configuration file.
        agent: The discovery agent.
        servers: The servers that are stopped with the environment.
        node: The node that runs in this process, if one has been started.
        address: The address at which the node, in this or another process, accepts clients.
        clients: The clients that are closed with the environment.
        processes: The processes that are killed with the environment if they are still running.
    """

    config: dict[str, Any]
    path: Path
    agent: ScriptedDiscoveryAgent
    servers: list[Server]
    node: Node | None = None
    address: tuple[str, int] = ("", 0)
    clients: list[Client] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)

    def write_config(self, **changes: Any) -> None:
        """Write the configuration file again, with the new value of each changed key."""
        self.path.write_text(json.dumps(self.config | changes))

    async def start_node(self) -> None:
        """Start a node in this process with the current configuration file."""
        loop = asyncio.get_running_loop()
        node = self.node = Node(read_config(str(self.path)), loop)
        self.address = await node.frontend.listen(loop, ("127.0.0.1", 0))
        node.start()

    async def client(self) -> Client:
        """Open a connection of a new client to the node."""
        client = Client(*await asyncio.open_connection(*self.address), timeout_s=WAIT_TIMEOUT_S)
        self.clients.append(client)
        return client

    async def send_request(self, *args: Any, **kwargs: Any) -> Message:
        """Send a request on a new connection and read the response."""
        return await (await self.client()).send_request(*args, **kwargs)

    async def close(self) -> None:
        """Close all clients and stop the processes, the servers, the agent and the node."""
        for client in self.clients:
            client.writer.close()
        # A process left over from a failed test could call ports that later tests use.
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for peer in (self.agent, *self.servers):
            await peer.stop()
        if self.node is not None:
            await self.node.stop(0.0)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a node with some changes.

    Args:
        changes: The new value of each changed key; a dictionary is merged into the object at that key.
    """
    env: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    env["permissions"]["connect_timeout_ms"] = 5000.0
    env["rules"]["ask_every_ms"] = 200.0  # so that failed discovery calls are repeated soon
    env["tenants"] = []
    for cls in env["classes"]:
        cls |= {"objective_ms": 500.0, "give_up_ms": 20_000.0, "dedup_scope": "cell"}
        cls["window_ms"] = 10_000.0
    for name, value in changes.items():
        env[name] = env[name] | value if isinstance(value, dict) else value
    return env


@contextlib.asynccontextmanager
async def node_environment(
    folder: Path,
    *servers: Server,
    start: bool = True,
    sockets: int = 1024,
    memory_mb: int = 192,
    has_cached_list: bool = True,
    **changes: Any,
) -> AsyncIterator[NodeEnvironment]:
    """Run a discovery agent, these servers and a node with its configuration file.

    Args:
        folder: The folder of the configuration file.
        servers: The servers that the discovery agent lists.
        start: Whether to start a node in this process.
        sockets: The limit on file descriptors in the configuration.
        memory_mb: The limit on memory in the configuration.
        has_cached_list: Whether the cached endpoint list of the configuration contains the servers.
        changes: Changes to the settings, as for `settings`.
    """
    agent = ScriptedDiscoveryAgent()
    for peer in (agent, *servers):
        await peer.start()
    agent.endpoints = [server.entry() for server in servers]
    config = node_config(
        "n0",
        listen="127.0.0.1:0",
        discovery=agent.address,
        seed=SEED,
        limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        settings=settings(**changes),
        known=endpoint_list(1, agent.endpoints if has_cached_list else [], complete=True),
    )
    environment = NodeEnvironment(config, folder / "config.json", agent, list(servers))
    environment.write_config()
    if start:
        await environment.start_node()
    try:
        yield environment
    finally:
        await environment.close()
