"""How soon processes are ready that start at once, whatever discovery does."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.peers import WAIT_TIMEOUT_S, Client, ScriptedDiscoveryAgent, Server, node_environment, run
from tests.program import read_listen_address, spawn
from workspond.address import parse_address

STARTED_AT_ONCE = 20  # a tenth of a fleet of 200
READY_WITHIN_S = 10.0
READY_FRACTION = 0.9  # of the processes that have to be ready by then
READY_POLL_S = 0.02


@contextlib.asynccontextmanager
async def discovery_state(registry: ScriptedDiscoveryAgent, state: str) -> AsyncIterator[None]:
    """Put discovery into a state for as long as the context lasts."""
    if state == "silent":
        registry.may_respond.clear()
    elif state != "up":
        registry._server.close()
        await registry._server.wait_closed()
    with contextlib.ExitStack() as stack:
        if state == "a dial that hangs":
            address = parse_address(registry.address)
            # The backlog is full with one connection, which nobody accepts.
            stack.enter_context(socket.create_server(address, backlog=0))
            stack.enter_context(socket.create_connection(address))
        yield


async def wait_until_ready(client: Client) -> None:
    while True:
        if (await client.get("/-/ready")).status == 200:
            return
        await asyncio.sleep(READY_POLL_S)


async def time_to_ready_s(path: Path) -> float:
    """Start a process; returns how long it took until it was ready."""
    started_at_s = time.monotonic()
    process = await spawn(path)
    try:
        client = Client(*await asyncio.open_connection(*await read_listen_address(process)))
        await wait_until_ready(client)
        client.writer.close()
        return time.monotonic() - started_at_s
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("discovery", ["up", "down", "silent", "a dial that hangs"])
def test_nine_in_ten_of_those_that_start_at_once_are_ready_in_time(discovery: str, tmp_path: Path) -> None:
    """They share this machine's cores, as those of a fleet share theirs. (Passed when it was written.)"""

    async def test() -> None:
        async with (
            node_environment(tmp_path, Server(), start=False, membership_mode="pushed") as environment,
            discovery_state(environment.agent, discovery),
        ):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                starts = [time_to_ready_s(environment.path) for _ in range(STARTED_AT_ONCE)]
                times_s = sorted(await asyncio.gather(*starts))
            median_s = times_s[STARTED_AT_ONCE // 2]
            print(f"discovery {discovery}: half ready after {median_s:.2f} s, all {times_s[-1]:.2f}")
            assert times_s[int(READY_FRACTION * STARTED_AT_ONCE) - 1] <= READY_WITHIN_S

    run(test())
