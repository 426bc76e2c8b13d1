"""The resident memory of a node stays within its limit with as many clients as its descriptors allow.

The limits are the least memory and the most descriptors that a deployment may set. The platform kills a node
over its limit, and all its clients lose their requests.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest

from standins.readiness import is_ready
from tests.memory_sampler import sampled_program
from tests.peers import Client, NodeEnvironment, Server, node_environment, render_response, request, run

MEMORY_MB = 32
DESCRIPTORS = 1024
CLIENT_COUNT = 540  # a few less than the descriptors allow; memory allows fewer
ROUNDS = 2  # the second shows whether the memory of the first can be used again
SERVER_COUNT = 20
MANY_SERVERS = 100
MAX_BODY_BYTES = 64 * 1024
MAX_NAME_BYTES = 15_000
# A name with one character outside the basic plane takes four bytes a character in memory.
LONG_NAME = "\N{GRINNING FACE}" + "t" * MAX_NAME_BYTES


def unfinished_body(client: int) -> bytes:
    """Render a request without the last byte of its body."""
    return request(f"{client}", "pay", budget="2", body=b"x" * MAX_BODY_BYTES)[:-1]


def complete_body(client: int) -> bytes:
    """Render a request with a body of the greatest length."""
    return request(f"{client}", "pay", budget="2", body=b"x" * MAX_BODY_BYTES)


def long_names(client: int) -> bytes:
    """Render requests in one write, each with a tenant of a long name."""
    tenant = f"X-Caller: {LONG_NAME}\r\n"
    return b"".join(
        request(f"{client}-{number}", "pay", budget="2", body=b"x", extra=tenant) for number in range(12)
    )


def short_request(client: int) -> bytes:
    """Render a request without a body."""
    return request(f"{client}", budget="2")


async def send_and_read(environment: NodeEnvironment, data: bytes) -> None:
    """Send data on a new connection, wait for a response or a close, and close the connection."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        client: Client = await environment.client()
        client.write(data)
        await client.read()
        client.writer.close()


async def play_clients(folder: Path, servers: list[Server], render: Callable[[int], bytes]) -> float:
    """Have all clients send what is rendered for each, and return the peak of resident memory in MB."""
    async with (
        node_environment(
            folder, *servers, start=False, sockets=DESCRIPTORS, memory_mb=MEMORY_MB
        ) as environment,
        sampled_program(environment) as sampler,
    ):
        for _ in range(ROUNDS):
            clients = (send_and_read(environment, render(client)) for client in range(CLIENT_COUNT))
            await asyncio.gather(*clients)
        assert await is_ready(*environment.address)
        return sampler.peak_resident_mb()


def test_resident_memory_stays_within_the_limit_while_servers_stop_in_long_responses(tmp_path: Path) -> None:
    """Guards against a node that is killed for the responses that its servers have not completed."""

    async def test() -> None:
        unfinished = render_response(200, b"x" * MAX_BODY_BYTES)[:-1]
        servers = [Server(default=unfinished, name=f"s{number}") for number in range(MANY_SERVERS)]
        assert await play_clients(tmp_path, servers, short_request) < MEMORY_MB

    run(test())


@pytest.mark.parametrize("render", [unfinished_body, complete_body, long_names])
def test_resident_memory_stays_within_the_limit(render: Callable[[int], bytes], tmp_path: Path) -> None:
    """Guards against a node that is killed because it counts less than its clients make it keep."""

    async def test() -> None:
        servers = [Server(name=f"s{number}") for number in range(SERVER_COUNT)]
        assert await play_clients(tmp_path, servers, render) < MEMORY_MB

    run(test())
