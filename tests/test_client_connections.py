"""Clients that are silent, slow, many or do not read: each state of a connection has a timeout."""

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
    state_count,
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
    """Timeouts that a test can wait for."""
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.02)
    for state in connection_states.STATE_TIMEOUTS_S:
        monkeypatch.setitem(connection_states.STATE_TIMEOUTS_S, state, 0.2)


@pytest.fixture
def long_flush_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection whose client does not read stays open for the whole test."""
    monkeypatch.setitem(connection_states.STATE_TIMEOUTS_S, ConnectionState.FLUSHING, 1000.0)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("data", INCOMPLETE_REQUESTS.values(), ids=INCOMPLETE_REQUESTS.keys())
@pytest.mark.parametrize("is_used", [False, True], ids=["at first", "later"])
def test_a_request_that_does_not_come_whole_is_told_so(data: bytes, is_used: bool, tmp_path: Path) -> None:
    """Without a timeout it would hold its socket for ever."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            client = await environment.client()
            if is_used:
                assert (await client.send_request("before")).status == 200
            client.write(data)
            assert (await client.read()).status == 408
            assert await client.closed()
            await until(lambda: open_connections(environment) == 0)

    run(test())


@pytest.mark.usefixtures("short_timeouts")
def test_silent_and_idle_callers_are_closed_but_not_those_that_wait_for_their_answer(tmp_path: Path) -> None:
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
    """Connect a client; its socket and the node's own for it have very small buffers."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await asyncio.to_thread(client.connect, environment.address)
    connections = running_node(environment).frontend.connections
    await until(lambda: len(connections) == 1)
    [connection] = connections.in_state(ConnectionState.AWAITING_FIRST_REQUEST)
    node_socket = connection._transport.get_extra_info("socket")
    node_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return connection


@pytest.mark.usefixtures("short_timeouts")
def test_a_caller_that_does_not_read_is_ended_and_read_from_no_more(tmp_path: Path) -> None:
    """Else its responses stay in memory, and closing its connection waits for it to read."""

    async def test() -> None:
        async with node_environment(
            tmp_path, Server(default=render_response(200, b"x" * 65536))
        ) as environment:
            with socket.socket() as client:
                await connect_slow_reader(environment, client)
                client.sendall(b"".join(request(f"{n}") for n in range(8)))
                await until(lambda: open_connections(environment) == 0)

    run(test())


@pytest.mark.usefixtures("long_flush_timeout")
def test_a_caller_that_leaves_with_an_answer_unread_leaves_the_request_after_it_too(tmp_path: Path) -> None:
    """Its connection closes only once all is written; its request must not be retried till then."""

    async def test() -> None:
        server = Server(render_response(200, b"x" * 40_000), default=HANG)
        async with node_environment(tmp_path, server) as environment:
            node = running_node(environment)
            with socket.socket() as client:
                await connect_slow_reader(environment, client)
                client.sendall(request("a") + request("b"))
                await until(lambda: len(server.received) == 2)
                assert open_requests(node) == 1
                client.shutdown(socket.SHUT_WR)
                async with asyncio.timeout(5.0):  # its budget is 20 s
                    await until(lambda: open_requests(node) == 0)
                assert open_connections(environment) == 1  # what was written has not been read yet

    run(test())


@pytest.mark.usefixtures("long_flush_timeout")
def test_what_waits_behind_a_caller_that_does_not_read_is_not_sent_once_that_has_left(tmp_path: Path) -> None:
    """Nothing is read from it meanwhile, nor is its end: its next request must not be sent all the same."""

    async def test() -> None:
        server = Server(default=render_response(200, b"x" * 65536))
        async with node_environment(tmp_path, server) as environment:
            with socket.socket() as client:
                connection = await connect_slow_reader(environment, client)
                client.settimeout(WAIT_TIMEOUT_S)
                client.sendall(b"".join(request(f"{n}") for n in range(8)))
                await until(lambda: connection._is_writing_paused)
                client.sendall(b"".join(request(f"unread-{n}") for n in range(2)))
                client.shutdown(socket.SHUT_WR)
                sent = len(server.received)
                while await asyncio.to_thread(client.recv, 65536):
                    pass
                await until(lambda: open_connections(environment) == 0)
                assert 1 <= sent < 8 and len(server.received) == sent

    run(test())


@pytest.mark.parametrize("is_used", [True, False], ids=["kept", "new"])
def test_a_request_that_crosses_the_limit_of_a_silent_connection_is_answered(
    is_used: bool, tmp_path: Path
) -> None:
    """Closed over an unread request, the connection would be reset."""
    state = ConnectionState.IDLE if is_used else ConnectionState.AWAITING_FIRST_REQUEST

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            node = running_node(environment)
            with await connect(environment) as client:
                if is_used:
                    client.sendall(request("a"))
                    assert is_ok(await receive(client))
                await until(lambda: state_count(node, state) == 1)
                [connection] = node.frontend.connections.all()
                client.sendall(request("b"))  # the event loop has no turn till the next await
                connection.handle_timeout()
                assert is_ok(await receive(client))

    run(test())


def test_those_whose_request_waits_to_be_read_do_not_go_for_new_callers(tmp_path: Path) -> None:
    """Nor are they evicted where all of them connect within one turn of the event loop."""
    max_connections = 35  # that follow from the sockets

    async def test() -> None:
        async with node_environment(tmp_path, Server(), sockets=64, tier=1) as environment:
            await ready_node(environment)
            requesting = []
            for number in range(3):
                client = socket.create_connection(environment.address, WAIT_TIMEOUT_S)
                client.sendall(request(f"{number}"))
                requesting.append(client)
            silent = [
                socket.create_connection(environment.address, WAIT_TIMEOUT_S) for _ in range(max_connections)
            ]
            for client in requesting:  # the event loop has had no turn so far
                assert is_ok(await receive(client))
            assert open_connections(environment) <= max_connections
            for client in requesting + silent:
                client.close()

    run(test())


def test_a_huge_body_is_refused_before_it_comes_and_the_refusal_can_be_read(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            client = await environment.client()
            client.write(
                b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 100_000
            )
            assert (await client.read()).status == 413
            assert await client.closed()

    run(test())


def test_an_id_that_comes_again_while_its_old_attempt_is_out_gets_its_own_answer(tmp_path: Path) -> None:
    """The client's id does not tell the two apart: the response to one must not end the other."""

    async def test() -> None:
        server = Server(render_response(200, b"old"), render_response(200, b"new"))
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            node = running_node(environment)
            disconnected = await environment.client()
            disconnected.write(request("a"))
            await until(lambda: len(server.received) == 1)
            disconnected.writer.close()
            await until(lambda: open_requests(node) == 0)
            repeating = await environment.client()
            repeating.write(request("a"))
            await until(lambda: len(server.received) == 2)
            server.may_respond.set()
            assert (await repeating.read()).body == b"new"
            await until(lambda: not node._attempts.in_flight)
            balancer = node._balancer
            assert balancer.in_flight == 0
            assert all(not known.in_flight for known in balancer.fleet.servers.values())

    run(test())


