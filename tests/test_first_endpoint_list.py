"""Tests of the list that a new process uses: the agent's, or the cached one if none arrives in time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.readiness import wait_until_ready
from tests.peers import (
    CLOSE,
    HANG,
    RESET,
    WAIT_TIMEOUT_S,
    NodeEnvironment,
    ScriptedDiscoveryAgent,
    Server,
    free_port,
    hanging_listener,
    node_environment,
    render_response,
    request,
    run,
)
from workspond import node
from workspond.address import format_address

MAX_READY_S = 6.0  # a process that restarts must be ready within this time, whatever its agent does
REQUEST_INTERVAL_S = 0.01
SLOW_RESPONSE_S = 1.5
PIECE_INTERVAL_S = 0.2
MANY_CALLS = 1000  # more than a process makes in a test


class TricklingAgent(ScriptedDiscoveryAgent):
    """A discovery agent whose responses begin at once, go on byte by byte, and never end."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        while not writer.is_closing():
            writer.write(b" ")
            await asyncio.sleep(PIECE_INTERVAL_S)


async def send_until_updated(environment: NodeEnvironment, version: int) -> None:
    """Send requests, one after another, until the agent has been asked for changes to this version."""
    client = await environment.client()
    for number in range(MANY_CALLS):
        assert (await client.send_request(f"r{number}")).status == 200
        if any(f"index={version}" in message.target for message in environment.agent.received):
            return
        await asyncio.sleep(REQUEST_INTERVAL_S)


@contextlib.asynccontextmanager
async def node_with_outdated_cached_list(
    path: Path, draining: Server, other: Server, mode: str = "pushed"
) -> AsyncIterator[NodeEnvironment]:
    """Yield an environment without a node; its cached list does not tell that a server drains."""
    async with node_environment(path, draining, other, start=False, membership_mode=mode) as environment:
        environment.agent.index = 2
        environment.agent.endpoints = [draining.entry(status="leaving"), other.entry()]
        yield environment


async def assert_cached_list_is_not_used(environment: NodeEnvironment, draining: Server) -> None:
    """Start the node and send requests from its start until its agent's list has been used for a while."""
    await environment.start_node()
    early_client = await environment.client()
    early_client.write(request("early"))
    await wait_until_ready(*environment.address, MAX_READY_S)
    await send_until_updated(environment, version=2)
    assert (await early_client.read()).status in (200, 503)
    assert not draining.received


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("response_delay_s", [SLOW_RESPONSE_S, 2.0])
def test_a_new_process_beside_a_slow_agent_sends_nothing_by_its_cached_list(
    response_delay_s: float, mode: str, tmp_path: Path
) -> None:
    """A new process once used its cached list after 1 s, and sent to draining servers by it."""

    async def test() -> None:
        draining, other = Server(name="draining"), Server(name="other")
        async with node_with_outdated_cached_list(tmp_path, draining, other, mode) as environment:
            environment.agent.response_delay_s = response_delay_s
            await assert_cached_list_is_not_used(environment, draining)

    run(test())


FAILED_RESPONSES = {"closed": CLOSE, "reset": RESET, "status 503": render_response(503)}


@pytest.mark.parametrize("response", FAILED_RESPONSES.values(), ids=FAILED_RESPONSES.keys())
def test_a_call_that_fails_after_a_late_one_does_not_end_the_wait(response: bytes, tmp_path: Path) -> None:
    """The late call may still be answered, so the failure of the next one says nothing."""

    async def test() -> None:
        draining, other = Server(name="draining"), Server(name="other")
        async with node_with_outdated_cached_list(tmp_path, draining, other) as environment:
            agent = environment.agent
            agent.response_delay_s = SLOW_RESPONSE_S
            asyncio.get_running_loop().call_later(
                SLOW_RESPONSE_S / 2, agent.faulty_responses.append, response
            )
            await assert_cached_list_is_not_used(environment, draining)

    run(test())


@pytest.mark.parametrize("response", FAILED_RESPONSES.values(), ids=FAILED_RESPONSES.keys())
def test_a_new_process_serves_by_its_cached_list_at_once_if_its_first_call_fails(
    response: bytes, tmp_path: Path
) -> None:
    """Waiting for longer beside an agent that rejects calls kept whole deployments from serving."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server, start=False) as environment:
            environment.agent.faulty_responses = [response] * MANY_CALLS
            started_at_s = time.monotonic()
            await environment.start_node()
            await wait_until_ready(*environment.address, WAIT_TIMEOUT_S)
            assert time.monotonic() - started_at_s < node.FIRST_LIST_TIMEOUT_S
            assert (await environment.send_request("a")).status == 200

    run(test())


def test_the_cached_list_is_not_used_after_the_agent_has_sent_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    timeout_s = 0.3
    monkeypatch.setattr(node, "FIRST_LIST_TIMEOUT_S", timeout_s)

    async def test() -> None:
        draining, other = Server(name="draining"), Server(name="other")
        async with node_with_outdated_cached_list(tmp_path, draining, other) as environment:
            await environment.start_node()
            await wait_until_ready(*environment.address, MAX_READY_S)
            await asyncio.sleep(2 * timeout_s)
            for number in range(4):
                assert (await environment.send_request(f"{number}")).status == 200
            assert len(other.received) == 4 and not draining.received

    run(test())


@contextlib.asynccontextmanager
async def unusable_agent(environment: NodeEnvironment, state: str) -> AsyncIterator[str]:
    """Yield the address of an agent that never sends a list."""
    agent = environment.agent
    match state:
        case "refuses":
            yield f"127.0.0.1:{free_port()}"
        case "connections hang":
            with hanging_listener() as address:
                yield format_address(address)
        case "trickles":
            trickling_agent = TricklingAgent()
            await trickling_agent.start()
            yield trickling_agent.address
            await trickling_agent.stop()
        case "silent":
            agent.faulty_responses = [HANG] * MANY_CALLS
            yield agent.address
        case "closes":
            agent.faulty_responses = [CLOSE] * MANY_CALLS
            yield agent.address


@pytest.mark.parametrize("state", ["silent", "closes", "refuses", "connections hang", "trickles"])
def test_a_new_process_is_ready_in_time_and_serves_while_its_agent_sends_no_list(
    state: str, tmp_path: Path
) -> None:
    """Beside an agent whose response never ended, a new process was once not ready for 15 s."""

    async def test() -> None:
        server = Server()
        async with (
            node_environment(tmp_path, server, start=False) as environment,
            unusable_agent(environment, state) as address,
        ):
            environment.write_config(discovery=address)
            started_at_s = time.monotonic()
            await environment.start_node()
            await wait_until_ready(*environment.address, WAIT_TIMEOUT_S)
            ready_after_s = time.monotonic() - started_at_s
            print(f"agent {state}: ready after {ready_after_s:.2f} s")
            assert ready_after_s <= MAX_READY_S
            assert (await environment.send_request("a")).status == 200
            assert [message.request_id for message in server.received] == ["a"]

    run(test())
