"""Tests of endpoint lists that arrive slowly, late, or in different HTTP framings."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from tests.peers import (
    CLOSE,
    RESET,
    Message,
    NodeEnvironment,
    ScriptedDiscoveryAgent,
    Server,
    node_environment,
    run,
    until,
)
from workspond.discovery import agent_client

# 15 pieces at intervals of 0.1 s take longer than the timeout of a poll.
PIECE_COUNT = 15
PIECE_INTERVAL_S = 0.1
CHUNK_BYTES = 100
RESPONSE_DELAY_S = 1.7  # longer than the timeout of any call


class PiecewiseAgent(ScriptedDiscoveryAgent):
    """A discovery agent that writes complete lists slowly, piece by piece."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        await super()._serve(reader, writer)

    async def script(self, message: Message) -> bytes:
        data = await super().script(message)
        if "index=" in message.target:
            return data
        size = len(data) // PIECE_COUNT
        for start in range(0, PIECE_COUNT * size, size):
            self._writer.write(data[start : start + size])
            await asyncio.sleep(PIECE_INTERVAL_S)
        return data[PIECE_COUNT * size :]


@contextlib.asynccontextmanager
async def unstarted_node(
    agent: ScriptedDiscoveryAgent, server: Server, path: Path
) -> AsyncIterator[NodeEnvironment]:
    """Yield an environment whose node is not started and has no cached servers; its agent is `agent`."""
    await agent.start()
    async with node_environment(path, server, start=False, has_cached_list=False) as environment:
        environment.write_config(discovery=agent.address)
        yield environment
    await agent.stop()


def without_length(data: bytes) -> bytes:
    """Remove Content-Length from a response, which then ends when its connection closes."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def test_a_complete_list_that_arrives_piece_by_piece_is_used(
    tmp_path: Path,
) -> None:
    """Each call once timed out after 1 s while its response was still arriving: the node was never ready."""

    async def test() -> None:
        server, agent = Server(), PiecewiseAgent()
        async with unstarted_node(agent, server, tmp_path) as environment:
            agent.endpoints = [server.entry()]
            await environment.start_node()
            await until(lambda: environment.node is not None and environment.node.is_ready())
            assert agent.accepted_connections == 1

    run(test())


def test_a_complete_list_without_a_length_ends_when_its_connection_closes(tmp_path: Path) -> None:
    """Such a list was once never read, so the node was never ready."""

    async def test() -> None:
        server, agent = Server(), ScriptedDiscoveryAgent()
        async with unstarted_node(agent, server, tmp_path) as environment:
            agent.faulty_responses = [
                without_length(agent.render_list([server.entry()], complete=True)) + CLOSE
            ]
            await environment.start_node()
            await until(lambda: agent.watches() > 0)
            assert environment.node is not None and environment.node._endpoints.in_service

    run(test())


def test_a_response_that_never_ends_fails_after_the_maximum_call_duration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(agent_client, "MAX_CALL_S", 1.5)

    async def test() -> None:
        server, agent = Server(), PiecewiseAgent()
        await agent.start()
        async with node_environment(tmp_path, server) as environment:
            await until(lambda: environment.agent.watches() > 0)
            assert environment.node is not None
            agent.endpoints = [server.entry(name=f"s{number}" + "x" * 200) for number in range(50)]
            monkeypatch.setattr("tests.test_slow_endpoint_lists.PIECE_COUNT", 1000)
            host, _, port = agent.address.rpartition(":")
            environment.node._discovery.change_address((host, int(port)))
            await until(lambda: agent.accepted_connections == 2)
            assert (await environment.send_request("a")).status == 200  # the previous list is in use
        await agent.stop()

    run(test())


def chunked(data: bytes) -> bytes:
    """Convert a response to the chunked transfer coding."""
    head, _, body = without_length(data).partition(b"\r\n\r\n")
    pieces = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def test_responses_that_begin_after_the_timeout_are_used_and_followed_by_watches(tmp_path: Path) -> None:
    """Each such call was once abandoned, so the node was never ready."""

    async def test() -> None:
        server, new, agent = Server(), Server(name="new"), ScriptedDiscoveryAgent()
        agent.response_delay_s = RESPONSE_DELAY_S
        await new.start()
        async with unstarted_node(agent, server, tmp_path) as environment:
            agent.endpoints = [server.entry()]
            await environment.start_node()
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 1
            )
            agent.publish(new.entry())
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 2
            )
            assert agent.accepted_connections <= 8
        await new.stop()

    run(test())


INTERIM_RESPONSE = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "chunked": chunked,
    "interim responses first": lambda data: INTERIM_RESPONSE + INTERIM_RESPONSE + data,
    "interim response, then no length": lambda data: INTERIM_RESPONSE + without_length(data) + CLOSE,
    "length and close": lambda data: data + CLOSE,
    "HTTP/1.0 without a length": lambda data: without_length(data).replace(b"HTTP/1.1", b"HTTP/1.0") + CLOSE,
}


@pytest.mark.parametrize("frame", FRAMINGS.values(), ids=FRAMINGS.keys())
def test_lists_are_read_in_every_framing(frame: Callable[[bytes], bytes], tmp_path: Path) -> None:
    async def test() -> None:
        server, agent = Server(), ScriptedDiscoveryAgent()
        async with unstarted_node(agent, server, tmp_path) as environment:
            agent.faulty_responses = [frame(agent.render_list([server.entry()], complete=True))]
            await environment.start_node()
            await until(lambda: agent.watches() > 0)
            assert environment.node is not None and environment.node._endpoints.in_service

    run(test())


def test_a_reset_does_not_complete_a_list_without_a_length(tmp_path: Path) -> None:
    """The data received before the reset is a complete list, but it may have been cut off."""

    async def test() -> None:
        server, agent = Server(), ScriptedDiscoveryAgent()
        async with unstarted_node(agent, server, tmp_path) as environment:
            agent.faulty_responses = [
                without_length(agent.render_list([server.entry()], complete=True)) + RESET
            ]
            await environment.start_node()
            await until(lambda: len(agent.received) >= 2)
            assert [message.target for message in agent.received[:2]] == ["/api/targets"] * 2

    run(test())
