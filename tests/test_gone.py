"""Callers that have gone while the event loop was busy: the end lies unread, and nothing more is sent.

Each test closes the caller's socket and then keeps the loop from running for longer than the 0.1 s after
which an attempt for it counts as lost: what came meanwhile is worked off in one turn.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.peers import HANG, LIMIT_S, Server, World, answer, request, run, until, world
from workspond.policy import request_queue

BUSY_S = 0.3  # of a loop that does not run


def close(caller: socket.socket) -> None:
    caller.close()


def half_close(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


leaving = pytest.mark.parametrize("leave", [close, half_close, reset])
Leave = Callable[[socket.socket], None]


async def connect(scene: World) -> socket.socket:
    """A caller's socket that the node has accepted and that does nothing by itself."""
    node = scene.node
    assert node is not None
    await until(lambda: bool(node._in_service))
    before = node.frontend.connection_count()
    caller = socket.create_connection(scene.address, LIMIT_S)
    await until(lambda: node.frontend.connection_count() == before + 1)
    return caller


def answer_now(server: Server) -> None:
    """Write an answer on the server's connections at once, without a turn of the loop."""
    for writer in server._writers:
        writer.write(answer())


async def request_finished(scene: World) -> None:
    """Wait until the node holds nothing any more."""
    node = scene.node
    assert node is not None
    await until(lambda: not node._live and not node._attempts and not node._balancer._calls)


@leaving
def test_a_first_attempt(leave: Leave, tmp_path: Path) -> None:
    """The request and its caller's end are read in one turn."""

    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            caller = await connect(scene)
            assert (await scene.ask("before")).status == 200  # leaves a connection that is used at once
            caller.sendall(request("left"))
            leave(caller)
            time.sleep(BUSY_S)
            assert (await scene.ask("next")).status == 200
            await request_finished(scene)
            assert [seen.id for seen in server.seen] == ["before", "next"]
            caller.close()

    run(test())


@leaving
def test_a_retry_that_comes_due(leave: Leave, tmp_path: Path) -> None:
    """A reset reaches the node a turn after it was read, and timers run in between."""

    async def test() -> None:
        server = Server(usual=answer(500))
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            module = scene.node._balancer
            caller = await connect(scene)
            caller.sendall(request("left"))
            await until(lambda: bool(server.seen) and bool(module._timers._calls) and not module.in_flight)
            sent = len(server.seen)
            leave(caller)
            time.sleep(BUSY_S)
            await request_finished(scene)
            assert len(server.seen) == sent
            caller.close()

    run(test())


@leaving
def test_what_waits_for_a_slot(leave: Leave, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The slot comes up in the turn in which the end is read, before it."""
    # 450 ms: longer than the loop is busy
    monkeypatch.setattr(request_queue, "MAX_WAIT_FRACTION_FIRST_TIER", 0.9)
    monkeypatch.setattr(request_queue, "MAX_WAIT_FRACTION_LATER_TIERS", 0.9)

    async def test() -> None:
        server = Server(HANG)
        async with world(tmp_path, server) as scene:
            caller, first = await connect(scene), await scene.caller()
            assert scene.node is not None
            module = scene.node._balancer
            for known in module.fleet.servers.values():
                known.in_flight_limit = 1.0
            first.write(request("first"))
            await until(lambda: len(server.seen) == 1)
            caller.sendall(request("left"))
            await until(lambda: len(module._calls) == 2)
            answer_now(server)
            leave(caller)
            time.sleep(BUSY_S)
            assert (await first.read()).status == 200
            await request_finished(scene)
            assert (await first.ask("next")).status == 200
            assert [seen.id for seen in server.seen] == ["first", "next"]
            caller.close()

    run(test())


@leaving
def test_what_is_queued_behind_another_request(leave: Leave, tmp_path: Path) -> None:
    """The first one's answer is read in the turn in which the end is, before it."""

    async def test() -> None:
        server = Server(HANG)
        async with world(tmp_path, server) as scene:
            caller = await connect(scene)
            caller.sendall(request("first") + request("left"))
            await until(lambda: len(server.seen) == 1)
            answer_now(server)
            leave(caller)
            time.sleep(BUSY_S)
            await request_finished(scene)
            assert (await scene.ask("next")).status == 200
            assert [seen.id for seen in server.seen] == ["first", "next"]
            caller.close()

    run(test())


@leaving
def test_a_dial_that_comes_up(leave: Leave, tmp_path: Path) -> None:
    """Passed before the socket was asked: the end came first, and was read first."""

    async def test() -> None:
        with socket.socket() as slow, socket.socket() as filler:
            slow.bind(("127.0.0.1", 0))
            slow.listen(0)  # full with one: the next handshake hangs until that is accepted
            slow.settimeout(LIMIT_S)
            filler.connect(slow.getsockname())
            async with world(tmp_path, known=False) as scene:
                entry = {"name": "slow", "address": f"127.0.0.1:{slow.getsockname()[1]}", "status": "active"}
                scene.registry.whole = [entry]
                caller = await connect(scene)
                node = scene.node
                assert node is not None
                caller.sendall(request("left"))
                await until(lambda: len(node._upstream._dials) == 1)
                leave(caller)
                time.sleep(BUSY_S)
                with slow.accept()[0], slow.accept()[0] as dialled:  # the second once it is sent anew, at 1 s
                    await request_finished(scene)
                    dialled.setblocking(False)
                    with contextlib.suppress(BlockingIOError):  # kept for the next request, or
                        assert dialled.recv(1) == b""  # closed
                caller.close()

    run(test())
