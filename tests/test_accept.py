"""Shortages while callers connect: they wait in the backlog until there is room again."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from pathlib import Path

from tests.peers import LIMIT_S, Server, request, run, until, world
from tests.test_node import Program

SHORTAGE_S = 0.5


def lowest_free_descriptor(pid: int) -> int:
    """With this as its limit a process has none left, and any that it closes can be had again."""
    used = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
    return next(number for number in range(len(used) + 1) if number not in used)


def limit_descriptors(pid: int, count: int) -> None:
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard))


def test_callers_that_connect_while_no_descriptor_is_free_are_served_afterwards(tmp_path: Path) -> None:
    """Each was reset: the event loop's library closes what waits to get out of the jam."""

    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            program = await Program.start(scene)
            pid = program.process.pid
            await until(lambda: scene.registry.watches() > 0)
            assert (await scene.ask("before")).status == 200
            scene.callers.pop().writer.close()
            await asyncio.sleep(0.1)
            limit_descriptors(pid, lowest_free_descriptor(pid))
            callers = []
            for n in range(5):
                caller = socket.create_connection(scene.address, LIMIT_S)
                caller.sendall(request(f"{n}"))
                callers.append(caller)
            await asyncio.sleep(SHORTAGE_S)
            limit_descriptors(pid, 1024)
            for caller in callers:
                reply = await asyncio.to_thread(caller.recv, 1000)
                assert reply.startswith(b"HTTP/1.1 200")
                caller.close()

    run(test())
