"""Logs lag of the event loop, the first sign of a process that gets too little CPU time."""

from __future__ import annotations

import asyncio
import logging

CHECK_INTERVAL_S = 1.0
MIN_REPORTED_LAG_S = 0.1

log = logging.getLogger("workspond")


def watch_event_loop_lag(loop: asyncio.AbstractEventLoop) -> None:
    """Start to check the event loop's lag periodically; a timer that runs late is logged."""
    _check(loop, loop.time())


def _check(loop: asyncio.AbstractEventLoop, due_at_s: float) -> None:
    lag_s = loop.time() - due_at_s
    if lag_s > MIN_REPORTED_LAG_S:
        log.warning("event loop late: after_ms=%.0f", lag_s * 1000.0)
    next_at_s = loop.time() + CHECK_INTERVAL_S
    loop.call_at(next_at_s, _check, loop, next_at_s)
