"""The callers' side of a node: the listener and all connections that it accepted."""

from __future__ import annotations

import asyncio
import itertools
from typing import Protocol

from workspond.address import Address
from workspond.downstream.client_connection import AcceptedRequest, ClientConnection, ResponseReceiver
from workspond.downstream.connection_states import ConnectionState, ConnectionTable
from workspond.downstream.listener import Listener
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.observability.counters import EventCounters
from workspond.policy.settings import RequestClass

SWEEP_S = 0.2  # how often stages are looked at; limits are late by so much at most
MOST_POLLED = 32  # connections asked whether they can go, for each new one
READY_PATH = b"/-/ready"


class RequestHandler(Protocol):
    """Whoever serves the requests that come in."""

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Take a request, whose receiver is owed one response; raises `InvalidRequestError`."""

    def is_ready(self) -> bool:
        """Whether requests can be served."""


class Frontend:
    """The listener and all callers' connections."""

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
        self._handler = handler
        self._max_connections = max_connections
        self.connections: ConnectionTable[ClientConnection] = ConnectionTable()
        self._listener: Listener | None = None
        self._loop: asyncio.AbstractEventLoop
        self._leaving = self._closing = False
        self._empty = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept callers from now on; the address, with the port that port 0 stands for."""
        self._loop = loop
        self._listener = Listener(loop, address, lambda: ClientConnection(self))
        self._sweep()
        return self._listener.address

    def connection_count(self) -> int:
        """Callers' connections that are open, and those that are about to be."""
        opening = self._listener.opening if self._listener is not None else 0
        return len(self.connections) + opening

    def accept(self, message: ClientRequest, requester: ResponseReceiver) -> AcceptedRequest:
        """Have the node take a request."""
        return self._handler.accept(message, requester)

    def own_path(self, path: bytes) -> Response:
        """Answer for the node itself."""
        if path != READY_PATH:
            return Response(404, b"no such path")
        # Not 503, which would be a refusal: this answers no request, but whoever asks may not know.
        return (
            Response(200, b"ready")
            if self._handler.is_ready() and not self._leaving
            else Response(500, b"not ready")
        )

    def opened(self, connection: ClientConnection) -> None:
        """Count a caller in; at the most there may be, one that is owed nothing goes for it.

        Not one whose request waits to be read: many may have connected within one turn of the loop.
        """
        self.connections.enter(connection, ConnectionState.NEW, self._loop.time())
        if self._closing:
            connection.drain()
        elif len(self.connections) > self._max_connections:
            candidates = itertools.islice(self.connections.expendable(), MOST_POLLED)
            others = (
                other for other in candidates if other is not connection and not other.has_unread_data()
            )
            next(others, connection).abort("too many connections")

    def moved(self, connection: ClientConnection, stage: ConnectionState) -> None:
        """A connection waits for something else; its time begins anew if so."""
        self.connections.enter(connection, stage, self._loop.time())

    def closed(self, connection: ClientConnection) -> None:
        """Count a caller out."""
        self.connections.remove(connection)
        if not self.connection_count():
            self._empty.set()

    def _sweep(self) -> None:
        """End what has waited too long."""
        self._loop.call_later(SWEEP_S, self._sweep)
        for connection in self.connections.overdue(self._loop.time()):
            connection.time_out()

    def fail_ready_checks(self) -> None:
        """Be ready no more: whoever asks sends its callers elsewhere."""
        self._leaving = True

    async def close_listener(self) -> None:
        """Take no new connections; go on with those there are."""
        if self._listener is not None:
            await self._listener.close()

    async def drain(self) -> None:
        """Close what is idle; wait until all that is owed has been answered."""
        self._closing = True
        for connection in self.connections.all():
            connection.drain()
        await self.wait_until_empty()

    async def wait_until_empty(self) -> None:
        """Wait until no caller is left."""
        while self.connection_count():
            self._empty.clear()
            await self._empty.wait()

    def abort(self) -> None:
        """End all that is left."""
        for connection in self.connections.all():
            connection.abort("the node ends")
