"""Clients that disconnect while the event loop is busy: no attempt may be sent for them afterwards.

Each test closes the client's socket and then blocks the event loop, so that everything received in the
meantime is handled in one iteration. The loop is blocked for longer than 0.1 s, after which an attempt for a
disconnected client counts as an error.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.client_helpers import connect, open_request_count, running_node
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
from workspond.policy import request_queue

LOOP_BLOCK_DURATION_S = 0.3


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


Disconnect = Callable[[socket.socket], None]
each_kind_of_disconnect = pytest.mark.parametrize("disconnect", [close, half_close, reset])


def disconnect_and_block_the_loop(client: socket.socket, disconnect: Disconnect) -> None:
    disconnect(client)
    time.sleep(LOOP_BLOCK_DURATION_S)


def answer_now(server: Server) -> None:
    """Write a response on the server's connections without running the event loop."""
    for writer in server._writers:
        writer.write(render_response())


async def all_requests_finished(environment: NodeEnvironment) -> None:
    """Wait until the node has no open request and no attempt in flight."""
    node = running_node(environment)
    await until(
        lambda: not open_request_count(node) and not node._attempts.in_flight and not node._balancer._calls
    )


@each_kind_of_disconnect
def test_first_attempt_of_a_disconnected_client_is_not_sent(disconnect: Disconnect, tmp_path: Path) -> None:
    """The request and the client's disconnect are read in the same iteration of the event loop."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            with await connect(environment) as client:
                # This request leaves an idle connection to the server.
                assert (await environment.send_request("before")).status == 200
                client.sendall(request("abandoned"))
                disconnect_and_block_the_loop(client, disconnect)
                assert (await environment.send_request("next")).status == 200
                await all_requests_finished(environment)
                assert [message.request_id for message in server.received] == ["before", "next"]

    run(test())


@each_kind_of_disconnect
def test_due_retry_of_a_disconnected_client_is_not_sent(disconnect: Disconnect, tmp_path: Path) -> None:
    """The event loop reports a reset one iteration after it has read it, and timers run in between."""

    async def test() -> None:
        server = Server(default=render_response(500))
        async with node_environment(tmp_path, server) as environment:
            balancer = running_node(environment)._balancer
            with await connect(environment) as client:
                client.sendall(request("abandoned"))
                await until(
                    lambda: bool(server.received) and bool(balancer._timers._calls) and not balancer.in_flight
                )
                sent_count = len(server.received)
                disconnect_and_block_the_loop(client, disconnect)
                await all_requests_finished(environment)
                assert len(server.received) == sent_count

    run(test())


@each_kind_of_disconnect
def test_queued_request_of_a_disconnected_client_is_not_sent(
    disconnect: Disconnect, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One iteration of the event loop reads the response that frees capacity, and then the disconnect."""
    # The maximum wait in the queue becomes 450 ms, which is longer than the event loop is blocked.
    monkeypatch.setattr(request_queue, "MAX_WAIT_FRACTION_FIRST_TIER", 0.9)
    monkeypatch.setattr(request_queue, "MAX_WAIT_FRACTION_LATER_TIERS", 0.9)

    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            balancer = running_node(environment)._balancer
            with await connect(environment) as client:
                first = await environment.client()
                for each in balancer.fleet.servers.values():
                    each.in_flight_limit = 1.0
                first.write(request("first"))
                await until(lambda: len(server.received) == 1)
                client.sendall(request("abandoned"))
                await until(lambda: len(balancer._calls) == 2)
                answer_now(server)
                disconnect_and_block_the_loop(client, disconnect)
                assert (await first.read()).status == 200
                await all_requests_finished(environment)
                assert (await first.send_request("next")).status == 200
                assert [message.request_id for message in server.received] == ["first", "next"]

    run(test())


@each_kind_of_disconnect
def test_pipelined_request_of_a_disconnected_client_is_not_sent(
    disconnect: Disconnect, tmp_path: Path
) -> None:
    """One iteration of the event loop reads the response to the first request, and then the disconnect."""

    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            with await connect(environment) as client:
                client.sendall(request("first") + request("abandoned"))
                await until(lambda: len(server.received) == 1)
                answer_now(server)
                disconnect_and_block_the_loop(client, disconnect)
                await all_requests_finished(environment)
                assert (await environment.send_request("next")).status == 200
                assert [message.request_id for message in server.received] == ["first", "next"]

    run(test())


@contextlib.contextmanager
def server_with_full_backlog() -> Iterator[socket.socket]:
    """Listen with a full backlog, so that handshakes hang until the first connection is accepted."""
    with socket.socket() as listener, socket.socket() as backlog_filler:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # the backlog holds one connection
        listener.settimeout(WAIT_TIMEOUT_S)
        backlog_filler.connect(listener.getsockname())
        yield listener


@each_kind_of_disconnect
def test_request_of_a_disconnected_client_is_not_sent_on_a_connection_that_opens_late(
    disconnect: Disconnect, tmp_path: Path
) -> None:
    """The client's disconnect is read before the connection to the server has opened."""

    async def test() -> None:
        with server_with_full_backlog() as slow_server:
            async with node_environment(tmp_path, has_cached_list=False) as environment:
                address = f"127.0.0.1:{slow_server.getsockname()[1]}"
                environment.agent.endpoints = [{"name": "slow", "address": address, "status": "active"}]
                node = running_node(environment)
                with await connect(environment) as client:
                    client.sendall(request("abandoned"))
                    await until(lambda: len(node._upstream._connecting) == 1)
                    disconnect_and_block_the_loop(client, disconnect)
                    # The second connection opens after 1 s, when the kernel retries the handshake.
                    with slow_server.accept()[0], slow_server.accept()[0] as connection:
                        await all_requests_finished(environment)
                        connection.setblocking(False)
                        # The node may keep the connection idle (BlockingIOError) or close it (b"").
                        with contextlib.suppress(BlockingIOError):
                            assert connection.recv(1) == b""

    run(test())


# The number of requests and the length of a header of each. In all 280 KB, more than the kernel takes for a
# client that is not read, and 3.3 MB, more than the node reads ahead.
UNREAD_REQUESTS = [(3000, 0), (3000, 1000)]
RESPONSE_DELAY_S = 0.3
MAX_SEND_DELAY_S = 0.1  # an attempt that begins later after the client's disconnect is an error


@pytest.mark.parametrize(("count", "padding"), UNREAD_REQUESTS)
def test_no_retry_is_sent_for_a_client_that_disconnects_with_much_unread(
    count: int, padding: int, tmp_path: Path
) -> None:
    """Guards against attempts for a client whose disconnect is behind data that the node leaves unread."""

    async def test() -> None:
        servers = [Server(default=render_response(500), name=f"s{number}") for number in range(5)]
        for server in servers:
            server.response_delay_s = RESPONSE_DELAY_S
        async with node_environment(tmp_path, *servers) as environment:
            with await connect(environment) as client:
                client.setblocking(False)
                extra = f"X-Pad: {'x' * padding}\r\n"
                data = b"".join(request(f"{number}", extra=extra) for number in range(count))
                with contextlib.suppress(ConnectionError):  # the node rejects a client that sends too much
                    await asyncio.get_running_loop().sock_sendall(client, data)
                await until(lambda: any(server.received for server in servers))
            await asyncio.sleep(MAX_SEND_DELAY_S)
            sent_count = sum(len(server.received) for server in servers)
            await all_requests_finished(environment)
            assert sum(len(server.received) for server in servers) == sent_count

    run(test())
