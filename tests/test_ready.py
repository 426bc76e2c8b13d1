"""Tests how soon processes that start at the same time are ready, for each state of discovery."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.readiness import wait_until_ready
from tests.peers import (
    WAIT_TIMEOUT_S,
    ScriptedDiscoveryAgent,
    Server,
    hanging_listener,
    node_environment,
    run,
)
from tests.program import read_listen_address, spawn
from workspond.address import format_address

PROCESS_COUNT = 20  # a tenth of a deployment of 200 nodes
READY_WITHIN_S = 10.0
READY_FRACTION = 0.9  # the fraction of the processes that must be ready within READY_WITHIN_S


@contextlib.asynccontextmanager
async def agent_in_state(agent: ScriptedDiscoveryAgent, state: str) -> AsyncIterator[str]:
    """Put the discovery agent into a state, and yield the address at which processes call it."""
    with contextlib.ExitStack() as stack:
        match state:
            case "does not answer":
                agent.may_respond.clear()
            case "down":
                await agent.stop()
            case "connections hang":
                yield format_address(stack.enter_context(hanging_listener()))
                return
        yield agent.address


async def time_to_ready_s(path: Path) -> float:
    """Start a process, and return how long it took until it was ready, in seconds."""
    started_at_s = time.monotonic()
    process = await spawn(path)
    try:
        await wait_until_ready(*await read_listen_address(process), WAIT_TIMEOUT_S)
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
            agent_in_state(environment.agent, discovery) as agent_address,
        ):
            environment.write_config(discovery=agent_address)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                starts = [time_to_ready_s(environment.path) for _ in range(PROCESS_COUNT)]
                times_s = sorted(await asyncio.gather(*starts))
            median_s = times_s[PROCESS_COUNT // 2]
            print(f"discovery {discovery}: half ready after {median_s:.2f} s, all after {times_s[-1]:.2f} s")
            assert times_s[int(READY_FRACTION * PROCESS_COUNT) - 1] <= READY_WITHIN_S

    run(test())
