"""Simulated servers: they answer each request with a unique body, or fail according to their mode."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from enum import Enum

from soak.discovery import EndpointRegistry, Entry, Status
from soak.oracle import Oracle
from soak.proxy import Proxy
from soak.records import AttemptRecord
from standins.listener import Listener
from standins.messages import receive_message, render_response
from standins.sockets import reset

SERVICE_TIME_FACTORS = (0.5, 1.5)  # range of one request's service time, relative to the mean
MAX_QUEUE_S = 0.3  # a request that would wait longer is rejected
SLOW_FACTOR = 15.0  # extra delay of a slow answer, relative to the service time
SECOND_ANSWER_AFTER_S = 0.003
RESET_DELAY_S = 0.005  # time from an answer without a length to the reset that invalidates it
LARGE_BODY_BYTES = 30_000
LARGE_BODY_FRACTION = 0.05
TRUNCATED_GARBAGE_FRACTION = 0.5  # the other garbage answers are not HTTP
RESET_GARBAGE_FRACTION = 0.5  # the connection is closed after the other garbage answers
RESET_WITHOUT_LENGTH_FRACTION = 0.3  # the other answers without a length end with a close


class ServerMode(Enum):
    """How a server answers; the value is the name of the fault without its prefix."""

    NORMAL = "normal"
    HANG = "hang"
    SLOW = "slow"
    ERRORS = "errors"
    REJECTS = "refuses"
    NO_LENGTH = "no_length"
    SECOND_ANSWER = "second_answer"
    GARBAGE = "garbage"


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """A server's name, its deduplication group, and the host of its listed address."""

    name: str
    group: int
    host: str


