"""A proxy in front of a server: delays, splits or resets the traffic, and records the attempts of the nodes.

An attempt that arrives here counts as arrived at the server's machine.
"""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from typing import cast

import httptools

from soak.oracle import OVERLAP_CHECK_DELAY_S, Oracle
from soak.records import AttemptRecord
from standins.sockets import HOST, reset_on_close

# An unsolicited answer is forwarded only within this time of the previous answer. After its reuse delay of
# 10 ms, the node could take the unsolicited answer for the answer to its next request.
SECOND_ANSWER_WITHIN_S = 0.006
SPLIT_BYTES = 40
SPLIT_INTERVAL_S = 0.001
READ_BYTES = 65536


class ProxyMode(Enum):
    """How the proxy treats traffic; the value is the name of the fault without its prefix."""

    NORMAL = "normal"
    HOLD = "hold"
    SPLIT = "split"
    RESET = "reset"  # resets a connection when a request on it is complete
    CLOSES_IDLE = "closes_idle"  # closes a connection right after an answer


class Proxy:
    """Listens on the listed address of a server and forwards bytes to it."""

    def __init__(self, oracle: Oracle, server: str, group: int, host: str) -> None:
        self.oracle = oracle
        self.server = server
        self.group = group
        self.host = host
        self.mode = ProxyMode.NORMAL
        self.upstream_port = 0
        self.attempts: dict[int, AttemptRecord] = {}  # by the proxy's local port to the server
        self.connections: set[ProxyConnection] = set()
        self._released = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Start listening; after a crash, on the same port as before."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ProxyConnection(self), self.host, self.port, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset the open connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.reset()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the treatment of traffic; held bytes are forwarded unless the mode is HOLD."""
        self.mode = mode
        if mode is not ProxyMode.HOLD:
            self._released.set()
            self._released = asyncio.Event()

    async def wait_until_released(self) -> None:
        """Wait until the mode is not HOLD."""
        while self.mode is ProxyMode.HOLD:
            await self._released.wait()


class AnswerCounter:
    """Counts complete answers in a stream of bytes."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._is_complete = False
        self.count = 0

    def feed(self, data: bytes) -> bool:
        """Parse the next bytes; return whether they complete an answer."""
        self._is_complete = False
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(data)
        return self._is_complete

    def on_message_complete(self) -> None:
        """Count a complete answer; called by the parser."""
        self._is_complete = True
        self.count += 1


class ProxyConnection(asyncio.Protocol):
    """A connection from a node, and the matching connection to the server."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[str, str] = {}
        self._path = ""
        self._first_byte_at_s: float | None = None  # None unless a request is being received
        self._attempt: AttemptRecord | None = None
        self._requests_received = 0
        self._from_node: asyncio.Queue[bytes] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a node's connection and open one to the server."""
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        self._tasks.append(self._loop.create_task(self._forward()))

    def data_received(self, data: bytes) -> None:
        """Parse, record and forward bytes from the node."""
        if self._first_byte_at_s is None:
            self._first_byte_at_s = self._loop.time()
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(data)
        self._from_node.put_nowait(data)
        if self._attempt is not None and self._proxy.mode is ProxyMode.RESET:
            self.reset()

    def eof_received(self) -> None:
        """End the attempt: closing the sending side aborts it."""
        self._end_attempt()

    def connection_lost(self, _error: Exception | None) -> None:
        """Close the connection to the server."""
        self._end_attempt()
        self._proxy.connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def _end_attempt(self) -> None:
        if self._attempt is not None and self._attempt.ended_at_s is None:
            self._attempt.ended_at_s = self._loop.time()
        self._attempt = None

    def reset(self) -> None:
        """Reset the node's connection."""
        reset_on_close(self._transport)
        self._transport.abort()

    # Callbacks of the HTTP parser

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._headers = {}
        self._path = ""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header of the request."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Record a complete request as the attempt that the server will answer next."""
        oracle = self._proxy.oracle
        now_s = self._loop.time()
        first_at_s = self._first_byte_at_s if self._first_byte_at_s is not None else now_s
        self._first_byte_at_s = None
        self._requests_received += 1
        request_id = self._headers.get("x-call-id", "")
        attempt = AttemptRecord(request_id, self._proxy.server, self._proxy.group, first_at_s, now_s)
        self._attempt = attempt
        oracle.attempt_began(request_id, self._proxy.server, first_at_s)
        oracle.attempt_arrived(self._path.strip("/"), attempt, float(self._headers.get("x-budget", "0")))
        self._loop.call_later(OVERLAP_CHECK_DELAY_S, oracle.check_overlap, attempt)

    # Forwarding

    async def _forward(self) -> None:
        """Forward bytes to the server until either side closes."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self._proxy.upstream_port)
        except OSError:
            self.reset()
            return
        self._tasks.append(self._loop.create_task(self._forward_answers(reader)))
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                data = await self._from_node.get()
                await self._proxy.wait_until_released()
                if self._attempt is not None:
                    self._proxy.attempts[port] = self._attempt
                writer.write(data)
        except ConnectionError:
            self.reset()
        finally:
            self._proxy.attempts.pop(port, None)
            writer.close()

    async def _forward_answers(self, reader: asyncio.StreamReader) -> None:
        """Forward the server's bytes and its close to the node, according to the current mode."""
        answers = AnswerCounter()
        answered_at_s = 0.0
        try:
            while data := await reader.read(READ_BYTES):
                await self._proxy.wait_until_released()
                is_answered = answers.count >= self._requests_received
                if is_answered and self._loop.time() > answered_at_s + SECOND_ANSWER_WITHIN_S:
                    continue  # too late for an unsolicited answer
                await self._write_to_node(data)
                answered_at_s = self._loop.time()
                self._end_attempt()
                # Close only after a complete answer: a truncated answer without a length would look complete.
                if answers.feed(data) and self._proxy.mode is ProxyMode.CLOSES_IDLE:
                    break
            self._transport.close()
        except ConnectionError:
            self.reset()

    async def _write_to_node(self, data: bytes) -> None:
        if self._proxy.mode is not ProxyMode.SPLIT:
            self._transport.write(data)
            return
        for start in range(0, len(data), SPLIT_BYTES):
            self._transport.write(data[start : start + SPLIT_BYTES])
            await asyncio.sleep(SPLIT_INTERVAL_S)
