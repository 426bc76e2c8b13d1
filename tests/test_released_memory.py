"""What a connection no longer needs is released at once, without a garbage collection."""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.client_helpers import INCOMPLETE_REQUESTS, ready_node
from tests.peers import HANG, RESET, Server, node_environment, request, run, until
from workspond.downstream.client_connection import ClientConnection
from workspond.http.request import ClientRequest
from workspond.http.request_parser import RequestParser
from workspond.http.response_parser import ResponseParser
from workspond.upstream.connection import ServerConnection

BODY_BYTES = 60_000


@contextlib.contextmanager
def no_garbage_collection() -> Iterator[None]:
    """Collect garbage now and not again until the end."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def live_objects(*kinds: type) -> list[object]:
    """Return the objects of some classes in memory."""
    return [each for each in gc.get_objects() if isinstance(each, kinds)]


class NewObjects:
    """Counts objects that did not exist when it was created, as other tests may leave some behind."""

    def __init__(self, *kinds: type) -> None:
        self._kinds = kinds
        self._old = live_objects(*kinds)  # kept, so that no new object gets the identity of an old one
        self._old_identities = {id(each) for each in self._old}

    def live(self) -> list[object]:
        """Return the new objects in memory."""
        return [each for each in live_objects(*self._kinds) if id(each) not in self._old_identities]


def test_an_answered_request_is_released_while_its_connection_stays_open(tmp_path: Path) -> None:
    """Guards against idle connections that each keep the body of their last request."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            client = await environment.client()
            requests = NewObjects(ClientRequest)
            with no_garbage_collection():
                await client.send_request("a", "pay", body=b"x" * BODY_BYTES)
                await until(lambda: not requests.live())

    run(test())


def test_an_abandoned_request_is_released_while_its_attempt_is_in_flight(tmp_path: Path) -> None:
    """Guards against requests of clients that have gone, which hanging servers would keep in memory."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=HANG)) as environment:
            node = await ready_node(environment)
            client = await environment.client()
            requests = NewObjects(ClientRequest)
            client.write(request("a", "pay", body=b"x" * BODY_BYTES))
            await until(lambda: node.resource_usage().attempts == 1)
            [message] = requests.live()
            assert isinstance(message, ClientRequest)
            client.writer.close()
            await until(lambda: not node.resource_usage().requests)
            assert node.resource_usage().attempts == 1 and not message.body

    run(test())


@pytest.mark.parametrize("data", [*INCOMPLETE_REQUESTS.values(), b"noise\r\n\r\n", request("a", "pay")])
def test_a_closed_connection_is_released(data: bytes, tmp_path: Path) -> None:
    """Guards against memory that grows while clients come and go faster than garbage is collected."""

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            node = await ready_node(environment)
            parts = NewObjects(ClientConnection, RequestParser)
            with no_garbage_collection():
                client = await environment.client()
                client.write(data)
                await until(lambda: bool(node.frontend.connections.all()))
                client.writer.close()
                await until(lambda: not parts.live())

    run(test())


def test_a_connection_that_the_server_ended_is_released(tmp_path: Path) -> None:
    """Guards against memory that grows while servers end many connections."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=RESET)) as environment:
            node = await ready_node(environment)
            parts = NewObjects(ServerConnection, ResponseParser)
            with no_garbage_collection():
                await environment.send_request("a", "pay")
                await until(lambda: not node.resource_usage().server_connections and not parts.live())

    run(test())
