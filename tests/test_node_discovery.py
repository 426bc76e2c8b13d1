"""Tests of a node and discovery: failed and unanswered watches, readiness, and the cached list."""

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
MAX_UPDATE_LATENCY_S = 6.0
MANY_CALLS = 1000  # more than a node makes while discovery is down in a test
READY_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize("response", UNUSABLE_RESPONSES)
def test_a_failed_watch_is_repeated_and_the_previous_list_stays_in_use(
    response: bytes, tmp_path: Path
) -> None:
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
            assert [message.request_id for message in other.received] == ["c"]
        await other.stop()

    run(test())


def test_an_update_older_than_the_list_is_followed_by_a_poll(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            await until(lambda: environment.agent.watches() == 1)
            environment.agent.publish(index=0)
            await until(lambda: environment.agent.watches() == 2)
            assert [message.target.partition("&")[0] for message in environment.agent.received] == [
                "/api/targets",
                "/api/targets?index=1",
                "/api/targets",
                "/api/targets?index=0",
            ]

    run(test())


def test_each_watch_states_the_last_version_on_the_same_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            await until(lambda: environment.agent.watches() == 1)
            for _ in range(3):
                environment.agent.publish(server.entry())
            await until(lambda: environment.agent.watches() == 4)
            assert [
                message.target.partition("&")[0][-1] for message in environment.agent.received[1:]
            ] == list("1234")
            assert environment.agent.accepted_connections == 1

    run(test())


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_unanswered_watches_are_replaced_before_an_update_is_late(mode: str, tmp_path: Path) -> None:
    """The node once waited for an unanswered watch during a whole release.

    It must receive an update within 6 s after a watch stops responding, even if the next watch gets no
    response either.
    """
    rules = {"ask_every_ms": 60_000.0}

    async def test() -> None:
        async with node_environment(tmp_path, Server(), membership_mode=mode, rules=rules) as environment:
            async with asyncio.timeout(MAX_UPDATE_LATENCY_S):
                await until(lambda: environment.agent.watches() >= 3)
            assert environment.agent.accepted_connections == 3  # the unanswered watches are superseded
            new = Server(name="new")
            await new.start()
            # The first two updates answer the superseded watches.
            environment.agent.publish()
            environment.agent.publish()
            environment.agent.publish(new.entry())
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 2
            )
            await new.stop()

    run(test())


def test_server_ids_depend_only_on_the_names() -> None:
    """Replicas divide the servers by id, so ids must be the same in every process and every release."""
    assert server_id_from_name("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({server_id_from_name(f"s-{n}") for n in range(1000)}) == 1000


def test_a_node_is_ready_only_once_it_has_a_server(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server, has_cached_list=False) as environment:
            environment.agent.endpoints = []
            client = await environment.client()
            client.write(READY_CHECK)
            assert (await client.read()).status == 500
            await until(lambda: environment.agent.watches() == 1)
            environment.agent.publish(server.entry(), snapshot=True)
            await until(lambda: environment.agent.watches() == 2)
            client.write(READY_CHECK)
            assert (await client.read()).status == 200

    run(test())


def test_a_new_node_does_not_use_its_cached_list_before_discovery_answers(
    tmp_path: Path,
) -> None:
    """From its first moment, the node is expected to use the agent's list."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        await new.start()
        async with node_environment(tmp_path, old) as environment:
            environment.agent.may_respond.clear()
            environment.agent.endpoints = [new.entry()]
            waiting_client, other_client = await environment.client(), await environment.client()
            waiting_client.write(request("a"))
            await until(lambda: environment.node is not None and len(environment.node._requests.active) == 1)
            assert (await other_client.get("/-/ready")).status == 500
            environment.agent.may_respond.set()
            assert (await waiting_client.read()).status == 200
            assert (await other_client.get("/-/ready")).status == 200
            assert [message.request_id for message in new.received] == ["a"] and not old.received
        await new.stop()

    run(test())


@pytest.mark.parametrize("failure", [HANG, CLOSE], ids=["hangs", "closes"])
def test_a_new_node_uses_its_cached_list_while_discovery_is_down(failure: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        await new.start()
        async with node_environment(tmp_path, old) as environment:
            environment.agent.faulty_responses = [failure] * MANY_CALLS
            await until(
                lambda: environment.node is not None and len(environment.node._endpoints.in_service) == 1
            )
            assert (await environment.send_request("a")).status == 200
            assert [message.request_id for message in old.received] == ["a"]
            environment.agent.endpoints = [new.entry()]
            environment.agent.faulty_responses.clear()
            await until(lambda: environment.agent.watches() == 1)
            assert (await environment.send_request("b")).status == 200
            assert [message.request_id for message in new.received] == ["b"]
        await new.stop()

    run(test())
