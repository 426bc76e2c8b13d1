"""Stand-ins for servers: they answer each request with a body of its own, or fail in a way that is set."""

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

SERVICE_TIME_FACTORS = (0.5, 1.5)  # of the mean service time, for one request
MAX_QUEUE_S = 0.3  # with more work than that waiting a request is rejected
SLOW_FACTOR = 15.0  # of the service time, added to it
SECOND_ANSWER_AFTER_S = 0.003
RESET_AFTER_S = 0.005  # from an answer without a length to the reset that makes it none
LARGE_BODY_BYTES = 30_000
LARGE_BODY_FRACTION = 0.05
CUT_ANSWER_FRACTION = 0.5  # of faulty answers; the others are no HTTP
RESET_FRACTION = 0.5  # of faulty answers, behind which the connection is reset
RESET_WITHOUT_LENGTH_FRACTION = 0.3  # of answers without a length


class ServerMode(Enum):
    """How a server answers; the value ends the name of the fault."""

    GOOD = "good"
    HANG = "hang"
    SLOW = "slow"
    ERRORS = "errors"
    REJECTS = "refuses"
    NO_LENGTH = "no_length"
    SECOND_ANSWER = "second_answer"
    GARBAGE = "garbage"


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """A server's name, the group in which it drops repeats, and the address that it is listed with."""

    name: str
    group: int
    host: str


class ServerStandIn(Listener):
    """One server behind its proxy; it works off one request after another."""

    def __init__(
        self,
        oracle: Oracle,
        registry: EndpointRegistry,
        identity: ServerIdentity,
        capacity_per_s: float,
        rng: random.Random,
    ) -> None:
        """`capacity_per_s`: the requests that it can do when warm."""
        super().__init__()
        self.name = identity.name
        self.restarting = asyncio.Lock()  # held from a drain or a crash to the return
        self.proxy = Proxy(oracle, identity.name, identity.group, identity.host)
        self._group = identity.group
        self._oracle = oracle
        self._registry = registry
        self._rng = rng
        self._capacity_per_s = capacity_per_s
        self._busy_until_s = 0.0
        self._mode = ServerMode.GOOD
        self._may_answer = asyncio.Event()  # clear: the server hangs
        self._may_answer.set()

    async def start(self, backlog: int = 100) -> None:
        """Listen, and be in service from the beginning."""
        await super().start(backlog)
        self.proxy.upstream_port = self.port
        await self.proxy.start()
        self._registry.entries[self.name] = self._entry(Status.ACTIVE, 0, None)

    def _entry(self, status: Status, started_at_wall_ms: int, started_at_s: float | None) -> Entry:
        address = f"{self.proxy.host}:{self.proxy.port}"
        return Entry(self.name, address, self._group, status, started_at_wall_ms, started_at_s)

    def set_mode(self, mode: ServerMode) -> None:
        """Answer in another way from now on."""
        self._mode = mode
        if mode is ServerMode.HANG:
            self._may_answer.clear()
        else:
            self._may_answer.set()

    def crash(self) -> None:
        """The process ends: its connections are reset, and new ones refused."""
        self.proxy.crash()

    async def return_cold(self) -> None:
        """A new process: the list states its start."""
        await self.proxy.start()
        self._oracle.server_started(self.name)
        started_at_s = asyncio.get_running_loop().time()
        self._registry.change(self._entry(Status.ACTIVE, int(time.time() * 1000.0), started_at_s))

    def set_status(self, status: Status) -> None:
        """Drain, be removed or come back, by the list."""
        self._registry.set_status(self.name, status)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer request after request as long as the connection is to stay open."""
        port = writer.get_extra_info("peername")[1]
        keeps_open = True
        while keeps_open:
            await receive_message(reader)
            attempt = self.proxy.attempts.get(port)
            keeps_open = attempt is not None and await self._answer(writer, attempt)

    async def _answer(self, writer: asyncio.StreamWriter, attempt: AttemptRecord) -> bool:
        """Answer an attempt; whether the connection stays open."""
        mode = self._mode
        now_s = asyncio.get_running_loop().time()
        begins_at_s = max(now_s, self._busy_until_s)
        if mode is ServerMode.REJECTS or begins_at_s - now_s > MAX_QUEUE_S:
            attempt.was_rejected = True
            writer.write(render_response(503, b"full", "X-Rejected: 1\r\n"))
            return True
        await asyncio.sleep(self._work_s(mode, now_s, begins_at_s))
        await self._may_answer.wait()
        if writer.is_closing():
            return False
        return await self._write_answer(writer, attempt, mode)

    def _work_s(self, mode: ServerMode, now_s: float, begins_at_s: float) -> float:
        """Take a request into the queue; how long it takes from now on."""
        capacity_per_s = self._capacity_per_s * self._oracle.capacity_fraction(self.name, now_s)
        service_s = self._rng.uniform(*SERVICE_TIME_FACTORS) / capacity_per_s
        self._busy_until_s = begins_at_s + service_s
        extra_s = service_s * SLOW_FACTOR if mode is ServerMode.SLOW else 0.0
        return self._busy_until_s - now_s + extra_s

    async def _write_answer(
        self, writer: asyncio.StreamWriter, attempt: AttemptRecord, mode: ServerMode
    ) -> bool:
        """Write what the mode says; whether the connection stays open."""
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
        """A body that no other attempt gets."""
        padding = b"x" * LARGE_BODY_BYTES if self._rng.random() < LARGE_BODY_FRACTION else b""
        return f"{attempt.request_id} by {self.name} {self._rng.getrandbits(64):016x}".encode() + padding

    async def _write_second_answer(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        await asyncio.sleep(SECOND_ANSWER_AFTER_S)
        if writer.is_closing():  # a write would raise
            return False
        writer.write(render_response(200, b"second " + body))
        return True

    async def _write_garbage(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        """An answer that can't be read as one: half of it, or no HTTP at all."""
        answer = render_response(200, body)
        is_cut = self._rng.random() < CUT_ANSWER_FRACTION
        writer.write(answer[: len(answer) // 2] if is_cut else b"\x00 no HTTP\r\n\r\n")
        await writer.drain()
        if self._rng.random() < RESET_FRACTION:
            reset(writer.transport)
        return False

    async def _write_without_length(
        self, writer: asyncio.StreamWriter, attempt: AttemptRecord, body: bytes
    ) -> bool:
        """An answer that its connection ends: in order, or by a reset, which makes it no answer."""
        is_reset = self._rng.random() < RESET_WITHOUT_LENGTH_FRACTION
        if not is_reset:
            attempt.body = body
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        if is_reset:
            await writer.drain()
            await asyncio.sleep(RESET_AFTER_S)
            reset(writer.transport)
        return False
