"""Client connections during a graceful shutdown of the node."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from tests.client_helpers import (
    INCOMPLETE_REQUESTS,
    connect,
    is_ok,
    open_connection_count,
    open_request_count,
    ready_node,
    receive,
    running_node,
)
from tests.peers import HANG, WAIT_TIMEOUT_S, Server, node_environment, request, run, until
from workspond import graceful_shutdown
from workspond.downstream import connection_states, frontend


@pytest.fixture
def no_state_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the state timeouts longer than any test, and check them often."""
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.02)
    for state in connection_states.STATE_TIMEOUTS_S:
        monkeypatch.setitem(connection_states.STATE_TIMEOUTS_S, state, 1000.0)


@pytest.mark.usefixtures("no_state_timeouts")
def test_shutdown_does_not_wait_for_a_client_that_sent_an_incomplete_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_MS", 300.0)
    monkeypatch.setattr(graceful_shutdown, "DRAIN_BEFORE_LAST_RESPONSE_MS", 100.0)

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            incomplete = await environment.client()
            served = await environment.client()
            incomplete.write(INCOMPLETE_REQUESTS["incomplete body"])
            assert (await served.send_request("before")).status == 200
            stopping = asyncio.ensure_future(running_node(environment).stop(0.0))
            await asyncio.sleep(0)
            # An open connection is still served.
            assert (await served.send_request("during")).status == 200
            await asyncio.wait_for(stopping, WAIT_TIMEOUT_S)
            await until(lambda: open_connection_count(environment) == 0)

    run(test())


def test_new_connections_are_served_as_long_as_open_ones_during_shutdown(tmp_path: Path) -> None:
    """If a client knows only this node and can't open a new connection, it closes its open ones too."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            open_before = await environment.client()
            assert (await open_before.send_request("a")).status == 200
            stopping = asyncio.create_task(running_node(environment).stop(0.0))
            await asyncio.sleep(0.1)
            assert (await environment.send_request("b")).status == 200
            assert (await open_before.send_request("c")).status == 200
            await stopping
            with pytest.raises(ConnectionError):
                await environment.client()

    run(test())


def test_shutdown_duration_follows_the_settings_not_the_budgets_of_earlier_requests(tmp_path: Path) -> None:
    """After a request with a budget of 50 ms, a request with a longer budget must still get its full time."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            assert (await client.send_request("short", budget="0.05")).status == 200
            server.may_respond.clear()
            stopping = asyncio.ensure_future(running_node(environment).stop())
            await asyncio.sleep(0)
            client.write(request("long", budget="2.5"))
            await until(lambda: len(server.received) == 2)
            await asyncio.sleep(1.0)  # the platform kills the node only after 3.7 s
            server.may_respond.set()
            assert (await client.read()).status == 200
            await asyncio.wait_for(stopping, WAIT_TIMEOUT_S)

    run(test())


def test_a_connection_in_the_backlog_is_served_when_the_listener_closes(tmp_path: Path) -> None:
    """Closing the listening socket would reset a connection in the backlog and lose its request."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            node = await ready_node(environment)
            # The event loop does not run before the next await.
            with socket.create_connection(environment.address, WAIT_TIMEOUT_S) as client:
                client.sendall(request("a"))
                await node.frontend.close_listener()
                assert is_ok(await receive(client))
            with pytest.raises(ConnectionError):
                await environment.client()

    run(test())


@pytest.mark.parametrize("is_used", [True, False], ids=["idle connection", "new connection"])
def test_a_request_unread_when_the_drain_starts_is_answered_before_the_connection_closes(
    is_used: bool, tmp_path: Path
) -> None:
    """Closing the socket with an unread request would reset the connection."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            with await connect(environment) as client:
                if is_used:
                    client.sendall(request("a"))
                    assert is_ok(await receive(client))
                client.sendall(request("b"))  # the event loop does not run before the drain
                await running_node(environment).frontend.drain()
                response = await receive(client)
                assert is_ok(response) and b"Connection: close" in response

    run(test())


def test_requests_accepted_during_shutdown_are_answered_before_the_node_stops(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The budget of a request may end after the platform kills the node, which must have answered by then."""
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_MS", 300.0)

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=HANG)) as environment:
            node = running_node(environment)
            before = await environment.client()
            during = await environment.client()
            before.write(request("a", "pay", budget="20"))
            await until(lambda: open_request_count(node) > 0)
            stopping = asyncio.ensure_future(node.stop(0.0))
            await asyncio.sleep(0)
            assert (await during.send_request("b", "pay", budget="20")).status in (502, 504)
            assert (await before.read()).status in (502, 504)
            await asyncio.wait_for(stopping, WAIT_TIMEOUT_S)

    run(test())
