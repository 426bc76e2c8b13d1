"""Tests of requests whose clients disconnect before they have a response."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers import (
    HANG,
    RESET,
    NodeEnvironment,
    Server,
    node_environment,
    render_response,
    request,
    run,
    until,
)
from tests.stalled_listener import StalledListener, has_received_nothing
from workspond import abandoned_requests
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


async def abandon_in_flight(
    environment: NodeEnvironment, server: Server, class_name: str, request_id: str = "a"
) -> None:
    """Send a request, and leave once its attempt has reached the server."""
    client = await environment.client()
    client.write(request(request_id, class_name))
    await until(lambda: bool(server.received) and server.received[-1].request_id == request_id)
    client.writer.close()
    await until(lambda: environment.node is not None and not environment.node._requests.active)


def test_the_id_of_an_abandoned_request_is_not_sent_while_its_attempt_is_in_flight(tmp_path: Path) -> None:
    """Guards against two attempts of one id at the same time."""

    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            await abandon_in_flight(environment, server, "pay")
            assert (await environment.send_request("a", "pay")).status == 400
            assert (await environment.send_request("b", "pay")).status == 200
            assert [message.request_id for message in server.received] == ["a", "b"]

    run(test())


def test_the_attempt_of_an_abandoned_idempotent_request_is_cancelled_if_its_id_comes_again(
    tmp_path: Path,
) -> None:
    """Guards against two attempts of one id at the same time."""

    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            await abandon_in_flight(environment, server, "read")
            assert (await environment.send_request("a", "read")).status == 200
            assert [message.request_id for message in server.received] == ["a", "a"]
            assert server.closed_connections == 1

    run(test())


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (render_response(), 400),
        (render_response(500), 400),
        (RESET, 400),
        (render_response(503, headers="X-Rejected: 1\r\n"), 200),
    ],
    ids=["served", "error", "reset", "rejected"],
)
def test_the_id_of_a_non_idempotent_request_that_may_have_run_is_not_sent_again(
    response: bytes, status: int, tmp_path: Path
) -> None:
    """Guards against an id that runs twice because its client left and came again."""

    async def test() -> None:
        server = Server(response)
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            await abandon_in_flight(environment, server, "pay")
            server.may_respond.set()
            node = environment.node
            assert node is not None
            await until(lambda: not node._attempts.in_flight)
            assert (await environment.send_request("a", "pay")).status == status

    run(test())


def test_only_so_many_abandoned_ids_are_remembered(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows while clients leave under ever new ids."""
    monkeypatch.setattr(abandoned_requests, "MAX_REQUESTS", 1)

    async def test() -> None:
        server = Server(RESET, RESET)
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            await abandon_in_flight(environment, server, "pay", "first")
            await abandon_in_flight(environment, server, "pay", "second")
            server.may_respond.set()
            node = environment.node
            assert node is not None
            await until(lambda: not node._attempts.in_flight)
            assert (await environment.send_request("first", "pay")).status == 200
            assert (await environment.send_request("second", "pay")).status == 400

    run(test())
