"""Counts the client connections that the node closes, and writes log lines that say why."""

from __future__ import annotations

import logging
from typing import Protocol

from workspond.clock import now_ms
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.policy.token_bucket import TokenBucket

MAX_TRACES_PER_S = 20.0  # limits the CPU time that logging takes when many connections are closed

log = logging.getLogger("workspond")


class TracedConnection(Protocol):
    """The part of a client connection that is written to a trace."""

    def peer_name(self) -> str:
        """Return the client's `host:port`."""

    def state_name(self) -> str:
        """Return the name of the connection's state."""

    def waiting_bytes(self) -> int:
        """Return the length of the data that waits on the connection."""


class ConnectionTracer:
    """Counts closed connections by reason and logs at most `MAX_TRACES_PER_S` of them on average."""

    def __init__(self, counters: EventCounters) -> None:
        self._counters = counters
        self._rate_limit = TokenBucket(MAX_TRACES_PER_S, now_ms())

    def record_close(self, connection: TracedConnection, reason: str) -> None:
        """Record that the node closes a connection, with the state in which it is."""
        self._counters.increment(CountedEvent.CONNECTION_CLOSED, reason)
        if not self._rate_limit.try_take(MAX_TRACES_PER_S / 1000.0, MAX_TRACES_PER_S, now_ms()):
            return
        log.info(
            'connection closed: client=%s reason="%s" state=%s waiting_bytes=%d',
            connection.peer_name(),
            reason,
            connection.state_name(),
            connection.waiting_bytes(),
        )
