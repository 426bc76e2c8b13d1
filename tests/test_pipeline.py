"""Requests sent ahead on a connection: whatever has been read gets its own final answer, in order."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.peers import Server, answer, request, run, until, world

FLOOD = 20


def test_a_flood_of_requests_in_one_write_is_answered_one_by_one(tmp_path: Path) -> None:
    """One 400 came, and nothing for the requests that had been read."""

    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(b"".join(request(f"{n}") for n in range(FLOOD)))
            assert [(await caller.read()).status for _ in range(FLOOD)] == [200] * FLOOD
            assert (await caller.ask("after")).status == 200
            assert [seen.id for seen in server.seen] == [*(f"{n}" for n in range(FLOOD)), "after"]

    run(test())


FIRST, HALF = request("first"), request("second", "pay", body=b"whole")[:-2]
BAD_TAILS = {"noise": b"noise\r\n\r\n", "no class": request("second", "nonsense"), "half a request": HALF}


@pytest.mark.parametrize("tail", BAD_TAILS.values(), ids=BAD_TAILS.keys())
@pytest.mark.parametrize("hangs", [True, False], ids=["server hangs", "server answers"])
def test_a_request_has_its_own_answer_before_the_error_for_what_came_behind_it(
    tail: bytes, hangs: bool, tmp_path: Path
) -> None:
    """It went with the error: its caller could not tell what had become of it.

    What can't be used is answered within 3 s though the request before it has 20 s.
    """

    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            began_s = time.monotonic()
            caller.write(FIRST)
            await until(lambda: len(server.seen) == 1)
            caller.write(tail)
            if not hangs:
                await asyncio.sleep(0.1)
                server.gate.set()
            first, error = await caller.read(), await caller.read()
            assert first.status == (504 if hangs else 200)
            assert error.status == (408 if tail == HALF else 400) and error.headers["connection"] == "close"
            assert await caller.closed()
            assert time.monotonic() - began_s < 3.0
            assert scene.node is not None and not scene.node._requests.active
            assert not scene.node._requests.open_request_ids
            server.gate.set()

    run(test())


def test_all_that_was_read_before_an_error_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(request("a") + request("b") + b"noise\r\n\r\n" + request("c"))
            assert [(await caller.read()).status for _ in range(3)] == [200, 200, 400]
            assert await caller.closed()
            assert [seen.id for seen in server.seen] == ["a", "b"]

    run(test())


def test_an_id_that_is_open_ends_only_the_request_that_names_it_again(tmp_path: Path) -> None:
    """The connection ended with it, and what had been read behind it got no answer."""

    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            owner, other = await scene.caller(), await scene.caller()
            owner.write(request("a"))
            await until(lambda: len(server.seen) == 1)
            other.write(request("a") + request("b"))
            assert (await other.read()).status == 400
            server.gate.set()
            assert (await other.read()).status == (await owner.read()).status == 200

    run(test())


def test_a_caller_that_leaves_with_much_unread_is_noticed(tmp_path: Path) -> None:
    """Not read from while its queue is full, its end is not read either: the next send asks the socket."""

    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(b"".join(request(f"{n}") for n in range(10 * FLOOD)))
            await until(lambda: len(server.seen) == 1)
            caller.writer.close()
            await asyncio.sleep(0.1)
            server.gate.set()
            assert scene.node is not None
            await until(lambda: scene.node is not None and scene.node.frontend.connection_count() == 0)
            assert not scene.node._requests.active and not scene.node._requests.open_request_ids
            assert len(server.seen) <= 2

    run(test())


def test_what_came_before_a_close_that_the_caller_asked_for_can_be_read(tmp_path: Path) -> None:
    """Closed over what came behind it, the connection would be reset, and the answers lost."""

    async def test() -> None:
        async with world(tmp_path, Server(usual=answer(200, b"x" * 60_000))) as scene:
            caller = await scene.caller()
            caller.write(request("a") + request("b", extra="Connection: close\r\n") + b"x" * 600_000)
            assert [(await caller.read()).status for _ in range(2)] == [200, 200]

    run(test())


def test_a_node_that_ends_serves_all_that_was_sent_ahead(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            caller = await scene.caller()
            caller.write(b"".join(request(f"{n}") for n in range(FLOOD)))
            await until(lambda: len(server.seen) >= 1)
            await scene.node.frontend.drain()
            assert [(await caller.read()).status for _ in range(FLOOD)] == [200] * FLOOD

    run(test())
