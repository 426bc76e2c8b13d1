"""Connections that open late: what was decided before may no longer hold when they are open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.peers import (
    NodeEnvironment,
    Server,
    node_environment,
    read_message,
    render_response,
    request,
    run,
    until,
)
from tests.stalled_listener import StalledListener


@pytest.fixture
def slow() -> Iterator[StalledListener]:
    """A server whose first connection opens after a second."""
    with StalledListener() as listener:
        yield listener


async def connecting(environment: NodeEnvironment) -> None:
    """Wait until the node opens a connection to a server."""
    assert environment.node is not None
    pool = environment.node._upstream
    await until(lambda: len(pool._connecting) == 1)


def block_the_loop(duration_s: float) -> None:
    time.sleep(duration_s)


async def sent_on(connection: socket.socket) -> str | None:
    """The id of the request that comes on a connection within a moment, if one does."""
    reader, writer = await asyncio.open_connection(sock=connection)
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                seen = await read_message(reader)
                return seen.request_id if seen is not None else None
        return None
    finally:
        writer.close()


def test_a_server_that_moves_while_its_connection_comes_up_gets_nothing_at_its_old_address(
    slow: StalledListener, tmp_path: Path
) -> None:
    """Its name was still in service, so the old process was sent the request."""

    async def test() -> None:
        server = Server(name="moves")
        async with node_environment(tmp_path, server, known=False) as environment:
            environment.agent.endpoints = [server.entry(address=slow.address)]
            await until(lambda: environment.node is not None and environment.node.is_ready())
            caller = await environment.client()
            caller.write(request("a", "pay"))
            await connecting(environment)
            watches = environment.agent.watches()
            environment.agent.publish(server.entry())
            await until(lambda: environment.agent.watches() > watches)
            assert await sent_on(await slow.accept()) is None
            assert (await caller.read()).status == 200
            assert [seen.request_id for seen in server.received] == ["a"]

    run(test())


def test_a_keyed_request_is_not_written_again_once_its_window_is_over(
    slow: StalledListener, tmp_path: Path
) -> None:
    """The window was checked before connecting only, and the retry ran the request a second time."""
    window_s = 0.6

    async def test() -> None:
        first = Server(default=render_response(500), name="first", group=1)
        async with node_environment(tmp_path, first, known=False) as environment:
            assert environment.node is not None
            environment.node._balancer.classes["save"].deduplication_window_ms = window_s * 1000.0
            environment.agent.endpoints = [first.entry()]
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 1
            )
            caller = await environment.client()
            started_at_s = time.monotonic()
            first.may_respond.clear()
            caller.write(request("a", "save"))
            await until(lambda: len(first.received) == 1)
            other = {"name": "second", "address": slow.address, "group": 1, "status": "active"}
            watches = environment.agent.watches()
            environment.agent.publish(other)
            await until(lambda: environment.agent.watches() > watches)
            first.may_respond.set()
            await connecting(environment)
            assert time.monotonic() - started_at_s < window_s
            assert await sent_on(await slow.accept()) is None
            assert time.monotonic() - started_at_s > window_s
            assert (await caller.read()).status in (502, 503, 504)
            assert len(first.received) == 1

    run(test())


def test_nothing_is_written_with_no_time_left(slow: StalledListener, tmp_path: Path) -> None:
    """The timeout of the attempt itself comes first."""

    async def test() -> None:
        async with node_environment(tmp_path, known=False) as environment:
            environment.agent.endpoints = [slow.entry()]
            await until(lambda: environment.node is not None and environment.node.is_ready())
            assert environment.node is not None
            caller = await environment.client()
            caller.write(request("a", budget="1.1"))
            await connecting(environment)
            connection = await slow.accept()
            block_the_loop(0.12)  # past the end of the request's time: the node runs in this loop
            reader, writer = await asyncio.open_connection(sock=connection)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    seen = await read_message(reader)
                    assert seen is None or float(seen.headers["x-budget"]) > 0.0
            writer.close()
            assert (await caller.read()).status in (502, 503, 504)

    run(test())
