"""The node and discovery: watches that fail or fall silent, readiness, and the cached list."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import CLOSE, HANG, Server, answer, request, run, until, world
from workspond.discovery.endpoint_list import server_id

UNUSABLE_RESPONSES = [
    CLOSE,
    answer(503),
    answer(200, b"{"),
    answer(200, b"[]"),
    answer(200, b'{"index":2}'),
    b"\x00\r\n\r\n",
    answer(200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","address":"x","status":"active"}]}'),
    answer(200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","status":"odd"}]}'),
    answer(
        200,
        b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1",'
        b'"status":"active","since_ms":1' + b"0" * 400 + b"}]}",
    ),
    answer(200, b"[" * 100_000),
]
NOTIFIED_WITHIN_S = 6.0  # after discovery has something new
READY_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize("response", UNUSABLE_RESPONSES)
def test_a_failed_watch_is_asked_again_and_the_old_list_stays(response: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(name="old"), Server(name="new")
        await other.start()
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a")).status == 200
            scene.registry.news.put_nowait(response)
            await until(lambda: len(scene.registry.seen) >= 2)
            assert (await scene.ask("b")).status == 200
            scene.registry.tell(other.entry(), snapshot=True)
            await until(lambda: len(scene.registry.seen) >= 3)
            assert (await scene.ask("c")).status == 200
            assert [seen.id for seen in other.seen] == ["c"]
        await other.stop()

    run(test())


def test_changes_from_before_the_list_bring_the_whole_list(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            await until(lambda: scene.registry.watches() == 1)
            scene.registry.tell(index=0)
            await until(lambda: scene.registry.watches() == 2)
            assert [seen.target.partition("&")[0] for seen in scene.registry.seen] == [
                "/api/targets",
                "/api/targets?index=1",
                "/api/targets",
                "/api/targets?index=0",
            ]

    run(test())


def test_the_next_watch_goes_on_from_the_last_answer_on_the_same_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            await until(lambda: scene.registry.watches() == 1)
            for _ in range(3):
                scene.registry.tell(server.entry())
            await until(lambda: scene.registry.watches() == 4)
            assert [seen.target.partition("&")[0][-1] for seen in scene.registry.seen[1:]] == list("1234")
            assert scene.registry.connections == 1

    run(test())


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_watches_that_fall_silent_are_opened_anew_before_what_they_miss_counts(
    mode: str, tmp_path: Path
) -> None:
    """The first watch was never answered, and a whole release passed before the next one was opened.

    The node has 6 s to know what a silent watch misses, from when it fell silent, also if the next watch is
    silent too.
    """
    rules = {"ask_every_ms": 60_000.0}

    async def test() -> None:
        async with world(tmp_path, Server(), membership_mode=mode, rules=rules) as scene:
            async with asyncio.timeout(NOTIFIED_WITHIN_S):
                await until(lambda: scene.registry.watches() >= 3)
            assert scene.registry.connections == 3  # the silent ones are abandoned
            new = Server(name="new")
            await new.start()
            # The first two of these go to the watches that are lost.
            scene.registry.tell()
            scene.registry.tell()
            scene.registry.tell(new.entry())
            await until(lambda: scene.node is not None and len(scene.node._endpoints.in_service) == 2)
            await new.stop()

    run(test())


def test_a_servers_number_depends_on_its_name_alone() -> None:
    """Replicas divide the fleet by these ids: they must agree in every process and at every release."""
    assert server_id("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({server_id(f"s-{n}") for n in range(1000)}) == 1000


def test_ready_only_once_a_server_is_known(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server, known=False) as scene:
            scene.registry.whole = []
            caller = await scene.caller()
            caller.write(READY_CHECK)
            assert (await caller.read()).status == 500
            await until(lambda: scene.registry.watches() == 1)
            scene.registry.tell(server.entry(), snapshot=True)
            await until(lambda: scene.registry.watches() == 2)
            caller.write(READY_CHECK)
            assert (await caller.read()).status == 200

    run(test())


def test_a_new_process_sends_nothing_on_its_saved_list_while_the_agent_may_hold_a_newer(
    tmp_path: Path,
) -> None:
    """The node counts as knowing from the first moment what the agent holds."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        await new.start()
        async with world(tmp_path, old) as scene:
            scene.registry.gate.clear()
            scene.registry.whole = [new.entry()]
            caller, other = await scene.caller(), await scene.caller()
            caller.write(request("a"))
            await until(lambda: scene.node is not None and len(scene.node._requests.active) == 1)
            assert (await other.ask_path("/-/ready")).status == 500
            scene.registry.gate.set()
            assert (await caller.read()).status == 200
            assert (await other.ask_path("/-/ready")).status == 200
            assert [seen.id for seen in new.seen] == ["a"] and not old.seen
        await new.stop()

    run(test())


@pytest.mark.parametrize("silence", [HANG, CLOSE], ids=["silent", "closed"])
def test_a_new_process_takes_its_saved_list_while_discovery_is_down(silence: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        await new.start()
        async with world(tmp_path, old) as scene:
            scene.registry.spoil = [silence] * 3
            await until(lambda: scene.node is not None and len(scene.node._endpoints.in_service) == 1)
            assert (await scene.ask("a")).status == 200
            assert [seen.id for seen in old.seen] == ["a"]
            scene.registry.whole = [new.entry()]
            await until(lambda: scene.registry.watches() == 1)
            assert (await scene.ask("b")).status == 200
            assert [seen.id for seen in new.seen] == ["b"]
        await new.stop()

    run(test())
