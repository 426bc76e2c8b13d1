"""Tests of the reload on SIGHUP: the discovery address changes, and no request or connection is disturbed."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
import time
from pathlib import Path

import pytest

from tests.peers import (
    HANG,
    WAIT_TIMEOUT_S,
    ScriptedDiscoveryAgent,
    Server,
    hanging_listener,
    node_environment,
    request,
    run,
    until,
)
from tests.program import Program
from workspond.discovery import agent_client, watcher


async def wait_for_log_line(program: Program, text: bytes) -> None:
    """Wait until the program logs a line with this text."""
    assert program.process.stderr is not None
    while True:
        line = await asyncio.wait_for(program.process.stderr.readline(), WAIT_TIMEOUT_S)
        assert line, "the program has ended"
        if text in line:
            return


def test_sighup_switches_to_the_new_discovery_agent_and_keeps_open_requests(tmp_path: Path) -> None:
    """Without a handler, SIGHUP ended the process and its open requests were lost."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        old.may_respond.clear()
        other = ScriptedDiscoveryAgent()
        await new.start()
        await other.start()
        other.endpoints, other.index = [new.entry()], 1  # each agent numbers its own versions
        async with node_environment(tmp_path, old, start=False) as environment:
            program = await Program.start(environment)
            client = await environment.client()
            client.write(request("held", "pay"))
            await until(lambda: len(old.received) == 1)

            environment.path.write_text("{")
            program.process.send_signal(signal.SIGHUP)
            await wait_for_log_line(program, b"the old configuration stays")

            environment.write_config(discovery=other.address)
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: len(other.received) == 2)
            watch = f"/api/targets?index=1&wait={watcher.WATCH_MS}"
            assert [message.target for message in other.received] == ["/api/targets", watch]

            old.may_respond.set()
            assert (await client.read()).status == 200
            assert (await client.send_request("next")).status == 200  # on the same connection
            assert [message.request_id for message in new.received] == ["next"]

            environment.write_config(discovery=environment.agent.address)  # back to the first agent
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: environment.agent.watches() == 2)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT_S) == 0
        await new.stop()
        await other.stop()

    run(test())


def test_the_list_of_a_new_agent_whose_first_response_is_missing_arrives_within_4_s(
    tmp_path: Path,
) -> None:
    """The node must have the list 4 s after the signal; the timeout of the first call was once 5 s."""

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
            assert [message.request_id for message in new.received] == ["b"]
        await new.stop()
        await other.stop()

    run(test())


RESPONSE_DELAY_S = 0.5
RELOAD_INTERVAL_S = 0.2


def test_an_update_arrives_during_reloads_in_quick_succession(tmp_path: Path) -> None:
    """Each reload once dropped the call in flight, so that responses after 0.5 s were never received."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        agent = ScriptedDiscoveryAgent()
        agent.response_delay_s = RESPONSE_DELAY_S
        await new.start()
        await agent.start()
        async with node_environment(tmp_path, old) as environment:
            assert environment.node is not None
            node = environment.node
            host, _, port = agent.address.rpartition(":")
            agent.endpoints = [old.entry(), new.entry()]
            await until(lambda: len(node._endpoints.in_service) == 1)
            started_at_s = time.monotonic()
            while len(node._endpoints.in_service) == 1:
                assert time.monotonic() - started_at_s < 5 * RESPONSE_DELAY_S
                node.reconfigure(dataclasses.replace(node._config, discovery=(host, int(port))))
                await asyncio.sleep(RELOAD_INTERVAL_S)
        await new.stop()
        await agent.stop()

    run(test())


def test_an_update_of_the_previous_agent_is_not_used_after_the_switch(tmp_path: Path) -> None:
    async def test() -> None:
        server, unlisted = Server(), Server(name="unlisted")
        other = ScriptedDiscoveryAgent()
        await unlisted.start()
        await other.start()
        async with node_environment(tmp_path, server) as environment:
            other.endpoints = [server.entry()]
            await until(lambda: environment.agent.watches() == 1)
            assert environment.node is not None
            host, _, port = other.address.rpartition(":")
            environment.node._discovery.change_address((host, int(port)))
            environment.agent.publish(unlisted.entry(), snapshot=True)
            await until(lambda: len(other.received) == 2)
            for number in range(4):
                assert (await environment.send_request(f"{number}")).status == 200
            assert not unlisted.received and len(server.received) == 4
        await unlisted.stop()
        await other.stop()

    run(test())


def test_a_hanging_connection_attempt_to_discovery_times_out_and_is_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A hanging connection attempt once used up the whole timeout of a watch, 21.5 s."""
    monkeypatch.setattr(agent_client, "CONNECT_TIMEOUT_S", 0.1)

    async def test() -> None:
        server = Server()
        with hanging_listener() as address:
            async with node_environment(tmp_path, server) as environment:
                assert environment.node is not None
                reasons: list[str] = []
                on_failure = environment.node.discovery_call_failed

                def discovery_call_failed(reason: str) -> None:
                    reasons.append(reason)
                    on_failure(reason)

                monkeypatch.setattr(environment.node, "discovery_call_failed", discovery_call_failed)
                environment.node._discovery.change_address(address)
                await until(lambda: sum("can't connect" in reason for reason in reasons) >= 2)
                assert (await environment.send_request("a")).status == 200

    run(test())
