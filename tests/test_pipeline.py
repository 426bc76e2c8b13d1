"""Requests sent ahead on a connection: whatever has been read gets its own final answer, in order."""

from __future__ import annotations

from pathlib import Path

from tests.peers import Server, request, run, world

FLOOD = 20


def test_a_flood_of_requests_in_one_write_is_answered_one_by_one(tmp_path: Path) -> None:
    """One 400 came, and nothing for the requests that had been read."""

    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(b"".join(request(f"{n}") for n in range(FLOOD)))
            assert [(await caller.read()).status for _ in range(FLOOD)] == [200] * FLOOD
            assert (await caller.ask("after")).status == 200
            assert [seen.id for seen in server.seen] == [*(f"{n}" for n in range(FLOOD)), "after"]

    run(test())
