"""The client-facing side of a node: the listener and all client connections."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from workspond.address import Address
from workspond.downstream.buffer_budget import NO_USE, BufferBudget, BufferingConnection
from workspond.downstream.client_connection import ClientConnection
from workspond.downstream.close_reason import CloseReason
from workspond.downstream.connection_states import ConnectionState, ConnectionTable
from workspond.downstream.interfaces import AcceptedRequest, ResponseReceiver
from workspond.downstream.listener import Listener
from workspond.downstream.turn_scheduler import TurnScheduler
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.observability.connection_trace import ConnectionTracer
from workspond.observability.counters import EventCounters
from workspond.policy.settings import RequestClass

SWEEP_INTERVAL_S = 0.2  # expired state timeouts are noticed with at most this delay
MAX_EVICTION_CANDIDATES = 32  # each new connection over the limit causes at most this many socket polls
READY_PATH = b"/-/ready"


class RequestHandler(Protocol):
    """The part of the node that serves client requests."""

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Accept a request and later send exactly one response to its receiver.

        Raises:
            InvalidRequestError: The request can't be accepted; no response will be sent.
        """

    def is_ready(self) -> bool:
        """Return whether requests can be served."""


class Frontend:
    """Owns the listener and tracks all client connections."""

    def __init__(
        self,
        classes: dict[str, RequestClass],
        handler: RequestHandler,
        *,
        max_connections: int,
        max_buffer_bytes: int,
        counters: EventCounters,
    ) -> None:
        """Create a frontend that does not listen yet.

        Args:
            classes: The request classes by name.
            handler: Serves the requests.
            max_connections: The maximum number of open client connections.
            max_buffer_bytes: The maximum length of the data that client connections keep together.
            counters: Counts closed connections by reason.
        """
        self.classes = classes
        self.tracer = ConnectionTracer(counters)
        self.connections: ConnectionTable[ClientConnection] = ConnectionTable()
        self.buffers: BufferBudget[BufferingConnection] = BufferBudget(max_buffer_bytes)
        # While memory is short, data is dropped before anything more is parsed.
        self.turns = TurnScheduler(lambda: self.buffers.is_exceeded)
        self._handler = handler
        self._max_connections = max_connections
        self._listener: Listener | None = None
        self._loop: asyncio.AbstractEventLoop
        self._fails_ready_checks = False
        self._is_draining = False
        self._all_closed = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Start to accept connections.

        Returns:
            The bound address; for port 0, with the port that the kernel has chosen.

        Raises:
            OSError: The address could not be bound, or descriptors or memory run short.
        """
        self._loop = loop
        self._listener = Listener(loop, address, lambda: ClientConnection(self))
        self._sweep()
        return self._listener.address

    def connection_count(self) -> int:
        """Return the number of client connections that are open or being opened."""
        opening_count = self._listener.opening_count if self._listener is not None else 0
        return len(self.connections) + opening_count

    # Called by client connections

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Pass a request to the node.

        Raises:
            InvalidRequestError: The node can't accept the request.
        """
        return self._handler.accept(request, receiver)

    def internal_path_response(self, path: bytes) -> Response:
        """Return the response to a request for one of the node's own paths, such as a readiness check."""
        if path != READY_PATH:
            return Response(404, b"no such path")
        if self._handler.is_ready() and not self._fails_ready_checks:
            return Response(200, b"ready")
        # The status is not 503, as a client could take that for a rejection because of load.
        return Response(500, b"not ready")

    def connection_opened(self, connection: ClientConnection) -> None:
        """Track a new connection; over the limit, close a connection in a state of `EVICTION_ORDER`."""
        self.connections.set_state(connection, ConnectionState.AWAITING_FIRST_REQUEST, self._loop.time())
        if self._is_draining:
            connection.drain()
        elif len(self.connections) > self._max_connections:
            self._evict_connection_for(connection)

    def _evict_connection_for(self, new: ClientConnection) -> None:
        """Close a connection in a state of `EVICTION_ORDER`, or the new one if none can be closed.

        Connections with unread data are kept, as the data may be a request: many clients may have connected
        and sent requests within one iteration of the event loop.
        """
        candidates = itertools.islice(self.connections.eviction_candidates(), MAX_EVICTION_CANDIDATES)
        evictable = (
            candidate for candidate in candidates if candidate is not new and not candidate.has_unread_data()
        )
        next(evictable, new).abort(CloseReason.TOO_MANY_CONNECTIONS)

    def connection_state_changed(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Record the state of a connection; its timeout restarts if the state has changed."""
        self.connections.set_state(connection, state, self._loop.time())

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop tracking a connection; a second call for the same connection does nothing."""
        self.connections.remove(connection)
        self.buffers.update(connection, NO_USE)
        if not self.connection_count():
            self._all_closed.set()

    def _sweep(self) -> None:
        """Handle expired state timeouts, now and every `SWEEP_INTERVAL_S` seconds."""
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for connection in self.connections.timed_out(self._loop.time()):
            connection.handle_timeout()

    # Graceful shutdown

    def fail_ready_checks(self) -> None:
        """Fail readiness checks from now on, so that clients are directed to other nodes."""
        self._fails_ready_checks = True

    async def close_listener(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._listener is not None:
            await self._listener.close()

    async def drain(self) -> None:
        """Close each connection once it has no pending response, and wait until all are closed."""
        self._is_draining = True
        for connection in self.connections.all():
            connection.drain()
        await self.wait_until_empty()

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open."""
        while self.connection_count():
            self._all_closed.clear()
            await self._all_closed.wait()

    def abort(self) -> None:
        """Close all connections at once, without their pending responses."""
        for connection in self.connections.all():
            connection.abort(CloseReason.NODE_STOPPING)
