"""Tests of `AgentClient`: how calls end, and the reasons for their failures."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.peers import CLOSE, HANG, RESET, Server, render_response, run, until
from workspond.discovery import agent_client
from workspond.discovery.agent_client import AgentClient, CallFailure

HALF_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf!"


class RecordingOwner:
    """Records what a client reports."""

    def __init__(self) -> None:
        self.responses: list[tuple[int, bytes]] = []
        self.failures: list[str] = []
        self.overdue_count = 0

    def response_received(self, client: AgentClient, status: int, body: bytes) -> None:
        assert not client.is_busy
        self.responses.append((status, body))

    def call_failed(self, client: AgentClient, reason: str) -> None:
        assert not client.is_busy
        self.failures.append(reason)

    def call_overdue(self, client: AgentClient) -> None:
        assert client.is_busy and client.is_overdue
        self.overdue_count += 1

    async def wait_for_responses(self, count: int) -> None:
        """Wait until there have been `count` responses."""
        await until(lambda: len(self.responses) == count)


@asynccontextmanager
async def running_agent(agent: Server) -> AsyncIterator[tuple[AgentClient, RecordingOwner]]:
    """Run an agent, and yield a client that calls it and the owner of that client."""
    await agent.start()
    host, port = agent.address.split(":")
    owner = RecordingOwner()
    client = AgentClient(asyncio.get_running_loop(), (host, int(port)), owner)
    try:
        yield client, owner
    finally:
        client.close()
        await agent.stop()


def test_calls_reuse_their_connection_until_the_agent_closes_it() -> None:
    async def test() -> None:
        closing = render_response(404, b"two", "Connection: close\r\n")
        agent = Server(render_response(200, b"one"), closing, render_response(200, b"three"))
        async with running_agent(agent) as (client, owner):
            for count in range(1, 4):
                client.call(f"/{count}", 20.0)
                assert client.is_busy
                await owner.wait_for_responses(count)
            assert owner.responses == [(200, b"one"), (404, b"two"), (200, b"three")]
            assert [message.target for message in agent.received] == ["/1", "/2", "/3"]
            assert [message.connection for message in agent.received] == [1, 1, 2]
            assert not owner.failures

    run(test())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\x00 not HTTP\r\n\r\n", CallFailure.MALFORMED_RESPONSE),
        (render_response(200, b"one") + b"\x00 noise", CallFailure.MALFORMED_RESPONSE),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 9_000_000, CallFailure.RESPONSE_TOO_LARGE),
        (HALF_RESPONSE, CallFailure.RESPONSE_STALLED),
        (HALF_RESPONSE + CLOSE, CallFailure.CONNECTION_LOST),
        (RESET, CallFailure.CONNECTION_LOST),
    ],
)
def test_a_call_fails_once_with_its_reason_and_the_next_one_works(data: bytes, reason: CallFailure) -> None:
    async def test() -> None:
        agent = Server(data)
        async with running_agent(agent) as (client, owner):
            client.call("/", 20.0 if reason is not CallFailure.RESPONSE_STALLED else 0.2)
            await until(lambda: bool(owner.failures))
            assert owner.failures == [reason]
            client.call("/", 20.0)
            await owner.wait_for_responses(1)
            assert owner.responses == [(200, b"done")]
            assert owner.failures == [reason]
            assert not owner.overdue_count

    run(test())


def test_a_failure_to_connect_is_reported_with_its_details() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
        owner = RecordingOwner()
        client = AgentClient(asyncio.get_running_loop(), address, owner)
        client.call("/", 20.0)
        await until(lambda: bool(owner.failures))
        reason, _, details = owner.failures[0].partition(":")
        assert reason == CallFailure.CANNOT_CONNECT
        assert "refused" in details

    run(test())


def test_an_unanswered_call_is_overdue_once_and_may_still_be_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(agent_client, "STALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        agent = Server()
        agent.may_respond.clear()
        async with running_agent(agent) as (client, owner):
            client.call("/", 0.05)
            await until(lambda: owner.overdue_count == 1)
            await asyncio.sleep(0.3)  # time for several progress checks
            assert owner.overdue_count == 1
            agent.may_respond.set()
            await owner.wait_for_responses(1)
            assert owner.responses == [(200, b"done")]
            assert not owner.failures

    run(test())


def test_a_closed_client_reports_nothing_and_a_response_without_a_call_closes_the_connection() -> None:
    async def test() -> None:
        agent = Server(HANG, render_response(200, b"one"))
        async with running_agent(agent) as (client, owner):
            client.call("/", 20.0)
            await until(lambda: len(agent.received) == 1)
            client.close()
            await until(lambda: agent.closed_connections == 1)
            client.call("/", 20.0)
            await owner.wait_for_responses(1)
            for writer in agent._writers:
                writer.write(render_response(200, b"two"))
            await until(lambda: agent.closed_connections == 2)
            client.call("/", 20.0)
            await owner.wait_for_responses(2)
            assert owner.responses == [(200, b"one"), (200, b"done")]
            assert not owner.failures and not owner.overdue_count

    run(test())
