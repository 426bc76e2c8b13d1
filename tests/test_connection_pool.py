"""The connection pool without a node: attempts, reuse of connections and failures to connect."""

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
    """The handler of an attempt with a given request; calls `on_end` with the outcome."""

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
        self.connection_pool = ConnectionPool(
            loop, connect_timeout_ms, keepalive_ms, lambda: 100, lambda _connection, _size_bytes: True
        )
        host, port = address.split(":")
        self.address: Address = (host, int(port))
        self.outcomes: list[Outcome] = []
        self.responses: list[ServerResponse | None] = []

    def send(
        self, request_id: str, *, may_send: Callable[[], bool] = lambda: True, timeout_ms: float = 20_000.0
    ) -> Attempt:
        handler = ScriptedHandler(request(request_id), self._record, may_send)
        return self.connection_pool.send(1, self.address, handler, timeout_ms)

    def _record(self, outcome: Outcome, response: ServerResponse | None) -> None:
        self.outcomes.append(outcome)
        self.responses.append(response)

    async def outcome(self, count: int) -> Outcome:
        """Return the last outcome, once this number of attempts has ended."""
        await until(lambda: len(self.outcomes) == count)
        return self.outcomes[-1]


@asynccontextmanager
async def pool_with_server(server: Server) -> AsyncIterator[PoolUnderTest]:
    """Start a server, and provide a pool for it."""
    await server.start()
    try:
        yield PoolUnderTest(server.address)
    finally:
        await server.stop()


class ThreadedServer:
    """A server in a separate thread, which can act while the event loop is blocked."""

    def __init__(self, *, reset: bool) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(WAIT_TIMEOUT_S)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.requests: list[bytes] = []
        self._resets_first_connection = reset
        self._may_end_first_connection = threading.Event()
        # The thread is a daemon so that the process can exit although a test has failed.
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        first = self._answer_one()
        self._may_end_first_connection.wait(WAIT_TIMEOUT_S)
        if self._resets_first_connection:
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
        """Close or reset the first connection, and block until that is done."""
        self._may_end_first_connection.set()
        time.sleep(0.05)


@pytest.mark.parametrize("reset", [True, False], ids=["reset", "close"])
def test_a_connection_closed_by_the_server_but_not_yet_read_is_not_reused(reset: bool) -> None:
    """A request written to it would end in a reset and might have run, so it would fail if not idempotent."""

    async def test() -> None:
        server = ThreadedServer(reset=reset)
        pool = PoolUnderTest(server.address)
        pool.send("a")
        assert await pool.outcome(1) is Outcome.SUCCESS
        server.end_first_connection()
        pool.send("b")
        assert await pool.outcome(2) is Outcome.SUCCESS
        assert [b"X-Call-Id: b" in message for message in server.requests] == [False, True]

    run(test())


def test_a_response_received_before_the_timeout_but_read_after_it_is_a_success() -> None:
    """One iteration of the event loop outlasts the timeout, and the timer runs before the loop reads."""
    timeout_s = 1.5

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(WAIT_TIMEOUT_S)
            pool = PoolUnderTest(f"127.0.0.1:{listener.getsockname()[1]}")
            sent_at_s = time.monotonic()
            pool.send("a", timeout_ms=timeout_s * 1000.0)
            connection, _ = await asyncio.to_thread(listener.accept)
            connection.settimeout(WAIT_TIMEOUT_S)
            assert await asyncio.to_thread(connection.recv, 65536)
            wakeup_reader, wakeup_writer = socket.socketpair()

            def answer_and_block_the_loop() -> None:
                loop.remove_reader(wakeup_reader)
                connection.sendall(render_response())
                time.sleep(max(0.0, sent_at_s + timeout_s + 0.2 - time.monotonic()))

            loop.add_reader(wakeup_reader, answer_and_block_the_loop)
            wakeup_writer.send(b"x")
            assert await pool.outcome(1) is Outcome.SUCCESS
            for each in (connection, wakeup_reader, wakeup_writer):
                each.close()

    run(test())


def test_a_failed_write_ends_in_connect_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last byte was not sent, so the request can't have run and may be retried in any class."""
    monkeypatch.setattr(ServerConnection, "is_usable", lambda self: self._is_open)

    async def test() -> None:
        server = ThreadedServer(reset=True)
        pool = PoolUnderTest(server.address)
        pool.send("a")
        assert await pool.outcome(1) is Outcome.SUCCESS
        server.end_first_connection()
        pool.send("b")
        assert await pool.outcome(2) is Outcome.CONNECT_FAILED
        pool.send("c")
        assert await pool.outcome(3) is Outcome.SUCCESS

    run(test())


