"""Tests how soon processes that start at the same time are ready, for each state of discovery."""

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

PROCESS_COUNT = 20  # a tenth of a deployment of 200 nodes
READY_WITHIN_S = 10.0
READY_FRACTION = 0.9  # the fraction of the processes that must be ready within READY_WITHIN_S
READY_CHECK_INTERVAL_S = 0.02


@contextlib.asynccontextmanager
async def discovery_state(agent: ScriptedDiscoveryAgent, state: str) -> AsyncIterator[None]:
    """Put the discovery agent into a state while the context is active."""
    if state == "does not answer":
        agent.may_respond.clear()
    elif state != "up":
        agent._server.close()
        await agent._server.wait_closed()
    with contextlib.ExitStack() as stack:
        if state == "connections hang":
            address = parse_address(agent.address)
            # One connection, which is never accepted, fills the backlog.
            stack.enter_context(socket.create_server(address, backlog=0))
            stack.enter_context(socket.create_connection(address))
        yield


async def wait_until_ready(client: Client) -> None:
    while True:
        if (await client.get("/-/ready")).status == 200:
            return
        await asyncio.sleep(READY_CHECK_INTERVAL_S)


async def time_to_ready_s(path: Path) -> float:
    """Start a process, and return how long it took until it was ready, in seconds."""
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


@pytest.mark.parametrize("discovery", ["up", "down", "does not answer", "connections hang"])
def test_nine_in_ten_processes_that_start_at_once_are_ready_within_10_s(
    discovery: str, tmp_path: Path
) -> None:
    """The processes share this machine's cores, as the processes of a deployment share theirs."""

    async def test() -> None:
        async with (
            node_environment(tmp_path, Server(), start=False, membership_mode="pushed") as environment,
            discovery_state(environment.agent, discovery),
        ):
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                starts = [time_to_ready_s(environment.path) for _ in range(PROCESS_COUNT)]
                times_s = sorted(await asyncio.gather(*starts))
            median_s = times_s[PROCESS_COUNT // 2]
            print(f"discovery {discovery}: half ready after {median_s:.2f} s, all after {times_s[-1]:.2f} s")
            assert times_s[int(READY_FRACTION * PROCESS_COUNT) - 1] <= READY_WITHIN_S

    run(test())
