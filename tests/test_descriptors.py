"""A process whose descriptors idle callers fill up, by a real limit, while discovery is down."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.peers import HANG, Caller, Registry, Server, request, run, until, world
from tests.program import Program

TOLD_S = 6.0  # after the return of discovery
HELD = 4  # callers that have a request out


@pytest.fixture
def room_for_callers() -> Iterator[None]:
    """The test holds as many sockets as the program and more."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4096 if hard == resource.RLIM_INFINITY else min(4096, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def crowd(address: tuple[str, int], count: int) -> list[socket.socket]:
    """So many callers that connect at once and say nothing."""
    idle = []
    for _ in range(count):
        caller = socket.socket()
        caller.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            caller.connect(address)
        idle.append(caller)
    await asyncio.sleep(0)
    return idle


async def ask(address: tuple[str, int], data: bytes) -> int:
    """Ask on a new connection until one is not shut unread; the status."""
    while True:
        with contextlib.suppress(ConnectionError, AssertionError):  # shut: "closed without an answer"
            caller = Caller(*await asyncio.open_connection(*address))
            try:
                caller.write(data)
                return (await caller.read()).status
            finally:
                caller.writer.close()
        await asyncio.sleep(0.02)


@pytest.mark.usefixtures("room_for_callers")
@pytest.mark.parametrize("limit", [256, 512, 1024])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_a_node_full_of_idle_callers_hears_discovery_again_and_serves(
    limit: int, down: str, tmp_path: Path
) -> None:
    ready = b"GET /-/ready HTTP/1.1\r\n\r\n"

    async def test() -> None:
        old, new, other = Server(usual=HANG, name="old"), Server(name="new"), Server(name="other")
        moved = Registry()
        for peer in (new, other, moved):
            await peer.start()
        moved.whole = [other.entry()]
        async with world(
            tmp_path, old, start=False, sockets=limit, membership_mode="pushed", tier=1
        ) as scene:
            host, _, port = scene.registry.address.rpartition(":")
            if down == "refused":
                scene.registry._server.close()
            else:
                scene.registry.gate.clear()
            program = await Program.start(scene, descriptors=limit)
            assert await ask(scene.address, ready) in (200, 500)
            idle = await crowd(scene.address, limit + 100)
            while await ask(scene.address, ready) != 200:  # on its saved list
                await asyncio.sleep(0.05)
            held = []
            for n in range(HELD):
                caller = Caller(*await asyncio.open_connection(*scene.address))
                caller.write(request(f"held-{n}"))
                held.append(caller)
            await until(lambda: len({seen.id for seen in old.seen}) == HELD)
            idle += await crowd(scene.address, limit + 100)
            assert await ask(scene.address, ready) == 200

            scene.registry.whole = [new.entry()]
            async with asyncio.timeout(TOLD_S):
                if down == "refused":
                    scene.registry._server = await asyncio.start_server(
                        scene.registry._serve, host, int(port)
                    )
                scene.registry.gate.set()
                idle += await crowd(scene.address, limit + 100)
                await until(lambda: scene.registry.watches() >= 1)
            assert await ask(scene.address, request("fresh")) == 200
            assert "fresh" in [seen.id for seen in new.seen]

            # A new configuration is a file to open: there is a descriptor left for it.
            idle += await crowd(scene.address, limit + 100)
            scene.path.write_text(json.dumps(scene.config | {"discovery": moved.address}))
            program.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(4.0):
                await until(lambda: moved.watches() >= 1)
            assert await ask(scene.address, request("moved")) == 200
            assert [seen.id for seen in other.seen] == ["moved"]

            for caller in held:
                caller.writer.close()
            for connection in idle:
                connection.close()
        for peer in (new, other, moved):
            await peer.stop()

    run(test())
