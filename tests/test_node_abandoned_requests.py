"""Requests whose clients disconnect before their answer."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers import Server, node_environment, render_response, request, run, until
from tests.stalled_listener import StalledListener, has_received_nothing
from workspond.policy import retry_policy


def test_a_caller_that_has_gone_ends_its_request_and_the_attempt_still_reports(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(render_response(500))
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            caller = await environment.client()
            caller.write(request("a"))
            await until(lambda: len(server.received) == 1)
            caller.writer.close()
            node = environment.node
            assert node is not None
            await until(lambda: not node._requests.active)
            server.may_respond.set()
            assert (await environment.send_request("a")).status == 200  # its id is free again
            assert [seen.request_id for seen in server.received] == ["a", "a"]  # and nobody retried for it
            assert node._balancer.in_flight == 0

    run(test())


def test_a_request_whose_caller_has_left_before_a_retry_is_not_sent_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(retry_policy, "BASE_BACKOFF_FRACTION", 0.4)  # 100 ms at least, to leave in

    async def test() -> None:
        server = Server(default=render_response(500))
        async with node_environment(tmp_path, server) as environment:
            caller = await environment.client()
            caller.write(request("a"))
            assert environment.node is not None
            balancer = environment.node._balancer
            await until(
                lambda: bool(server.received) and bool(balancer._timers._calls) and not balancer.in_flight
            )
            sent_count = len(server.received)
            caller.writer.close()
            await until(lambda: not balancer._calls)
            await until(lambda: not balancer._timers._calls)  # the time for it has come
            assert len(server.received) == sent_count

    run(test())


def test_a_request_whose_caller_leaves_during_a_dial_is_not_sent(tmp_path: Path) -> None:
    async def test() -> None:
        with StalledListener() as stalled:
            async with node_environment(tmp_path, known=False) as environment:
                environment.agent.endpoints = [stalled.entry()]
                node = environment.node
                assert node is not None
                caller = await environment.client()
                await until(node.is_ready)
                caller.write(request("a"))
                await until(lambda: node._upstream.connection_count() == 1)
                caller.writer.close()
                await until(lambda: not node._requests.active)
                with await stalled.accept() as connection:
                    await until(lambda: not node._attempts.in_flight)
                    assert has_received_nothing(connection)

    run(test())


def test_what_is_queued_on_a_connection_is_not_sent_once_its_caller_has_left(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            caller = await environment.client()
            caller.write(request("a") + request("b"))
            await until(lambda: len(server.received) == 1)
            caller.writer.close()
            await until(lambda: environment.node is not None and not environment.node._requests.active)
            server.may_respond.set()
            await until(lambda: environment.node is not None and not environment.node._attempts.in_flight)
            assert (await environment.send_request("c")).status == 200
            assert [seen.request_id for seen in server.received] == ["a", "c"]

    run(test())
