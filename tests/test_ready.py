"""How soon processes are ready that start at once, whatever discovery does."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from tests.peers import LIMIT_S, Caller, Server, run, world
from tests.program import spawn
from workspond.address import parse_address

AT_ONCE = 20  # a tenth of a fleet of 200
READY_S, SHARE = 10.0, 0.9  # so many have to be ready by then


@pytest.mark.parametrize("discovery", ["up", "down", "silent", "a dial that hangs"])
def test_nine_in_ten_of_those_that_start_at_once_are_ready_in_time(discovery: str, tmp_path: Path) -> None:
    """They share this machine's cores, as those of a fleet share theirs. (Passed when it was written.)"""

    async def test() -> None:
        async with world(tmp_path, Server(), start=False, membership_mode="pushed") as scene:
            peers: list[socket.socket] = []
            if discovery == "silent":
                scene.registry.gate.clear()
            elif discovery != "up":
                scene.registry._server.close()
                await scene.registry._server.wait_closed()
            if discovery == "a dial that hangs":
                where = parse_address(scene.registry.address)
                hung = socket.create_server(where, backlog=0)  # full with one, that nobody accepts
                peers = [hung, socket.create_connection(where)]

            async def start() -> float:
                """Start a process and ask it until it is ready; how long that took, in s."""
                began_s = time.monotonic()
                process = await spawn(scene.path)
                try:
                    assert process.stderr is not None
                    while b"started" not in (line := await process.stderr.readline()):
                        assert line, "ended before it was ready"
                    where = parse_address(line.decode().rpartition("listen=")[2].strip())
                    caller = Caller(*await asyncio.open_connection(*where))
                    while (await caller.ask_path("/-/ready")).status != 200:
                        await asyncio.sleep(0.02)
                    caller.writer.close()
                    return time.monotonic() - began_s
                finally:
                    process.kill()
                    await process.wait()

            async with asyncio.timeout(LIMIT_S):
                took_s = sorted(await asyncio.gather(*(start() for _ in range(AT_ONCE))))
            half_s = took_s[AT_ONCE // 2]
            print(f"discovery {discovery}: half ready after {half_s:.2f} s, all {took_s[-1]:.2f}")
            assert took_s[int(SHARE * AT_ONCE) - 1] <= READY_S
            for peer in peers:
                peer.close()

    run(test())
