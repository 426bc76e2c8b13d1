"""The node and discovery: watches that fail or fall silent, readiness, and the cached list."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import CLOSE, HANG, Server, node_environment, render_response, request, run, until
from workspond.discovery.endpoint_list import server_id_from_name

UNUSABLE_RESPONSES = [
    CLOSE,
    render_response(503),
    render_response(200, b"{"),
    render_response(200, b"[]"),
    render_response(200, b'{"index":2}'),
    b"\x00\r\n\r\n",
    render_response(
        200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","address":"x","status":"active"}]}'
    ),
    render_response(200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","status":"odd"}]}'),
    render_response(
        200,
        b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1",'
        b'"status":"active","since_ms":1' + b"0" * 400 + b"}]}",
    ),
    render_response(200, b"[" * 100_000),
]
NOTIFIED_WITHIN_S = 6.0  # after discovery has something new
READY_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize("response", UNUSABLE_RESPONSES)
def test_a_failed_watch_is_asked_again_and_the_old_list_stays(response: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(name="old"), Server(name="new")
        await other.start()
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a")).status == 200
            environment.agent.updates.put_nowait(response)
            await until(lambda: len(environment.agent.received) >= 2)
            assert (await environment.send_request("b")).status == 200
            environment.agent.publish(other.entry(), snapshot=True)
            await until(lambda: len(environment.agent.received) >= 3)
            assert (await environment.send_request("c")).status == 200
            assert [seen.request_id for seen in other.received] == ["c"]
        await other.stop()

    run(test())


def test_changes_from_before_the_list_bring_the_whole_list(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            await until(lambda: environment.agent.watches() == 1)
            environment.agent.publish(index=0)
            await until(lambda: environment.agent.watches() == 2)
            assert [seen.target.partition("&")[0] for seen in environment.agent.received] == [
                "/api/targets",
                "/api/targets?index=1",
                "/api/targets",
                "/api/targets?index=0",
            ]

    run(test())


def test_the_next_watch_goes_on_from_the_last_answer_on_the_same_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            await until(lambda: environment.agent.watches() == 1)
            for _ in range(3):
                environment.agent.publish(server.entry())
            await until(lambda: environment.agent.watches() == 4)
            assert [seen.target.partition("&")[0][-1] for seen in environment.agent.received[1:]] == list(
                "1234"
            )
            assert environment.agent.accepted_connections == 1

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
        async with node_environment(tmp_path, Server(), membership_mode=mode, rules=rules) as environment:
            async with asyncio.timeout(NOTIFIED_WITHIN_S):
                await until(lambda: environment.agent.watches() >= 3)
            assert environment.agent.accepted_connections == 3  # the silent ones are abandoned
            new = Server(name="new")
            await new.start()
            # The first two of these go to the watches that are lost.
            environment.agent.publish()
            environment.agent.publish()
            environment.agent.publish(new.entry())
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 2
            )
            await new.stop()

    run(test())


def test_a_servers_number_depends_on_its_name_alone() -> None:
    """Replicas divide the fleet by these ids: they must agree in every process and at every release."""
    assert server_id_from_name("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({server_id_from_name(f"s-{n}") for n in range(1000)}) == 1000


def test_ready_only_once_a_server_is_known(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server, known=False) as environment:
            environment.agent.endpoints = []
            caller = await environment.client()
            caller.write(READY_CHECK)
            assert (await caller.read()).status == 500
            await until(lambda: environment.agent.watches() == 1)
            environment.agent.publish(server.entry(), snapshot=True)
            await until(lambda: environment.agent.watches() == 2)
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
        async with node_environment(tmp_path, old) as environment:
            environment.agent.may_respond.clear()
            environment.agent.endpoints = [new.entry()]
            caller, other = await environment.client(), await environment.client()
            caller.write(request("a"))
            await until(lambda: environment.node is not None and len(environment.node._requests.active) == 1)
            assert (await other.get("/-/ready")).status == 500
            environment.agent.may_respond.set()
            assert (await caller.read()).status == 200
            assert (await other.get("/-/ready")).status == 200
            assert [seen.request_id for seen in new.received] == ["a"] and not old.received
        await new.stop()

    run(test())


@pytest.mark.parametrize("silence", [HANG, CLOSE], ids=["silent", "closed"])
def test_a_new_process_takes_its_saved_list_while_discovery_is_down(silence: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        await new.start()
        async with node_environment(tmp_path, old) as environment:
            environment.agent.faulty_responses = [silence] * 3
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 1
            )
            assert (await environment.send_request("a")).status == 200
            assert [seen.request_id for seen in old.received] == ["a"]
            environment.agent.endpoints = [new.entry()]
            await until(lambda: environment.agent.watches() == 1)
            assert (await environment.send_request("b")).status == 200
            assert [seen.request_id for seen in new.received] == ["b"]
        await new.stop()

    run(test())
