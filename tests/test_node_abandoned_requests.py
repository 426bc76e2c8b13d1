"""Tests of requests whose clients disconnect before they have a response."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers import Server, node_environment, render_response, request, run, until
from tests.stalled_listener import StalledListener, has_received_nothing
from workspond.policy import retry_policy


def test_a_client_disconnect_ends_the_request_and_its_attempt_still_ends(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(render_response(500))
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(request("a"))
            await until(lambda: len(server.received) == 1)
            client.writer.close()
            node = environment.node
            assert node is not None
            await until(lambda: not node._requests.active)
            server.may_respond.set()
            assert (await environment.send_request("a")).status == 200  # the id may be used again
            assert [message.request_id for message in server.received] == ["a", "a"]  # not retried
            assert node._balancer.in_flight == 0

    run(test())


def test_a_request_is_not_retried_after_its_client_has_disconnected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The backoff is at least 100 ms, so that the client can disconnect before the retry.
    monkeypatch.setattr(retry_policy, "BASE_BACKOFF_FRACTION", 0.4)

    async def test() -> None:
        server = Server(default=render_response(500))
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(request("a"))
            assert environment.node is not None
            balancer = environment.node._balancer
            await until(
                lambda: bool(server.received) and bool(balancer._timers._calls) and not balancer.in_flight
            )
            sent_count = len(server.received)
            client.writer.close()
            await until(lambda: not balancer._calls)
            await until(lambda: not balancer._timers._calls)  # the retry's backoff has ended
            assert len(server.received) == sent_count

    run(test())


def test_a_request_is_not_sent_if_its_client_disconnects_while_the_node_connects(tmp_path: Path) -> None:
    async def test() -> None:
        with StalledListener() as stalled:
            async with node_environment(tmp_path, has_cached_list=False) as environment:
                environment.agent.endpoints = [stalled.entry()]
                node = environment.node
                assert node is not None
                client = await environment.client()
                await until(node.is_ready)
                client.write(request("a"))
                await until(lambda: node._upstream.connection_count() == 1)
                client.writer.close()
                await until(lambda: not node._requests.active)
                with await stalled.accept() as connection:
                    await until(lambda: not node._attempts.in_flight)
                    assert has_received_nothing(connection)

    run(test())


def test_a_pipelined_request_is_not_sent_after_its_client_has_disconnected(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(request("a") + request("b"))
            await until(lambda: len(server.received) == 1)
            client.writer.close()
            await until(lambda: environment.node is not None and not environment.node._requests.active)
            server.may_respond.set()
            await until(lambda: environment.node is not None and not environment.node._attempts.in_flight)
            assert (await environment.send_request("c")).status == 200
            assert [message.request_id for message in server.received] == ["a", "c"]

    run(test())
