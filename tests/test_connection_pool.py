"""The connection pool by itself: attempts on its connections, without a node."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import struct
import threading
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, cast

import pytest

from tests.peers import WAIT_TIMEOUT_S, Message, Server, render_response, request, run, until
from workspond.address import Address
from workspond.policy.events import Outcome
from workspond.upstream import connection as server_connection
from workspond.upstream.attempt import Attempt, ServerResponse
from workspond.upstream.connection import ServerConnection
from workspond.upstream.connection_pool import ConnectionPool


@dataclass
class ScriptedHandler:
    """Handles one attempt of a given request; `on_end` is called with its outcome."""

    request: bytes
    on_end: Callable[[Outcome, ServerResponse | None], object]
    may_send_now: Callable[[], bool] = lambda: True

    def may_send(self) -> bool:
        return self.may_send_now()

    def render_request(self) -> bytes:
        return self.request

    def attempt_ended(self, outcome: Outcome, response: ServerResponse | None) -> None:
        self.on_end(outcome, response)


class PoolUnderTest:
    """A connection pool with one server, and the outcomes of the attempts sent through it."""

    def __init__(
        self, address: str, *, connect_timeout_ms: float = 5000.0, keepalive_ms: float = 60_000.0
    ) -> None:
        loop = asyncio.get_running_loop()
        self.pool = ConnectionPool(loop, connect_timeout_ms, keepalive_ms, lambda: 100)
        host, port = address.split(":")
        self.address: Address = (host, int(port))
        self.outcomes: list[Outcome] = []
        self.responses: list[ServerResponse | None] = []

    def send(
        self, request_id: str, *, may_send: Callable[[], bool] = lambda: True, timeout_ms: float = 20_000.0
    ) -> Attempt:
        handler = ScriptedHandler(request(request_id), self._record, may_send)
        return self.pool.send(1, self.address, handler, timeout_ms)

    def _record(self, outcome: Outcome, response: ServerResponse | None) -> None:
        self.outcomes.append(outcome)
        self.responses.append(response)

    async def outcome(self, count: int) -> Outcome:
        """The last outcome, once there are so many."""
        await until(lambda: len(self.outcomes) == count)
        return self.outcomes[-1]


@asynccontextmanager
async def running(server: Server) -> AsyncIterator[PoolUnderTest]:
    """A server that listens, and a pool for it."""
    await server.start()
    try:
        yield PoolUnderTest(server.address)
    finally:
        await server.stop()


class ThreadedServer:
    """A server in a thread of its own: it can act while the event loop is kept from seeing it."""

    def __init__(self, *, reset: bool) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(WAIT_TIMEOUT_S)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.requests: list[bytes] = []
        self._resets_first = reset
        self._first_may_end = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)  # no hang when a test fails
        self._thread.start()

    def _serve(self) -> None:
        first = self._answer_one()
        self._first_may_end.wait(WAIT_TIMEOUT_S)
        if self._resets_first:
            first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first.close()
        self._answer_one().close()
        self._socket.close()

    def _answer_one(self) -> socket.socket:
        connection, _ = self._socket.accept()
        self.requests.append(connection.recv(65536))
        connection.sendall(render_response())
        return connection

    def end_first_connection(self) -> None:
        """End it, and block the caller until that is done."""
        self._first_may_end.set()
        time.sleep(0.05)


@pytest.mark.parametrize("reset", [True, False], ids=["reset", "end"])
def test_a_connection_whose_end_the_loop_has_not_seen_is_not_used_again(reset: bool) -> None:
    """A request written to it would end in a reset that may have run: a non-idempotent one would fail."""

    async def test() -> None:
        server = ThreadedServer(reset=reset)
        client = PoolUnderTest(server.address)
        client.send("a")
        assert await client.outcome(1) is Outcome.SUCCESS
        server.end_first_connection()
        client.send("b")
        assert await client.outcome(2) is Outcome.SUCCESS
        assert [b"X-Call-Id: b" in message for message in server.requests] == [False, True]

    run(test())


def test_an_answer_that_came_in_time_counts_though_the_loop_reads_it_late() -> None:
    """One turn of the loop outlasts the timeout; the timer runs before the response is read."""
    timeout_s = 1.5

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(WAIT_TIMEOUT_S)
            client = PoolUnderTest(f"127.0.0.1:{listener.getsockname()[1]}")
            sent_at_s = time.monotonic()
            client.send("a", timeout_ms=timeout_s * 1000.0)
            connection, _ = await asyncio.to_thread(listener.accept)
            connection.settimeout(WAIT_TIMEOUT_S)
            assert await asyncio.to_thread(connection.recv, 65536)
            inner, outer = socket.socketpair()

            def answer_and_block_the_loop() -> None:
                loop.remove_reader(inner)
                connection.sendall(render_response())
                time.sleep(max(0.0, sent_at_s + timeout_s + 0.2 - time.monotonic()))

            loop.add_reader(inner, answer_and_block_the_loop)
            outer.send(b"x")
            assert await client.outcome(1) is Outcome.SUCCESS
            for peer in (connection, inner, outer):
                peer.close()

    run(test())


def test_a_write_that_fails_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last byte did not go out, so the request may be sent again, of whatever class."""
    monkeypatch.setattr(ServerConnection, "is_usable", lambda self: self._is_open)

    async def test() -> None:
        server = ThreadedServer(reset=True)
        client = PoolUnderTest(server.address)
        client.send("a")
        assert await client.outcome(1) is Outcome.SUCCESS
        server.end_first_connection()
        client.send("b")
        assert await client.outcome(2) is Outcome.CONNECT_FAILED
        client.send("c")
        assert await client.outcome(3) is Outcome.SUCCESS

    run(test())


