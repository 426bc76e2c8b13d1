"""Requests whose clients disconnect before their answer."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers import Server, answer, request, run, until, world
from tests.stalled_listener import StalledListener, has_received_nothing
from workspond.policy import retry_policy


def test_a_caller_that_has_gone_ends_its_request_and_the_attempt_still_reports(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(500))
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(request("a"))
            await until(lambda: len(server.seen) == 1)
            caller.writer.close()
            node = scene.node
            assert node is not None
            await until(lambda: not node._requests.active)
            server.gate.set()
            assert (await scene.ask("a")).status == 200  # its id is free again
            assert [seen.id for seen in server.seen] == ["a", "a"]  # and nobody retried for it
            assert node._balancer.in_flight == 0

    run(test())


def test_a_request_whose_caller_has_left_before_a_retry_is_not_sent_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(retry_policy, "RETRY_WAIT_SHARE", 0.4)  # 100 ms at least, to leave in

    async def test() -> None:
        server = Server(usual=answer(500))
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(request("a"))
            assert scene.node is not None
            balancer = scene.node._balancer
            await until(lambda: bool(server.seen) and bool(balancer._waiting) and not balancer.in_flight)
            sent_count = len(server.seen)
            caller.writer.close()
            await until(lambda: not balancer._calls)
            await until(lambda: not balancer._waiting)  # the time for it has come
            assert len(server.seen) == sent_count

    run(test())


def test_a_request_whose_caller_leaves_during_a_dial_is_not_sent(tmp_path: Path) -> None:
    async def test() -> None:
        with StalledListener() as stalled:
            async with world(tmp_path, known=False) as scene:
                scene.registry.whole = [stalled.entry()]
                node = scene.node
                assert node is not None
                caller = await scene.caller()
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
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            caller = await scene.caller()
            caller.write(request("a") + request("b"))
            await until(lambda: len(server.seen) == 1)
            caller.writer.close()
            await until(lambda: scene.node is not None and not scene.node._requests.active)
            server.gate.set()
            await until(lambda: scene.node is not None and not scene.node._attempts.in_flight)
            assert (await scene.ask("c")).status == 200
            assert [seen.id for seen in server.seen] == ["a", "c"]

    run(test())
