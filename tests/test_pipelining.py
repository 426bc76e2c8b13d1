"""Requests sent ahead on a connection: whatever has been read gets its own response, in order."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.client_helpers import open_connections, open_requests, running_node
from tests.peers import Server, node_environment, render_response, request, run, until

PIPELINED = 20  # more requests than the node queues


def requests(count: int) -> bytes:
    """So many requests, for one write."""
    return b"".join(request(f"{number}") for number in range(count))


def test_a_flood_of_requests_in_one_write_is_answered_one_by_one(tmp_path: Path) -> None:
    """A full queue must not end the connection with an error in place of the responses."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(requests(PIPELINED))
            assert [(await client.read()).status for _ in range(PIPELINED)] == [200] * PIPELINED
            assert (await client.send_request("after")).status == 200
            assert [seen.request_id for seen in server.received] == [
                *(f"{n}" for n in range(PIPELINED)),
                "after",
            ]

    run(test())


FIRST_REQUEST = request("first")
INCOMPLETE_REQUEST = request("second", "pay", body=b"whole")[:-2]
INVALID_TAILS = {
    "noise": b"noise\r\n\r\n",
    "no class": request("second", "nonsense"),
    "half a request": INCOMPLETE_REQUEST,
}


@pytest.mark.parametrize("tail", INVALID_TAILS.values(), ids=INVALID_TAILS.keys())
@pytest.mark.parametrize("hangs", [True, False], ids=["server hangs", "server answers"])
def test_a_request_has_its_own_answer_before_the_error_for_what_came_behind_it(
    tail: bytes, hangs: bool, tmp_path: Path
) -> None:
    """The error must not replace the response: else the client can't tell what has become of its request.

    What is invalid is answered within 3 s, though the request before it has 20 s.
    """

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            began_s = time.monotonic()
            client.write(FIRST_REQUEST)
            await until(lambda: len(server.received) == 1)
            client.write(tail)
            if not hangs:
                await asyncio.sleep(0.1)
                server.may_respond.set()
            first = await client.read()
            error = await client.read()
            assert first.status == (504 if hangs else 200)
            assert error.status == (408 if tail == INCOMPLETE_REQUEST else 400)
            assert error.headers["connection"] == "close"
            assert await client.closed()
            assert time.monotonic() - began_s < 3.0
            assert open_requests(running_node(environment)) == 0
            server.may_respond.set()

    run(test())


def test_all_that_was_read_before_an_error_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(request("a") + request("b") + b"noise\r\n\r\n" + request("c"))
            assert [(await client.read()).status for _ in range(3)] == [200, 200, 400]
            assert await client.closed()
            assert [seen.request_id for seen in server.received] == ["a", "b"]

    run(test())


def test_an_id_that_is_open_ends_only_the_request_that_names_it_again(tmp_path: Path) -> None:
    """The connection must stay open: what was read behind that request is owed its responses."""

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            owner = await environment.client()
            other = await environment.client()
            owner.write(request("a"))
            await until(lambda: len(server.received) == 1)
            other.write(request("a") + request("b"))
            assert (await other.read()).status == 400
            server.may_respond.set()
            assert (await other.read()).status == (await owner.read()).status == 200

    run(test())


def test_a_caller_that_leaves_with_much_unread_is_noticed(tmp_path: Path) -> None:
    """A connection with a full queue is not read from, nor is its end: the next attempt polls the socket."""

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(requests(10 * PIPELINED))
            await until(lambda: len(server.received) == 1)
            client.writer.close()
            await asyncio.sleep(0.1)
            server.may_respond.set()
            await until(lambda: open_connections(environment) == 0)
            assert open_requests(running_node(environment)) == 0
            assert len(server.received) <= 2

    run(test())


def test_what_came_before_a_close_that_the_caller_asked_for_can_be_read(tmp_path: Path) -> None:
    """Closed over unread data behind that request, the connection would be reset, and the responses lost."""

    async def test() -> None:
        async with node_environment(
            tmp_path, Server(default=render_response(200, b"x" * 60_000))
        ) as environment:
            client = await environment.client()
            client.write(request("a") + request("b", extra="Connection: close\r\n") + b"x" * 600_000)
            assert [(await client.read()).status for _ in range(2)] == [200, 200]

    run(test())


def test_a_node_that_ends_serves_all_that_was_sent_ahead(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(requests(PIPELINED))
            await until(lambda: len(server.received) >= 1)
            await running_node(environment).frontend.drain()
            assert [(await client.read()).status for _ in range(PIPELINED)] == [200] * PIPELINED

    run(test())
