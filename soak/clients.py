"""Stand-ins for callers: honest ones that wait for their answers, and such as misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from soak.oracle import ANSWER_GRACE_S, PEER_S, TIME_SLACK_S, Oracle, Rule
from soak.settings import DEADLINE_MS, KINDS, RequestKind

LATE_S = 1.0  # after the last moment for an answer: one that is later still is told as late, not as missing
BUDGETS_S = (0.2, DEADLINE_MS / 1000.0)
TINY_BUDGETS_S, TINY_SHARE = (0.001, 0.04), 0.03
PATIENCE_S = (0.001, 0.1)  # of callers that leave early
CONNECT_EVERY_S = 0.05
LARGE_BODY, LARGE_SHARE = 20_000, 0.05
FLOOD, CROWD = 20, 100


@dataclass(slots=True)
class NodeView:
    """What callers know of their node."""

    number: int
    address: tuple[str, int]
    open_to_new: bool = True  # not ended, or ending for too long
    killed_s: float = -1.0  # when its process was last killed outright


class CallerBase:
    """What all callers share: ids, requests, connections."""

    def __init__(self, oracle: Oracle, node: NodeView, rng: random.Random, new_id: Callable[[], str]) -> None:
        self._oracle, self._node, self._rng, self._new_id = oracle, node, rng, new_id
        self._loop = asyncio.get_running_loop()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            if self._node.open_to_new:
                with contextlib.suppress(OSError):
                    return await asyncio.open_connection(*self._node.address)
            await asyncio.sleep(CONNECT_EVERY_S)

    def _request(self) -> tuple[str, RequestKind, float, bytes]:
        """A new request: id, kind, budget and bytes."""
        id = self._new_id()
        kind = self._rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        tiny = self._rng.random() < TINY_SHARE
        budget_s = round(self._rng.uniform(*(TINY_BUDGETS_S if tiny else BUDGETS_S)), 3)
        return id, kind, budget_s, render(id, kind, budget_s, self._body(kind))

    def _body(self, kind: RequestKind) -> bytes:
        if kind is KINDS[0]:
            return b""
        return b"y" * (LARGE_BODY if self._rng.random() < LARGE_SHARE else 20)


def render(id: str, kind: RequestKind, budget_s: float, body: bytes) -> bytes:
    """A request as callers send it."""
    method = "GET" if kind.name == "read" else "POST"
    key = f"Idempotency-Key: key-{id}\r\n" if kind.name == "save" else ""
    return (
        f"{method} /{kind.name} HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {id}\r\n"
        f"X-Budget: {budget_s:.3f}\r\n{key}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_answer(reader: asyncio.StreamReader, limit_s: float) -> tuple[int, bytes]:
    """The next answer; raises `IncompleteReadError`, `ConnectionError` or `TimeoutError` where there is none.

    (`asyncio.wait_for` may swallow a cancellation that comes as the answer does.)
    """
    async with asyncio.timeout(limit_s):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = head.lower().partition("content-length:")[2].split("\r\n")[0]
        return int(head.split()[1]), await reader.readexactly(int(length))


class HonestCaller(CallerBase):
    """Sends one request at a time and waits for each answer; keeps its connection."""

    leaves_early = False  # set while callers leave

    async def run(self, gap_s: float) -> None:
        """Ask again and again, with a mean gap between answers and requests."""
        while True:
            reader, writer = await self._connect()
            try:
                await self._use(reader, writer, gap_s)
            finally:
                writer.close()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gap_s: float) -> None:
        """Use a connection as long as it stays open."""
        used = False
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / gap_s))
            if reader.at_eof() or writer.is_closing():
                return None
            id, kind, budget_s, data = self._request()
            writer.write(data)
            self._oracle.request_sent(id, kind.name, self._node.number, budget_s)
            if self.leaves_early and self._rng.random() < 0.5:
                await asyncio.sleep(self._rng.uniform(*PATIENCE_S))
                writer.close()
                return self._oracle.caller_left(id)
            try:
                limit_s = budget_s + ANSWER_GRACE_S + LATE_S + self._oracle.slack_s
                status, body = await read_answer(reader, limit_s)
            except TimeoutError:
                return self._unanswered(id, "no answer, on a connection that stays open")
            except (asyncio.IncompleteReadError, ConnectionError) as problem:
                return await self._closed(id, data, used, problem)
            self._oracle.answered(id, status, body)
            used = True

    async def _closed(self, id: str, data: bytes, used: bool, problem: Exception) -> None:
        """The connection ended without an answer: on a used one it may have crossed the request."""
        if used and not self._oracle.forwarded(id) and not self._was_killed(id):
            reader, writer = await self._connect()
            try:
                writer.write(data)
                self._oracle.request_resent(id)
                status, body = await read_answer(reader, DEADLINE_MS / 1000.0 + LATE_S)
                return self._oracle.answered(id, status, body)
            except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as again:
                problem = again
            finally:
                writer.close()
        self._unanswered(id, f"closed without an answer: {problem!r:.60}")

    def _was_killed(self, id: str) -> bool:
        return self._node.killed_s >= self._oracle.requests[id].sent_s - TIME_SLACK_S

    def _unanswered(self, id: str, why: str) -> None:
        if not self._was_killed(id):
            self._oracle.unanswered(id, why)
        self._oracle.requests[id].left_s = self._loop.time()


class BadCaller(CallerBase):
    """Sends what is no proper request, or too much, and checks what it is owed."""

    async def flood(self) -> None:
        """Many requests in one write: each is owed its answer."""
        reader, writer = await self._connect()
        requests = [self._request() for _ in range(FLOOD)]
        writer.write(b"".join(data for _, _, _, data in requests))
        for id, kind, budget_s, _ in requests:
            self._oracle.request_sent(id, kind.name, self._node.number, max(budget_s, BUDGETS_S[1]))
        for id, *_ in requests:
            try:
                limit_s = DEADLINE_MS / 1000.0 + ANSWER_GRACE_S + LATE_S + self._oracle.slack_s
                status, body = await read_answer(reader, limit_s)
            except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as problem:
                if self._node.killed_s < self._oracle.requests[id].sent_s - TIME_SLACK_S:
                    self._oracle.unanswered(id, f"one of many in a write: {problem!r:.60}")
                break
            self._oracle.answered(id, status, body)
        writer.close()

    async def garbage(self) -> None:
        """No HTTP, or a header that is wrong: an error or a close is owed."""
        bad = self._rng.choice(
            (
                b"\x16\x03\x01\r\n\r\n",
                b"GET /nowhere HTTP/1.1\r\n\r\n",
                b"x" * 100_000,
                b"PUT / HTTP/1.1\r\n\r\n",
            )
        )
        await self._owed_an_end("garbage", bad)

    async def garbage_behind_a_request(self) -> None:
        """A good request, and no HTTP behind it: its answer is owed, then an error."""
        reader, writer = await self._connect()
        id, kind, budget_s, data = self._request()
        writer.write(data + b"no HTTP\r\n\r\n")
        self._oracle.request_sent(id, kind.name, self._node.number, budget_s)
        try:
            status, body = await read_answer(reader, PEER_S + LATE_S + self._oracle.slack_s)
            self._oracle.answered(id, status, body)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as problem:
            if self._node.killed_s < self._oracle.requests[id].sent_s - TIME_SLACK_S:
                self._oracle.unanswered(id, f"garbage came behind it: {problem!r:.60}")
        writer.close()

    async def half(self) -> None:
        """Half a request, and no more of it."""
        _, _, _, data = self._request()
        await self._owed_an_end("half a request", data[: len(data) // 2])

    async def _owed_an_end(self, what: str, data: bytes) -> None:
        reader, writer = await self._connect()
        began_s = self._loop.time()
        with contextlib.suppress(ConnectionError):
            writer.write(data)
        try:
            async with asyncio.timeout(PEER_S + LATE_S):
                await reader.read(1)
        except TimeoutError:
            pass
        except ConnectionError:
            pass
        took_s = self._loop.time() - began_s
        if took_s > PEER_S + TIME_SLACK_S + self._oracle.slack_s and self._node.killed_s < began_s:
            self._oracle.report(Rule.PEER, what, f"no error and no close within {took_s:.1f} s")
        writer.close()

    async def crowd(self, lasts_s: float) -> None:
        """Connections that say nothing."""
        writers = []
        for _ in range(CROWD):
            if self._node.open_to_new:
                with contextlib.suppress(OSError):
                    writers.append((await asyncio.open_connection(*self._node.address))[1])
        await asyncio.sleep(lasts_s)
        for writer in writers:
            writer.close()
