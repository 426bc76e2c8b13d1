"""Pipelined requests: each gets its own response, in the order of the requests."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.client_helpers import open_connection_count, open_request_count, ready_node, running_node
from tests.peers import HANG, Server, node_environment, render_response, request, run, until
from workspond.downstream import turn_scheduler
from workspond.downstream.client_connection import MAX_READ_AHEAD_BYTES

PIPELINED_COUNT = 20  # more requests than the node queues


LONGEST_BODY = bytes(range(256)) * 256
SMALL_CHUNKS_REQUEST = (
    request("chunked", "pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    + b"".join(b"2\r\n%s\r\n" % LONGEST_BODY[start : start + 2] for start in range(0, len(LONGEST_BODY), 2))
    + b"0\r\n\r\n"
)


def pipelined_requests(count: int) -> bytes:
    """Render a number of requests for a single write."""
    return b"".join(request(f"{number}") for number in range(count))


def test_requests_over_the_queue_limit_in_one_write_are_answered_in_order(tmp_path: Path) -> None:
    """A full queue must not make the node close the connection with an error."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(pipelined_requests(PIPELINED_COUNT))
            assert [(await client.read()).status for _ in range(PIPELINED_COUNT)] == [200] * PIPELINED_COUNT
            assert (await client.send_request("after")).status == 200
            assert [message.request_id for message in server.received] == [
                *(f"{n}" for n in range(PIPELINED_COUNT)),
                "after",
            ]

    run(test())


def test_a_body_in_many_small_chunks_and_the_request_behind_it_are_served(tmp_path: Path) -> None:
    """Parsing such a body takes several iterations of the event loop."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(SMALL_CHUNKS_REQUEST + request("next"))
            assert [(await client.read()).status for _ in range(2)] == [200, 200]
            assert [message.request_id for message in server.received] == ["chunked", "next"]
            assert server.received[0].body == LONGEST_BODY

    run(test())


def test_a_request_that_is_partly_parsed_when_the_node_drains_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(turn_scheduler, "MAX_TURNS_S", 0.0)  # one turn in each iteration of the event loop

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            frontend = (await ready_node(environment)).frontend
            client = await environment.client()
            client.write(SMALL_CHUNKS_REQUEST)
            connections = frontend.connections
            await until(lambda: any(each._is_turn_scheduled for each in connections.all()))
            await frontend.drain()
            assert (await client.read()).status == 200

    run(test())


def test_a_client_that_sends_too_much_ahead_gets_errors(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_environment(tmp_path, Server(default=HANG)) as environment:
            client = await environment.client()
            padding = "x" * 1000
            count = 2 * MAX_READ_AHEAD_BYTES // len(padding)
            requests = (request(f"{number}", extra=f"X-Pad: {padding}\r\n") for number in range(count))
            client.write(b"".join(requests))
            statuses = [(await client.read()).status]
            while statuses[-1] == 504:
                statuses.append((await client.read()).status)
            assert len(statuses) > 1 and statuses[-1] == 413

    run(test())


FIRST_REQUEST = request("first")
INCOMPLETE_REQUEST = request("second", "pay", body=b"whole")[:-2]
INVALID_TAILS = {
    "malformed HTTP": b"noise\r\n\r\n",
    "unknown class": request("second", "nonsense"),
    "incomplete request": INCOMPLETE_REQUEST,
}


@pytest.mark.parametrize("tail", INVALID_TAILS.values(), ids=INVALID_TAILS.keys())
@pytest.mark.parametrize("hangs", [True, False], ids=["server hangs", "server answers"])
def test_a_request_before_an_invalid_one_is_answered_before_the_error(
    tail: bytes, hangs: bool, tmp_path: Path
) -> None:
    """The error must not replace the response, or the client could not tell the result of its first request.

    The error must be sent within 3 s, although the first request has a budget of 20 s.
    """

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            started_at_s = time.monotonic()
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
            assert time.monotonic() - started_at_s < 3.0
            assert open_request_count(running_node(environment)) == 0
            server.may_respond.set()

    run(test())


def test_all_requests_before_malformed_data_are_served_and_none_after_it(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(request("a") + request("b") + b"noise\r\n\r\n" + request("c"))
            assert [(await client.read()).status for _ in range(3)] == [200, 200, 400]
            assert await client.closed()
            assert [message.request_id for message in server.received] == ["a", "b"]

    run(test())


def test_a_request_id_already_in_use_is_rejected_and_the_next_request_is_served(tmp_path: Path) -> None:
    """The connection must stay open for the responses to the requests that follow the rejected one."""

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            first = await environment.client()
            second = await environment.client()
            first.write(request("a"))
            await until(lambda: len(server.received) == 1)
            second.write(request("a") + request("b"))
            assert (await second.read()).status == 400
            server.may_respond.set()
            assert (await second.read()).status == (await first.read()).status == 200

    run(test())


def test_a_client_that_disconnects_while_the_queue_is_full_is_noticed(tmp_path: Path) -> None:
    """Reading is paused while the queue is full, so the EOF is only found by polling before an attempt."""

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(pipelined_requests(10 * PIPELINED_COUNT))
            await until(lambda: len(server.received) == 1)
            client.writer.close()
            await asyncio.sleep(0.1)
            server.may_respond.set()
            await until(lambda: open_connection_count(environment) == 0)
            assert open_request_count(running_node(environment)) == 0
            assert len(server.received) <= 2

    run(test())


def test_responses_before_a_requested_close_can_be_read_despite_trailing_data(tmp_path: Path) -> None:
    """Closing the socket with unread data would reset the connection and lose the responses."""

    async def test() -> None:
        async with node_environment(
            tmp_path, Server(default=render_response(200, b"x" * 60_000))
        ) as environment:
            client = await environment.client()
            client.write(request("a") + request("b", extra="Connection: close\r\n") + b"x" * 600_000)
            assert [(await client.read()).status for _ in range(2)] == [200, 200]

    run(test())


def test_pipelined_requests_are_all_answered_when_the_node_drains(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(pipelined_requests(PIPELINED_COUNT))
            await until(lambda: len(server.received) >= 1)
            await running_node(environment).frontend.drain()
            assert [(await client.read()).status for _ in range(PIPELINED_COUNT)] == [200] * PIPELINED_COUNT

    run(test())
