"""What clients' connections wait for, and for how long each may.

A connection waits for one thing at a time, its state, and each state has a timeout. The connections of a
state are kept in the order in which they entered it, so that one sweep finds those over their timeout, and
the first of a state is the one to close when connections run short.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import Generic, Protocol, TypeVar


class ConnectionState(Enum):
    """What a client's connection waits for."""

    AWAITING_FIRST_REQUEST = "first request, to its end"
    READING_REQUEST = "rest of a request"
    AWAITING_RESPONSE = "response from the node"
    IDLE = "next request"
    REJECTING = "responses that precede the error that ends the connection"
    FLUSHING = "client to read its responses"


STATE_TIMEOUTS_S = {
    # A silent or slow client is owed an error or a close within 3 s of connecting; a rejection, also in 3 s.
    ConnectionState.AWAITING_FIRST_REQUEST: 2.0,
    ConnectionState.READING_REQUEST: 2.0,
    ConnectionState.REJECTING: 2.0,
    # Many clients send one request and stay; a reconnect costs one that sends another only little.
    ConnectionState.IDLE: 10.0,
    ConnectionState.FLUSHING: 2.0,
}  # AWAITING_RESPONSE has none of its own: each request ends at its deadline

# At the connection limit these are closed for new clients: first those that never sent a request, then the
# longest idle.
EVICTION_ORDER = (
    ConnectionState.FLUSHING,
    ConnectionState.AWAITING_FIRST_REQUEST,
    ConnectionState.IDLE,
)


class TrackedConnection(Protocol):
    """A connection that is in one state at a time; None: it is not open."""

    state: ConnectionState | None


Connection = TypeVar("Connection", bound=TrackedConnection)


class ConnectionTable(Generic[Connection]):
    """All open connections by state, each with the time at which it entered that."""

    def __init__(self) -> None:
        self._entered_at_s: dict[ConnectionState, dict[Connection, float]] = {
            state: {} for state in ConnectionState
        }

    def __len__(self) -> int:
        return sum(map(len, self._entered_at_s.values()))

    def set_state(self, connection: Connection, state: ConnectionState, now_s: float) -> None:
        """Put a connection into a state; its timeout starts again only if that is another one."""
        if connection.state is not state:
            self.remove(connection)
            connection.state = state
            self._entered_at_s[state][connection] = now_s

    def remove(self, connection: Connection) -> None:
        """Remove a connection; nothing happens if it is not open."""
        if connection.state is not None:
            del self._entered_at_s[connection.state][connection]
            connection.state = None

    def in_state(self, state: ConnectionState) -> list[Connection]:
        """The connections of a state, first the one that entered it first."""
        return list(self._entered_at_s[state])

    def all(self) -> list[Connection]:
        """All open connections."""
        return [connection for state in ConnectionState for connection in self._entered_at_s[state]]

    def eviction_candidates(self) -> Iterator[Connection]:
        """Connections that are owed no response, in the order in which to close them."""
        return (connection for state in EVICTION_ORDER for connection in self._entered_at_s[state])

    def timed_out(self, now_s: float) -> list[Connection]:
        """Connections over the timeout of their state.

        Each state is in order of time, so the search in it ends at the first that is in time.
        """
        late = []
        for state, timeout_s in STATE_TIMEOUTS_S.items():
            for connection, entered_at_s in self._entered_at_s[state].items():
                if now_s - entered_at_s < timeout_s:
                    break
                late.append(connection)
        return late