class SimulatedServer(Listener):
    """One server behind its proxy; it processes one request at a time."""

    def __init__(
        self,
        oracle: Oracle,
        registry: EndpointRegistry,
        identity: ServerIdentity,
        capacity_per_s: float,
        rng: random.Random,
    ) -> None:
        """`capacity_per_s` is the number of requests per second that the warm server can serve."""
        super().__init__()
        self.name = identity.name
        self.restarting = asyncio.Lock()  # held from a drain or crash until the server is back
        self.proxy = Proxy(oracle, identity.name, identity.group, identity.host)
        self._group = identity.group
        self._oracle = oracle
        self._registry = registry
        self._rng = rng
        self._capacity_per_s = capacity_per_s
        self._busy_until_s = 0.0
        self._mode = ServerMode.NORMAL
        self._may_answer = asyncio.Event()  # clear while the server hangs
        self._may_answer.set()

    async def start(self, backlog: int = 100) -> None:
        """Start listening, and register the server as running since the start of the soak."""
        await super().start(backlog)
        self.proxy.upstream_port = self.port
        await self.proxy.start()
        self._registry.entries[self.name] = self._entry(Status.ACTIVE, 0, None)

    def _entry(self, status: Status, started_at_wall_ms: int, started_at_s: float | None) -> Entry:
        address = f"{self.proxy.host}:{self.proxy.port}"
        return Entry(self.name, address, self._group, status, started_at_wall_ms, started_at_s)

    def set_mode(self, mode: ServerMode) -> None:
        """Change how the server answers from now on."""
        self._mode = mode
        if mode is ServerMode.HANG:
            self._may_answer.clear()
        else:
            self._may_answer.set()

    def crash(self) -> None:
        """Simulate the end of the process: reset its connections and refuse new ones."""
        self.proxy.crash()

    async def restart_cold(self) -> None:
        """Simulate a new, cold process and register its start time."""
        await self.proxy.start()
        self._oracle.server_started(self.name)
        started_at_s = asyncio.get_running_loop().time()
        self._registry.change(self._entry(Status.ACTIVE, int(time.time() * 1000.0), started_at_s))

    def set_status(self, status: Status) -> None:
        """Change the server's status in the list."""
        self._registry.set_status(self.name, status)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request until an answer ends the connection."""
        port = writer.get_extra_info("peername")[1]
        keeps_open = True
        while keeps_open:
            await receive_message(reader)
            attempt = self.proxy.attempts.get(port)
            keeps_open = attempt is not None and await self._answer(writer, attempt)

    async def _answer(self, writer: asyncio.StreamWriter, attempt: AttemptRecord) -> bool:
        """Answer an attempt; return whether the connection stays open."""
        mode = self._mode
        now_s = asyncio.get_running_loop().time()
        begins_at_s = max(now_s, self._busy_until_s)
        if mode is ServerMode.REJECTS or begins_at_s - now_s > MAX_QUEUE_S:
            attempt.was_rejected = True
            writer.write(render_response(503, b"full", "X-Rejected: 1\r\n"))
            return True
        await asyncio.sleep(self._enqueue(mode, now_s, begins_at_s))
        await self._may_answer.wait()
        if writer.is_closing():
            return False
        return await self._write_answer(writer, attempt, mode)

    def _enqueue(self, mode: ServerMode, now_s: float, begins_at_s: float) -> float:
        """Add a request to the queue; return the seconds from now until its answer."""
        capacity_per_s = self._capacity_per_s * self._oracle.capacity_fraction(self.name, now_s)
        service_s = self._rng.uniform(*SERVICE_TIME_FACTORS) / capacity_per_s
        self._busy_until_s = begins_at_s + service_s
        extra_s = service_s * SLOW_FACTOR if mode is ServerMode.SLOW else 0.0
        return self._busy_until_s - now_s + extra_s

    async def _write_answer(
        self, writer: asyncio.StreamWriter, attempt: AttemptRecord, mode: ServerMode
    ) -> bool:
        """Write the answer that the mode selects; return whether the connection stays open."""
        if mode is ServerMode.ERRORS:
            writer.write(render_response(500, b"error"))
            return True
        body = self._draw_body(attempt)
        if mode is ServerMode.GARBAGE:
            return await self._write_garbage(writer, body)
        if mode is ServerMode.NO_LENGTH:
            return await self._write_without_length(writer, attempt, body)
        attempt.body = body
        writer.write(render_response(200, body))
        if mode is ServerMode.SECOND_ANSWER:
            return await self._write_second_answer(writer, body)
        return True

    def _draw_body(self, attempt: AttemptRecord) -> bytes:
        """Draw a body that is unique to the attempt."""
        padding = b"x" * LARGE_BODY_BYTES if self._rng.random() < LARGE_BODY_FRACTION else b""
        return f"{attempt.request_id} by {self.name} {self._rng.getrandbits(64):016x}".encode() + padding

    async def _write_second_answer(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        await asyncio.sleep(SECOND_ANSWER_AFTER_S)
        if writer.is_closing():  # writing to it would raise
            return False
        writer.write(render_response(200, b"second " + body))
        return True

    async def _write_garbage(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        """Write an invalid answer: the first half of a valid one, or bytes that are not HTTP."""
        answer = render_response(200, body)
        is_truncated = self._rng.random() < TRUNCATED_GARBAGE_FRACTION
        writer.write(answer[: len(answer) // 2] if is_truncated else b"\x00 no HTTP\r\n\r\n")
        await writer.drain()
        if self._rng.random() < RESET_GARBAGE_FRACTION:
            reset(writer.transport)
        return False

    async def _write_without_length(
        self, writer: asyncio.StreamWriter, attempt: AttemptRecord, body: bytes
    ) -> bool:
        """Write an answer that ends with the connection: a close completes it, a reset invalidates it."""
        is_reset = self._rng.random() < RESET_WITHOUT_LENGTH_FRACTION
        if not is_reset:
            attempt.body = body
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        if is_reset:
            await writer.drain()
            await asyncio.sleep(RESET_DELAY_S)
            reset(writer.transport)
        return False
