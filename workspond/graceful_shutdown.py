"""The shutdown that loses no request: serve on for a while, answer all that is in flight, then close.

The platform sends SIGTERM and, some time later, SIGKILL. The time between them is the longest deadline of a
class, `MAX_DEADLINE_MS` at most, and `KILL_DELAY_MS` more. New connections go on coming for 0.4 s after
SIGTERM at least.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from workspond.clock import now_ms
from workspond.downstream.frontend import Frontend
from workspond.policy.settings import RequestClass
from workspond.request_registry import RequestRegistry

ACCEPT_S = 0.45  # how long the node serves on in any case: a little longer than new connections come
MAX_DEADLINE_MS = 3_000.0
KILL_DELAY_MS = 700.0
KILL_MARGIN_MS = 200.0  # from the last answer to SIGKILL
# Before the last answer all connections begin to close: what comes until then has a fair chance.
DRAIN_BEFORE_LAST_ANSWER_MS = 800.0

log = logging.getLogger("workspond")


class GracefulShutdown:
    """Shuts the client side of a node down."""

    def __init__(
        self, frontend: Frontend, requests: RequestRegistry, classes: Iterable[RequestClass]
    ) -> None:
        self._frontend = frontend
        self._requests = requests
        max_deadline_ms = min(MAX_DEADLINE_MS, max(cls.deadline_ms for cls in classes))
        self._last_answer_after_ms = KILL_DELAY_MS - KILL_MARGIN_MS + max_deadline_ms

    async def run(self, accept_s: float) -> None:
        """Shut down; returns when no connection of a client is left.

        Clients go on using the connections they have, and may have no other node to go to. They are served
        until there is just enough time left to answer before the platform kills the node.

        Args:
            accept_s: How long to serve on even if there is no connection.
        """
        started_at_ms = now_ms()
        last_answer_at_ms = started_at_ms + self._last_answer_after_ms
        self._requests.limit_deadlines(last_answer_at_ms)  # SIGKILL would come before later ones
        self._frontend.fail_ready_checks()
        await asyncio.sleep(accept_s)
        await self._serve_until_empty(started_at_ms, last_answer_at_ms)
        await self._frontend.close_listener()
        await self._drain(last_answer_at_ms)

    async def _serve_until_empty(self, started_at_ms: float, last_answer_at_ms: float) -> None:
        """Serve until no client is connected, or it is time to close the connections.

        The listener stays open as long as connections are served. A client whose new connection is refused
        takes the node for dead and leaves its open ones too, and where this is the only node it has nowhere
        to go.
        """
        left_ms = last_answer_at_ms - DRAIN_BEFORE_LAST_ANSWER_MS - now_ms()
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                await self._frontend.wait_until_empty()
        except TimeoutError:
            log.info("closing connections: after_ms=%.0f", now_ms() - started_at_ms)

    async def _drain(self, last_answer_at_ms: float) -> None:
        """Answer the requests in flight and close all connections."""
        left_ms = last_answer_at_ms + KILL_MARGIN_MS / 2.0 - now_ms()
        try:
            async with asyncio.timeout(left_ms / 1000.0):
                await self._frontend.drain()
        except TimeoutError:
            self._frontend.abort()  # all is answered by now: the clients that are left do not read