def test_after_churn_nothing_is_left_in_the_books(tmp_path: Path) -> None:
    """New ids, clients and servers all the time, each server at the address of the one that was removed."""

    async def test() -> None:
        server = Server(name="s0")
        async with node_environment(tmp_path, server) as environment:
            node = running_node(environment)
            for n in range(1, 16):
                assert (await environment.send_request(f"{n}")).status == 200
                environment.agent.publish(
                    server.entry(name=f"s{n - 1}", status="left"), server.entry(name=f"s{n}")
                )
                await until(lambda n=n: environment.agent.watches() == n + 1)  # type: ignore[misc]
                environment.clients.pop().writer.close()
            await until(lambda: open_connections(environment) == 0)
            module = node._balancer
            assert (
                open_requests(node) == 0 and not node._attempts.in_flight and not node._policy.pending_count()
            )
            assert (
                len(node._endpoints.addresses)
                == len(node._endpoints.in_service)
                == len(module.fleet.servers)
                == 1
            )
            assert not module._calls and not module._timers._calls and not any(module._queue._queues.values())
            assert (
                len(module.retry_policy._requests._times_ms) + len(module.retry_policy._retries._times_ms)
                <= 2
            )
            assert node._upstream.connection_count() <= 1
            assert sum(map(len, node._upstream._idle.values())) <= 1

    run(test())
