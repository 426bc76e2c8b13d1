"""The time that a server is told is what the client has left when the request is written."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from pathlib import Path
from typing import cast

import pytest

from tests.peers import WAIT_TIMEOUT_S, Server, node_environment, read_message, request, run, until
from tests.stalled_listener import StalledListener
from tests.test_listener import FailingSocket
from workspond.downstream.listener import ACCEPT_RETRY_DELAY_S

SLACK_S = 0.15  # by how much the time that the server is told may exceed what is left
BUDGET_S = 2.5


def time_left_s(sent_at_s: float) -> float:
    """Return how much of the budget is left to a request."""
    return BUDGET_S - (time.monotonic() - sent_at_s)


def block_event_loop(duration_s: float) -> None:
    """Keep the event loop, and the node in it, from doing anything."""
    time.sleep(duration_s)


def test_the_deadline_passed_on_counts_the_time_that_the_dial_took(tmp_path: Path) -> None:
    """The head was rendered before the dial: 2.37 s were stated where 1.47 s were left."""

    async def test() -> None:
        with StalledListener() as stalled:
            async with node_environment(tmp_path, known=False) as environment:
                environment.agent.endpoints = [stalled.entry()]
                node = environment.node
                assert node is not None
                await until(node.is_ready)
                caller = await environment.client()
                sent_at_s = time.monotonic()
                caller.write(request("late", budget=str(BUDGET_S)))
                await until(lambda: len(node._upstream._connecting) == 1)
                reader, writer = await asyncio.open_connection(sock=await stalled.accept())
                seen = await read_message(reader)
                left_s = time_left_s(sent_at_s)
                writer.close()
                assert seen is not None and left_s < BUDGET_S - 0.5
                assert float(seen.headers["x-budget"]) <= left_s + SLACK_S

    run(test())


def test_the_deadline_of_a_request_sent_ahead_counts_from_when_it_came(tmp_path: Path) -> None:
    """It counted from the end of the request before it on the connection."""

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            caller = await environment.client()
            sent_at_s = time.monotonic()
            caller.write(request("first") + request("second", budget=str(BUDGET_S)))
            await until(lambda: len(server.received) == 1)
            await asyncio.sleep(1.0)
            server.may_respond.set()
            await until(lambda: len(server.received) == 2)
            left_s = time_left_s(sent_at_s)
            assert float(server.received[1].headers["x-budget"]) <= left_s + SLACK_S

    run(test())


@pytest.mark.parametrize("cause", ["a shortage of descriptors", "a busy event loop"])
def test_the_time_that_a_request_lay_unread_counts(cause: str, tmp_path: Path) -> None:
    """0.355 s were stated where the client's time was over, after a failing accept."""
    delay_s = 0.6

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            node = environment.node
            assert node is not None
            await until(node.is_ready)
            listener = node.frontend._listener
            assert listener is not None
            if cause == "a shortage of descriptors":
                errors = [errno.EMFILE] * round(delay_s / ACCEPT_RETRY_DELAY_S + 1)
                listener._socket = cast(socket.socket, FailingSocket(listener._socket, *errors))
            with socket.create_connection(environment.address, WAIT_TIMEOUT_S) as caller:
                sent_at_s = time.monotonic()
                caller.sendall(request("a", budget=str(BUDGET_S)))
                if cause == "a busy event loop":
                    block_event_loop(delay_s)
                await until(lambda: len(server.received) == 1)
                left_s = time_left_s(sent_at_s)
                assert left_s < BUDGET_S - delay_s
                assert float(server.received[0].headers["x-budget"]) <= left_s + SLACK_S

    run(test())
