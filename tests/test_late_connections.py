"""Connections to servers that open late: the decision to send is checked again once they are open."""

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
def stalled_server() -> Iterator[StalledListener]:
    """Provide a server whose first connection opens about 1 s after the node connects."""
    with StalledListener() as listener:
        yield listener


async def wait_until_connecting(environment: NodeEnvironment) -> None:
    """Wait until the node is opening a connection to a server."""
    assert environment.node is not None
    pool = environment.node._upstream
    await until(lambda: len(pool._connecting) == 1)


def block_the_loop(duration_s: float) -> None:
    time.sleep(duration_s)


async def received_request_id(connection: socket.socket) -> str | None:
    """Return the id of the request that arrives on a connection within 0.3 s, or None."""
    reader, writer = await asyncio.open_connection(sock=connection)
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                message = await read_message(reader)
                return message.request_id if message is not None else None
        return None
    finally:
        writer.close()


def test_a_server_that_changes_address_while_connecting_gets_no_request_at_the_old_address(
    stalled_server: StalledListener, tmp_path: Path
) -> None:
    """If only the server's name were checked, the request would be sent to the process at the old address."""

    async def test() -> None:
        server = Server(name="moves")
        async with node_environment(tmp_path, server, has_cached_list=False) as environment:
            environment.agent.endpoints = [server.entry(address=stalled_server.address)]
            await until(lambda: environment.node is not None and environment.node.is_ready())
            client = await environment.client()
            client.write(request("a", "pay"))
            await wait_until_connecting(environment)
            watches = environment.agent.watches()
            environment.agent.publish(server.entry())
            await until(lambda: environment.agent.watches() > watches)
            assert await received_request_id(await stalled_server.accept()) is None
            assert (await client.read()).status == 200
            assert [message.request_id for message in server.received] == ["a"]

    run(test())


def test_a_keyed_request_is_not_retried_if_its_window_ends_while_connecting(
    stalled_server: StalledListener, tmp_path: Path
) -> None:
    """If the deduplication window were checked only before connecting, the request could run twice."""
    window_s = 0.6

    async def test() -> None:
        first = Server(default=render_response(500), name="first", group=1)
        async with node_environment(tmp_path, first, has_cached_list=False) as environment:
            assert environment.node is not None
            environment.node._balancer.classes["save"].deduplication_window_ms = window_s * 1000.0
            environment.agent.endpoints = [first.entry()]
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 1
            )
            client = await environment.client()
            started_at_s = time.monotonic()
            first.may_respond.clear()
            client.write(request("a", "save"))
            await until(lambda: len(first.received) == 1)
            other = {"name": "second", "address": stalled_server.address, "group": 1, "status": "active"}
            watches = environment.agent.watches()
            environment.agent.publish(other)
            await until(lambda: environment.agent.watches() > watches)
            first.may_respond.set()
            await wait_until_connecting(environment)
            assert time.monotonic() - started_at_s < window_s
            assert await received_request_id(await stalled_server.accept()) is None
            assert time.monotonic() - started_at_s > window_s
            assert (await client.read()).status in (502, 503, 504)
            assert len(first.received) == 1

    run(test())


def test_no_request_is_written_without_time_left(stalled_server: StalledListener, tmp_path: Path) -> None:
    """The timeout of the attempt must take effect before the request is written."""

    async def test() -> None:
        async with node_environment(tmp_path, has_cached_list=False) as environment:
            environment.agent.endpoints = [stalled_server.entry()]
            await until(lambda: environment.node is not None and environment.node.is_ready())
            assert environment.node is not None
            client = await environment.client()
            client.write(request("a", budget="1.1"))
            await wait_until_connecting(environment)
            connection = await stalled_server.accept()
            block_the_loop(0.12)  # the node shares this loop, so the deadline passes before it can act
            reader, writer = await asyncio.open_connection(sock=connection)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    message = await read_message(reader)
                    assert message is None or float(message.headers["x-budget"]) > 0.0
            writer.close()
            assert (await client.read()).status in (502, 503, 504)

    run(test())