def test_a_request_that_ended_while_its_connection_came_up_is_not_sent() -> None:
    """Its server may drain, or the request end, while the connection opens: nothing is written."""

    async def test() -> None:
        server = Server()
        async with running(server) as client:
            ended = asyncio.Event()
            client.send("a", may_send=lambda: not ended.is_set())
            ended.set()
            assert await client.outcome(1) is Outcome.NOT_SENT
            client.send("b")  # the connection itself is good, and used
            assert await client.outcome(2) is Outcome.SUCCESS
            assert [seen.request_id for seen in server.received] == ["b"]
            assert server.accepted_connections == 1

    run(test())


def test_connections_are_dropped_well_before_the_servers_idle_limit() -> None:
    async def test() -> None:
        server = Server()
        async with running(server):
            client = PoolUnderTest(server.address, keepalive_ms=400.0)
            client.send("a")
            assert await client.outcome(1) is Outcome.SUCCESS
            await until(lambda: server.closed_connections == 1)
            assert client.pool.connection_count() == 0

    run(test())


def test_the_most_recently_used_connection_comes_first_and_idle_ones_can_be_closed() -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with running(server) as client:
            client.send("a")
            client.send("b")
            await until(lambda: len(server.received) == 2)
            server.may_respond.set()
            await client.outcome(2)
            for n in range(3, 6):
                client.send(f"{n}")
                await client.outcome(n)
            assert len({seen.connection for seen in server.received[2:]}) == 1
            client.pool.close_idle(1)
            await until(lambda: server.closed_connections == 2)

    run(test())


class RepeatingServer(Server):
    """Answers the first request a second time, as soon as the next one has come."""

    async def script(self, message: Message) -> bytes:
        if message.request_id == "a":
            [self.first] = self._writers
        else:
            self.first.write(render_response(200, b"for a"))
        return render_response(200, b"for " + message.request_id.encode())


def test_a_second_answer_that_comes_late_is_not_taken_for_that_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing in a response tells which request it is for, so a connection rests before the next is sent."""
    # The next request comes within the delay on any machine.
    monkeypatch.setattr(server_connection, "REUSE_DELAY_MS", 60_000.0)

    async def test() -> None:
        async with running(RepeatingServer()) as client:
            client.send("a")
            assert await client.outcome(1) is Outcome.SUCCESS
            client.send("b")
            assert await client.outcome(2) is Outcome.SUCCESS
            bodies = [response.body for response in client.responses if response is not None]
            assert bodies == [b"for a", b"for b"]
            # The first connection is closed as a response comes on it that no request is open for.
            await until(lambda: client.pool.connection_count() == 1)

    run(test())


class FailingLoop:
    """The event loop, but connecting fails with a given error."""

    def __init__(self, error: Exception) -> None:
        self._error = error
        self._loop = asyncio.get_running_loop()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any) -> None:
        raise self._error


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (OSError(errno.EMFILE, "too many open files"), Outcome.NOT_SENT),
        (OSError(errno.ECONNREFUSED, "refused"), Outcome.CONNECT_FAILED),
        (RuntimeError("a fault"), Outcome.CONNECT_FAILED),
    ],
)
def test_a_dial_that_fails_ends_its_attempt_and_our_own_shortage_is_not_the_servers(
    error: Exception, outcome: Outcome, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        client = PoolUnderTest("127.0.0.1:1")
        client.pool._loop = cast(asyncio.AbstractEventLoop, FailingLoop(error))
        with caplog.at_level(logging.CRITICAL):
            client.send("a")
            assert await client.outcome(1) is outcome
        await until(lambda: client.pool.connection_count() == 0)

    run(test())


def test_an_attempt_without_room_for_its_socket_never_ran_and_is_not_the_servers_failure() -> None:
    async def test() -> None:
        server = Server()
        async with running(server) as client:
            client.pool._available_descriptors = lambda: 0
            client.send("a")
            assert await client.outcome(1) is Outcome.NOT_SENT
            assert not server.accepted_connections

    run(test())


def test_a_dial_that_is_called_off_leaves_no_connection() -> None:
    async def test() -> None:
        server = Server()
        async with running(server) as client:
            for n in range(20):
                attempt = client.send("a")
                for _ in range(n % 4):  # at each step of connecting
                    await asyncio.sleep(0)
                attempt.abort(Outcome.CANCELLED)
            assert client.outcomes == [Outcome.CANCELLED] * 20
            await until(
                lambda: (
                    client.pool.connection_count() == 0
                    and server.closed_connections == server.accepted_connections
                )
            )

    run(test())
