"""The fault proxy before a server: holds, splits and resets, and notes what nodes send.

What arrives here has arrived at the server's machine, so attempts are counted here.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import Enum
from typing import cast

import httptools

from soak.oracle import OVERLAP_CHECK_S, AttemptRecord, Oracle

SECOND_WITHIN_S = 0.006  # of an answer, in which a second one may come
SPLIT_BYTES, SPLIT_EVERY_S = 40, 0.001


class ProxyMode(Enum):
    """What is done to the bytes that pass."""

    GOOD = "good"
    HOLD = "hold"
    SPLIT = "split"
    RESET = "reset"  # once a request has come whole
    CLOSES_IDLE = "closes_idle"  # right after an answer


class Proxy:
    """Listens where a server is told to be, and passes bytes on to it."""

    def __init__(self, oracle: Oracle, server: str, group: int, host: str) -> None:
        self.oracle, self.server, self.group, self.host = oracle, server, group, host
        self.mode = ProxyMode.GOOD
        self.upstream_port = 0
        self.attempts: dict[int, AttemptRecord] = {}  # by the port from which the proxy calls the server
        self.connections: set[ProxyConnection] = set()
        self._released = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ProxyConnection(self), self.host, self.port, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Refuse new connections and reset those there are."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.reset()

    def set_mode(self, mode: ProxyMode) -> None:
        """Treat bytes in another way from now on; what was held goes on."""
        self.mode = mode
        if mode is not ProxyMode.HOLD:
            self._released.set()
            self._released = asyncio.Event()

    async def passed(self) -> None:
        """Wait while bytes are held."""
        while self.mode is ProxyMode.HOLD:
            await self._released.wait()


class AnswerCounter:
    """Tells whether the bytes so far end with a whole answer, and how many there were."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._whole = False
        self.count = 0

    def feed(self, data: bytes) -> bool:
        """Take the next bytes; whether an answer is whole with them."""
        self._whole = False
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(data)
        return self._whole

    def on_message_complete(self) -> None:
        self._whole = True
        self.count += 1


class ProxyConnection(asyncio.Protocol):
    """A node's connection, and the one to the server that goes with it."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[str, str] = {}
        self._path = ""
        self._first_byte_s: float | None = None  # of the request that is coming in
        self._attempt: AttemptRecord | None = None
        self._requests = 0
        self._to_server: asyncio.Queue[bytes] = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        self._tasks.append(self._loop.create_task(self._pass_on()))

    def data_received(self, data: bytes) -> None:
        if self._first_byte_s is None:
            self._first_byte_s = self._loop.time()
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(data)
        self._to_server.put_nowait(data)
        if self._attempt is not None and self._proxy.mode is ProxyMode.RESET:
            self.reset()

    def eof_received(self) -> None:
        self._end_attempt()  # a node gives an attempt up by ending its sending, too

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_attempt()
        self._proxy.connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def _end_attempt(self) -> None:
        if self._attempt is not None and self._attempt.closed_s is None:
            self._attempt.closed_s = self._loop.time()
        self._attempt = None

    def reset(self) -> None:
        """Reset the node's connection."""
        own = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    # The parser's calls

    def on_message_begin(self) -> None:
        self._headers, self._path = {}, ""

    def on_url(self, url: bytes) -> None:
        self._path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        oracle, proxy = self._proxy.oracle, self._proxy
        now_s = self._loop.time()
        first_s = self._first_byte_s if self._first_byte_s is not None else now_s
        self._first_byte_s = None
        self._requests += 1
        id = self._headers.get("x-call-id", "")
        attempt = self._attempt = AttemptRecord(id, proxy.server, proxy.group, first_s, now_s)
        request = oracle.requests.get(id)
        oracle.attempt_began(proxy.server, request.node if request is not None else None, first_s)
        oracle.attempt_arrived(id, self._path.strip("/"), attempt, float(self._headers.get("x-budget", "0")))
        self._loop.call_later(OVERLAP_CHECK_S, oracle.check_overlap, attempt)

    # Passing on

    async def _pass_on(self) -> None:
        """Carry bytes to the server until either side ends."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._proxy.upstream_port)
        except OSError:
            return self.reset()
        self._tasks.append(self._loop.create_task(self._pass_back(reader)))
        port = writer.get_extra_info("sockname")[1]
        try:
            while True:
                data = await self._to_server.get()
                await self._proxy.passed()
                if self._attempt is not None:
                    self._proxy.attempts[port] = self._attempt
                writer.write(data)
        except ConnectionError:
            self.reset()
        finally:
            self._proxy.attempts.pop(port, None)
            writer.close()

    async def _pass_back(self, reader: asyncio.StreamReader) -> None:
        """Carry the server's bytes back, by the mode of the moment; its end too."""
        answers, answered_s = AnswerCounter(), 0.0
        try:
            while data := await reader.read(65536):
                await self._proxy.passed()
                if answers.count >= self._requests and self._loop.time() > answered_s + SECOND_WITHIN_S:
                    continue  # an answer that nobody asked for comes some milliseconds late, not later
                if self._proxy.mode is ProxyMode.SPLIT:
                    for start in range(0, len(data), SPLIT_BYTES):
                        self._transport.write(data[start : start + SPLIT_BYTES])
                        await asyncio.sleep(SPLIT_EVERY_S)
                else:
                    self._transport.write(data)
                answered_s = self._loop.time()
                self._end_attempt()
                # Not within an answer: cut short in order, one with no length would look whole.
                if answers.feed(data) and self._proxy.mode is ProxyMode.CLOSES_IDLE:
                    break
            self._transport.close()
        except ConnectionError:
            self.reset()
