"""Tests of a node with scripted servers: retries, drains, connections, timeouts and deadlines."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import Any

import pytest

from tests.peers import CLOSE, HANG, Server, node_environment, render_response, run, settings, until
from tests.stalled_listener import StalledListener, has_received_nothing
from workspond.policy.actions import PolicyAction
from workspond.policy.balancer import Balancer
from workspond.policy.events import PolicyEvent, RequestReceived


def classes_with(**changes: Any) -> list[dict[str, Any]]:
    """Return the classes of the settings, all with some fields changed."""
    return [request_class | changes for request_class in settings()["classes"]]


def test_a_keyed_request_that_may_have_run_is_retried_only_within_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [Server(default=render_response(500), name=f"s{n}", group=n % 2) for n in range(4)]
        async with node_environment(tmp_path, *servers) as environment:
            responses = await asyncio.gather(*(environment.send_request(f"{n}", "save") for n in range(8)))
            assert {response.status for response in responses} == {502}
        groups: dict[str, list[int]] = {}
        for server in servers:
            for received in server.received:
                groups.setdefault(received.request_id, []).append(server.group)
        assert all(len(set(attempted)) == 1 for attempted in groups.values())
        assert max(map(len, groups.values())) > 1  # some requests were retried

    run(test())


def test_a_keyed_request_is_not_retried_after_its_deduplication_window(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(default=render_response(500))
        async with node_environment(tmp_path, server, classes=classes_with(window_ms=20.0)) as environment:
            assert (await environment.send_request("a", "save")).status == 502
            assert len(server.received) == 1

    run(test())


def test_draining_and_removed_servers_receive_no_requests(tmp_path: Path) -> None:
    async def test() -> None:
        draining, removed, healthy = (Server(name=name) for name in ("leaving", "left", "stays"))
        async with node_environment(tmp_path, draining, removed, healthy) as environment:
            for n in range(6):
                await environment.send_request(f"before-{n}")
            assert draining.received and removed.received
            environment.agent.publish(draining.entry(status="leaving"), removed.entry(status="left"))
            await until(lambda: len(environment.agent.received) == 2)
            # The next watch has begun, so the node has applied the update. It closes its idle connections to
            # the removed server.
            await until(lambda: removed.closed_connections == removed.accepted_connections)
            counts = len(draining.received), len(removed.received)
            for n in range(6):
                await environment.send_request(f"after-{n}")
            assert (len(draining.received), len(removed.received)) == counts

    run(test())


def test_an_attempt_is_not_sent_if_its_server_drains_while_the_node_connects(tmp_path: Path) -> None:
    """The server is in service when it is selected, and draining when the connection is open."""

    async def test() -> None:
        healthy = Server(name="stays")
        await healthy.start()
        with StalledListener() as stalled:
            entry = healthy.entry() | stalled.entry()
            async with node_environment(tmp_path, has_cached_list=False) as environment:
                environment.agent.publish(entry, snapshot=True)
                await until(lambda: environment.agent.watches() == 2)
                response = asyncio.ensure_future(environment.send_request("a", "pay"))
                node = environment.node
                assert node is not None
                await until(lambda: node._upstream.connection_count() == 1)
                environment.agent.publish(entry | {"status": "leaving"}, healthy.entry())
                await until(lambda: environment.agent.watches() == 3)
                with await stalled.accept() as connection:
                    assert (await response).body == b"done"
                    assert [message.request_id for message in healthy.received] == ["a"]
                    assert has_received_nothing(connection)
        await healthy.stop()

    run(test())


def test_closed_idle_connections_are_replaced_and_no_request_is_sent_twice(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(*[render_response() + CLOSE] * 3)
        async with node_environment(tmp_path, server) as environment:
            for request_id in "abc":
                assert (await environment.send_request(request_id, "pay")).status == 200
                await until(lambda: server.closed_connections == server.accepted_connections)
            assert [message.request_id for message in server.received] == list("abc")

    run(test())


def test_a_server_with_one_hanging_connection_still_receives_requests(tmp_path: Path) -> None:
    """After one request hung on a dead connection, its healthy server received almost no other requests."""

    async def test() -> None:
        servers = [Server(name="s0"), hanging := Server(name="s1")]
        for server in servers:
            server.response_delay_s = 0.02
        async with node_environment(tmp_path, *servers) as environment:
            for n in range(4):
                await environment.send_request(f"first-{n}")
            hanging.remaining_script.append(HANG)
            requests = [asyncio.create_task(environment.send_request(f"concurrent-{n}")) for n in range(4)]
            await until(lambda: sum(task.done() for task in requests) == 3)
            await asyncio.sleep(0.2)  # ten times the usual response time
            count_before = len(hanging.received)
            for n in range(10):
                await environment.send_request(f"later-{n}")
            assert len(hanging.received) - count_before >= 3
            # One request still hangs.
            assert environment.node is not None and environment.node._balancer.in_flight == 1
            hanging.close_connections()  # the hanging request is retried on the other server, or fails
            await asyncio.gather(*requests)

    run(test())


def stated_budgets_s(servers: list[Server], request_id: str) -> list[float]:
    """Return the values of X-Budget in the attempts of a request that the servers received."""
    return [
        float(message.headers["x-budget"])
        for server in servers
        for message in server.received
        if message.request_id == request_id
    ]


def test_a_request_on_a_hanging_connection_is_retried_before_its_deadline(tmp_path: Path) -> None:
    """A first attempt times out after a few times the usual response time.

    Retries and attempts of non-idempotent requests have longer timeouts.
    """

    async def test() -> None:
        servers = [Server(name="s0"), Server(name="s1")]
        for server in servers:
            server.response_delay_s = 0.05
        async with node_environment(tmp_path, *servers) as environment:
            for n in range(20):
                await environment.send_request(f"first-{n}")
            for server in servers:
                server.remaining_script.append(HANG)
            assert (await environment.send_request("a")).status == 200
            first_s, second_s, _ = sorted(stated_budgets_s(servers, "a"))
            assert first_s < 0.7 * second_s
            await environment.send_request("once", "pay")
            [non_idempotent_s] = stated_budgets_s(servers, "once")
            assert non_idempotent_s > 1.5 * first_s

    run(test())


def test_a_request_that_the_policy_does_not_end_fails_at_its_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """If the policy ignores a request or raises an error, the client still gets one response, status 504."""
    handle = Balancer.handle

    def broken_handle(self: Balancer, event: PolicyEvent, now_ms: float) -> list[PolicyAction]:
        # The node numbers requests from 1.
        if isinstance(event, RequestReceived) and event.request_id == "1":
            return []
        if isinstance(event, RequestReceived) and event.request_id == "2":
            raise RuntimeError("error in the policy")
        return handle(self, event, now_ms)

    monkeypatch.setattr(Balancer, "handle", broken_handle)

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            with caplog.at_level(logging.CRITICAL):
                for request_id in ("ignored", "raises"):
                    loop = asyncio.get_running_loop()
                    sent_at_s = loop.time()
                    assert (await environment.send_request(request_id, budget="0.3")).status == 504
                    assert loop.time() - sent_at_s >= 0.29  # never early
            assert (await environment.send_request("a")).status == 200

    run(test())


@pytest.mark.parametrize(("allowed", "retry_after_s"), [(True, 0.5), (False, None)])
def test_a_request_with_no_time_for_an_attempt_is_rejected_at_once(
    tmp_path: Path, allowed: bool, retry_after_s: float | None
) -> None:
    async def test() -> None:
        server = Server()
        permissions = {"retry_after": allowed, "max_retry_after_ms": 500.0}
        async with node_environment(tmp_path, server, permissions=permissions) as environment:
            response = await environment.send_request("a", "pay", budget="0.001")
            assert response.status == 503 and not server.received
            header = response.headers.get("retry-after")
            assert retry_after_s == (None if header is None else float(header))

    run(test())


def test_client_connections_stay_within_their_limit_by_closing_idle_ones(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server, sockets=29) as environment:
            first = await environment.client()
            # The loop gets 18 responses. From the 20th response on, the timeout of attempts would be 8 times
            # the usual response time, which is nearly 0 here.
            for n in range(9):
                # This client sends no request: connections without a request are closed before others.
                await environment.client()
                assert (await environment.send_request(f"{n}")).status == 200
                # Among the others, the connection idle for longest is closed, not the one opened first.
                assert (await first.send_request(f"first-{n}")).status == 200
                assert environment.node is not None
                assert environment.node.frontend.connection_count() <= 15  # of 29

    run(test())
