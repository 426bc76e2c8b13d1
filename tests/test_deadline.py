"""Tests that X-Budget of an attempt is the time that the client has left when the request is written."""

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

TOLERANCE_S = 0.15  # how much the X-Budget sent to a server may exceed the remaining time
BUDGET_S = 2.5


def remaining_time_s(sent_at_s: float) -> float:
    """Return how much of its budget a request has left."""
    return BUDGET_S - (time.monotonic() - sent_at_s)


def block_event_loop(duration_s: float) -> None:
    """Block the event loop, and with it the node."""
    time.sleep(duration_s)


def test_the_time_to_connect_is_subtracted_from_the_forwarded_deadline(tmp_path: Path) -> None:
    """The head was once rendered before connecting: it stated 2.37 s when 1.47 s were left."""

    async def test() -> None:
        with StalledListener() as stalled:
            async with node_environment(tmp_path, has_cached_list=False) as environment:
                environment.agent.endpoints = [stalled.entry()]
                node = environment.node
                assert node is not None
                await until(node.is_ready)
                client = await environment.client()
                sent_at_s = time.monotonic()
                client.write(request("late", budget=str(BUDGET_S)))
                await until(lambda: len(node._upstream._connecting) == 1)
                reader, writer = await asyncio.open_connection(sock=await stalled.accept())
                message = await read_message(reader)
                remaining_s = remaining_time_s(sent_at_s)
                writer.close()
                assert message is not None and remaining_s < BUDGET_S - 0.5
                assert float(message.headers["x-budget"]) <= remaining_s + TOLERANCE_S

    run(test())


def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival(tmp_path: Path) -> None:
    """It once counted from the end of the previous request on the connection."""

    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            sent_at_s = time.monotonic()
            client.write(request("first") + request("second", budget=str(BUDGET_S)))
            await until(lambda: len(server.received) == 1)
            await asyncio.sleep(1.0)
            server.may_respond.set()
            await until(lambda: len(server.received) == 2)
            remaining_s = remaining_time_s(sent_at_s)
            assert float(server.received[1].headers["x-budget"]) <= remaining_s + TOLERANCE_S

    run(test())


@pytest.mark.parametrize("cause", ["shortage of descriptors", "blocked event loop"])
def test_the_time_before_a_request_is_read_is_subtracted_from_the_forwarded_deadline(
    cause: str, tmp_path: Path
) -> None:
    """After accept had failed, 0.355 s were once stated when the client had no time left."""
    delay_s = 0.6

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            node = environment.node
            assert node is not None
            await until(node.is_ready)
            listener = node.frontend._listener
            assert listener is not None
            if cause == "shortage of descriptors":
                errors = [errno.EMFILE] * round(delay_s / ACCEPT_RETRY_DELAY_S + 1)
                listener._socket = cast(socket.socket, FailingSocket(listener._socket, *errors))
            with socket.create_connection(environment.address, WAIT_TIMEOUT_S) as client:
                sent_at_s = time.monotonic()
                client.sendall(request("a", budget=str(BUDGET_S)))
                if cause == "blocked event loop":
                    block_event_loop(delay_s)
                await until(lambda: len(server.received) == 1)
                remaining_s = remaining_time_s(sent_at_s)
                assert remaining_s < BUDGET_S - delay_s
                assert float(server.received[0].headers["x-budget"]) <= remaining_s + TOLERANCE_S

    run(test())
