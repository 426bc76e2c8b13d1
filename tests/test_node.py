"""The node among scripted peers: rules, connections, and ends that must come."""

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


def test_a_keyed_request_that_may_have_run_stays_within_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [Server(default=render_response(500), name=f"s{n}", group=n % 2) for n in range(4)]
        async with node_environment(tmp_path, *servers) as environment:
            responses = await asyncio.gather(*(environment.send_request(f"{n}", "save") for n in range(8)))
            assert {response.status for response in responses} == {502}
        groups: dict[str, list[int]] = {}
        for server in servers:
            for seen in server.received:
                groups.setdefault(seen.request_id, []).append(server.group)
        assert all(len(set(sent)) == 1 for sent in groups.values())
        assert max(map(len, groups.values())) > 1  # and some were sent again

    run(test())


def test_a_keyed_request_is_not_sent_again_once_its_window_is_over(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(default=render_response(500))
        async with node_environment(tmp_path, server, classes=classes_with(window_ms=20.0)) as environment:
            assert (await environment.send_request("a", "save")).status == 502
            assert len(server.received) == 1

    run(test())


def test_nothing_goes_to_a_server_that_drains_or_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        draining, removed, stays = (Server(name=name) for name in ("leaving", "left", "stays"))
        async with node_environment(tmp_path, draining, removed, stays) as environment:
            for n in range(6):
                await environment.send_request(f"before-{n}")
            assert draining.received and removed.received
            environment.agent.publish(draining.entry(status="leaving"), removed.entry(status="left"))
            await until(lambda: len(environment.agent.received) == 2)
            # The next watch has begun, so the update has been read.
            # Idle connections to the removed server are closed.
            await until(lambda: removed.closed_connections == removed.accepted_connections)
            counts = len(draining.received), len(removed.received)
            for n in range(6):
                await environment.send_request(f"after-{n}")
            assert (len(draining.received), len(removed.received)) == counts

    run(test())


def test_a_drain_told_while_the_connection_comes_up_stops_the_send(tmp_path: Path) -> None:
    """The selection was right, but its server drains by the time there is a connection."""

    async def test() -> None:
        stays = Server(name="stays")
        await stays.start()
        with StalledListener() as stalled:
            entry = stays.entry() | stalled.entry()
            async with node_environment(tmp_path, known=False) as environment:
                environment.agent.publish(entry, snapshot=True)
                await until(lambda: environment.agent.watches() == 2)
                response = asyncio.ensure_future(environment.send_request("a", "pay"))
                node = environment.node
                assert node is not None
                await until(lambda: node._upstream.connection_count() == 1)
                environment.agent.publish(entry | {"status": "leaving"}, stays.entry())
                await until(lambda: environment.agent.watches() == 3)
                with await stalled.accept() as connection:
                    assert (await response).body == b"done"
                    assert [seen.request_id for seen in stays.received] == ["a"]
                    assert has_received_nothing(connection)
        await stays.stop()

    run(test())


def test_a_stale_connection_is_replaced_and_nothing_is_sent_twice(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(*[render_response() + CLOSE] * 3)
        async with node_environment(tmp_path, server) as environment:
            for request_id in "abc":
                assert (await environment.send_request(request_id, "pay")).status == 200
                await until(lambda: server.closed_connections == server.accepted_connections)
            assert [seen.request_id for seen in server.received] == list("abc")

    run(test())


def test_a_connection_that_falls_silent_does_not_keep_its_server_from_work(tmp_path: Path) -> None:
    """One request on a dead connection, and a sound server got next to no others."""

    async def test() -> None:
        servers = [Server(name="s0"), half_dead := Server(name="s1")]
        for server in servers:
            server.response_delay_s = 0.02
        async with node_environment(tmp_path, *servers) as environment:
            for n in range(4):
                await environment.send_request(f"first-{n}")
            half_dead.remaining_script.append(HANG)
            requests = [asyncio.create_task(environment.send_request(f"at-once-{n}")) for n in range(4)]
            await until(lambda: sum(task.done() for task in requests) == 3)
            await asyncio.sleep(0.2)  # ten times the usual delay: the request that hangs is long overdue
            count_before = len(half_dead.received)
            for n in range(10):
                await environment.send_request(f"later-{n}")
            assert len(half_dead.received) - count_before >= 3
            assert (
                environment.node is not None and environment.node._balancer.in_flight == 1
            )  # it still hangs
            half_dead.close_connections()  # the request is retried elsewhere, or failed
            await asyncio.gather(*requests)

    run(test())


def stated_budgets_s(servers: list[Server], request_id: str) -> list[float]:
    """Return the time-outs that the servers were told with the attempts of a request."""
    return [
        float(seen.headers["x-budget"])
        for server in servers
        for seen in server.received
        if seen.request_id == request_id
    ]


def test_what_a_silent_connection_swallows_is_sent_again_in_time_to_count(tmp_path: Path) -> None:
    """A first attempt times out after some times the usual delay, retries and unsafe attempts later."""

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
            [unsafe_s] = stated_budgets_s(servers, "once")
            assert unsafe_s > 1.5 * first_s

    run(test())


def test_a_deadline_ends_what_the_module_leaves_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Whatever goes wrong inside, an accepted request gets its one answer, which promises nothing."""
    handle = Balancer.handle

    def broken_handle(self: Balancer, event: PolicyEvent, now_ms: float) -> list[PolicyAction]:
        if isinstance(event, RequestReceived) and event.request_id == "1":  # the node's own keys
            return []
        if isinstance(event, RequestReceived) and event.request_id == "2":
            raise RuntimeError("a fault")
        return handle(self, event, now_ms)

    monkeypatch.setattr(Balancer, "handle", broken_handle)

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            with caplog.at_level(logging.CRITICAL):
                for request_id in ("lost", "raises"):
                    loop = asyncio.get_running_loop()
                    sent_at_s = loop.time()
                    assert (await environment.send_request(request_id, budget="0.3")).status == 504
                    assert loop.time() - sent_at_s >= 0.29  # never early
            assert (await environment.send_request("a")).status == 200

    run(test())


@pytest.mark.parametrize(("allowed", "retry_after_s"), [(True, 0.5), (False, None)])
def test_a_request_given_up_on_is_refused_at_once(
    tmp_path: Path, allowed: bool, retry_after_s: float | None
) -> None:
    async def test() -> None:
        server = Server()
        permissions = {"retry_after": allowed, "max_retry_after_ms": 500.0}
        async with node_environment(tmp_path, server, permissions=permissions) as environment:
            reply = await environment.send_request("a", "pay", budget="0.001")  # no time left for an attempt
            assert reply.status == 503 and not server.received
            header = reply.headers.get("retry-after")
            assert retry_after_s == (None if header is None else float(header))

    run(test())


def test_sockets_stay_within_their_limit_and_idle_ones_make_room(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server, sockets=29) as environment:
            first = await environment.client()
            for n in range(9):  # 18 responses: from 20 on the time-out would be 8 times a delay of none
                await (
                    environment.client()
                )  # sends nothing: such connections are closed before those that have sent a request
                assert (await environment.send_request(f"{n}")).status == 200
                assert (
                    await first.send_request(f"first-{n}")
                ).status == 200  # the longest idle are closed, not the oldest
                assert environment.node is not None
                assert environment.node.frontend.connection_count() <= 15  # of 29

    run(test())
