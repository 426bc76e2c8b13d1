"""Client connections: state timeouts, clients that do not read, eviction and cleanup."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from tests.client_helpers import (
    INCOMPLETE_REQUESTS,
    connect,
    count_in_state,
    is_ok,
    open_connection_count,
    open_request_count,
    ready_node,
    receive,
    running_node,
)
from tests.peers import (
    HANG,
    WAIT_TIMEOUT_S,
    NodeEnvironment,
    Server,
    node_environment,
    render_response,
    request,
    run,
    until,
)
from workspond.downstream import connection_states, frontend
from workspond.downstream.client_connection import ClientConnection
from workspond.downstream.connection_states import ConnectionState


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten all state timeouts so that a test can wait for them."""
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.02)
    for state in connection_states.STATE_TIMEOUTS_S:
        monkeypatch.setitem(connection_states.STATE_TIMEOUTS_S, state, 0.2)


@pytest.fixture
def long_flush_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep connections open for the whole test although their clients do not read."""
    monkeypatch.setitem(connection_states.STATE_TIMEOUTS_S, ConnectionState.FLUSHING, 1000.0)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("data", INCOMPLETE_REQUESTS.values(), ids=INCOMPLETE_REQUESTS.keys())
@pytest.mark.parametrize("is_used", [False, True], ids=["first request", "later request"])
def test_an_incomplete_request_is_answered_with_408_and_the_connection_closed(
    data: bytes, is_used: bool, tmp_path: Path
) -> None:
    """Without a timeout, an incomplete request would keep its socket open forever."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            client = await environment.client()
            if is_used:
                assert (await client.send_request("before")).status == 200
            client.write(data)
            assert (await client.read()).status == 408
            assert await client.closed()
            await until(lambda: open_connection_count(environment) == 0)

    run(test())


