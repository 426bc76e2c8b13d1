"""Clients that misbehave; they also check that the node responds to them as it must."""

from __future__ import annotations

import asyncio
import contextlib

from soak.clients import BUDGET_RANGE_S, LATE_ANSWER_S, NO_ANSWER_ERRORS, Client, DrawnRequest, read_answer
from soak.oracle import ANSWER_GRACE_S, INVALID_REQUEST_LIMIT_S, TIME_SLACK_S
from soak.records import Rule
from soak.settings import DEADLINE_S, MAX_BODY_BYTES, PAY
from standins.messages import render_request

FLOOD_REQUESTS = 20
IDLE_CONNECTIONS = 100
GARBAGE = (
    b"\x16\x03\x01\r\n\r\n",
    b"GET /nowhere HTTP/1.1\r\n\r\n",
    b"x" * 100_000,
    b"PUT / HTTP/1.1\r\n\r\n",
)


class FaultyClient(Client):
    """Sends invalid or incomplete requests, many requests at once, or opens connections and sends nothing."""

    async def flood(self) -> None:
        """Send many requests in one write; each must be answered."""
        reader, writer = await self._connect()
        requests = [self._draw_request() for _ in range(FLOOD_REQUESTS)]
        writer.write(b"".join(request.data for request in requests))
        for request in requests:
            self._record_sent(request, max(request.budget_s, BUDGET_RANGE_S[1]))
        for request in requests:
            limit_s = DEADLINE_S + ANSWER_GRACE_S + LATE_ANSWER_S + self._oracle.slack_s
            if not await self._expect_answer(
                request, reader, limit_s, "request sent with others in one write"
            ):
                break
        writer.close()

    async def send_garbage(self) -> None:
        """Send invalid HTTP or an unknown path or method; the node must answer with an error or close."""
        await self._expect_error_or_close("garbage", self._rng.choice(GARBAGE))

    async def send_garbage_after_request(self) -> None:
        """Send a valid request followed by invalid HTTP; the request must be answered."""
        reader, writer = await self._connect()
        request = self._draw_request()
        writer.write(request.data + b"no HTTP\r\n\r\n")
        self._record_sent(request, request.budget_s)
        limit_s = INVALID_REQUEST_LIMIT_S + LATE_ANSWER_S + self._oracle.slack_s
        await self._expect_answer(request, reader, limit_s, "request followed by garbage")
        writer.close()

    async def send_half_request(self) -> None:
        """Send the first half of a request; the node must answer with an error or close."""
        data = self._draw_request().data
        await self._expect_error_or_close("half a request", data[: len(data) // 2])

    async def send_unfinished_long_request(self) -> None:
        """Send a long request without its last byte; the node must answer with an error or close."""
        body = b"y" * MAX_BODY_BYTES
        data = render_request(self._new_id(), PAY.name, f"{DEADLINE_S:.3f}", body, host="soak")
        await self._expect_error_or_close("an unfinished long request", data[:-1])

    async def hold_idle_connections(self, lasts_s: float) -> None:
        """Hold open connections on which nothing is sent."""
        writers = []
        for _ in range(IDLE_CONNECTIONS):
            if self._node.accepts_connections:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*self._node.address)
                    writers.append(writer)
        await asyncio.sleep(lasts_s)
        for writer in writers:
            writer.close()

    async def _expect_answer(
        self, request: DrawnRequest, reader: asyncio.StreamReader, limit_s: float, circumstance: str
    ) -> bool:
        """Read the answer to a request, report it if missing, and return whether it arrived.

        `circumstance` is the part of the violation's text that says how the request was sent.
        """
        try:
            response = await read_answer(reader, limit_s)
        except NO_ANSWER_ERRORS as problem:
            if not self._was_killed_since_sent(request):
                self._oracle.unanswered(request.request_id, f"no answer, {circumstance}: {problem!r:.60}")
            return False
        self._oracle.answered(request.request_id, response.status, response.body)
        return True

    async def _expect_error_or_close(self, description: str, data: bytes) -> None:
        """Send an invalid request; report if the node neither answers nor closes within the limit."""
        reader, writer = await self._connect()
        began_s = self._loop.time()
        with contextlib.suppress(ConnectionError):
            writer.write(data)
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(INVALID_REQUEST_LIMIT_S + LATE_ANSWER_S):
                await reader.read(1)
        took_s = self._loop.time() - began_s
        limit_s = INVALID_REQUEST_LIMIT_S + TIME_SLACK_S + self._oracle.slack_s
        if took_s > limit_s and self._node.killed_at_s < began_s:
            self._oracle.report(Rule.PEER, description, f"no error and no close within {took_s:.1f} s")
        writer.close()
