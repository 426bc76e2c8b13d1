"""What callers' connections wait for, and how long each may.

A connection always waits for one thing at a time, its stage, and each stage has a limit. Connections of a
stage are kept in the order in which they came to it, so that one sweep ends those over their limit, and the
first of a stage is the one to go when descriptors run short.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import Generic, Protocol, TypeVar


class ConnectionState(Enum):
    """What a caller's connection waits for."""

    NEW = "its first request, whole"
    READING = "the rest of a request"
    SERVING = "an answer from the node"
    IDLE = "the next request"
    REJECTING = "answers that are owed before the error that ends the connection"
    LEAVING = "the caller, to read what it was sent"


LIMITS_S = {
    ConnectionState.NEW: 2.0,  # a silent or slow caller is owed an error or a close within 3 s of connecting
    ConnectionState.READING: 2.0,
    ConnectionState.REJECTING: 2.0,  # the error too is owed within 3 s
    ConnectionState.IDLE: 10.0,  # many ask once and stay; a reconnect of one that asks again costs it little
    ConnectionState.LEAVING: 2.0,
}  # SERVING has none of its own: each request ends at its deadline
# Who goes first for a new caller at the most there may be: those that never asked, then the longest idle.
EXPENDABLE = (ConnectionState.LEAVING, ConnectionState.NEW, ConnectionState.IDLE)


class TrackedConnection(Protocol):
    """A connection that is in one stage at a time; None: not open."""

    stage: ConnectionState | None

    def time_out(self) -> None:
        """End what its stage waits for: it has lasted too long."""


Connection = TypeVar("Connection", bound=TrackedConnection)


class ConnectionTable(Generic[Connection]):
    """All open connections by stage, each with the time at which it came to it."""

    def __init__(self) -> None:
        self._by_stage: dict[ConnectionState, dict[Connection, float]] = {
            stage: {} for stage in ConnectionState
        }

    def __len__(self) -> int:
        return sum(map(len, self._by_stage.values()))

    def enter(self, connection: Connection, stage: ConnectionState, now_s: float) -> None:
        """Put a connection into a stage; its time begins anew only where that is another one."""
        if connection.stage is not stage:
            self.remove(connection)
            connection.stage = stage
            self._by_stage[stage][connection] = now_s

    def remove(self, connection: Connection) -> None:
        """Count a connection out; nothing if it is not there."""
        if connection.stage is not None:
            del self._by_stage[connection.stage][connection]
            connection.stage = None

    def of(self, stage: ConnectionState) -> list[Connection]:
        """The connections of a stage, the longest there first."""
        return list(self._by_stage[stage])

    def all(self) -> list[Connection]:
        """All open connections."""
        return [connection for stage in ConnectionState for connection in self._by_stage[stage]]

    def expendable(self) -> Iterator[Connection]:
        """Those that are owed nothing, the first to go first."""
        return (connection for stage in EXPENDABLE for connection in self._by_stage[stage])

    def overdue(self, now_s: float) -> list[Connection]:
        """Those over the limit of their stage. Each stage is in order of time, so its head tells."""
        late = []
        for stage, limit_s in LIMITS_S.items():
            for connection, since_s in self._by_stage[stage].items():
                if now_s - since_s < limit_s:
                    break
                late.append(connection)
        return late