def test_a_request_that_ended_while_its_connection_opened_is_not_sent() -> None:
    """While the connection opens, the request may end or its server may start to drain."""

    async def test() -> None:
        server = Server()
        async with pool_with_server(server) as pool:
            ended = asyncio.Event()
            pool.send("a", may_send=lambda: not ended.is_set())
            ended.set()
            assert await pool.outcome(1) is Outcome.NOT_SENT
            pool.send("b")  # reuses the connection
            assert await pool.outcome(2) is Outcome.SUCCESS
            assert [message.request_id for message in server.received] == ["b"]
            assert server.accepted_connections == 1

    run(test())


def test_idle_connections_are_closed_before_the_keepalive_time_of_the_server() -> None:
    async def test() -> None:
        server = Server()
        async with pool_with_server(server):
            pool = PoolUnderTest(server.address, keepalive_ms=400.0)
            pool.send("a")
            assert await pool.outcome(1) is Outcome.SUCCESS
            await until(lambda: server.closed_connections == 1)
            assert pool.connection_pool.connection_count() == 0

    run(test())


def test_the_most_recently_used_connection_is_reused_and_close_idle_closes_all() -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with pool_with_server(server) as pool:
            pool.send("a")
            pool.send("b")
            await until(lambda: len(server.received) == 2)
            server.may_respond.set()
            await pool.outcome(2)
            for number in range(3, 6):
                pool.send(f"{number}")
                await pool.outcome(number)
            assert len({message.connection for message in server.received[2:]}) == 1
            pool.connection_pool.close_idle(1)
            await until(lambda: server.closed_connections == 2)

    run(test())


class RepeatingServer(Server):
    """A server that answers the first request a second time when the next request arrives."""

    async def script(self, message: Message) -> bytes:
        if message.request_id == "a":
            [self.first] = self._writers
        else:
            self.first.write(render_response(200, b"for a"))
        return render_response(200, b"for " + message.request_id.encode())


def test_a_late_second_response_is_not_taken_for_the_response_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Responses do not identify their request, so a connection is reused only after a delay."""
    # The delay is long enough for the next request to be sent within it on any machine.
    monkeypatch.setattr(server_connection, "REUSE_DELAY_MS", 60_000.0)

    async def test() -> None:
        async with pool_with_server(RepeatingServer()) as pool:
            pool.send("a")
            assert await pool.outcome(1) is Outcome.SUCCESS
            pool.send("b")
            assert await pool.outcome(2) is Outcome.SUCCESS
            bodies = [response.body for response in pool.responses if response is not None]
            assert bodies == [b"for a", b"for b"]
            # The first connection is closed, because a response arrives on it that no request awaits.
            await until(lambda: pool.connection_pool.connection_count() == 1)

    run(test())


class FailingLoop:
    """The running event loop, except that connecting fails with a given error."""

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
def test_a_failure_to_connect_is_connect_failed_and_a_local_shortage_not_sent(
    error: Exception, outcome: Outcome, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        pool = PoolUnderTest("127.0.0.1:1")
        pool.connection_pool._loop = cast(asyncio.AbstractEventLoop, FailingLoop(error))
        with caplog.at_level(logging.CRITICAL):
            pool.send("a")
            assert await pool.outcome(1) is outcome
        await until(lambda: pool.connection_pool.connection_count() == 0)

    run(test())


def test_an_attempt_without_an_available_descriptor_is_not_sent() -> None:
    async def test() -> None:
        server = Server()
        async with pool_with_server(server) as pool:
            pool.connection_pool._available_descriptors = lambda: 0
            pool.send("a")
            assert await pool.outcome(1) is Outcome.NOT_SENT
            assert not server.accepted_connections

    run(test())


def test_an_attempt_aborted_while_connecting_leaves_no_connection() -> None:
    async def test() -> None:
        server = Server()
        async with pool_with_server(server) as pool:
            for number in range(20):
                attempt = pool.send("a")
                for _ in range(number % 4):  # the abort comes after 0 to 3 steps of connecting
                    await asyncio.sleep(0)
                attempt.abort(Outcome.CANCELLED)
            assert pool.outcomes == [Outcome.CANCELLED] * 20
            await until(
                lambda: (
                    pool.connection_pool.connection_count() == 0
                    and server.closed_connections == server.accepted_connections
                )
            )

    run(test())
