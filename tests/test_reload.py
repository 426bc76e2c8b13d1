"""SIGHUP: the configuration is read again, and no request or connection is disturbed."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import signal
import socket
import time
from pathlib import Path

import pytest

from tests.peers import HANG, LIMIT_S, Registry, Seen, Server, World, request, run, until, world
from tests.program import Program
from workspond.discovery import agent_client as agent_link
from workspond.discovery import watcher as discovery


def write_config(scene: World, registry: Registry) -> None:
    """Write a configuration that names another discovery agent."""
    scene.path.write_text(json.dumps(scene.config | {"discovery": registry.address}))


async def wait_for_log_line(program: Program, text: bytes) -> None:
    """Wait until the program logs a line with this text."""
    assert program.process.stderr is not None
    while True:
        line = await asyncio.wait_for(program.process.stderr.readline(), LIMIT_S)
        assert line, "the program has ended"
        if text in line:
            return


def test_sighup_moves_to_the_new_address_of_discovery_and_keeps_what_is_held(tmp_path: Path) -> None:
    """It had no handler: the process ended, and what it held was lost."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        old.gate.clear()
        other = Registry()
        await new.start()
        await other.start()
        other.whole, other.index = [new.entry()], 1  # versions there are its own
        async with world(tmp_path, old, start=False) as scene:
            program = await Program.start(scene)
            caller = await scene.caller()
            caller.write(request("held", "pay"))
            await until(lambda: len(old.seen) == 1)

            scene.path.write_text("{")
            program.process.send_signal(signal.SIGHUP)
            await wait_for_log_line(program, b"the old configuration stays")

            write_config(scene, other)
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: len(other.seen) == 2)
            watch = f"/api/targets?index=1&wait={discovery.WATCH_MS}"
            assert [seen.target for seen in other.seen] == ["/api/targets", watch]

            old.gate.set()
            assert (await caller.read()).status == 200
            assert (await caller.ask("next")).status == 200  # on the same connection
            assert [seen.id for seen in new.seen] == ["next"]

            write_config(scene, scene.registry)  # and back again
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: scene.registry.watches() == 2)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0
        await new.stop()
        await other.stop()

    run(test())


def test_a_new_address_that_is_silent_at_first_is_heard_before_its_list_counts_as_told(
    tmp_path: Path,
) -> None:
    """The list counts as received 4 s after the signal; the timeout of the call for it was 5 s."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        other = Registry()
        await new.start()
        await other.start()
        other.whole, other.spoil = [new.entry()], [HANG]
        async with world(tmp_path, old) as scene:
            assert (await scene.ask("a")).status == 200
            assert scene.node is not None
            host, _, port = other.address.rpartition(":")
            async with asyncio.timeout(4.0):
                scene.node._discovery.change_address((host, int(port)))
                await until(lambda: len(other.seen) == 3)
            assert (await scene.ask("b")).status == 200
            assert [seen.id for seen in new.seen] == ["b"]
        await new.stop()
        await other.stop()

    run(test())


RESPONSE_DELAY_S = 0.5
RELOAD_INTERVAL_S = 0.2


class SlowRegistry(Registry):
    """An agent that answers each call after a while."""

    async def script(self, message: Seen) -> bytes:
        await asyncio.sleep(RESPONSE_DELAY_S)
        return await super().script(message)


def test_reloads_in_quick_succession_do_not_keep_a_change_from_being_heard(tmp_path: Path) -> None:
    """Each dropped the call in flight: no answer that takes 0.5 s came as long as the signals did."""

    async def test() -> None:
        server, new = Server(name="old"), Server(name="new")
        source = SlowRegistry()
        await new.start()
        await source.start()
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            node, (host, _, port) = scene.node, source.address.rpartition(":")
            source.whole = [server.entry(), new.entry()]
            await until(lambda: len(node._endpoints.in_service) == 1)
            began_s = time.monotonic()
            while len(node._endpoints.in_service) == 1:
                assert time.monotonic() - began_s < 5 * RESPONSE_DELAY_S
                node.reconfigure(dataclasses.replace(node._config, discovery=(host, int(port))))
                await asyncio.sleep(RELOAD_INTERVAL_S)
        await new.stop()
        await source.stop()

    run(test())


def test_what_the_old_address_still_says_is_not_heard(tmp_path: Path) -> None:
    async def test() -> None:
        server, ghost = Server(), Server(name="ghost")
        other = Registry()
        await ghost.start()
        await other.start()
        async with world(tmp_path, server) as scene:
            other.whole = [server.entry()]
            await until(lambda: scene.registry.watches() == 1)
            assert scene.node is not None
            host, _, port = other.address.rpartition(":")
            scene.node._discovery.change_address((host, int(port)))
            scene.registry.tell(ghost.entry(), snapshot=True)
            await until(lambda: len(other.seen) == 2)
            for number in range(4):
                assert (await scene.ask(f"{number}")).status == 200
            assert not ghost.seen and len(server.seen) == 4
        await ghost.stop()
        await other.stop()

    run(test())


def test_a_dial_to_discovery_that_hangs_is_given_up_and_another_made(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It used up the whole timeout of a watch, 21.5 s."""
    monkeypatch.setattr(agent_link, "CONNECT_TIMEOUT_S", 0.1)

    async def test() -> None:
        server = Server()
        with socket.socket() as listener, socket.socket() as queue_filler:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)  # its queue is full with one connection: the next handshake hangs
            await asyncio.to_thread(queue_filler.connect, listener.getsockname())
            async with world(tmp_path, server) as scene:
                assert scene.node is not None
                reasons: list[str] = []
                on_failure = scene.node.watch_failed

                def watch_failed(reason: str) -> None:
                    reasons.append(reason)
                    on_failure(reason)

                monkeypatch.setattr(scene.node, "watch_failed", watch_failed)
                scene.node._discovery.change_address(listener.getsockname())
                await until(lambda: sum("can't connect" in reason for reason in reasons) >= 2)
                assert (await scene.ask("a")).status == 200

    run(test())
