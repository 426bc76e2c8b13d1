"""Lists that come slowly, in every framing, from a discovery that is slow or crowded."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.peers import CLOSE, RESET, Registry, Seen, Server, run, until, world
from workspond.discovery import agent_client as agent_link

PIECES = 15
PIECE_EVERY_S = 0.1
LATE_S = 1.7


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
            await until(lambda: scene.node is not None and scene.node.is_ready())
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
            assert scene.node is not None and scene.node._endpoints.in_service
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
            scene.node._discovery.change_address((host, int(port)))
            await until(lambda: source.connections == 2)
            assert (await scene.ask("a")).status == 200  # by the list as it was
        await source.stop()

    run(test())


def chunked(data: bytes) -> bytes:
    head, _, body = close_framed(data).partition(b"\r\n\r\n")
    pieces = [body[start : start + 100] for start in range(0, len(body), 100)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class LateRegistry(Registry):
    """Discovery that answers each call well after its time."""

    async def script(self, message: Seen) -> bytes:
        await asyncio.sleep(LATE_S)
        return await super().script(message)


def test_answers_that_begin_after_a_call_s_time_are_taken_and_watched_on_from(tmp_path: Path) -> None:
    """Each call was given up, and the node was never ready."""

    async def test() -> None:
        server, new, source = Server(), Server(name="new"), LateRegistry()
        await source.start()
        await new.start()
        async with world(tmp_path, server, start=False, known=False) as scene:
            source.whole = [server.entry()]
            scene.path.write_text(json.dumps(scene.config | {"discovery": source.address}))
            await scene.begin()
            await until(lambda: scene.node is not None and len(scene.node._endpoints.in_service) == 1)
            source.tell(new.entry())
            await until(lambda: scene.node is not None and len(scene.node._endpoints.in_service) == 2)
            assert source.connections <= 8
        await new.stop()
        await source.stop()

    run(test())


INTERIM = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "chunks": chunked,
    "interim answers first": lambda data: INTERIM + INTERIM + data,
    "an interim answer, then no length": lambda data: INTERIM + close_framed(data) + CLOSE,
    "a length and a close": lambda data: data + CLOSE,
    "HTTP/1.0 without a length": lambda data: close_framed(data).replace(b"HTTP/1.1", b"HTTP/1.0") + CLOSE,
}


@pytest.mark.parametrize("frame", FRAMINGS.values(), ids=FRAMINGS.keys())
def test_lists_are_read_in_every_framing(frame: Callable[[bytes], bytes], tmp_path: Path) -> None:
    async def test() -> None:
        server, source = Server(), Registry()
        await source.start()
        async with world(tmp_path, server, start=False, known=False) as scene:
            source.spoil = [frame(source.listing([server.entry()], True))]
            scene.path.write_text(json.dumps(scene.config | {"discovery": source.address}))
            await scene.begin()
            await until(lambda: source.watches() > 0)
            assert scene.node is not None and scene.node._endpoints.in_service
        await source.stop()

    run(test())


def test_a_reset_in_the_midst_of_a_list_with_no_length_is_no_end(tmp_path: Path) -> None:
    """What came before it is a whole list by itself."""

    async def test() -> None:
        server, source = Server(), Registry()
        await source.start()
        async with world(tmp_path, server, start=False, known=False) as scene:
            source.spoil = [close_framed(source.listing([server.entry()], True)) + RESET]
            scene.path.write_text(json.dumps(scene.config | {"discovery": source.address}))
            await scene.begin()
            await until(lambda: len(source.seen) >= 2)
            assert [seen.target for seen in source.seen[:2]] == ["/api/targets"] * 2
        await source.stop()

    run(test())
