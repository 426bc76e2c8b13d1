"""Answers with no length: an orderly end of the connection ends them, and a reset does not."""

from __future__ import annotations

from pathlib import Path

from tests.peers import CLOSE, Server, run, world

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"


def test_an_answer_with_no_length_ends_with_its_connection(tmp_path: Path) -> None:
    """None was forwarded: each counted as spoilt."""

    async def test() -> None:
        server = Server(HEAD + b"until the end" + CLOSE, HEAD + CLOSE)
        async with world(tmp_path, server) as scene:
            reply = await scene.ask("a", "pay")
            assert (reply.status, reply.body) == (200, b"until the end")
            reply = await scene.ask("b", "pay")
            assert (reply.status, reply.body) == (200, b"")

    run(test())
