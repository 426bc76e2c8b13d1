"""Bounds the memory that the data of all connections of clients and to servers takes together.

Each connection bounds its own data, but there may be many of them. If they keep too much together, those with
the most waiting data are made to drop it. Data of requests that are being served is counted and not dropped.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Generic, NamedTuple, Protocol, TypeVar

from workspond.observability.resource_usage import resident_bytes

MIN_LOG_INTERVAL_S = 1.0  # each enforcement may drop the data of many connections, again and again
# Connections read ahead while all data together takes less than this part of the budget.
AMPLE_FRACTION = 0.5
# Over this multiple of the budget, not even a response may grow until data has been dropped.
HARD_LIMIT_RATIO = 1.5

log = logging.getLogger("workspond")


class BufferUse(NamedTuple):
    """The memory that the data of a connection takes.

    Attributes:
        waiting_bytes: What waits to be parsed, to be complete, to be served, or to be sent to the client.
        served_bytes: What belongs to the request that is being served.
    """

    waiting_bytes: int
    served_bytes: int


NO_USE = BufferUse(0, 0)


class BufferingConnection(Protocol):
    """A connection that keeps data in memory.

    Attributes:
        drops_last: Whether the data of other connections is dropped before that of this one.
    """

    drops_last: bool

    def report_buffer_use(self) -> None:
        """Record the current use, as sending ends without an event of the connection."""

    def drop_waiting_data(self) -> None:
        """Drop the data that waits, and answer with an error or close the connection."""


Connection = TypeVar("Connection", bound=BufferingConnection)


class BufferBudget(Generic[Connection]):
    """Counts the data of all connections and has those with the most drop theirs while it is too much.

    Attributes:
        total_bytes: The length of all data.
        is_exceeded: Whether there is too much data. Nothing more must be parsed until the next iteration of
            the event loop, in which data is dropped first.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.total_bytes = 0
        self.is_exceeded = False
        self._limit_bytes = limit_bytes
        self._use: dict[Connection, BufferUse] = {}  # holds the connections that keep any data
        self._last_logged_at_s = -math.inf

    def has_ample_room(self) -> bool:
        """Return whether connections may read ahead of the request that they serve."""
        return self.total_bytes < AMPLE_FRACTION * self._limit_bytes

    def is_far_exceeded(self) -> bool:
        """Return whether data must be dropped now, not only in the next iteration of the event loop."""
        return self.total_bytes > HARD_LIMIT_RATIO * self._limit_bytes

    def update(self, connection: Connection, use: BufferUse) -> None:
        """Record how much data a connection keeps now."""
        self.total_bytes += sum(use) - sum(self._use.get(connection, NO_USE))
        if use == NO_USE:
            self._use.pop(connection, None)
        else:
            self._use[connection] = use
        if self.total_bytes > self._limit_bytes and not self.is_exceeded:
            self.is_exceeded = True
            # The connection that reports its use may be in the middle of something, as may others.
            asyncio.get_running_loop().call_soon(self._enforce)

    def _enforce(self) -> None:
        """Drop waiting data while there is too much; parsing goes on afterwards, whatever happens here."""
        total_before = self.total_bytes
        try:
            self._drop_excess()
        finally:
            self.is_exceeded = False
        if self.total_bytes < total_before:
            self._log_enforcement(total_before)

    def _drop_excess(self) -> None:
        """Have connections drop their waiting data, those with the most first, while there is too much.

        Those that drop last follow after all others.
        """
        for connection in list(self._use):
            connection.report_buffer_use()
        for connection in sorted(self._use, key=self._drop_order):
            if self.total_bytes <= self._limit_bytes:
                break
            if self._waiting_bytes(connection):  # another connection's drop may have ended this one
                connection.drop_waiting_data()

    def _drop_order(self, connection: Connection) -> tuple[bool, int]:
        return connection.drops_last, -self._waiting_bytes(connection)

    def _waiting_bytes(self, connection: Connection) -> int:
        return self._use.get(connection, NO_USE).waiting_bytes

    def _log_enforcement(self, total_before: int) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_logged_at_s < MIN_LOG_INTERVAL_S:
            return
        self._last_logged_at_s = now_s
        log.warning(
            "data of clients dropped, memory is short: before_bytes=%d after_bytes=%d limit_bytes=%d"
            " resident_bytes=%d",
            total_before,
            self.total_bytes,
            self._limit_bytes,
            resident_bytes(),
        )
