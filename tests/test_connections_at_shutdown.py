"""Connections of clients while the node shuts down gracefully."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from tests.client_helpers import (
    INCOMPLETE_REQUESTS,
    connect,
    is_ok,
    open_connections,
    open_requests,
    ready_node,
    receive,
    running_node,
)
from tests.peers import HANG, WAIT_TIMEOUT_S, Server, node_environment, request, run, until
from workspond import graceful_shutdown
from workspond.downstream import connection_states, frontend


@pytest.fixture
def no_state_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """No connection is closed because its client is slow, though timeouts are checked often."""
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.02)
    for state in connection_states.STATE_TIMEOUTS_S:
        monkeypatch.setitem(connection_states.STATE_TIMEOUTS_S, state, 1000.0)


@pytest.mark.usefixtures("no_state_timeouts")
def test_a_planned_end_does_not_wait_for_callers_that_neither_ask_nor_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_MS", 300.0)
    monkeypatch.setattr(graceful_shutdown, "DRAIN_BEFORE_LAST_ANSWER_MS", 100.0)

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            incomplete = await environment.client()
            served = await environment.client()
            incomplete.write(INCOMPLETE_REQUESTS["half a body"])
            assert (await served.send_request("before")).status == 200
            stopping = asyncio.ensure_future(running_node(environment).stop(0.0))
            await asyncio.sleep(0)
            # A connection that stays open is served on.
            assert (await served.send_request("during")).status == 200
            await asyncio.wait_for(stopping, WAIT_TIMEOUT_S)
            await until(lambda: open_connections(environment) == 0)

    run(test())


def test_new_connections_are_served_as_long_as_open_ones_while_the_node_ends(tmp_path: Path) -> None:
    """Clients of a single node that are refused a new connection give up their open ones too."""

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


def test_the_time_to_end_follows_the_settings_not_the_budgets_seen(tmp_path: Path) -> None:
    """After a request with a budget of 50 ms, one with a longer budget must still have its time."""

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
            await asyncio.sleep(1.0)  # the platform leaves the node 3.7 s
            server.may_respond.set()
            assert (await client.read()).status == 200
            await asyncio.wait_for(stopping, WAIT_TIMEOUT_S)

    run(test())


def test_a_connection_that_only_the_kernel_has_accepted_is_served_when_the_listener_closes(
    tmp_path: Path,
) -> None:
    """Closing the listening socket alone would reset it, and lose its request."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            node = await ready_node(environment)
            # The event loop has no turn till the next await.
            with socket.create_connection(environment.address, WAIT_TIMEOUT_S) as client:
                client.sendall(request("a"))
                await node.frontend.close_listener()
                assert is_ok(await receive(client))
            with pytest.raises(ConnectionError):
                await environment.client()

    run(test())


@pytest.mark.parametrize("is_used", [True, False], ids=["kept", "new"])
def test_a_request_that_the_loop_has_not_read_is_answered_before_its_connection_is_closed(
    is_used: bool, tmp_path: Path
) -> None:
    """The node has accepted the connection; closing it over an unread request would reset it."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            with await connect(environment) as client:
                if is_used:
                    client.sendall(request("a"))
                    assert is_ok(await receive(client))
                client.sendall(request("b"))  # the event loop has no turn till the drain
                await running_node(environment).frontend.drain()
                response = await receive(client)
                assert is_ok(response) and b"Connection: close" in response

    run(test())


def test_what_is_taken_while_the_node_ends_is_answered_before_it_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its budget may reach past the moment at which the platform kills the node: it must not be open then."""
    monkeypatch.setattr(graceful_shutdown, "MAX_DEADLINE_MS", 300.0)

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=HANG)) as environment:
            node = running_node(environment)
            before = await environment.client()
            during = await environment.client()
            before.write(request("a", "pay", budget="20"))
            await until(lambda: open_requests(node) > 0)
            stopping = asyncio.ensure_future(node.stop(0.0))
            await asyncio.sleep(0)
            assert (await during.send_request("b", "pay", budget="20")).status in (502, 504)
            assert (await before.read()).status in (502, 504)
            await asyncio.wait_for(stopping, WAIT_TIMEOUT_S)

    run(test())
