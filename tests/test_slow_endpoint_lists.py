"""Endpoint lists that arrive slowly or late, and in every framing of HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import json
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
from workspond.discovery import agent_client as agent_link

PIECES = 15  # at their interval they take longer than the timeout of a poll
PIECE_INTERVAL_S = 0.1
CHUNK_BYTES = 100
RESPONSE_DELAY_S = 1.7  # longer than any call's timeout


class TricklingRegistry(ScriptedDiscoveryAgent):
    """An agent that writes complete lists piece by piece."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        await super()._serve(reader, writer)

    async def script(self, message: Message) -> bytes:
        data = await super().script(message)
        if "index=" in message.target:
            return data
        size = len(data) // PIECES
        for start in range(0, PIECES * size, size):
            self._writer.write(data[start : start + size])
            await asyncio.sleep(PIECE_INTERVAL_S)
        return data[PIECES * size :]


@contextlib.asynccontextmanager
async def node_to_start(
    source: ScriptedDiscoveryAgent, server: Server, path: Path
) -> AsyncIterator[NodeEnvironment]:
    """A node that is not started yet and knows no server; its agent is `source`."""
    await source.start()
    async with node_environment(path, server, start=False, known=False) as environment:
        environment.path.write_text(json.dumps(environment.config | {"discovery": source.address}))
        yield environment
    await source.stop()


def without_length(data: bytes) -> bytes:
    """A response without Content-Length, which ends with its connection."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def test_a_whole_list_that_comes_in_pieces_for_longer_than_a_call_may_be_silent_is_taken(
    tmp_path: Path,
) -> None:
    """Each call was cut at 1 s, however much of its answer had come: the node was never ready."""

    async def test() -> None:
        server, source = Server(), TricklingRegistry()
        async with node_to_start(source, server, tmp_path) as environment:
            source.endpoints = [server.entry()]
            await environment.start_node()
            await until(lambda: environment.node is not None and environment.node.is_ready())
            assert source.accepted_connections == 1

    run(test())


def test_a_whole_list_with_no_length_ends_with_its_connection(tmp_path: Path) -> None:
    """It was never read, and the node never ready."""

    async def test() -> None:
        server, source = Server(), ScriptedDiscoveryAgent()
        async with node_to_start(source, server, tmp_path) as environment:
            source.faulty_responses = [
                without_length(source.render_list([server.entry()], complete=True)) + CLOSE
            ]
            await environment.start_node()
            await until(lambda: source.watches() > 0)
            assert environment.node is not None and environment.node._endpoints.in_service

    run(test())


def test_an_answer_that_trickles_without_end_is_given_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(agent_link, "MAX_CALL_S", 1.5)

    async def test() -> None:
        server, source = Server(), TricklingRegistry()
        await source.start()
        async with node_environment(tmp_path, server) as environment:
            await until(lambda: environment.agent.watches() > 0)
            assert environment.node is not None
            source.endpoints = [server.entry(name=f"s{number}" + "x" * 200) for number in range(50)]
            monkeypatch.setattr("tests.test_slow_endpoint_lists.PIECES", 1000)
            host, _, port = source.address.rpartition(":")
            environment.node._discovery.change_address((host, int(port)))
            await until(lambda: source.accepted_connections == 2)
            assert (await environment.send_request("a")).status == 200  # by the list as it was
        await source.stop()

    run(test())


def chunked(data: bytes) -> bytes:
    """A response in the chunked transfer coding."""
    head, _, body = without_length(data).partition(b"\r\n\r\n")
    pieces = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class LateRegistry(ScriptedDiscoveryAgent):
    """An agent that begins each answer well after the call's timeout."""

    async def script(self, message: Message) -> bytes:
        await asyncio.sleep(RESPONSE_DELAY_S)
        return await super().script(message)


def test_answers_that_begin_after_a_call_s_time_are_taken_and_watched_on_from(tmp_path: Path) -> None:
    """Each call was given up, and the node was never ready."""

    async def test() -> None:
        server, new, source = Server(), Server(name="new"), LateRegistry()
        await new.start()
        async with node_to_start(source, server, tmp_path) as environment:
            source.endpoints = [server.entry()]
            await environment.start_node()
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 1
            )
            source.publish(new.entry())
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 2
            )
            assert source.accepted_connections <= 8
        await new.stop()

    run(test())


INTERIM_RESPONSE = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "chunks": chunked,
    "interim answers first": lambda data: INTERIM_RESPONSE + INTERIM_RESPONSE + data,
    "an interim answer, then no length": lambda data: INTERIM_RESPONSE + without_length(data) + CLOSE,
    "a length and a close": lambda data: data + CLOSE,
    "HTTP/1.0 without a length": lambda data: without_length(data).replace(b"HTTP/1.1", b"HTTP/1.0") + CLOSE,
}


@pytest.mark.parametrize("frame", FRAMINGS.values(), ids=FRAMINGS.keys())
def test_lists_are_read_in_every_framing(frame: Callable[[bytes], bytes], tmp_path: Path) -> None:
    async def test() -> None:
        server, source = Server(), ScriptedDiscoveryAgent()
        async with node_to_start(source, server, tmp_path) as environment:
            source.faulty_responses = [frame(source.render_list([server.entry()], complete=True))]
            await environment.start_node()
            await until(lambda: source.watches() > 0)
            assert environment.node is not None and environment.node._endpoints.in_service

    run(test())


def test_a_reset_in_the_midst_of_a_list_with_no_length_is_no_end(tmp_path: Path) -> None:
    """What came before it is a complete list by itself."""

    async def test() -> None:
        server, source = Server(), ScriptedDiscoveryAgent()
        async with node_to_start(source, server, tmp_path) as environment:
            source.faulty_responses = [
                without_length(source.render_list([server.entry()], complete=True)) + RESET
            ]
            await environment.start_node()
            await until(lambda: len(source.received) >= 2)
            assert [seen.target for seen in source.received[:2]] == ["/api/targets"] * 2

    run(test())
