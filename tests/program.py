"""Runs the program in a separate process, as in production."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
from pathlib import Path

from standins.readiness import wait_until_ready
from tests.peers import WAIT_TIMEOUT_S, NodeEnvironment
from tests.test_wire import ROOT
from workspond.address import Address, parse_address

CONNECT_INTERVAL_S = 0.02


class Program:
    """A process that runs the program."""

    def __init__(self, process: asyncio.subprocess.Process, environment: NodeEnvironment) -> None:
        self.process = process
        self.environment = environment

    @classmethod
    async def start(cls, environment: NodeEnvironment, descriptors: int | None = None) -> Program:
        """Start the program with the environment's configuration, and wait until it listens."""
        program = cls(await spawn(environment.path, descriptors), environment)
        environment.processes.append(program.process)
        environment.address = await read_listen_address(program.process)
        return program

    async def wait_until_ready(self) -> None:
        """Wait until the program's ready check succeeds."""
        await wait_until_ready(*self.environment.address, WAIT_TIMEOUT_S)

    async def wait_until_refusing(self) -> None:
        """Wait until the program refuses connections because its listener is closed."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if not await can_connect(self.environment.address):
                    return
                await asyncio.sleep(CONNECT_INTERVAL_S)


async def can_connect(address: Address) -> bool:
    """Return whether a connection to an address is accepted, not refused."""
    try:
        _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


async def spawn(path: Path | None, descriptors: int | None = None) -> asyncio.subprocess.Process:
    """Start the program, with a limit on its file descriptors if one is given."""

    def limit_descriptors() -> None:
        if descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    variables = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    if path is not None:
        variables["NODE_CONFIG"] = str(path)
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "workspond",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
        env=variables,
    )


async def read_listen_address(process: asyncio.subprocess.Process) -> Address:
    """Read the program's log up to the line "started", and return the address that it listens on."""
    assert process.stderr is not None
    while True:
        line = await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)
        assert line, "the program ended before it listened"
        if b"started" in line:
            return parse_address(line.decode().rpartition("listen=")[2].strip())
