"""Graceful shutdown: keeps serving for a while, answers all requests in flight, then closes connections.

The platform sends SIGTERM and, some time later, SIGKILL. The time between them is `KILL_DELAY_MS` plus the
longest deadline of any request class; deadlines above `MAX_DEADLINE_MS` count as `MAX_DEADLINE_MS`. New
connections keep arriving for at least 0.4 s after SIGTERM.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from workspond.clock import now_ms
from workspond.downstream.frontend import Frontend
from workspond.policy.settings import RequestClass
from workspond.request_registry import RequestRegistry

MIN_SERVING_S = 0.45  # a little longer than new connections keep arriving
MAX_DEADLINE_MS = 3_000.0
KILL_DELAY_MS = 700.0
KILL_MARGIN_MS = 200.0  # time between the last response and SIGKILL
# All connections begin to close this long before the last response is due, so that the requests received
# until then have enough time to be served.
DRAIN_BEFORE_LAST_RESPONSE_MS = 800.0

log = logging.getLogger("workspond")


class GracefulShutdown:
    """Shuts down the client side of a node."""

    def __init__(
        self, frontend: Frontend, requests: RequestRegistry, classes: Iterable[RequestClass]
    ) -> None:
        self._frontend = frontend
        self._requests = requests
        max_deadline_ms = min(MAX_DEADLINE_MS, max(cls.deadline_ms for cls in classes))
        self._last_response_after_ms = KILL_DELAY_MS - KILL_MARGIN_MS + max_deadline_ms

    async def run(self, min_serving_s: float) -> None:
        """Shut down, and return when all client connections are closed.

        Clients keep using their open connections and may have no other node to switch to. So they are served
        until the remaining time just suffices to answer them before the platform kills the node.

        Args:
            min_serving_s: How long to keep serving even if no client is connected, in seconds.
        """
        started_at_ms = now_ms()
        last_response_at_ms = started_at_ms + self._last_response_after_ms
        self._requests.limit_deadlines(last_response_at_ms)  # a later response could come after SIGKILL
        self._frontend.fail_ready_checks()
        await asyncio.sleep(min_serving_s)
        await self._serve_until_empty(started_at_ms, last_response_at_ms)
        await self._frontend.close_listener()
        await self._drain(last_response_at_ms)

    async def _serve_until_empty(self, started_at_ms: float, last_response_at_ms: float) -> None:
        """Serve until no client is connected, or until the connections have to be closed.

        The listener stays open as long as connections are served. A client whose new connection is refused
        considers the node dead and drops its open connections too. If this is the only node, that client has
        no other node to use.
        """
        remaining_ms = last_response_at_ms - DRAIN_BEFORE_LAST_RESPONSE_MS - now_ms()
        try:
            async with asyncio.timeout(remaining_ms / 1000.0):
                await self._frontend.wait_until_empty()
        except TimeoutError:
            log.info("closing connections: after_ms=%.0f", now_ms() - started_at_ms)

    async def _drain(self, last_response_at_ms: float) -> None:
        """Answer the requests in flight and close all connections.

        Connections that are still open `KILL_MARGIN_MS / 2` before SIGKILL are aborted.
        """
        remaining_ms = last_response_at_ms + KILL_MARGIN_MS / 2.0 - now_ms()
        try:
            async with asyncio.timeout(remaining_ms / 1000.0):
                await self._frontend.drain()
        except TimeoutError:
            # All requests have been answered by now; the remaining clients do not read their responses.
            self._frontend.abort()
