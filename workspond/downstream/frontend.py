"""The clients' side of a node: the listener and all connections that it accepted."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from workspond.address import Address
from workspond.downstream.client_connection import AcceptedRequest, ClientConnection, ResponseReceiver
from workspond.downstream.close_reason import CloseReason
from workspond.downstream.connection_states import ConnectionState, ConnectionTable
from workspond.downstream.listener import Listener
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.observability.counters import EventCounters
from workspond.policy.settings import RequestClass

SWEEP_INTERVAL_S = (
    0.2  # timeouts of connections' states are checked so often; they are late by so much at most
)
MAX_EVICTION_CANDIDATES = 32  # connections polled for one to close, for each new one over the limit
READY_PATH = b"/-/ready"


class RequestHandler(Protocol):
    """Whoever serves the requests that are received."""

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Take a request, whose receiver is owed one response from now on.

        Raises:
            InvalidRequestError: The request can't be accepted; no response is owed.
        """

    def is_ready(self) -> bool:
        """Whether requests can be served."""


class Frontend:
    """The listener and all clients' connections."""

    def __init__(
        self,
        classes: dict[str, RequestClass],
        handler: RequestHandler,
        max_connections: int,
        counters: EventCounters,
    ) -> None:
        """`max_connections` of clients may be open at once."""
        self.classes = classes
        self.counters = counters
        self.connections: ConnectionTable[ClientConnection] = ConnectionTable()
        self._handler = handler
        self._max_connections = max_connections
        self._listener: Listener | None = None
        self._loop: asyncio.AbstractEventLoop
        self._fails_ready_checks = False
        self._is_draining = False
        self._became_empty = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept connections from now on.

        Returns:
            The address, with the port that port 0 stands for.

        Raises:
            OSError: The address can't be listened on.
        """
        self._loop = loop
        self._listener = Listener(loop, address, lambda: ClientConnection(self))
        self._sweep()
        return self._listener.address

    def connection_count(self) -> int:
        """The connections of clients that are open, and those that are being opened."""
        opening = self._listener.opening if self._listener is not None else 0
        return len(self.connections) + opening

    # What connections need

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Have the node accept a request.

        Raises:
            InvalidRequestError: The node can't accept it.
        """
        return self._handler.accept(request, receiver)

    def internal_path_response(self, path: bytes) -> Response:
        """The response to a request for a path of the node itself, such as a readiness check."""
        if path != READY_PATH:
            return Response(404, b"no such path")
        if self._handler.is_ready() and not self._fails_ready_checks:
            return Response(200, b"ready")
        # Not 503, which would be a rejection: no request is rejected here, but the client may not know.
        return Response(500, b"not ready")

    def connection_opened(self, connection: ClientConnection) -> None:
        """Track a new connection; over the limit, one that is owed no response is closed for it."""
        self.connections.set_state(connection, ConnectionState.AWAITING_FIRST_REQUEST, self._loop.time())
        if self._is_draining:
            connection.drain()
        elif len(self.connections) > self._max_connections:
            self._evict_one_for(connection)

    def _evict_one_for(self, new: ClientConnection) -> None:
        """Close a connection that is owed no response; the new one itself if there is none.

        One with unread data is spared, as that may be a request: many clients may have connected and sent
        requests within one turn of the event loop.
        """
        candidates = itertools.islice(self.connections.eviction_candidates(), MAX_EVICTION_CANDIDATES)
        evictable = (
            candidate for candidate in candidates if candidate is not new and not candidate.has_unread_data()
        )
        next(evictable, new).abort(CloseReason.TOO_MANY_CONNECTIONS)

    def connection_state_changed(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Track what a connection waits for; the timeout starts again if that is something else now."""
        self.connections.set_state(connection, state, self._loop.time())

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop tracking a connection; it may be called twice."""
        self.connections.remove(connection)
        if not self.connection_count():
            self._became_empty.set()

    def _sweep(self) -> None:
        """End what has waited too long, now and periodically."""
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for connection in self.connections.timed_out(self._loop.time()):
            connection.handle_timeout()

    # Graceful shutdown

    def fail_ready_checks(self) -> None:
        """Be ready no more, so that whoever checks it sends clients to other nodes."""
        self._fails_ready_checks = True

    async def close_listener(self) -> None:
        """Accept no new connections; those that are open are served."""
        if self._listener is not None:
            await self._listener.close()

    async def drain(self) -> None:
        """Close idle connections, and the others after their responses; wait until none is open."""
        self._is_draining = True
        for connection in self.connections.all():
            connection.drain()
        await self.wait_until_empty()

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open."""
        while self.connection_count():
            self._became_empty.clear()
            await self._became_empty.wait()

    def abort(self) -> None:
        """Close all connections at once, whatever is owed on them."""
        for connection in self.connections.all():
            connection.abort(CloseReason.NODE_STOPPING)
