"""The states of client connections and the timeouts of these states.

The connections in a state are kept in the order in which they entered it. A sweep over the timeouts can
therefore stop at the first connection that has time left, and at the connection limit the first connection
of a state is the first to be closed.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import Generic, Protocol, TypeVar


class ConnectionState(Enum):
    """The state of a client connection; each value says what the connection waits for."""

    AWAITING_FIRST_REQUEST = "the complete first request"
    READING_REQUEST = "the rest of a request"
    AWAITING_RESPONSE = "a response from the node"
    IDLE = "the next request"
    REJECTING = "the responses to the requests that precede a rejection"
    FLUSHING = "the transmission of written responses"


STATE_TIMEOUTS_S = {
    # A silent or slow client must get an error or a close within 3 s of connecting, and a rejection must be
    # sent within 3 s.
    ConnectionState.AWAITING_FIRST_REQUEST: 2.0,
    ConnectionState.READING_REQUEST: 2.0,
    ConnectionState.REJECTING: 2.0,
    # Many clients send one request and keep the connection open. A new connection costs little for a client
    # that sends another request after the timeout.
    ConnectionState.IDLE: 10.0,
    ConnectionState.FLUSHING: 2.0,
}  # AWAITING_RESPONSE needs no timeout, as each request ends at its deadline

# At the connection limit, a connection in one of these states is closed for each new client. The states are
# tried in this order; within a state, the connection that entered it first is closed first.
EVICTION_ORDER = (
    ConnectionState.FLUSHING,
    ConnectionState.AWAITING_FIRST_REQUEST,
    ConnectionState.IDLE,
)


class TrackedConnection(Protocol):
    """A connection with a state, which is None while the connection is not open."""

    state: ConnectionState | None


Connection = TypeVar("Connection", bound=TrackedConnection)


class ConnectionTable(Generic[Connection]):
    """All open connections by state, each with the time at which it entered its state."""

    def __init__(self) -> None:
        self._entered_at_s: dict[ConnectionState, dict[Connection, float]] = {
            state: {} for state in ConnectionState
        }

    def __len__(self) -> int:
        return sum(map(len, self._entered_at_s.values()))

    def set_state(self, connection: Connection, state: ConnectionState, now_s: float) -> None:
        """Set the state of a connection; its timeout restarts only if the state differs from the current one.

        Args:
            connection: The connection.
            state: The state that the connection is in now.
            now_s: The time of the event loop, in seconds.
        """
        if connection.state is not state:
            self.remove(connection)
            connection.state = state
            self._entered_at_s[state][connection] = now_s

    def remove(self, connection: Connection) -> None:
        """Remove a connection; does nothing if it is not open."""
        if connection.state is not None:
            del self._entered_at_s[connection.state][connection]
            connection.state = None

    def in_state(self, state: ConnectionState) -> list[Connection]:
        """Return the connections in a state, in the order in which they entered it."""
        return list(self._entered_at_s[state])

    def all(self) -> list[Connection]:
        """Return all open connections."""
        return [connection for state in ConnectionState for connection in self._entered_at_s[state]]

    def eviction_candidates(self) -> Iterator[Connection]:
        """Return the connections that may be closed for new ones, in the order in which to close them."""
        return (connection for state in EVICTION_ORDER for connection in self._entered_at_s[state])

    def timed_out(self, now_s: float) -> list[Connection]:
        """Return the connections whose state has timed out.

        The connections in a state are in order of entry, so the search in each state stops at the first one
        that has time left.
        """
        expired = []
        for state, timeout_s in STATE_TIMEOUTS_S.items():
            for connection, entered_at_s in self._entered_at_s[state].items():
                if now_s - entered_at_s < timeout_s:
                    break
                expired.append(connection)
        return expired