@pytest.mark.usefixtures("short_timeouts")
def test_silent_and_idle_connections_are_closed_but_not_those_awaiting_a_response(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            silent, idle, waiting = [await environment.client() for _ in range(3)]
            assert (await idle.send_request("idle")).status == 200
            server.may_respond.clear()
            waiting.write(request("waiting"))
            assert await silent.closed() and await idle.closed()
            server.may_respond.set()
            assert (await waiting.read()).status == 200

    run(test())


async def connect_slow_reader(environment: NodeEnvironment, client: socket.socket) -> ClientConnection:
    """Connect a client with very small socket buffers at both ends; return the node's end."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await asyncio.to_thread(client.connect, environment.address)
    connections = running_node(environment).frontend.connections
    await until(lambda: len(connections) == 1)
    [connection] = connections.in_state(ConnectionState.AWAITING_FIRST_REQUEST)
    node_socket = connection._socket._transport.get_extra_info("socket")
    node_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return connection


@pytest.mark.usefixtures("short_timeouts")
def test_a_connection_whose_client_does_not_read_is_closed(tmp_path: Path) -> None:
    """Otherwise its responses stay in memory, and an orderly close waits for the client to read."""

    async def test() -> None:
        async with node_environment(
            tmp_path, Server(default=render_response(200, b"x" * 65536))
        ) as environment:
            with socket.socket() as client:
                await connect_slow_reader(environment, client)
                client.sendall(b"".join(request(f"{number}") for number in range(8)))
                await until(lambda: open_connection_count(environment) == 0)

    run(test())


@pytest.mark.usefixtures("long_flush_timeout")
def test_a_client_that_disconnects_with_an_unread_response_has_its_next_request_abandoned(
    tmp_path: Path,
) -> None:
    """The connection closes only after the last write, and the request must not be retried until then."""

    async def test() -> None:
        server = Server(render_response(200, b"x" * 40_000), default=HANG)
        async with node_environment(tmp_path, server) as environment:
            node = running_node(environment)
            with socket.socket() as client:
                await connect_slow_reader(environment, client)
                client.sendall(request("a") + request("b"))
                await until(lambda: len(server.received) == 2)
                assert open_request_count(node) == 1
                client.shutdown(socket.SHUT_WR)
                async with asyncio.timeout(5.0):  # the budget of the request is 20 s
                    await until(lambda: open_request_count(node) == 0)
                assert open_connection_count(environment) == 1  # the first response is still unread

    run(test())


@pytest.mark.usefixtures("long_flush_timeout")
def test_requests_queued_while_the_client_does_not_read_are_not_sent_once_it_has_disconnected(
    tmp_path: Path,
) -> None:
    """While reading is paused, the EOF stays unread too, so the node must poll for it before it sends."""

    async def test() -> None:
        server = Server(default=render_response(200, b"x" * 65536))
        async with node_environment(tmp_path, server) as environment:
            with socket.socket() as client:
                connection = await connect_slow_reader(environment, client)
                client.settimeout(WAIT_TIMEOUT_S)
                client.sendall(b"".join(request(f"{number}") for number in range(8)))
                await until(lambda: connection._is_writing_paused)
                client.sendall(b"".join(request(f"unread-{number}") for number in range(2)))
                client.shutdown(socket.SHUT_WR)
                sent_count = len(server.received)
                while await asyncio.to_thread(client.recv, 65536):
                    pass
                await until(lambda: open_connection_count(environment) == 0)
                assert 1 <= sent_count < 8 and len(server.received) == sent_count

    run(test())


@pytest.mark.parametrize("is_used", [True, False], ids=["idle connection", "new connection"])
def test_a_request_unread_when_the_state_timeout_expires_is_answered(is_used: bool, tmp_path: Path) -> None:
    """Closing the socket with an unread request would reset the connection."""
    state = ConnectionState.IDLE if is_used else ConnectionState.AWAITING_FIRST_REQUEST

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            node = running_node(environment)
            with await connect(environment) as client:
                if is_used:
                    client.sendall(request("a"))
                    assert is_ok(await receive(client))
                await until(lambda: count_in_state(node, state) == 1)
                [connection] = node.frontend.connections.all()
                client.sendall(request("b"))  # the event loop does not read it before the next await
                connection.handle_timeout()
                assert is_ok(await receive(client))

    run(test())


def test_connections_with_an_unread_request_are_not_evicted_for_new_ones(tmp_path: Path) -> None:
    """All clients connect within one iteration of the event loop, so their requests are still unread."""
    max_connections = 35  # the node derives this from its limit of 64 sockets

    async def test() -> None:
        async with node_environment(tmp_path, Server(), sockets=64, tier=1) as environment:
            await ready_node(environment)
            active_clients = []
            for number in range(3):
                client = socket.create_connection(environment.address, WAIT_TIMEOUT_S)
                client.sendall(request(f"{number}"))
                active_clients.append(client)
            silent_clients = [
                socket.create_connection(environment.address, WAIT_TIMEOUT_S) for _ in range(max_connections)
            ]
            for client in active_clients:  # the event loop has not run since the first client connected
                assert is_ok(await receive(client))
            assert open_connection_count(environment) <= max_connections
            for client in active_clients + silent_clients:
                client.close()

    run(test())


def test_an_announced_body_over_the_limit_is_rejected_early_with_a_readable_413(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            client = await environment.client()
            client.write(
                b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 100_000
            )
            assert (await client.read()).status == 413
            assert await client.closed()

    run(test())


def test_a_request_id_reused_while_its_old_attempt_is_in_flight_gets_the_new_response(tmp_path: Path) -> None:
    """Both requests have the same X-Call-Id, and the response to one must not complete the other."""

    async def test() -> None:
        server = Server(render_response(200, b"old"), render_response(200, b"new"))
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            node = running_node(environment)
            disconnected = await environment.client()
            disconnected.write(request("a"))
            await until(lambda: len(server.received) == 1)
            disconnected.writer.close()
            await until(lambda: open_request_count(node) == 0)
            repeating = await environment.client()
            repeating.write(request("a"))
            await until(lambda: len(server.received) == 2)
            server.may_respond.set()
            assert (await repeating.read()).body == b"new"
            await until(lambda: not node._attempts.in_flight)
            balancer = node._balancer
            assert balancer.in_flight == 0
            assert all(not each.in_flight for each in balancer.fleet.servers.values())

    run(test())


def test_removed_clients_servers_and_requests_leave_no_state_behind(tmp_path: Path) -> None:
    """Each round uses a new request id, client and server name, all servers having the same address."""

    async def test() -> None:
        server = Server(name="s0")
        async with node_environment(tmp_path, server) as environment:
            node = running_node(environment)
            for number in range(1, 16):
                assert (await environment.send_request(f"{number}")).status == 200
                environment.agent.publish(
                    server.entry(name=f"s{number - 1}", status="left"), server.entry(name=f"s{number}")
                )
                await until(lambda number=number: environment.agent.watches() == number + 1)  # type: ignore[misc]
                environment.clients.pop().writer.close()
            await until(lambda: open_connection_count(environment) == 0)
            balancer = node._balancer
            assert (
                open_request_count(node) == 0
                and not node._attempts.in_flight
                and not node._policy.pending_count()
            )
            assert (
                len(node._endpoints.addresses)
                == len(node._endpoints.in_service)
                == len(balancer.fleet.servers)
                == 1
            )
            assert (
                not balancer._calls
                and not balancer._timers._calls
                and not any(balancer._queue._queues.values())
            )
            assert (
                len(balancer.retry_policy._requests._times_ms) + len(balancer.retry_policy._retries._times_ms)
                <= 2
            )
            assert node._upstream.connection_count() <= 1
            assert sum(map(len, node._upstream._idle.values())) <= 1

    run(test())
