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

from tests.peers import (
    HANG,
    WAIT_TIMEOUT_S,
    Message,
    NodeEnvironment,
    ScriptedDiscoveryAgent,
    Server,
    node_environment,
    request,
    run,
    until,
)
from tests.program import Program
from workspond.discovery import agent_client as agent_link
from workspond.discovery import watcher as discovery


def write_config(environment: NodeEnvironment, registry: ScriptedDiscoveryAgent) -> None:
    """Write a configuration that names another discovery agent."""
    environment.path.write_text(json.dumps(environment.config | {"discovery": registry.address}))


async def wait_for_log_line(program: Program, text: bytes) -> None:
    """Wait until the program logs a line with this text."""
    assert program.process.stderr is not None
    while True:
        line = await asyncio.wait_for(program.process.stderr.readline(), WAIT_TIMEOUT_S)
        assert line, "the program has ended"
        if text in line:
            return


def test_sighup_moves_to_the_new_address_of_discovery_and_keeps_what_is_held(tmp_path: Path) -> None:
    """It had no handler: the process ended, and what it held was lost."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        old.may_respond.clear()
        other = ScriptedDiscoveryAgent()
        await new.start()
        await other.start()
        other.endpoints, other.index = [new.entry()], 1  # versions there are its own
        async with node_environment(tmp_path, old, start=False) as environment:
            program = await Program.start(environment)
            caller = await environment.client()
            caller.write(request("held", "pay"))
            await until(lambda: len(old.received) == 1)

            environment.path.write_text("{")
            program.process.send_signal(signal.SIGHUP)
            await wait_for_log_line(program, b"the old configuration stays")

            write_config(environment, other)
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: len(other.received) == 2)
            watch = f"/api/targets?index=1&wait={discovery.WATCH_MS}"
            assert [seen.target for seen in other.received] == ["/api/targets", watch]

            old.may_respond.set()
            assert (await caller.read()).status == 200
            assert (await caller.send_request("next")).status == 200  # on the same connection
            assert [seen.request_id for seen in new.received] == ["next"]

            write_config(environment, environment.agent)  # and back again
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: environment.agent.watches() == 2)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT_S) == 0
        await new.stop()
        await other.stop()

    run(test())


def test_a_new_address_that_is_silent_at_first_is_heard_before_its_list_counts_as_told(
    tmp_path: Path,
) -> None:
    """The list counts as received 4 s after the signal; the timeout of the call for it was 5 s."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        other = ScriptedDiscoveryAgent()
        await new.start()
        await other.start()
        other.endpoints, other.faulty_responses = [new.entry()], [HANG]
        async with node_environment(tmp_path, old) as environment:
            assert (await environment.send_request("a")).status == 200
            assert environment.node is not None
            host, _, port = other.address.rpartition(":")
            async with asyncio.timeout(4.0):
                environment.node._discovery.change_address((host, int(port)))
                await until(lambda: len(other.received) == 3)
            assert (await environment.send_request("b")).status == 200
            assert [seen.request_id for seen in new.received] == ["b"]
        await new.stop()
        await other.stop()

    run(test())


RESPONSE_DELAY_S = 0.5
RELOAD_INTERVAL_S = 0.2


class SlowRegistry(ScriptedDiscoveryAgent):
    """An agent that answers each call after a while."""

    async def script(self, message: Message) -> bytes:
        await asyncio.sleep(RESPONSE_DELAY_S)
        return await super().script(message)


def test_reloads_in_quick_succession_do_not_keep_a_change_from_being_heard(tmp_path: Path) -> None:
    """Each dropped the call in flight: no answer that takes 0.5 s came as long as the signals did."""

    async def test() -> None:
        server, new = Server(name="old"), Server(name="new")
        source = SlowRegistry()
        await new.start()
        await source.start()
        async with node_environment(tmp_path, server) as environment:
            assert environment.node is not None
            node, (host, _, port) = environment.node, source.address.rpartition(":")
            source.endpoints = [server.entry(), new.entry()]
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
        other = ScriptedDiscoveryAgent()
        await ghost.start()
        await other.start()
        async with node_environment(tmp_path, server) as environment:
            other.endpoints = [server.entry()]
            await until(lambda: environment.agent.watches() == 1)
            assert environment.node is not None
            host, _, port = other.address.rpartition(":")
            environment.node._discovery.change_address((host, int(port)))
            environment.agent.publish(ghost.entry(), snapshot=True)
            await until(lambda: len(other.received) == 2)
            for number in range(4):
                assert (await environment.send_request(f"{number}")).status == 200
            assert not ghost.received and len(server.received) == 4
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
            async with node_environment(tmp_path, server) as environment:
                assert environment.node is not None
                reasons: list[str] = []
                on_failure = environment.node.discovery_call_failed

                def discovery_call_failed(reason: str) -> None:
                    reasons.append(reason)
                    on_failure(reason)

                monkeypatch.setattr(environment.node, "discovery_call_failed", discovery_call_failed)
                environment.node._discovery.change_address(listener.getsockname())
                await until(lambda: sum("can't connect" in reason for reason in reasons) >= 2)
                assert (await environment.send_request("a")).status == 200

    run(test())
