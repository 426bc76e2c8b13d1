"""Clients that disconnect while the event loop is busy: their end is unread, and nothing more may be sent.

Each test closes the client's socket and then keeps the loop from running for longer than the 0.1 s after
which an attempt for it counts as wrong: what was received meanwhile is processed in one turn.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.client_helpers import connect, open_requests, running_node
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

BUSY_S = 0.3  # for which the event loop does not run


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


Leave = Callable[[socket.socket], None]
each_way_to_leave = pytest.mark.parametrize("leave", [close, half_close, reset])


def leave_while_loop_is_busy(client: socket.socket, leave: Leave) -> None:
    leave(client)
    time.sleep(BUSY_S)


def answer_now(server: Server) -> None:
    """Write a response on the server's connections at once, without a turn of the loop."""
    for writer in server._writers:
        writer.write(render_response())


async def all_requests_finished(environment: NodeEnvironment) -> None:
    """Wait until the node has no open request and no attempt in flight."""
    node = running_node(environment)
    await until(
        lambda: not open_requests(node) and not node._attempts.in_flight and not node._balancer._calls
    )


@each_way_to_leave
def test_a_first_attempt(leave: Leave, tmp_path: Path) -> None:
    """The request and the end of its client are read in one turn."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            with await connect(environment) as client:
                assert (
                    await environment.send_request("before")
                ).status == 200  # leaves an idle connection to the server
                client.sendall(request("abandoned"))
                leave_while_loop_is_busy(client, leave)
                assert (await environment.send_request("next")).status == 200
                await all_requests_finished(environment)
                assert [seen.request_id for seen in server.received] == ["before", "next"]

    run(test())


@each_way_to_leave
def test_a_retry_that_comes_due(leave: Leave, tmp_path: Path) -> None:
    """A reset reaches the node a turn after it was read, and timers run in between."""

    async def test() -> None:
        server = Server(default=render_response(500))
        async with node_environment(tmp_path, server) as environment:
            module = running_node(environment)._balancer
            with await connect(environment) as client:
                client.sendall(request("abandoned"))
                await until(
                    lambda: bool(server.received) and bool(module._timers._calls) and not module.in_flight
                )
                sent = len(server.received)
                leave_while_loop_is_busy(client, leave)
                await all_requests_finished(environment)
                assert len(server.received) == sent

    run(test())


@each_way_to_leave
def test_what_waits_for_a_slot(leave: Leave, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The slot becomes free in the turn in which the end is read, before it."""
    monkeypatch.setattr(
        request_queue, "MAX_WAIT_FRACTION_FIRST_TIER", 0.9
    )  # 450 ms: longer than the loop is busy
    monkeypatch.setattr(request_queue, "MAX_WAIT_FRACTION_LATER_TIERS", 0.9)

    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            module = running_node(environment)._balancer
            with await connect(environment) as client:
                first = await environment.client()
                for known in module.fleet.servers.values():
                    known.in_flight_limit = 1.0
                first.write(request("first"))
                await until(lambda: len(server.received) == 1)
                client.sendall(request("abandoned"))
                await until(lambda: len(module._calls) == 2)
                answer_now(server)
                leave_while_loop_is_busy(client, leave)
                assert (await first.read()).status == 200
                await all_requests_finished(environment)
                assert (await first.send_request("next")).status == 200
                assert [seen.request_id for seen in server.received] == ["first", "next"]

    run(test())


@each_way_to_leave
def test_what_is_queued_behind_another_request(leave: Leave, tmp_path: Path) -> None:
    """The response to the first one is read in the turn in which the end is, before it."""

    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            with await connect(environment) as client:
                client.sendall(request("first") + request("abandoned"))
                await until(lambda: len(server.received) == 1)
                answer_now(server)
                leave_while_loop_is_busy(client, leave)
                await all_requests_finished(environment)
                assert (await environment.send_request("next")).status == 200
                assert [seen.request_id for seen in server.received] == ["first", "next"]

    run(test())


@contextlib.contextmanager
def server_with_full_backlog() -> Iterator[socket.socket]:
    """A listening socket that accepts nothing: handshakes hang until the first connection is accepted."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)  # full with one connection
        listener.settimeout(WAIT_TIMEOUT_S)
        filler.connect(listener.getsockname())
        yield listener


@each_way_to_leave
def test_a_dial_that_comes_up(leave: Leave, tmp_path: Path) -> None:
    """The end of the client is read before the connection to the server is up."""

    async def test() -> None:
        with server_with_full_backlog() as slow:
            async with node_environment(tmp_path, known=False) as environment:
                entry = {"name": "slow", "address": f"127.0.0.1:{slow.getsockname()[1]}", "status": "active"}
                environment.agent.endpoints = [entry]
                node = running_node(environment)
                with await connect(environment) as client:
                    client.sendall(request("abandoned"))
                    await until(lambda: len(node._upstream._connecting) == 1)
                    leave_while_loop_is_busy(client, leave)
                    # The second connection comes up once its handshake is sent again, after 1 s.
                    with slow.accept()[0], slow.accept()[0] as dialled:
                        await all_requests_finished(environment)
                        dialled.setblocking(False)
                        with contextlib.suppress(BlockingIOError):  # idle in the pool, or
                            assert dialled.recv(1) == b""  # closed

    run(test())
