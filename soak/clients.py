"""Well-behaved clients of the nodes, and the base class that they share with faulty clients."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from soak.oracle import ANSWER_GRACE_S, TIME_SLACK_S, Oracle
from soak.settings import CLASSES, DEADLINE_S, READ, RequestClass
from standins.messages import Response, read_response, render_request

# Extra time to wait for an answer, so that an answer after its limit is reported as late and not as missing.
LATE_ANSWER_S = 1.0
BUDGET_RANGE_S = (0.2, DEADLINE_S)
TINY_BUDGET_RANGE_S = (0.001, 0.04)
TINY_BUDGET_FRACTION = 0.03
# During a fault of the kind `callers_leave`, clients abandon this fraction of their requests, this long after
# sending them.
EARLY_DISCONNECT_FRACTION = 0.5
EARLY_DISCONNECT_DELAY_RANGE_S = (0.001, 0.1)
RECONNECT_INTERVAL_S = 0.05
LARGE_BODY_BYTES = 20_000
LARGE_BODY_FRACTION = 0.05
SMALL_BODY_BYTES = 20
NO_ANSWER_ERRORS = (TimeoutError, asyncio.IncompleteReadError, ConnectionError)


@dataclass(slots=True)
class NodeView:
    """The state of a node that its clients depend on."""

    number: int
    address: tuple[str, int]
    # False from soon after SIGTERM, or from the end of the process, until a new process is ready.
    accepts_connections: bool = True
    killed_at_s: float = -1.0  # time of the last SIGKILL by a fault `node_kill`; -1 before the first


@dataclass(frozen=True, slots=True)
class DrawnRequest:
    """A randomly drawn request that is ready to be sent."""

    request_id: str
    request_class: RequestClass
    budget_s: float
    data: bytes


async def read_answer(reader: asyncio.StreamReader, limit_s: float) -> Response:
    """Read the next answer; raises one of `NO_ANSWER_ERRORS` if none arrives within `limit_s`."""
    # asyncio.wait_for may lose a cancellation that arrives together with the answer.
    async with asyncio.timeout(limit_s):
        return await read_response(reader)


class Client:
    """Base class of all clients: draws requests, connects, and checks whether the node was killed."""

    def __init__(self, oracle: Oracle, node: NodeView, rng: random.Random, new_id: Callable[[], str]) -> None:
        self._oracle = oracle
        self._node = node
        self._rng = rng
        self._new_id = new_id
        self._loop = asyncio.get_running_loop()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the node, retrying until it accepts the connection."""
        while True:
            if self._node.accepts_connections:
                with contextlib.suppress(OSError):
                    return await asyncio.open_connection(*self._node.address)
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    def _draw_request(self) -> DrawnRequest:
        request_id = self._new_id()
        [request_class] = self._rng.choices(CLASSES, [each.traffic_fraction for each in CLASSES])
        is_tiny = self._rng.random() < TINY_BUDGET_FRACTION
        budget_s = round(self._rng.uniform(*(TINY_BUDGET_RANGE_S if is_tiny else BUDGET_RANGE_S)), 3)
        body = self._draw_body(request_class)
        data = render_request(request_id, request_class.name, f"{budget_s:.3f}", body, host="soak")
        return DrawnRequest(request_id, request_class, budget_s, data)

    def _draw_body(self, request_class: RequestClass) -> bytes:
        if request_class is READ:
            return b""
        is_large = self._rng.random() < LARGE_BODY_FRACTION
        return b"y" * (LARGE_BODY_BYTES if is_large else SMALL_BODY_BYTES)

    def _record_sent(self, request: DrawnRequest, budget_s: float) -> None:
        class_name = request.request_class.name
        self._oracle.request_sent(request.request_id, class_name, self._node.number, budget_s)

    def _was_killed_since_sent(self, request: DrawnRequest) -> bool:
        """Return whether the node was killed after the request was sent, which excuses a missing answer."""
        sent_at_s = self._oracle.requests[request.request_id].sent_at_s
        return self._node.killed_at_s >= sent_at_s - TIME_SLACK_S


class PatientClient(Client):
    """Sends one request at a time on a persistent connection and waits for each answer."""

    disconnects_early = False  # True during a fault of the kind `callers_leave`

    async def run(self, mean_think_time_s: float) -> None:
        """Send requests until cancelled, each `mean_think_time_s` on average after the previous answer."""
        while True:
            reader, writer = await self._connect()
            try:
                await self._use_connection(reader, writer, mean_think_time_s)
            finally:
                writer.close()

    async def _use_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, mean_think_time_s: float
    ) -> None:
        """Send requests on one connection until it ends."""
        is_first = True
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / mean_think_time_s))
            if reader.at_eof() or writer.is_closing():
                return
            request = self._draw_request()
            writer.write(request.data)
            self._record_sent(request, request.budget_s)
            if self.disconnects_early and self._rng.random() < EARLY_DISCONNECT_FRACTION:
                await self._disconnect(request, writer)
                return
            if not await self._receive_answer(request, reader, is_first_request=is_first):
                return
            is_first = False

    async def _disconnect(self, request: DrawnRequest, writer: asyncio.StreamWriter) -> None:
        """Close the connection while a request is in flight."""
        await asyncio.sleep(self._rng.uniform(*EARLY_DISCONNECT_DELAY_RANGE_S))
        writer.close()
        self._oracle.client_disconnected(request.request_id)

    async def _receive_answer(
        self, request: DrawnRequest, reader: asyncio.StreamReader, *, is_first_request: bool
    ) -> bool:
        """Read the answer to a request; return whether the connection can be reused."""
        limit_s = request.budget_s + ANSWER_GRACE_S + LATE_ANSWER_S + self._oracle.slack_s
        try:
            response = await read_answer(reader, limit_s)
        except TimeoutError:
            self._report_unanswered(request, "no answer, and the connection is still open")
            return False
        except (asyncio.IncompleteReadError, ConnectionError) as problem:
            await self._handle_closed_connection(request, problem, is_first_request=is_first_request)
            return False
        self._oracle.answered(request.request_id, response.status, response.body)
        return True

    async def _handle_closed_connection(
        self, request: DrawnRequest, problem: Exception, *, is_first_request: bool
    ) -> None:
        """Handle a connection that ended without an answer.

        The node may close an idle connection while a request is on its way. Such a request is sent once more.
        Any other request, and one that gets no answer the second time either, is reported as unanswered.
        """
        may_have_crossed_close = not is_first_request and not self._oracle.was_forwarded(request.request_id)
        error: Exception | None = problem
        if may_have_crossed_close and not self._was_killed_since_sent(request):
            error = await self._resend(request)
        if error is not None:
            self._report_unanswered(request, f"connection closed without an answer: {error!r:.60}")

    async def _resend(self, request: DrawnRequest) -> Exception | None:
        """Send a request on a new connection; return the error if there is no answer."""
        reader, writer = await self._connect()
        try:
            writer.write(request.data)
            self._oracle.request_resent(request.request_id)
            response = await read_answer(reader, DEADLINE_S + LATE_ANSWER_S)
        except NO_ANSWER_ERRORS as problem:
            return problem
        finally:
            writer.close()
        self._oracle.answered(request.request_id, response.status, response.body)
        return None

    def _report_unanswered(self, request: DrawnRequest, reason: str) -> None:
        if not self._was_killed_since_sent(request):
            self._oracle.unanswered(request.request_id, reason)
        self._oracle.client_disconnected(request.request_id)
