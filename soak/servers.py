"""Stand-ins for servers: they answer each request with a body of its own, or fail in a way that is set."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from enum import Enum

from soak.discovery import Entry, Registry, Status, reset
from soak.oracle import AttemptRecord, Oracle
from soak.proxy import Proxy

WORK_TIMES = (0.5, 1.5)  # of the mean work, for one request
QUEUE_S = 0.3  # with more work than that waiting a request is turned away
SLOW_TIMES = 15.0
SECOND_ANSWER_S = 0.003
LARGE_BODY, LARGE_SHARE = 30_000, 0.05


class ServerMode(Enum):
    """How a server answers."""

    GOOD = "good"
    HANG = "hang"
    SLOW = "slow"
    ERRORS = "errors"
    REFUSES = "refuses"
    NO_LENGTH = "no_length"
    SECOND_ANSWER = "second_answer"
    GARBAGE = "garbage"


class ServerStandIn:
    """One server behind its proxy."""

    def __init__(
        self,
        oracle: Oracle,
        registry: Registry,
        name: str,
        group: int,
        host: str,
        capacity: float,
        rng: random.Random,
    ) -> None:
        """`capacity`: the requests a second that it can do when warm."""
        self.name, self.group = name, group
        self.mode = ServerMode.GOOD
        self.restarting = asyncio.Lock()  # held from a drain or a death to the return
        self.proxy = Proxy(oracle, name, group, host)
        self._oracle, self._registry, self._rng = oracle, registry, rng
        self._capacity = capacity
        self._busy_until_s = 0.0  # it works off one request after another
        self._server: asyncio.Server

    async def start(self) -> None:
        """Be up, and in service from the beginning."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.proxy.upstream_port = self._server.sockets[0].getsockname()[1]
        await self.proxy.start()
        self._registry.entries[self.name] = self._entry(Status.ACTIVE, 0, None)

    def _entry(self, status: Status, since_ms: int, started_s: float | None) -> Entry:
        return Entry(
            self.name, f"{self.proxy.host}:{self.proxy.port}", self.group, status, since_ms, started_s
        )

    def die(self) -> None:
        """The process dies."""
        self.proxy.die()

    async def return_cold(self) -> None:
        """A new process: the list tells of its start."""
        await self.proxy.start()
        self._oracle.server_started(self.name)
        started_s = asyncio.get_running_loop().time()
        self._registry.change(self._entry(Status.ACTIVE, int(time.time() * 1000.0), started_s))

    def set_status(self, status: Status) -> None:
        """Drain, leave or come back, by the list."""
        self._registry.set_status(self.name, status)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = writer.get_extra_info("peername")[1]
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = head.partition("content-length:")[2].split("\r\n")[0].strip()
                await reader.readexactly(int(length or "0"))
                attempt = self.proxy.attempts.get(port)
                if attempt is None or not await self._answer(writer, attempt):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, attempt: AttemptRecord) -> bool:
        """Answer an attempt; whether the connection stays open."""
        mode = self.mode
        now_s = asyncio.get_running_loop().time()
        begins_s = max(now_s, self._busy_until_s)
        if mode is ServerMode.REFUSES or begins_s - now_s > QUEUE_S:
            attempt.refused = True
            writer.write(frame(503, b"full", "X-Rejected: 1\r\n"))
            return True
        work_s = self._rng.uniform(*WORK_TIMES) / self._capacity / self._oracle.warm_share(self.name, now_s)
        self._busy_until_s = begins_s + work_s
        done_s = self._busy_until_s - now_s
        await asyncio.sleep(done_s + work_s * SLOW_TIMES if mode is ServerMode.SLOW else done_s)
        while self.mode is ServerMode.HANG:
            await asyncio.sleep(0.05)
        if writer.is_closing():
            return False
        if mode is ServerMode.ERRORS:
            writer.write(frame(500, b"error"))
            return True
        padding = b"x" * LARGE_BODY if self._rng.random() < LARGE_SHARE else b""
        body = f"{attempt.request} by {self.name} {self._rng.getrandbits(64):016x}".encode() + padding
        if mode is ServerMode.GARBAGE:
            return await self._spoil(writer, body)
        attempt.body = body
        if mode is ServerMode.NO_LENGTH:
            return await self._write_without_length(writer, attempt)
        writer.write(frame(200, body))
        if mode is ServerMode.SECOND_ANSWER:
            await asyncio.sleep(SECOND_ANSWER_S)
            if writer.is_closing():  # a write would raise
                return False
            writer.write(frame(200, b"second " + body))
        return True

    async def _spoil(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        """An answer that can't be read as one: half of it, or no HTTP at all."""
        whole = frame(200, body)
        writer.write(whole[: len(whole) // 2] if self._rng.random() < 0.5 else b"\x00 no HTTP\r\n\r\n")
        await writer.drain()
        if self._rng.random() < 0.5:
            reset(writer)
        return False

    async def _write_without_length(self, writer: asyncio.StreamWriter, attempt: AttemptRecord) -> bool:
        """An answer that its connection ends: in order, or by a reset, which makes it no answer."""
        assert attempt.body is not None
        data = b"HTTP/1.1 200 OK\r\n\r\n" + attempt.body
        if self._rng.random() < 0.3:
            attempt.body = None
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.005)
            reset(writer)
        else:
            writer.write(data)
        return False


def frame(status: int, body: bytes, headers: str = "") -> bytes:
    """An answer with a length."""
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
