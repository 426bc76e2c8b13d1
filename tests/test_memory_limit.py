"""The memory of a node's process stays within `limits.memory_mb`, whatever its peers send.

Peers are clients, servers and the discovery agent. The platform kills a node over its limit, and all its
clients lose their requests. The limits of these tests are the lowest that a deployment may set.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import string
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from standins.endpoint_list import render_endpoint_list
from standins.readiness import is_ready
from tests.memory_sampler import MemorySampler, sampled_program
from tests.peers import HANG, Client, NodeEnvironment, Server, node_environment, render_response, request, run

MEMORY_MB = 32
DESCRIPTORS = 256
# A few less than the clients that the node admits at this limit, so that none is turned away.
PEER_COUNT = 135
MAX_BODY_BYTES = 64 * 1024

HEAD = b"POST /pay HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: q\r\nX-Budget: 20\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Distinct headers without values, which fit into the 16 KiB that a head may have.
EMPTY_HEADERS = b"".join(
    b"%s:\r\n" % bytes(letters)
    for letters in itertools.islice(itertools.product(string.ascii_lowercase.encode(), repeat=3), 2600)
)
UNFINISHED_REQUESTS = {
    "one long body": HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES + b"x" * (MAX_BODY_BYTES - 1),
    "chunks of two bytes": CHUNKED_HEAD + b"2\r\nab\r\n" * (MAX_BODY_BYTES // 2 - 1),
    "short headers": HEAD + EMPTY_HEADERS,
    "short trailers": CHUNKED_HEAD + b"0\r\n" + EMPTY_HEADERS,
}

CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFINISHED_RESPONSE = CHUNKED_RESPONSE_HEAD + b"2\r\nab\r\n" * (MAX_BODY_BYTES // 2 - 1)
SERVER_COUNT = 20  # a node that has just started sends each server few requests at a time
REQUEST_COUNT = 60
MAX_LIST_BYTES = 2_000_000  # 7 MB in chunks of two bytes, of the 8 MiB that a list may have
LONG_RESPONSE = render_response(200, b"x" * MAX_BODY_BYTES)
ENDLESS_TRAILER = CHUNKED_HEAD + b"0\r\nX-Pad: " + b"x" * 60_000_000
MAX_ERROR_DELAY_S = 6.0  # holds for peers that have 60 MB to send


def requests_with_long_queries(client: int) -> bytes:
    """Render more requests of one client than the node queues, for a single write."""
    query = "?" + "x" * 15_000
    return b"".join(request(f"{client}-{number}", "pay", budget="2", query=query) for number in range(30))


def requests_with_long_bodies(client: int) -> bytes:
    """Render more requests of one client than the node queues, for a single write."""
    body = b"x" * MAX_BODY_BYTES
    return b"".join(request(f"{client}-{number}", "pay", budget="2", body=body) for number in range(10))


@contextlib.asynccontextmanager
async def limited_program(
    folder: Path, *servers: Server
) -> AsyncIterator[tuple[NodeEnvironment, MemorySampler]]:
    """Run the program with servers at the lowest limits, and sample its memory."""
    async with (
        node_environment(
            folder, *servers, start=False, sockets=DESCRIPTORS, memory_mb=MEMORY_MB
        ) as environment,
        sampled_program(environment) as sampler,
    ):
        yield environment, sampler


async def send_and_await_error(environment: NodeEnvironment, data: bytes) -> None:
    """Send data on a new connection, and wait for an error or a close."""
    with contextlib.suppress(ConnectionError):
        client: Client = await environment.client()
        client.write(data)
        assert (await client.read()).status >= 400


@pytest.mark.parametrize("data", UNFINISHED_REQUESTS.values(), ids=UNFINISHED_REQUESTS.keys())
def test_many_unfinished_requests_stay_within_the_memory_limit(data: bytes, tmp_path: Path) -> None:
    """Guards against a node that is killed because requests in small parts take many times their length."""

    async def test() -> None:
        async with limited_program(tmp_path, Server()) as (environment, sampler):
            await asyncio.gather(*(send_and_await_error(environment, data) for _ in range(PEER_COUNT)))
            assert await is_ready(*environment.address)
            assert sampler.peak_mb < MEMORY_MB

    run(test())


def test_an_endless_trailer_is_rejected_in_time_and_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a node that collects a trailer without a limit and copies it anew with each read."""

    async def test() -> None:
        async with limited_program(tmp_path, Server()) as (environment, sampler):
            async with asyncio.timeout(MAX_ERROR_DELAY_S):
                await send_and_await_error(environment, ENDLESS_TRAILER)
                assert await is_ready(*environment.address)
            assert sampler.peak_mb < MEMORY_MB

    run(test())


@pytest.mark.parametrize("render", [requests_with_long_queries, requests_with_long_bodies])
def test_pipelined_requests_behind_a_slow_one_stay_within_the_memory_limit(
    render: Callable[[int], bytes], tmp_path: Path
) -> None:
    """Guards against a node that is killed because it reads far ahead of the request that it serves."""

    async def test() -> None:
        async with limited_program(tmp_path, Server(default=HANG)) as (environment, sampler):
            await asyncio.gather(
                *(send_and_await_error(environment, render(client)) for client in range(PEER_COUNT))
            )
            assert sampler.peak_mb < MEMORY_MB

    run(test())


def test_responses_in_small_chunks_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a node that is killed because responses in small parts take many times their length."""

    async def test() -> None:
        servers = [Server(default=UNFINISHED_RESPONSE, name=f"s{number}") for number in range(SERVER_COUNT)]
        async with limited_program(tmp_path, *servers) as (environment, sampler):
            requests = [request(f"{number}", "pay", budget="2") for number in range(REQUEST_COUNT)]
            await asyncio.gather(*(send_and_await_error(environment, data) for data in requests))
            assert sum(len(server.received) for server in servers) >= REQUEST_COUNT / 2
            assert sampler.peak_mb < MEMORY_MB

    run(test())


def test_an_endpoint_list_in_small_chunks_is_used_and_stays_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a node that is killed because a list in small parts takes many times its length."""

    async def test() -> None:
        server = Server()
        async with node_environment(
            tmp_path, server, start=False, sockets=DESCRIPTORS, memory_mb=MEMORY_MB, has_cached_list=False
        ) as environment:
            listed = render_endpoint_list(1, [server.entry()], complete=True).ljust(MAX_LIST_BYTES)
            chunks = b"".join(
                b"2\r\n%s\r\n" % listed[start : start + 2] for start in range(0, MAX_LIST_BYTES, 2)
            )
            environment.agent.faulty_responses.append(CHUNKED_RESPONSE_HEAD + chunks + b"0\r\n\r\n")
            async with sampled_program(environment) as sampler:
                assert (await environment.send_request("a")).status == 200
                assert not environment.agent.faulty_responses
                assert sampler.peak_mb < MEMORY_MB

    run(test())


def test_long_responses_on_many_connections_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a node that is killed because idle and closed connections keep a response."""

    async def test() -> None:
        servers = [Server(default=LONG_RESPONSE, name=f"s{number}") for number in range(SERVER_COUNT)]
        async with limited_program(tmp_path, *servers) as (environment, sampler):
            clients = [await environment.client() for _ in range(PEER_COUNT)]
            for _ in range(5):
                for number, client in enumerate(clients):
                    client.write(request(f"{number}", "pay"))
                await asyncio.gather(*(client.read() for client in clients))
            assert sampler.peak_mb < MEMORY_MB

    run(test())
