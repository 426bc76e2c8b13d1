"""Lists that come slowly, in every framing, from a discovery that is slow or crowded."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from orchidferry import agent_link
from tests.peers import CLOSE, Registry, Seen, Server, run, until, world

PIECES = 15
PIECE_EVERY_S = 0.1


class SlowRegistry(Registry):
    """Discovery that writes its whole lists piece by piece."""

    def __init__(self) -> None:
        super().__init__()
        self.whole_lists = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        await super()._serve(reader, writer)

    async def script(self, message: Seen) -> bytes:
        data = await super().script(message)
        if "index=" in message.target:
            return data
        size = len(data) // PIECES
        for start in range(0, PIECES * size, size):
            self._writer.write(data[start : start + size])
            await asyncio.sleep(PIECE_EVERY_S)
        self.whole_lists += 1
        return data[PIECES * size :]


def close_framed(data: bytes) -> bytes:
    """An answer without the header that tells its length."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def test_a_whole_list_that_comes_in_pieces_for_longer_than_a_call_may_be_silent_is_taken(
    tmp_path: Path,
) -> None:
    """Each call was cut at 1 s, however much of its answer had come: the node was never ready."""

    async def test() -> None:
        server, source = Server(), SlowRegistry()
        await source.start()
        async with world(tmp_path, server, start=False, known=False) as scene:
            source.whole = [server.entry()]
            scene.path.write_text(json.dumps(scene.config | {"discovery": source.address}))
            await scene.begin()
            await until(lambda: scene.node is not None and bool(scene.node._in_service))
            assert source.connections == 1
        await source.stop()

    run(test())


def test_a_whole_list_with_no_length_ends_with_its_connection(tmp_path: Path) -> None:
    """It was never read, and the node never ready."""

    async def test() -> None:
        server, source = Server(), Registry()
        await source.start()
        async with world(tmp_path, server, start=False, known=False) as scene:
            source.spoil = [close_framed(source.listing([server.entry()], True)) + CLOSE]
            scene.path.write_text(json.dumps(scene.config | {"discovery": source.address}))
            await scene.begin()
            await until(lambda: source.watches() > 0)
            assert scene.node is not None and scene.node._in_service
        await source.stop()

    run(test())


def test_an_answer_that_trickles_without_end_is_given_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(agent_link, "LONGEST_ANSWER_S", 1.5)

    async def test() -> None:
        server, source = Server(), SlowRegistry()
        await source.start()
        async with world(tmp_path, server) as scene:
            await until(lambda: scene.registry.watches() > 0)
            assert scene.node is not None
            source.whole = [server.entry(name=f"s{n}" + "x" * 200) for n in range(50)]
            monkeypatch.setattr("tests.test_slow_lists.PIECES", 1000)
            host, _, port = source.address.rpartition(":")
            scene.node._discovery.move((host, int(port)))
            await until(lambda: source.connections == 2)
            assert (await scene.ask("a")).status == 200  # by the list as it was
        await source.stop()

    run(test())
